//! Performs the duties while this entry holds them.

use core::time::Duration;
use std::collections::BTreeMap;
use std::rc::Rc;

use bergamotshift_claim::lease::Keeper;
use bergamotshift_claim::lease::Notice;
use bergamotshift_claim::lease::Settings as LeaseSettings;
use bergamotshift_core::attempt;
use bergamotshift_core::prelude::*;
use bergamotshift_platform::Error;
use bergamotshift_platform::table::Table;
use rand::Rng;
use slog::info;
use smol_str::SmolStr;

use super::clock::Clock;
use super::lease::Change;
use super::lease::Lease;
use super::reports::Reports;
use super::rollouts::ActiveRollout;
use crate::capacity;
use crate::capacity::Planner;
use crate::control::Control;
use crate::follow::Turn;
use crate::outside::Clients;
use crate::outside::Duties;
use crate::outside::FencingToken;
use crate::outside::Operators;
use crate::outside::Order;
use crate::random;
use crate::view::Shared;

/// Name of the duties in the store.
const DUTY: &str = "duties";

/// Interval at which the lease and the due work are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Time by which a lease exceeds the span in which the platform must not receive calls of two holders.
const LEASE_MARGIN: Duration = Duration::from_millis(500);

/// Number of entries that watch a lease without a known holder.
const MAX_WATCHERS: usize = 3;

/// Performs the duties for as long as the process lives.
pub async fn run(control: Control, clients: Clients) {
    let Some(duties) = clients.duties else {
        return;
    };
    let shared = std::sync::Arc::clone(control.shared());
    let clock = Clock::new({
        let clock = shared.clock;
        move || clock.now()
    });
    let length = Duration::from_millis(shared.settings.duty.lease_ms);
    let lease_settings = LeaseSettings {
        // A successor acts once the row has not changed for this long. By then, the former holder has not acted for
        // longer than the margin, and the time between the calls of both is longer than the platform requires.
        length: lease_length(&shared),
        renewal_interval: length / 3,
        margin: Duration::from_millis(700),
        max_order_delay: Duration::from_millis(300),
        poll_interval: length / 4,
        backoff_limit: length / 3,
        jitter_percent: 30,
        cooldown_until: clock.now() + lease_length(&shared),
    };
    let mut generator = random::generator();
    let life = attempt::Id::new(u128::from(generator.next_u64()) << 64 | u128::from(generator.next_u64()));
    let keeper = Keeper::new(
        lease_settings,
        SmolStr::new_static(DUTY),
        shared.settings.name.clone(),
        life,
    );
    let lease = Lease::new(keeper, Rc::clone(&clients.table), clock, generator);
    let mut task = Task {
        control,
        lease,
        duties,
        table: clients.table,
        planners: BTreeMap::new(),
        operators: clients.operators,
        rollouts: BTreeMap::new(),
        closed_rollouts: BTreeMap::new(),
        reports: Reports::new(Duration::from_secs_f64(shared.settings.duty.usage_window_s.max(0.0))),
        era: 0,
        number: None,
        held_since: Instant::ZERO,
        is_answered: true,
        is_lease_unreachable: false,
    };
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        task.poll().await;
    }
}

/// Returns the time for which a lease is valid without renewal.
fn lease_length(shared: &Shared) -> Duration {
    Duration::from_millis(shared.settings.duty.lease_ms) + LEASE_MARGIN
}

/// Task that performs the duties while this entry holds them.
pub(super) struct Task {
    pub(super) control: Control,
    pub(super) lease: Lease,
    pub(super) duties: Rc<dyn Duties>,
    pub(super) table: Rc<dyn Table>,
    planners: BTreeMap<name::Service, Planner>,
    pub(super) operators: Rc<dyn Operators>,
    /// Rollout orders that this entry directs, by service.
    pub(super) rollouts: BTreeMap<name::Service, ActiveRollout>,
    /// Number of the last order of each service whose final state is known to be reported.
    pub(super) closed_rollouts: BTreeMap<name::Service, u64>,
    /// Usage windows that were reported.
    pub(super) reports: Reports,
    /// Era of the store.
    pub(super) era: u64,
    /// Fencing number while the duties are held.
    pub(super) number: Option<u64>,
    /// Time since which they are held.
    pub(super) held_since: Instant,
    /// Whether the last call under the duties had an answer; one without an answer may still be executed.
    is_answered: bool,
    /// Whether the lease's last call to the table had no answer.
    is_lease_unreachable: bool,
}

impl Task {
    async fn poll(&mut self) {
        let shared = std::sync::Arc::clone(self.control.shared());
        if shared.is_stopping() {
            self.release().await;
            return;
        }
        // Orders come before the renewal of the lease, which waits for the store. If the store does not answer while a
        // zone is reclaimed, nothing would otherwise be ordered for the zone until the lease has expired.
        if self.fencing_token().is_some() {
            self.order_endpoints().await;
        }
        if let Some(notice) = self.control.take_lease_notice() {
            self.lease.receive(notice).await;
        }
        self.follow_era().await;
        // The holder of the duties announces itself to all entries. Only without a known holder, the first few entries
        // watch the lease.
        if self.number.is_none() && (self.control.is_held_elsewhere() || !self.is_watcher()) {
            return;
        }
        let changes = self.lease.step().await;
        self.apply(changes);
        self.log_lease_failure();
        self.hand_over().await;
        // An entry announces itself as the holder only as long as it may act. Otherwise a holder that cannot reach the
        // store would go on doing so, no entry would take over the duties, and nothing would be reported.
        self.control
            .set_duties(self.fencing_token().is_some(), self.lease.notice());
        if self.fencing_token().is_some() {
            self.direct_rollouts().await;
        }
        // The calls above may have been the first ones that a restored store answered.
        self.follow_era().await;
        if self.fencing_token().is_some() {
            self.report_usage().await;
        }
    }

    /// Returns whether this entry watches a lease without a known holder. In a large fleet, only readers of the store do.
    fn is_watcher(&self) -> bool {
        matches!(self.control.turn(), Turn::Reader(before) if before < MAX_WATCHERS)
    }

    fn apply(&mut self, changes: Vec<Change>) {
        let shared = std::sync::Arc::clone(self.control.shared());
        for change in changes {
            let was_held = self.number.is_some();
            self.number = match change {
                Change::Begun(number) => Some(number),
                Change::Ended => None,
            };
            // A holder that got another number, as the store was restored, goes on as before.
            if let Some(number) = self.number.filter(|_| !was_held) {
                self.reports.begin(shared.tally.current().saturating_sub(1), number);
            }
            if !was_held || self.number.is_none() {
                self.held_since = shared.clock.now();
                self.planners.clear();
                self.rollouts.clear();
            }
            info!(shared.log.always(), "duties"; "held" => self.number.is_some(), "number" => self.number);
        }
    }

    /// Gives up the duties when the store refuses this entry and serves others.
    ///
    /// A holder that announces this is followed by another entry within a second. If it let its lease expire instead,
    /// watchers would wait for the lease's length once more, and for six seconds no entry would order endpoints or
    /// report usage; when three zones were reclaimed meanwhile, half of the callers were late.
    ///
    /// While the store answers no entry, the holder keeps the duties, since none could take its place. So does one
    /// whose last call had no answer, since that call may still be executed.
    async fn hand_over(&mut self) {
        let is_refused = self.is_answered && self.lease.failure().is_some();
        let Some(number) = self.number.filter(|_| is_refused) else {
            return;
        };
        let remaining = self.lease.remaining();
        if remaining >= lease_length(self.control.shared()) / 2 || !self.control.others_reach_store() {
            return;
        }
        info!(self.control.shared().log.always(), "duties given up"; "number" => number,
            "left_ms" => remaining.as_millis() as u64, "cause" => self.lease.failure().map(ToString::to_string));
        self.announce_handover(number);
        let changes = self.lease.give_up().await;
        self.apply(changes);
    }

    /// Logs when the lease's row can no longer be read and written, and when it can again; meanwhile, no duty is
    /// performed.
    fn log_lease_failure(&mut self) {
        let failure = self.lease.failure();
        if failure.is_some() == self.is_lease_unreachable {
            return;
        }
        self.is_lease_unreachable = failure.is_some();
        let log = &self.control.shared().log;
        match failure {
            Some(cause) => info!(log.always(), "dependency lost"; "call" => "lease", "cause" => %cause),
            None => info!(log.always(), "dependency regained"; "call" => "lease"),
        }
    }

    /// Gives up the duties for good, as this entry stops.
    ///
    /// A released lease is taken with the next poll of another entry. If it had to expire, no entry would report usage
    /// or order endpoints for ten seconds, as in a large fleet it takes seconds until another one watches the lease. A
    /// lease under which the last call had no answer has to expire all the same, since that call may still be executed.
    async fn release(&mut self) {
        if let Some(number) = self.number.filter(|_| self.is_answered) {
            self.announce_handover(number);
        }
        let number = self.number.take();
        // The store may not answer. An entry that receives this notice need not wait until the lease has expired.
        let notice = number
            .filter(|_| self.is_answered)
            .map(|number| Notice::GaveUp { number });
        self.control.set_duties(false, notice);
        let Some(number) = number else {
            return;
        };
        if self.is_answered {
            self.lease.resign().await;
        }
        info!(self.control.shared().log.always(), "duties"; "held" => false, "number" => number,
            "given_back" => self.is_answered);
    }

    /// Records the outcome of a call under the duties.
    pub(super) fn record_call(&mut self, call: &'static str, outcome: &Result<(), Error>) {
        self.is_answered = matches!(outcome, Ok(()) | Err(Error::NoCapacity | Error::Refused(_)));
        self.control.shared().metrics.count_call(call, outcome.is_ok());
    }

    /// Returns the fencing token for one call now, or `None` if no call may be made.
    pub(super) fn fencing_token(&self) -> Option<FencingToken> {
        let number = self.lease.permit(false)?;
        Some(FencingToken {
            entry: self.control.shared().settings.name.clone(),
            number,
        })
    }

    /// Orders endpoints where their number differs from the plan.
    async fn order_endpoints(&mut self) {
        let shared = std::sync::Arc::clone(self.control.shared());
        let document = self.control.document();
        let endpoints = self.control.endpoints();
        for service in &document.services {
            let Some(scale) = &service.scale else { continue };
            let mut present: BTreeMap<name::Zone, capacity::Counts> = BTreeMap::new();
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
                present.entry(zone).or_default().rolling_out = count;
            }
            let now = shared.clock.now();
            let planner = self.planners.entry(service.name.clone());
            let planner = planner.or_insert_with(|| Planner::new(shared.settings.capacity));
            let demand = self.control.prompt_demand(&service.name);
            let orders = planner.plan(now, &service.name, scale, &present, demand);
            for order in orders {
                self.place_order(order).await;
            }
        }
    }

    async fn place_order(&mut self, order: Order) {
        let shared = std::sync::Arc::clone(self.control.shared());
        let Some(token) = self.fencing_token() else {
            if let Some(planner) = self.planners.get_mut(&order.service) {
                planner.failed(&order);
            }
            return;
        };
        let placed = self.lease.within(self.duties.order(token, order.clone())).await;
        self.record_call("order", &placed);
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
