//! Carries one operator's change from the folder to acceptance.

use std::collections::BTreeSet;

use bergamotshift_core::prelude::*;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Row;

mod event;
mod transaction;
mod watch;

pub use event::Action;
pub use event::Event;
pub use event::Outcome;
pub use event::Request;
use watch::Watch;

use super::Timing;
use super::record;
use super::record::Head;
use super::record::Id;
use super::record::Proposal;
use super::record::Record;
use super::record::Revision;
use super::record::Version;
use super::record::View;
use crate::manifest;
use crate::manifest::Manifest;

/// What the proposer waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// The time of its next read.
    Pause(Instant),
    /// The rows it asked for.
    Read,
    /// The accepted content, to merge with.
    Fetch,
    /// The proposed content to be durable.
    Store,
    /// The transaction that puts its proposal into the head.
    Propose,
    /// The transaction that accepts it.
    Accept,
    /// The transaction that takes its proposal out of the head.
    Withdraw,
    /// Nothing more.
    Done,
}

/// Another operator's proposal, as last seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Rival {
    id: Id,
    row: u64,
    since: Instant,
}

/// The proposer's own proposal in the head.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Slot {
    row: u64,
    since: Instant,
    revision: Revision,
    watch: Watch,
}

/// Carries one operator's change.
///
/// ```
/// use bergamotshift_config::accept::Proposer;
/// use bergamotshift_config::accept::Timing;
/// use bergamotshift_config::accept::proposer::Action;
/// use bergamotshift_config::accept::proposer::Event;
/// use bergamotshift_config::accept::proposer::Request;
/// use bergamotshift_config::manifest::Manifest;
/// use bergamotshift_core::prelude::*;
///
/// let ours = Manifest::new(&[("10-zones.toml", "[[zone]]\nname = 'canelones'\nregion = 'uy-sur'")])?;
/// let request = Request { ours: ours.clone(), ..Request::default() };
/// let mut proposer = Proposer::new(request, Timing::default(), Instant::ZERO);
///
/// // It reads the head first. There is none yet, so the content is made durable before anything is proposed.
/// assert!(matches!(proposer.handle(Instant::ZERO, Event::Tick)[..], [Action::Read(_)]));
/// let actions = proposer.handle(Instant::ZERO, Event::Rows(vec![None]));
/// assert_eq!(actions, [Action::Store(ours)]);
/// let actions = proposer.handle(Instant::ZERO, Event::Stored);
/// assert!(matches!(actions[..], [Action::Write(_)]));
/// # Ok::<(), bergamotshift_config::manifest::Error>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    request: Request,
    timing: Timing,
    started: Instant,
    phase: Phase,
    view: View,
    /// The accepted content last fetched.
    theirs: Option<Manifest>,
    candidate: Option<Manifest>,
    rival: Option<Rival>,
    slot: Option<Slot>,
    /// Whether a proposing transaction was ever sent.
    proposed: bool,
    /// The version that an accepting transaction was sent for and not yet settled.
    accepting: Option<Version>,
    /// Why the proposal is being withdrawn.
    reason: Option<Outcome>,
}

impl Proposer {
    /// Makes a proposer; its first tick starts it.
    pub fn new(request: Request, timing: Timing, now: Instant) -> Self {
        Self {
            request,
            timing,
            started: now,
            phase: Phase::Pause(now),
            view: View::default(),
            theirs: None,
            candidate: None,
            rival: None,
            slot: None,
            proposed: false,
            accepting: None,
            reason: None,
        }
    }

    /// Returns when the next tick is due; nothing while an answer is awaited.
    pub const fn wake(&self) -> Option<Instant> {
        match self.phase {
            Phase::Pause(until) => Some(until),
            _ => None,
        }
    }

    /// Takes an event in and returns what is to be done.
    ///
    /// An event that nothing waits for is passed over, such as an answer that comes twice.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match (self.phase, event) {
            (Phase::Pause(until), Event::Tick) if now >= until => self.read(),
            (Phase::Read, Event::Rows(rows)) => self.take_rows(now, &rows),
            (Phase::Read, Event::ReadFailed)
            | (Phase::Fetch, Event::FetchFailed)
            | (Phase::Store, Event::StoreFailed) => self.retry(now),
            (Phase::Fetch, Event::Fetched(manifest)) => {
                self.theirs = Some(manifest);
                self.compose()
            }
            (Phase::Store, Event::Stored) => self.propose(),
            (Phase::Propose, Event::Ended(ending)) => self.end_propose(now, &ending),
            (Phase::Accept, Event::Ended(ending)) => self.end_accept(now, &ending),
            (Phase::Withdraw, Event::Ended(ending)) => self.end_withdraw(now, &ending),
            _ => Vec::new(),
        }
    }

    fn read(&mut self) -> Vec<Action> {
        self.phase = Phase::Read;
        let mut keys = vec![record::head_key()];
        keys.extend(self.accepting.map(record::version_key));
        keys.extend(self.slot.iter().flat_map(|slot| slot.watch.keys()));
        vec![Action::Read(keys)]
    }

    fn pause(&mut self, now: Instant) -> Vec<Action> {
        self.phase = Phase::Pause(now + self.timing.watch_interval);
        Vec::new()
    }

    /// Returns until when it tries: for a place in the head, or for the zones to stage.
    fn deadline(&self) -> Instant {
        match &self.slot {
            Some(slot) => slot.since + self.timing.staging_timeout,
            None => self.started + self.timing.turn_timeout,
        }
    }

    /// Tries again after a failure, until well after the deadline.
    fn retry(&mut self, now: Instant) -> Vec<Action> {
        if now < self.deadline() + self.timing.max_backoff {
            return self.pause(now);
        }
        let outcome = match self.reason.take() {
            _ if self.accepting.is_some() => Outcome::Unknown,
            Some(reason) => reason,
            None if self.proposed => Outcome::Late(Vec::new()),
            None => Outcome::Unreachable,
        };
        self.finish(outcome)
    }

    fn finish(&mut self, outcome: Outcome) -> Vec<Action> {
        self.phase = Phase::Done;
        vec![Action::Finish(outcome)]
    }

    fn take_rows(&mut self, now: Instant, rows: &[Option<Row>]) -> Vec<Action> {
        let Some((head, mut rest)) = rows.split_first() else {
            return self.retry(now);
        };
        let Ok(view) = View::read(head.as_ref()) else {
            return self.finish(Outcome::Invalid(
                "the platform's head row is of a newer release".to_owned(),
            ));
        };
        self.view = view;
        let mut settled = None;
        if self.accepting.is_some() {
            let Some((row, stages)) = rest.split_first() else {
                return self.retry(now);
            };
            rest = stages;
            settled = row.as_ref().and_then(|row| record::decode::<Record>(row).ok());
        }
        if let Some(record) = settled.filter(|record| record.id == self.request.id) {
            return self.finish(Outcome::Accepted {
                revision: record.revision,
                passed_over: record.passed_over,
            });
        }
        match &mut self.slot {
            Some(slot) if slot.row == view.row => {
                slot.watch.update(now, rest);
                self.judge(now)
            }
            Some(_) if self.accepting.is_some() => {
                // The head moved, perhaps by the accepting transaction, and the record may have been read before that.
                // One more read, begun after the move, tells for certain.
                self.slot = None;
                self.read()
            }
            _ => {
                self.slot = None;
                self.accepting = None;
                match self.reason.take() {
                    Some(reason) => self.finish(reason),
                    None => self.contend(now),
                }
            }
        }
    }

    /// Looks for a place in the head.
    fn contend(&mut self, now: Instant) -> Vec<Action> {
        if let Some(other) = self.view.head.proposed {
            if other.id == self.request.id {
                // The answer to the proposing transaction was lost, but it took effect.
                return self.take_slot(now, other);
            }
            let since = match self.rival {
                Some(rival) if rival.id == other.id && rival.row == self.view.row => rival.since,
                _ => now,
            };
            self.rival = Some(Rival {
                id: other.id,
                row: self.view.row,
                since,
            });
            if now.since(since) < self.timing.takeover_timeout {
                return if now < self.deadline() {
                    self.pause(now)
                } else {
                    self.finish(Outcome::Busy)
                };
            }
        }
        if now >= self.deadline() {
            return self.finish(Outcome::Late(Vec::new()));
        }
        self.compose()
    }

    /// Merges the operator's change with what is accepted by now.
    fn compose(&mut self) -> Vec<Action> {
        let base = &self.request.base;
        let theirs = match self.view.head.accepted {
            None => Manifest::default(),
            Some(revision) if revision.digest == base.digest() => base.clone(),
            Some(revision) => match &self.theirs {
                Some(theirs) if theirs.digest() == revision.digest => theirs.clone(),
                _ => {
                    self.phase = Phase::Fetch;
                    return vec![Action::Fetch(revision.digest)];
                }
            },
        };
        // Before the first version nothing can be in the way of the whole folder.
        let first = self.view.head.accepted.is_none();
        let merged = if first {
            Ok(self.request.ours.clone())
        } else {
            Manifest::merge(base, &self.request.ours, &theirs)
        };
        let candidate = match merged {
            Ok(candidate) => candidate,
            Err(manifest::Error::Conflict(files)) => return self.finish(Outcome::Conflict(files)),
            Err(other) => return self.finish(Outcome::Invalid(other.to_string())),
        };
        if let Some(revision) = self
            .view
            .head
            .accepted
            .filter(|revision| revision.digest == candidate.digest())
        {
            return self.finish(Outcome::Unchanged(revision));
        }
        if let Err(error) = candidate.config() {
            return self.finish(Outcome::Invalid(error.to_string()));
        }
        self.theirs = Some(theirs);
        self.candidate = Some(candidate.clone());
        self.phase = Phase::Store;
        vec![Action::Store(candidate)]
    }

    fn propose(&mut self) -> Vec<Action> {
        let Some(proposal) = self.proposal() else {
            return self.read();
        };
        self.phase = Phase::Propose;
        self.proposed = true;
        vec![Action::Write(transaction::set_proposal(self.view, Some(proposal)))]
    }

    /// Returns the candidate as the version after the accepted one.
    fn proposal(&self) -> Option<Proposal> {
        let candidate = self.candidate.as_ref()?;
        let revision = Revision {
            version: self.view.head.next(),
            digest: candidate.digest(),
        };
        Some(Proposal {
            id: self.request.id,
            revision,
        })
    }

    fn end_propose(&mut self, now: Instant, ending: &Ending) -> Vec<Action> {
        let Some(proposal) = self.proposal().filter(|_| *ending == Ending::Applied) else {
            return self.retry(now);
        };
        self.view.row += 1;
        self.view.head.proposed = Some(proposal);
        let mut actions = vec![Action::Publish(self.view)];
        actions.extend(self.take_slot(now, proposal));
        actions
    }

    /// Starts to watch the zones: those of the accepted and those of the proposed configuration.
    fn take_slot(&mut self, now: Instant, proposal: Proposal) -> Vec<Action> {
        let contents = [&self.theirs, &self.candidate];
        let configs = contents
            .into_iter()
            .flatten()
            .filter_map(|manifest| manifest.config().ok());
        let zones: BTreeSet<_> = configs.flat_map(|config| config.zones.into_keys()).collect();
        self.slot = Some(Slot {
            row: self.view.row,
            since: now,
            revision: proposal.revision,
            watch: Watch::new(proposal, zones),
        });
        self.read()
    }

    /// Decides by the zones' rows whether to accept, wait or withdraw.
    fn judge(&mut self, now: Instant) -> Vec<Action> {
        let Some(slot) = &self.slot else { return self.read() };
        if self.reason.is_none() {
            let lagging = slot.watch.lagging(now, self.timing.zone_timeout);
            if let Some((zone, reason)) = slot.watch.refusal() {
                self.reason = Some(Outcome::Refused { zone, reason });
            } else if now >= self.deadline() {
                self.reason = Some(Outcome::Late(lagging));
            } else if lagging.is_empty() {
                return self.accept(now);
            } else {
                return self.pause(now);
            }
        }
        self.phase = Phase::Withdraw;
        vec![Action::Write(transaction::set_proposal(self.view, None))]
    }

    /// Sends the transaction that makes the proposal the accepted version.
    fn accept(&mut self, now: Instant) -> Vec<Action> {
        let Some(slot) = &self.slot else { return self.read() };
        let record = Record {
            id: self.request.id,
            revision: slot.revision,
            author: self.request.author.clone(),
            at: self.request.at,
            passed_over: slot.watch.lapsed(now, self.timing.zone_timeout),
        };
        let writes = transaction::accept(slot.row, &record, slot.watch.checks());
        self.accepting = Some(slot.revision.version);
        self.phase = Phase::Accept;
        vec![Action::Write(writes)]
    }

    fn end_accept(&mut self, now: Instant, ending: &Ending) -> Vec<Action> {
        let Some(slot) = &self.slot else { return self.read() };
        if *ending != Ending::Applied {
            return self.retry(now);
        }
        let revision = slot.revision;
        let passed_over = slot.watch.lapsed(now, self.timing.zone_timeout);
        let head = Head {
            accepted: Some(revision),
            proposed: None,
        };
        let row = slot.row + 1;
        let mut actions = vec![Action::Publish(View { row, head })];
        actions.extend(self.finish(Outcome::Accepted { revision, passed_over }));
        actions
    }

    fn end_withdraw(&mut self, now: Instant, ending: &Ending) -> Vec<Action> {
        match (ending, self.reason.take()) {
            // The head moved, so no accepting transaction still under way can take effect.
            (Ending::Applied, Some(reason)) => self.finish(reason),
            (_, reason) => {
                self.reason = reason;
                self.retry(now)
            }
        }
    }
}
