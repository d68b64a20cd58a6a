//! Model of the acceptance protocol that enumerates every order of events of its state machines.

use core::hash::Hash;
use core::time::Duration;
use std::collections::BTreeMap;
use std::sync::Arc;

use bergamotshift_config::accept::Member;
use bergamotshift_config::accept::Proposer;
use bergamotshift_config::accept::Timing;
use bergamotshift_config::accept::View;
use bergamotshift_config::accept::member;
use bergamotshift_config::accept::proposer;
use bergamotshift_config::accept::proposer::Outcome;
use bergamotshift_config::accept::record;
use bergamotshift_config::accept::record::Revision;
use bergamotshift_config::digest::Digest;
use bergamotshift_config::manifest::Manifest;
use bergamotshift_core::prelude::*;
use bergamotshift_core::table::Change;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::table::Table;

mod bounds;
mod rules;
mod start;

pub use bounds::Bounds;
pub use bounds::Defect;
pub use bounds::Rule;
use bounds::break_writes;
use bounds::mark_proposal_as_accepted;

/// Zones, with one entry each.
pub const ZONES: [&str; 2] = ["zone-0", "zone-1"];

/// Duration of one step of the clock.
const STEP: Duration = Duration::from_secs(1);

/// Call to the platform that is in flight.
///
/// A read of several rows is no snapshot: each step reads one more row, in the order of the keys, and the rows that were
/// read before may have changed by then.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Call {
    Read(Vec<Key>, Vec<Option<Row>>),
    Write(Vec<Write>),
    Fetch(Digest),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Operator {
    /// State machine of the operator; `None` once it has finished.
    proposer: Option<Proposer>,
    call: Option<Call>,
    outcome: Option<Outcome>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    member: Member,
    calls: Vec<Call>,
    in_force: Option<Revision>,
}

/// State of the whole model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    now: Instant,
    table: Table,
    objects: Arc<BTreeMap<Digest, Manifest>>,
    operators: Vec<Operator>,
    entries: Vec<Entry>,
    /// Write whose sender got no response, and which may still take effect.
    delayed_write: Option<Vec<Write>>,
    /// Whether the last zone is cut off from the platform and the other zone.
    is_cut: bool,
    /// Time at which the stage row of each zone last changed.
    stage_changed_at: [Instant; 2],
    /// Time at which the proposal was written into the head.
    proposed_at: Instant,
    /// Number of steps and faults of each kind that may still occur.
    remaining: [u8; 5],
}

// Indexes into `State::remaining`.
const STEPS: usize = 0;
const LOST: usize = 1;
const DELAYED: usize = 2;
const CUTS: usize = 3;
const RESTARTS: usize = 4;

/// Step from one state to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Clock,
    OperatorCall(usize, Delivery),
    EntryCall(usize, usize),
    Announce { from: usize, to: usize },
    Restart(usize),
    Cut,
    Heal,
    DelayedWrite,
}

/// Delivery of a call and its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    Answered,
    /// The call took effect, but its response was lost.
    ResponseLost,
    /// The call was lost.
    RequestLost,
    /// The sender gave up, but the call may still take effect.
    Delayed,
}

/// Returns the timing of the model: reads may happen at any time, other durations are multiples of a clock step.
fn timing() -> Timing {
    Timing {
        poll_interval: Duration::ZERO,
        idle_poll_interval: Duration::ZERO,
        max_backoff: Duration::ZERO,
        standby_delay: Duration::ZERO,
        heartbeat_interval: STEP,
        announce_interval: Duration::MAX,
        watch_interval: Duration::ZERO,
        zone_timeout: STEP,
        staging_timeout: STEP * 2,
        takeover_timeout: STEP,
        turn_timeout: STEP * 2,
        ..Timing::default()
    }
}

fn rng() -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(0)
}

fn json(body: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(body).expect("rows are JSON")
}

impl State {
    /// Returns the state after each possible step, or the rule that the step violates.
    pub fn next(&self, bounds: &Bounds) -> impl Iterator<Item = Result<Self, Rule>> {
        self.steps(bounds).into_iter().map(move |step| {
            let mut next = self.clone();
            next.apply(step, bounds)?;
            next.check(self, bounds)?;
            Ok(next)
        })
    }

    fn steps(&self, bounds: &Bounds) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.remaining[STEPS] > 0 {
            steps.push(Step::Clock);
        }
        for (index, operator) in self.operators.iter().enumerate() {
            if let Some(call) = &operator.call {
                steps.extend(
                    self.deliveries(call)
                        .map(|delivery| Step::OperatorCall(index, delivery)),
                );
            }
        }
        for (index, entry) in self.entries.iter().enumerate() {
            let is_unreachable = self.is_cut && index == ZONES.len() - 1;
            let calls = if is_unreachable { 0 } else { entry.calls.len() };
            steps.extend((0..calls).map(|call| Step::EntryCall(index, call)));
            let other = 1 - index;
            if bounds.gossip && !self.is_cut && entry.member.view().row > self.entries[other].member.view().row {
                steps.push(Step::Announce { from: index, to: other });
            }
            if index == ZONES.len() - 1 && self.remaining[RESTARTS] > 0 {
                steps.push(Step::Restart(index));
            }
        }
        if !self.is_cut && self.remaining[CUTS] > 0 {
            steps.push(Step::Cut);
        }
        if self.is_cut {
            steps.push(Step::Heal);
        }
        if self.delayed_write.is_some() {
            steps.push(Step::DelayedWrite);
        }
        steps
    }

    fn deliveries(&self, call: &Call) -> impl Iterator<Item = Delivery> + use<> {
        let is_write = matches!(call, Call::Write(_));
        let may_be_lost = is_write && self.remaining[LOST] > 0;
        let may_be_delayed = is_write && self.remaining[DELAYED] > 0;
        let deliveries = [
            (true, Delivery::Answered),
            (may_be_lost, Delivery::ResponseLost),
            (may_be_lost, Delivery::RequestLost),
            (may_be_delayed, Delivery::Delayed),
        ];
        deliveries
            .into_iter()
            .filter(|(possible, _)| *possible)
            .map(|(_, delivery)| delivery)
    }

    fn apply(&mut self, step: Step, bounds: &Bounds) -> Result<(), Rule> {
        match step {
            Step::Clock => {
                self.remaining[STEPS] -= 1;
                self.now = self.now + STEP;
                (0..self.entries.len()).try_for_each(|entry| self.step_entry(entry, member::Event::Tick, bounds))?;
                (0..self.operators.len())
                    .try_for_each(|operator| self.step_operator(operator, proposer::Event::Tick, bounds))
            }
            Step::OperatorCall(index, delivery) => self.serve_operator(index, delivery, bounds),
            Step::EntryCall(index, call) => self.serve_entry(index, call, bounds),
            Step::Announce { from, to } => {
                let announcement = self.entries[from].member.announcement();
                let from = name::Entry::new(from.to_string());
                self.step_entry(to, member::Event::Announced { from, announcement }, bounds)
            }
            Step::Restart(index) => {
                self.remaining[RESTARTS] -= 1;
                let member = self.new_member(index);
                let entry = &mut self.entries[index];
                entry.member = member;
                entry.calls.clear();
                if bounds.defect != Some(Defect::ForgetsVersion) {
                    entry.in_force = None;
                }
                self.step_entry(index, member::Event::Tick, bounds)
            }
            Step::Cut => {
                self.remaining[CUTS] -= 1;
                self.is_cut = true;
                Ok(())
            }
            Step::Heal => {
                self.is_cut = false;
                Ok(())
            }
            Step::DelayedWrite => {
                let writes = self.delayed_write.take().unwrap_or_default();
                self.transact(&writes, bounds).map(|_| ())
            }
        }
    }

    /// Passes an event to an operator, and answers at once what does not depend on other participants: ticks, stores and
    /// fetches.
    fn step_operator(&mut self, index: usize, event: proposer::Event, bounds: &Bounds) -> Result<(), Rule> {
        let Some(mut proposer) = self.operators[index].proposer.take() else {
            return Ok(());
        };
        let mut events = vec![event];
        let mut published = None;
        let mut outcome = None;
        while let Some(event) = events.pop() {
            for action in proposer.handle(self.now, event) {
                match action {
                    proposer::Action::Read(keys) => self.operators[index].call = Some(Call::Read(keys, Vec::new())),
                    proposer::Action::Write(writes) => self.operators[index].call = Some(Call::Write(writes)),
                    proposer::Action::Fetch(digest) => {
                        events.push(proposer::Event::Fetched(self.objects[&digest].clone()));
                    }
                    proposer::Action::Store(content) => {
                        Arc::make_mut(&mut self.objects).insert(content.digest(), content);
                        events.push(proposer::Event::Stored);
                    }
                    proposer::Action::Publish(view) => published = Some(view),
                    proposer::Action::Finish(end) => outcome = Some(end),
                }
            }
            if proposer.wake().is_some_and(|wake| wake <= self.now) {
                events.push(proposer::Event::Tick);
            }
        }
        self.operators[index].proposer = outcome.is_none().then_some(proposer);
        self.operators[index].outcome = outcome;
        // Both operators use the entry of the first zone.
        published.map_or(Ok(()), |view: View| {
            self.step_entry(0, member::Event::Published(view), bounds)
        })
    }

    fn step_entry(&mut self, index: usize, event: member::Event, bounds: &Bounds) -> Result<(), Rule> {
        const REPEATS: usize = 3;
        let Some(entry) = self.entries.get_mut(index) else {
            return Ok(());
        };
        let mut actions = entry.member.handle(self.now, event, &mut rng());
        // Repeated announcements need not be modelled, because an announcement may be received in any state.
        for _ in 0..REPEATS {
            actions.extend(entry.member.handle(self.now, member::Event::Tick, &mut rng()));
        }
        let mut fetched = Vec::new();
        for action in actions {
            match action {
                member::Action::Read(keys) => entry.calls.push(Call::Read(keys, Vec::new())),
                member::Action::Write(writes) => entry.calls.push(Call::Write(writes)),
                member::Action::Fetch { digest, .. } if index == 0 => fetched.push(self.objects[&digest].clone()),
                member::Action::Fetch { digest, .. } => entry.calls.push(Call::Fetch(digest)),
                member::Action::Announce(_) | member::Action::Reply { .. } => {}
                member::Action::Switch { revision, .. } => {
                    let is_higher = entry.in_force.is_none_or(|before| before.version < revision.version);
                    bounds.check(Rule::Monotonic, is_higher)?;
                    entry.in_force = Some(revision);
                }
                member::Action::Reject { reason, .. } => panic!("a folder of the model was rejected: {reason}"),
            }
        }
        entry.calls.sort_unstable_by_key(|call| match call {
            Call::Read(..) => 0,
            Call::Write(_) => 1,
            Call::Fetch(_) => 2,
        });
        // The entry of the first zone gets content at once; that of the last zone may wait for it for any time.
        fetched
            .into_iter()
            .try_for_each(|content| self.step_entry(index, member::Event::Fetched(content), bounds))
    }

    fn serve_operator(&mut self, index: usize, delivery: Delivery, bounds: &Bounds) -> Result<(), Rule> {
        let Some(mut call) = self.operators[index].call.take() else {
            return Ok(());
        };
        if let Call::Write(writes) = &mut call {
            break_writes(writes, bounds.defect);
        }
        let event = match self.serve(call, delivery, bounds)? {
            Reply::More(call) => {
                self.operators[index].call = Some(call);
                return Ok(());
            }
            Reply::Rows(keys, mut rows) => {
                if bounds.defect == Some(Defect::NoRecord) {
                    for (_, row) in keys
                        .iter()
                        .zip(&mut rows)
                        .filter(|(key, _)| key.partition == record::VERSIONS)
                    {
                        *row = None;
                    }
                }
                proposer::Event::Rows(rows)
            }
            Reply::Ended(ending) => proposer::Event::Ended(ending),
            Reply::Content(_) => return Ok(()),
        };
        self.step_operator(index, event, bounds)
    }

    fn serve_entry(&mut self, index: usize, call: usize, bounds: &Bounds) -> Result<(), Rule> {
        let call = self.entries[index].calls.remove(call);
        let reply = match self.serve(call, Delivery::Answered, bounds)? {
            // The two rows that an entry reads are independent, so it makes no difference when each is read.
            Reply::More(call) => self.serve(call, Delivery::Answered, bounds)?,
            reply => reply,
        };
        let event = match reply {
            Reply::More(_) => return Ok(()),
            Reply::Rows(_, mut rows) => {
                if bounds.defect == Some(Defect::AppliesProposal) {
                    mark_proposal_as_accepted(&mut rows);
                }
                member::Event::Rows(rows)
            }
            Reply::Ended(ending) => member::Event::Ended(ending),
            Reply::Content(content) => member::Event::Fetched(content),
        };
        self.step_entry(index, event, bounds)
    }

    fn serve(&mut self, call: Call, delivery: Delivery, bounds: &Bounds) -> Result<Reply, Rule> {
        Ok(match call {
            Call::Read(keys, mut rows) => {
                rows.push(self.table.get(&keys[rows.len()]));
                if rows.len() < keys.len() {
                    Reply::More(Call::Read(keys, rows))
                } else {
                    Reply::Rows(keys, rows)
                }
            }
            Call::Write(writes) => Reply::Ended(match delivery {
                Delivery::Answered => self.transact(&writes, bounds)?,
                Delivery::ResponseLost => {
                    self.remaining[LOST] -= 1;
                    self.transact(&writes, bounds)?;
                    Ending::Unknown
                }
                Delivery::RequestLost => {
                    self.remaining[LOST] -= 1;
                    Ending::Unknown
                }
                Delivery::Delayed => {
                    self.remaining[DELAYED] -= 1;
                    self.delayed_write = Some(writes);
                    Ending::Unknown
                }
            }),
            Call::Fetch(digest) => Reply::Content(self.objects[&digest].clone()),
        })
    }

    fn transact(&mut self, writes: &[Write], bounds: &Bounds) -> Result<Ending, Rule> {
        let before = self.head().proposed;
        let ending = self.table.transact(writes);
        if ending != Ending::Applied {
            return Ok(ending);
        }
        for (zone, changed_at) in ZONES.iter().zip(&mut self.stage_changed_at) {
            let key = record::stage_key(&name::Zone::new(zone));
            if writes
                .iter()
                .any(|write| write.key == key && write.change != Change::Check)
            {
                *changed_at = self.now;
            }
        }
        if self.head().proposed.is_some_and(|proposed| Some(proposed) != before) {
            self.proposed_at = self.now;
        }
        let is_accepting = writes.iter().any(|write| write.key.partition == record::VERSIONS);
        if is_accepting {
            self.check_staged(bounds).map(|()| ending)
        } else {
            Ok(ending)
        }
    }

    /// Returns the outcome of each operator, or `None` while its change is in progress.
    pub fn outcomes(&self) -> impl Iterator<Item = Option<&Outcome>> {
        self.operators.iter().map(|operator| operator.outcome.as_ref())
    }
}

/// Reply of the platform.
enum Reply {
    More(Call),
    Rows(Vec<Key>, Vec<Option<Row>>),
    Ended(Ending),
    Content(Manifest),
}
