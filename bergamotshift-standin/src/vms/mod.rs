//! The platform's VM list, which lags, and its notices, which do not.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bergamotshift_core::name;
use bergamotshift_core::vm::Listing;
use ntex::http::Method;
use ntex::http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::fault::Plan;
use crate::host;
use crate::host::Answer;
use crate::host::Call;
use crate::host::Host;
use crate::host::Site;

/// Settings of the VM list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// After how many further listings a change shows.
    pub lag: u32,
}

/// A notice that a VM is going to be reclaimed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Notice {
    /// Counts the notices of the platform, from 1.
    pub sequence: u64,
    /// The VM as it stands, leaving.
    pub vm: Listing,
}

/// A running VM list; dropping it stops it.
///
/// `GET /vms` answers `{"vms": [listing, …]}`; `GET /notices?since=N` answers `{"notices": [notice, …]}` with the
/// notices whose sequence number is above N.
#[derive(Debug)]
pub struct Server {
    host: Host,
    place: Arc<Place>,
}

host::handle!(Server);

impl Server {
    /// Starts the list on an ephemeral loopback port.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket calls.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let place = Arc::new(Place {
            settings,
            state: Mutex::default(),
        });
        let site: Arc<dyn Site> = Arc::<Place>::clone(&place);
        let host = Host::start(site, || {})?;
        Ok(Self { host, place })
    }

    /// Adds a VM, or replaces the one of that name.
    pub fn put(&self, listing: Listing) {
        self.place.change(Change::Put(listing));
    }

    /// Takes a VM off the list.
    pub fn remove(&self, vm: &name::Vm) {
        self.place.change(Change::Remove(vm.clone()));
    }

    /// Gives notice: it is told at once, and the list shows the VM as leaving after its lag.
    pub fn notice(&self, listing: Listing) {
        self.place.notice(&listing);
        self.place.change(Change::Put(listing));
    }

    /// Returns the VMs as they truly are.
    pub fn truth(&self) -> Vec<Listing> {
        self.place.state().truth.values().cloned().collect()
    }
}

#[derive(Debug)]
struct Place {
    settings: Settings,
    state: Mutex<State>,
}

#[derive(Clone, Debug)]
enum Change {
    Put(Listing),
    Remove(name::Vm),
}

#[derive(Debug, Default)]
struct State {
    truth: BTreeMap<name::Vm, Listing>,
    shown: BTreeMap<name::Vm, Listing>,
    /// Changes not shown yet, each with the number of the first listing that shows it.
    pending: VecDeque<(u64, Change)>,
    listings: u64,
    notices: Vec<Notice>,
}

impl Change {
    fn apply(self, vms: &mut BTreeMap<name::Vm, Listing>) {
        match self {
            Self::Put(listing) => drop(vms.insert(listing.name.clone(), listing)),
            Self::Remove(vm) => drop(vms.remove(&vm)),
        }
    }
}

impl Place {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, change: Change) {
        let mut state = self.state();
        let due = state.listings + 1 + u64::from(self.settings.lag);
        change.clone().apply(&mut state.truth);
        state.pending.push_back((due, change));
    }

    fn notice(&self, listing: &Listing) {
        let mut state = self.state();
        let sequence = state.notices.len() as u64 + 1;
        state.notices.push(Notice {
            sequence,
            vm: listing.clone(),
        });
    }

    fn list(&self) -> Vec<Listing> {
        let mut state = self.state();
        state.listings += 1;
        let number = state.listings;
        while let Some((due, change)) = state.pending.pop_front() {
            if due > number {
                state.pending.push_front((due, change));
                break;
            }
            change.apply(&mut state.shown);
        }
        state.shown.values().cloned().collect()
    }

    fn notices(&self, since: u64) -> Vec<Notice> {
        self.state()
            .notices
            .iter()
            .filter(|notice| notice.sequence > since)
            .cloned()
            .collect()
    }
}

#[derive(Serialize)]
struct List {
    vms: Vec<Listing>,
}

#[derive(Serialize)]
struct Notices {
    notices: Vec<Notice>,
}

impl Site for Place {
    fn kind(&self, call: &Call) -> String {
        format!("{} {}", call.method, call.path)
    }

    fn answer(self: Arc<Self>, call: Call, _plan: Plan) -> Answer {
        Box::pin(async move {
            match (&call.method, call.path.as_str()) {
                (&Method::GET, "/vms") => host::json(&List { vms: self.list() }),
                (&Method::GET, "/notices") => {
                    let since = call.parameter("since").and_then(|text| text.parse().ok()).unwrap_or(0);
                    host::json(&Notices {
                        notices: self.notices(since),
                    })
                }
                _ => host::error(StatusCode::NOT_FOUND, "not_found", "no such resource"),
            }
        })
    }
}
