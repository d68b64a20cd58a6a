//! Does the duties while this entry holds them.

use core::time::Duration;
use std::collections::BTreeMap;
use std::rc::Rc;

use bergamotshift_claim::lease::Keeper;
use bergamotshift_claim::lease::Settings as Keeping;
use bergamotshift_claim::lease::Word;
use bergamotshift_core::attempt;
use bergamotshift_core::prelude::*;
use bergamotshift_core::table::Change as Put;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Write;
use bergamotshift_platform::Error;
use bergamotshift_platform::table::Table;
use rand::Rng;
use slog::info;
use smol_str::SmolStr;

use super::clock::Clock;
use super::lease::Change;
use super::lease::Lease;
use super::progress::Progress;
use super::rollouts::Directed;
use crate::capacity::Planner;
use crate::capacity::Present;
use crate::control::Control;
use crate::outside::Clients;
use crate::outside::Duties;
use crate::outside::FencingToken;
use crate::outside::Operators;
use crate::outside::Order;
use crate::outside::Usage;
use crate::random;
use crate::view::Shared;

/// The name of the duties in the store.
const DUTY: &str = "duties";

/// The partition in which reports are written down before they are sent.
const REPORTS: &str = "usage";

/// The time between two looks at the lease and at what is due.
const LOOK: Duration = Duration::from_millis(250);

/// The oldest window that is still reported, counted back from the current one.
const OLDEST: u64 = 3;

/// What a lease lasts beyond the time within which the platform wants no two holders' calls mixed.
const MARGIN: Duration = Duration::from_millis(500);

/// How many entries look at a lease that nobody is heard to hold.
const WATCHERS: usize = 3;

/// Does the duties for as long as the process lives.
pub async fn run(control: Control, outside: Clients) {
    let Some(duties) = outside.duties else {
        return;
    };
    let shared = std::sync::Arc::clone(control.shared());
    let clock = Clock::new({
        let clock = shared.clock;
        move || clock.now()
    });
    let length = Duration::from_millis(shared.settings.duty.lease_ms);
    let keeping = Keeping {
        // A successor acts when the row stood still for this long, so the holder before has not acted for longer than
        // the margin; and the time between two holders' acts is longer than the platform asks.
        length: lease_length(&shared),
        renewal: length / 3,
        margin: Duration::from_millis(700),
        pause: Duration::from_millis(300),
        watch: length / 4,
        backoff_limit: length / 3,
        jitter: 30,
        young_until: clock.now() + lease_length(&shared),
    };
    let mut generator = random::generator();
    let life = attempt::Id::new(u128::from(generator.next_u64()) << 64 | u128::from(generator.next_u64()));
    let keeper = Keeper::new(keeping, SmolStr::new_static(DUTY), shared.settings.name.clone(), life);
    let lease = Lease::new(keeper, Rc::clone(&outside.table), clock, generator);
    let mut work = Work {
        control,
        lease,
        duties,
        table: outside.table,
        planners: BTreeMap::new(),
        operators: outside.operators,
        directors: BTreeMap::new(),
        reported: 0,
        number: None,
        since: Instant::ZERO,
        is_answered: true,
        is_lease_lost: false,
    };
    loop {
        tokio::time::sleep(LOOK).await;
        work.look().await;
    }
}

/// Returns how long a holder's lease stands without renewal.
fn lease_length(shared: &Shared) -> Duration {
    Duration::from_millis(shared.settings.duty.lease_ms) + MARGIN
}

/// What the holder of the duties works with.
pub(super) struct Work {
    pub(super) control: Control,
    pub(super) lease: Lease,
    duties: Rc<dyn Duties>,
    table: Rc<dyn Table>,
    planners: BTreeMap<name::Service, Planner>,
    pub(super) operators: Rc<dyn Operators>,
    /// The orders that this entry directs.
    pub(super) directors: BTreeMap<name::Service, Directed>,
    /// The last window that was reported.
    reported: u64,
    /// The fencing number while the duties are held.
    pub(super) number: Option<u64>,
    /// Since when they are.
    since: Instant,
    /// Whether the last call under the duties had an answer; one without may still be carried out.
    is_answered: bool,
    /// Whether the lease's last call had no answer.
    is_lease_lost: bool,
}

impl Work {
    async fn look(&mut self) {
        let shared = std::sync::Arc::clone(self.control.shared());
        if shared.is_stopping() {
            self.leave().await;
            return;
        }
        // Failure: the store is silent, and each renewal of the lease waits for it. Symptom: a zone is reclaimed meanwhile,
        // and nothing is ordered for it until the lease has lapsed. While the lease stands, orders come first.
        if self.holder().is_some() {
            self.order().await;
        }
        if let Some(word) = self.control.take_lease_notice() {
            self.lease.heard(word).await;
        }
        // Who holds the duties says so to all; only when nobody does, the first ones look at the lease.
        if self.number.is_none() && (self.control.is_held_elsewhere() || self.control.rank() >= WATCHERS) {
            return;
        }
        let changes = self.lease.step().await;
        self.changed(changes);
        self.note_lease();
        self.hand_over().await;
        // Failure: a holder that cannot reach the store goes on saying that it holds the duties. Symptom: nobody takes
        // them over, and nothing is reported. It says so only as long as it may act.
        self.control.set_duties(self.holder().is_some(), self.lease.word());
        if self.holder().is_some() {
            self.roll_out().await;
        }
        if self.holder().is_some() {
            self.report().await;
        }
    }

    fn changed(&mut self, changes: Vec<Change>) {
        let shared = std::sync::Arc::clone(self.control.shared());
        for change in changes {
            self.number = match change {
                Change::Begun(number) => {
                    self.since = shared.clock.now();
                    Some(number)
                }
                Change::Ended => None,
            };
            self.planners.clear();
            self.directors.clear();
            info!(shared.log.always(), "duties"; "held" => self.number.is_some(), "number" => self.number);
        }
    }

    /// Gives the duties up when the store turns this entry away and serves others.
    ///
    /// Failure: the store turns the holder's VM away, its lease lapses, and whoever watches waits the lease out once more.
    /// Symptom: for six seconds nobody orders endpoints or reports usage; three zones were reclaimed meanwhile, and half
    /// of the callers were late. A holder that is known to be the only one says so, and another entry goes on within a
    /// second. While the store answers nobody it holds on, since nobody could take its place; and a holder whose last call
    /// had no answer holds on too, since that call may still be carried out.
    async fn hand_over(&mut self) {
        let is_turned_away = self.is_answered && self.lease.failure().is_some();
        let Some(number) = self.number.filter(|_| is_turned_away) else {
            return;
        };
        let left = self.lease.left();
        if left >= lease_length(self.control.shared()) / 2 || !self.control.others_reach_store() {
            return;
        }
        info!(self.control.shared().log.always(), "duties given up"; "number" => number,
            "left_ms" => left.as_millis() as u64, "cause" => self.lease.failure().map(ToString::to_string));
        let changes = self.lease.give_up().await;
        self.changed(changes);
    }

    /// Logs when the lease's row stops or begins to be read and written; without it, the duties stand still.
    fn note_lease(&mut self) {
        let failure = self.lease.failure();
        if failure.is_some() == self.is_lease_lost {
            return;
        }
        self.is_lease_lost = failure.is_some();
        let log = &self.control.shared().log;
        match failure {
            Some(cause) => info!(log.always(), "dependency lost"; "call" => "lease", "cause" => %cause),
            None => info!(log.always(), "dependency regained"; "call" => "lease"),
        }
    }

    /// Gives the duties up for good.
    ///
    /// Failure: a holder that stops lets its lease lapse, and in a large fleet it takes seconds until another entry
    /// looks. Symptom: for ten seconds nobody reports usage or orders endpoints. A lease that is given back is taken
    /// with the next look. One whose last call had no answer lapses all the same: the call may still be carried out.
    async fn leave(&mut self) {
        let number = self.number.take();
        // The store may not answer; whoever hears this need not wait until the lease has lapsed.
        let word = number
            .filter(|_| self.is_answered)
            .map(|number| Word::GaveUp { number });
        self.control.set_duties(false, word);
        let Some(number) = number else {
            return;
        };
        if self.is_answered {
            self.lease.resign().await;
        }
        info!(self.control.shared().log.always(), "duties"; "held" => false, "number" => number,
            "given_back" => self.is_answered);
    }

    /// Notes how a call under the duties ended.
    fn called(&mut self, call: &'static str, ending: &Result<(), Error>) {
        self.is_answered = matches!(ending, Ok(()) | Err(Error::NoCapacity | Error::Refused(_)));
        self.control.shared().metrics.called(call, ending.is_ok());
    }

    /// Returns the right to make one call now.
    pub(super) fn holder(&self) -> Option<FencingToken> {
        let number = self.lease.permit(false)?;
        Some(FencingToken {
            entry: self.control.shared().settings.name.clone(),
            number,
        })
    }

    /// Reports the windows whose counts are complete.
    async fn report(&mut self) {
        let shared = std::sync::Arc::clone(self.control.shared());
        if shared.settings.duty.usage_window_s <= 0.0 {
            return;
        }
        let current = shared.tally.current();
        let first = (self.reported + 1).max(current.saturating_sub(OLDEST));
        for window in first..current {
            if !self.is_settled(window) {
                return;
            }
            let Some(counts) = self.write_down(window).await else {
                return;
            };
            let Some(holder) = self.holder() else {
                return;
            };
            let usage = Usage { window, counts };
            let total: u64 = usage.counts.values().sum();
            let number = holder.number;
            let sent = self.lease.within(self.duties.report(holder, usage)).await;
            self.called("usage", &sent);
            info!(shared.log.always(), "usage reported"; "window" => window, "requests" => total,
                "number" => number, "error" => sent.as_ref().err().map(ToString::to_string));
            if sent.is_err() {
                return;
            }
            self.reported = window;
        }
    }

    /// Returns whether the others have told their counts of a window.
    fn is_settled(&self, window: u64) -> bool {
        let shared = self.control.shared();
        let progress = Progress {
            since_end: shared.tally.since_end(window),
            held: shared.clock.now().since(self.since),
            is_large: self.control.is_large(),
        };
        progress.is_settled(Duration::from_secs_f64(shared.settings.duty.usage_due_s.max(0.0)))
    }

    /// Writes a window's counts down, or reads those that a holder before wrote.
    ///
    /// Failure: a holder reports a window, its answer is lost, and it or its successor counts anew and reports other
    /// figures. Symptom: the window is billed twice with different counts. What is sent is what the row says, and the
    /// row is written once; that is enough, since an exact repeat is no second report.
    async fn write_down(&self, window: u64) -> Option<BTreeMap<name::Organisation, u64>> {
        let key = Key::new(REPORTS, format!("{window:012}"));
        let counts = self.control.usage(window);
        let body = postcard::to_stdvec(&counts).ok()?;
        let write = Write {
            key: key.clone(),
            condition: Condition::Absent,
            change: Put::Put(body),
        };
        if self.table.transact(vec![write]).await == Ending::Applied {
            return Some(counts);
        }
        let rows = self.table.get(vec![key]).await.ok()?;
        let row = rows.into_iter().next().flatten()?;
        postcard::from_bytes(&row.body).ok()
    }

    /// Orders endpoints where their number is not as planned.
    async fn order(&mut self) {
        let shared = std::sync::Arc::clone(self.control.shared());
        let document = self.control.document();
        let endpoints = self.control.endpoints();
        for service in &document.services {
            let Some(scale) = &service.scale else { continue };
            let mut present: BTreeMap<name::Zone, Present> = BTreeMap::new();
            let own = endpoints
                .iter()
                .filter(|endpoint| endpoint.registration.service == service.name);
            let own = own.filter(|endpoint| self.control.is_stable(&endpoint.registration));
            for endpoint in own {
                let here = present.entry(endpoint.registration.zone.clone()).or_default();
                match endpoint.registration.market {
                    Market::OnDemand => here.on_demand += 1,
                    Market::Reclaimable => here.reclaimable += 1,
                }
            }
            for (zone, count) in self.control.unstable_endpoints(&service.name) {
                present.entry(zone).or_default().foreign = count;
            }
            let now = shared.clock.now();
            let planner = self.planners.entry(service.name.clone());
            let planner = planner.or_insert_with(|| Planner::new(shared.settings.capacity));
            let reading = self.control.prompt_demand(&service.name);
            let orders = planner.plan(now, &service.name, scale, &present, reading);
            for order in orders {
                self.place(order).await;
            }
        }
    }

    async fn place(&mut self, order: Order) {
        let shared = std::sync::Arc::clone(self.control.shared());
        let Some(holder) = self.holder() else {
            if let Some(planner) = self.planners.get_mut(&order.service) {
                planner.failed(&order);
            }
            return;
        };
        let placed = self.lease.within(self.duties.order(holder, order.clone())).await;
        self.called("order", &placed);
        info!(shared.log.always(), "endpoints ordered"; "service" => order.service.as_str(),
            "zone" => order.zone.as_str(), "market" => ?order.market, "count" => order.count,
            "error" => placed.as_ref().err().map(ToString::to_string));
        let Some(planner) = self.planners.get_mut(&order.service) else {
            return;
        };
        match placed {
            Ok(()) => planner.accepted(&order),
            Err(Error::NoCapacity) => planner.refused(shared.clock.now(), &order),
            Err(_) => planner.failed(&order),
        }
    }
}
