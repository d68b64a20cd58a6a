//! Performs the duties while this entry holds them.

use core::fmt::Display;
use core::time::Duration;
use std::collections::BTreeMap;
use std::rc::Rc;

use bergamotshift_claim::lease::Keeper;
use bergamotshift_claim::lease::Notice;
use bergamotshift_claim::lease::Settings as LeaseSettings;
use bergamotshift_core::attempt;
use bergamotshift_core::prelude::*;
use bergamotshift_core::table::Change as TableChange;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
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
use super::reports::Counts;
use super::reports::Reports;
use super::rollouts::ActiveRollout;
use crate::capacity;
use crate::capacity::Planner;
use crate::control::Control;
use crate::follow::Turn;
use crate::observe::Topic;
use crate::outside::Clients;
use crate::outside::Duties;
use crate::outside::FencingToken;
use crate::outside::Operators;
use crate::outside::Order;
use crate::outside::Usage;
use crate::random;
use crate::view::Shared;

/// Name of the duties in the store.
const DUTY: &str = "duties";

/// Partition in which reports are stored before they are sent.
const REPORTS: &str = "usage";

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

/// Counts of a window in the store.
enum Stored {
    /// The counts to report.
    Counts(Counts),
    /// The window may have been reported under counts that the store has lost.
    Lost,
}

/// Returns the row of a window's counts.
fn row_of(window: u64) -> Key {
    Key::new(REPORTS, format!("{window:012}"))
}

/// Returns the write that stores a window's counts, unless the window has some.
fn write_of(window: u64, counts: &Counts) -> Option<Write> {
    Some(Write {
        key: row_of(window),
        condition: Condition::Absent,
        change: TableChange::Put(postcard::to_stdvec(counts).ok()?),
    })
}

/// Task that performs the duties while this entry holds them.
pub(super) struct Task {
    pub(super) control: Control,
    pub(super) lease: Lease,
    duties: Rc<dyn Duties>,
    table: Rc<dyn Table>,
    planners: BTreeMap<name::Service, Planner>,
    pub(super) operators: Rc<dyn Operators>,
    /// Rollout orders that this entry directs, by service.
    pub(super) rollouts: BTreeMap<name::Service, ActiveRollout>,
    /// Number of the last order of each service whose final state is known to be reported.
    pub(super) closed_rollouts: BTreeMap<name::Service, u64>,
    /// Usage windows that were reported.
    reports: Reports,
    /// Era of the store.
    era: u64,
    /// Fencing number while the duties are held.
    pub(super) number: Option<u64>,
    /// Time since which they are held.
    held_since: Instant,
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

    /// Tells the next holder which windows were reported under a fencing number.
    fn announce_handover(&mut self, number: u64) {
        self.enter_era();
        self.control.set_handover(self.reports.hand_over(number));
    }

    /// Records the outcome of a call under the duties.
    fn record_call(&mut self, call: &'static str, outcome: &Result<(), Error>) {
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

    /// Reports the windows whose counts are complete.
    async fn report_usage(&mut self) {
        let shared = std::sync::Arc::clone(self.control.shared());
        if shared.settings.duty.usage_window_s <= 0.0 {
            return;
        }
        self.reports.close(self.control.reported());
        self.take_over();
        for window in self.reports.due(shared.tally.current()) {
            if !self.is_settled(window) {
                return;
            }
            let counts = match self.store_counts(window).await {
                Some(Stored::Counts(counts)) => counts,
                Some(Stored::Lost) => {
                    info!(shared.log.always(), "usage not reported"; "window" => window, "era" => self.era,
                        "cause" => "another entry may have reported it under counts that a restored store lost");
                    self.reports.close(window);
                    self.control.set_reported(window);
                    continue;
                }
                None => return,
            };
            let Some(token) = self.fencing_token() else {
                return;
            };
            let usage = Usage { window, counts };
            let total: u64 = usage.counts.values().sum();
            let number = token.number;
            let sent = self.lease.within(self.duties.report(token, usage)).await;
            self.record_call("usage", &sent);
            info!(shared.log.always(), "usage reported"; "window" => window, "requests" => total,
                "number" => number, "error" => sent.as_ref().err().map(ToString::to_string));
            if sent.is_err() {
                return;
            }
            self.reports.close(window);
            self.control.set_reported(window);
        }
    }

    /// Takes over what the former holder left, if nobody held the duties in between.
    fn take_over(&mut self) {
        let Some(handover) = self.control.handover() else {
            return;
        };
        if self.reports.take_over(&handover) {
            info!(self.control.shared().log.always(), "usage reports taken over"; "number" => handover.number,
                "reported" => handover.reported, "uncertain" => handover.uncertain, "former" => handover.former);
        }
    }

    /// Records that windows are uncertain if the store was restored since the last call. Returns whether it was.
    fn enter_era(&mut self) -> bool {
        let era = self.newest_era();
        if era <= self.era {
            return false;
        }
        let before = core::mem::replace(&mut self.era, era);
        if self.number.is_none() {
            let current = self.control.shared().tally.current();
            self.reports.restored(current.saturating_sub(1));
        } else {
            self.reports.restored_while_held();
        }
        info!(self.control.shared().log.always(), "usage windows uncertain"; "up_to" => self.reports.uncertain(),
            "era" => era, "before" => before, "number" => self.number);
        true
    }

    /// Stores counts again that the store may have lost in a restore, or records that another entry's may be lost.
    async fn follow_era(&mut self) {
        if !self.enter_era() || self.number.is_none() {
            return;
        }
        let writes: Vec<Write> = self
            .reports
            .all_stored()
            .filter_map(|(window, counts)| write_of(window, counts))
            .collect();
        for write in writes {
            let row = write.key.sort.clone();
            // A row that the copy contains stays as it is, and ends the write with a conflict.
            let ending = self.table.transact(vec![write]).await;
            info!(self.control.shared().log.always(), "usage stored again"; "window" => row.as_str(),
                "era" => self.era, "ending" => ?ending);
        }
    }

    /// Returns whether the other entries have reported their counts of a window.
    fn is_settled(&self, window: u64) -> bool {
        let shared = self.control.shared();
        let progress = Progress {
            since_end: shared.tally.since_end(window),
            held_for: shared.clock.now().since(self.held_since),
            is_large: self.control.is_large(),
        };
        progress.is_settled(Duration::from_secs_f64(shared.settings.duty.usage_due_s.max(0.0)))
    }

    /// Stores a window's counts, or returns those that a former holder stored.
    ///
    /// The row is written once, and only its counts are sent, so a report can be repeated only exactly, which does not
    /// count as a second one. Otherwise, if the answer to a report was lost, the holder or its successor would count
    /// again and report other numbers, and the window would be billed twice.
    ///
    /// Counts that this entry stored are stored again if a restored store lost them.
    async fn store_counts(&mut self, window: u64) -> Option<Stored> {
        let known = self.reports.stored(window).cloned();
        if known.is_none() && self.reports.is_uncertain(window) {
            let Some(row) = self.read_counts(window).await? else {
                return Some(Stored::Lost);
            };
            return self.keep_counts(window, &row);
        }
        let is_new = known.is_none();
        let counts = known.unwrap_or_else(|| self.control.usage(window));
        let write = write_of(window, &counts)?;
        if self.table.transact(vec![write]).await == Ending::Applied {
            if is_new && self.reports.may_be_reported(window) && self.newest_era() > self.era {
                self.remove_counts(window).await;
                return Some(Stored::Lost);
            }
            self.reports.store(window, counts.clone());
            return Some(Stored::Counts(counts));
        }
        let row = self.read_counts(window).await??;
        self.keep_counts(window, &row)
    }

    /// Returns the newest known era of the store. If it is later than the recorded one, rows may have been lost since.
    fn newest_era(&self) -> u64 {
        self.table.era().max(self.control.store_era())
    }

    /// Removes the counts of a window that a former holder may have reported with others, so that no later holder sends
    /// them.
    async fn remove_counts(&self, window: u64) {
        let removal = Write {
            key: row_of(window),
            condition: Condition::Any,
            change: TableChange::Delete,
        };
        let ending = self.table.transact(vec![removal]).await;
        info!(self.control.shared().log.always(), "usage counts removed"; "window" => window, "ending" => ?ending);
    }

    /// Reads the row of a window's counts; `None` when the read failed.
    async fn read_counts(&self, window: u64) -> Option<Option<Row>> {
        match self.table.get(vec![row_of(window)]).await {
            Ok(rows) => Some(rows.into_iter().next().flatten()),
            Err(error) => {
                self.log_unread_counts(window, &error);
                None
            }
        }
    }

    /// Decodes the stored counts of a window, and keeps them to store them again if a restored store loses them.
    fn keep_counts(&mut self, window: u64, row: &Row) -> Option<Stored> {
        match postcard::from_bytes::<Counts>(&row.body) {
            Ok(counts) => {
                self.reports.store(window, counts.clone());
                Some(Stored::Counts(counts))
            }
            Err(error) => {
                self.log_unread_counts(window, &error);
                None
            }
        }
    }

    fn log_unread_counts(&self, window: u64, cause: &dyn Display) {
        let shared = self.control.shared();
        if let Some((logger, left_out)) = shared.log.rate_limited(shared.clock.now(), Topic::State) {
            info!(logger, "counts not read"; "window" => window, "cause" => cause.to_string(), "left_out" => left_out);
        }
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
