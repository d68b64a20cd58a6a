//! The orders that the cloud took.

use core::fmt;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bergamotshift_core::name;
use bergamotshift_core::vm::Market;
use ntex::http::Method;
use ntex::http::Response;
use ntex::http::StatusCode;

use super::Event;
use super::Settings;
use super::Spec;
use crate::fault::Plan;
use crate::host;
use crate::host::Answer;
use crate::host::Call;
use crate::host::Site;

type OnEvent = Box<dyn Fn(Event) + Send + Sync>;
type Kind = (name::Zone, name::Class, Market);

/// The cloud API behind its HTTP interface.
pub(super) struct Place {
    settings: Settings,
    on_event: OnEvent,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    vms: BTreeMap<name::Vm, Spec>,
    capacity: BTreeMap<Kind, usize>,
}

impl fmt::Debug for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Place")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

fn kind(spec: &Spec) -> Kind {
    (spec.zone.clone(), spec.class.clone(), spec.market)
}

impl Place {
    pub(super) fn new(settings: Settings, on_event: OnEvent) -> Self {
        Self {
            settings,
            on_event,
            state: Mutex::default(),
        }
    }

    pub(super) fn set_capacity(&self, zone: name::Zone, class: name::Class, market: Market, vms: usize) {
        self.state().capacity.insert((zone, class, market), vms);
    }

    pub(super) fn remove(&self, vm: &name::Vm) -> Option<Spec> {
        self.state().vms.remove(vm)
    }

    pub(super) fn vms(&self) -> Vec<Spec> {
        self.state().vms.values().cloned().collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn start(self: &Arc<Self>, spec: Spec) -> Response {
        let mut state = self.state();
        if let Some(known) = state.vms.get(&spec.name) {
            let status = if *known == spec {
                StatusCode::ACCEPTED
            } else {
                StatusCode::CONFLICT
            };
            return Response::new(status);
        }
        let taken = state.vms.values().filter(|known| kind(known) == kind(&spec)).count();
        if state.capacity.get(&kind(&spec)).is_some_and(|room| taken >= *room) {
            return no_capacity();
        }
        state.vms.insert(spec.name.clone(), spec.clone());
        let place = Arc::clone(self);
        ntex::rt::spawn(async move {
            tokio::time::sleep(place.settings.start_delay).await;
            // It may have been stopped or reclaimed before it ran.
            let current = place.state().vms.get(&spec.name) == Some(&spec);
            if current {
                (place.on_event)(Event::Started(spec));
            }
        });
        Response::new(StatusCode::ACCEPTED)
    }

    fn stop(&self, vm: &name::Vm) -> Response {
        match self.remove(vm) {
            Some(spec) => {
                (self.on_event)(Event::Stopped(spec));
                Response::new(StatusCode::NO_CONTENT)
            }
            None => host::error(StatusCode::NOT_FOUND, "not-found", "there is no such VM"),
        }
    }
}

fn no_capacity() -> Response {
    host::error(
        StatusCode::SERVICE_UNAVAILABLE,
        "no-capacity",
        "no room for such a VM at the moment",
    )
}

impl Site for Place {
    fn kind(&self, call: &Call) -> String {
        let path = if call.path.starts_with("/vms/") {
            "/vms/NAME"
        } else {
            &call.path
        };
        format!("{} {path}", call.method)
    }

    fn answer(self: Arc<Self>, call: Call, _plan: Plan) -> Answer {
        Box::pin(async move {
            let name = call
                .path
                .strip_prefix("/vms/")
                .map(|name| name::Vm::new(host::decode(name)));
            match (&call.method, call.path.as_str(), name) {
                (&Method::POST, "/vms", _) => match call.parse() {
                    Ok(spec) => self.start(spec),
                    Err(response) => response,
                },
                (&Method::DELETE, _, Some(name)) => self.stop(&name),
                _ => host::error(StatusCode::NOT_FOUND, "not-found", "no such resource"),
            }
        })
    }

    fn refuse(&self) -> Response {
        no_capacity()
    }
}
