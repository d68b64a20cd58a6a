//! State machine that carries out one operator's change, from the merge to the acceptance.

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

/// Event that the proposer waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// Time of the next read.
    Pause(Instant),
    /// Rows of the read that is in flight.
    Read,
    /// Accepted content, which the change is merged with.
    Fetch,
    /// Durable storage of the proposed content.
    Store,
    /// Transaction that writes the proposal into the head.
    Propose,
    /// Transaction that accepts the proposal.
    Accept,
    /// Transaction that removes the proposal from the head.
    Withdraw,
    /// Nothing; the proposer has finished.
    Done,
}

/// Another operator's proposal in the head, and the time since which the head row has not changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Competitor {
    id: Id,
    row: u64,
    since: Instant,
}

/// The proposer's own proposal in the head, which the zones are staging.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Staging {
    row: u64,
    since: Instant,
    revision: Revision,
    watch: Watch,
}

/// Carries out one operator's change.
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
/// // It reads the head first. There is none yet, so the content is stored before anything is proposed.
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
    /// Accepted content that the candidate was merged with, or that was fetched last.
    theirs: Option<Manifest>,
    candidate: Option<Manifest>,
    competitor: Option<Competitor>,
    staging: Option<Staging>,
    /// Whether a transaction that proposes was ever sent.
    has_proposed: bool,
    /// Version for which an accepting transaction was sent whose effect is not known yet.
    accepting: Option<Version>,
    /// Outcome to report after the withdrawal of the proposal.
    withdrawal: Option<Outcome>,
}

impl Proposer {
    /// Creates a proposer. Its first tick starts it.
    pub fn new(request: Request, timing: Timing, now: Instant) -> Self {
        Self {
            request,
            timing,
            started: now,
            phase: Phase::Pause(now),
            view: View::default(),
            theirs: None,
            candidate: None,
            competitor: None,
            staging: None,
            has_proposed: false,
            accepting: None,
            withdrawal: None,
        }
    }

    /// Returns the time at which the next [`Event::Tick`] is due, or `None` while the proposer waits for another event.
    pub const fn wake(&self) -> Option<Instant> {
        match self.phase {
            Phase::Pause(until) => Some(until),
            _ => None,
        }
    }

    /// Processes an event and returns the actions to perform.
    ///
    /// An event that the proposer does not wait for is ignored, such as a duplicate answer.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match (self.phase, event) {
            (Phase::Pause(until), Event::Tick) if now >= until => self.read_rows(),
            (Phase::Read, Event::Rows(rows)) => self.receive_rows(now, &rows),
            (Phase::Read, Event::ReadFailed)
            | (Phase::Fetch, Event::FetchFailed)
            | (Phase::Store, Event::StoreFailed) => self.retry(now),
            (Phase::Fetch, Event::Fetched(manifest)) => {
                self.theirs = Some(manifest);
                self.merge_change()
            }
            (Phase::Store, Event::Stored) => self.propose(),
            (Phase::Propose, Event::Ended(ending)) => self.finish_propose(now, &ending),
            (Phase::Accept, Event::Ended(ending)) => self.finish_accept(now, &ending),
            (Phase::Withdraw, Event::Ended(ending)) => self.finish_withdraw(now, &ending),
            _ => Vec::new(),
        }
    }

    fn read_rows(&mut self) -> Vec<Action> {
        self.phase = Phase::Read;
        let mut keys = vec![record::head_key()];
        keys.extend(self.accepting.map(record::version_key));
        keys.extend(self.staging.iter().flat_map(|staging| staging.watch.keys()));
        vec![Action::Read(keys)]
    }

    fn pause(&mut self, now: Instant) -> Vec<Action> {
        self.phase = Phase::Pause(now + self.timing.watch_interval);
        Vec::new()
    }

    /// Returns the time until which the proposer tries to get its proposal into the head, or waits for the zones.
    fn deadline(&self) -> Instant {
        match &self.staging {
            Some(staging) => staging.since + self.timing.staging_timeout,
            None => self.started + self.timing.turn_timeout,
        }
    }

    /// Tries again after a failure, until `max_backoff` after the deadline.
    fn retry(&mut self, now: Instant) -> Vec<Action> {
        if now < self.deadline() + self.timing.max_backoff {
            return self.pause(now);
        }
        let outcome = match self.withdrawal.take() {
            _ if self.accepting.is_some() => Outcome::Unknown,
            Some(outcome) => outcome,
            None if self.has_proposed => Outcome::Late(Vec::new()),
            None => Outcome::Unreachable,
        };
        self.finish(outcome)
    }

    fn finish(&mut self, outcome: Outcome) -> Vec<Action> {
        self.phase = Phase::Done;
        vec![Action::Finish(outcome)]
    }

    fn receive_rows(&mut self, now: Instant, rows: &[Option<Row>]) -> Vec<Action> {
        let Some((head, mut rest)) = rows.split_first() else {
            return self.retry(now);
        };
        let Ok(view) = View::read(head.as_ref()) else {
            return self.finish(Outcome::Invalid(
                "the head row in the platform's table was written by a newer release".to_owned(),
            ));
        };
        self.view = view;
        let mut accepted_record = None;
        if self.accepting.is_some() {
            let Some((row, stages)) = rest.split_first() else {
                return self.retry(now);
            };
            rest = stages;
            accepted_record = row.as_ref().and_then(|row| record::decode::<Record>(row).ok());
        }
        if let Some(record) = accepted_record.filter(|record| record.id == self.request.id) {
            return self.finish(Outcome::Accepted {
                revision: record.revision,
                passed_over: record.passed_over,
            });
        }
        match &mut self.staging {
            Some(staging) if staging.row == view.row => {
                staging.watch.update(now, rest);
                self.decide(now)
            }
            Some(_) if self.accepting.is_some() => {
                // The head changed, perhaps by the accepting transaction, and the record may have been read before that.
                // Another read, begun after the change, shows whether the version was accepted.
                self.staging = None;
                self.read_rows()
            }
            _ => {
                self.staging = None;
                self.accepting = None;
                match self.withdrawal.take() {
                    Some(outcome) => self.finish(outcome),
                    None => self.try_propose(now),
                }
            }
        }
    }

    /// Proposes the change if the head is free or its proposal is to be replaced; otherwise waits.
    fn try_propose(&mut self, now: Instant) -> Vec<Action> {
        if let Some(other) = self.view.head.proposed {
            if other.id == self.request.id {
                // The proposing transaction took effect although its response was lost.
                return self.begin_staging(now, other);
            }
            let since = match self.competitor {
                Some(competitor) if competitor.id == other.id && competitor.row == self.view.row => competitor.since,
                _ => now,
            };
            self.competitor = Some(Competitor {
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
        self.merge_change()
    }

    /// Merges the operator's change with the accepted content and stores the result.
    fn merge_change(&mut self) -> Vec<Action> {
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
        // Before the first version there is no accepted content to merge with.
        let is_first = self.view.head.accepted.is_none();
        let merged = if is_first {
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
            return self.read_rows();
        };
        self.phase = Phase::Propose;
        self.has_proposed = true;
        vec![Action::Write(transaction::set_proposal(self.view, Some(proposal)))]
    }

    /// Returns the proposal of the candidate as the version after the accepted one.
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

    fn finish_propose(&mut self, now: Instant, ending: &Ending) -> Vec<Action> {
        let Some(proposal) = self.proposal().filter(|_| *ending == Ending::Applied) else {
            return self.retry(now);
        };
        self.view.row += 1;
        self.view.head.proposed = Some(proposal);
        let mut actions = vec![Action::Publish(self.view)];
        actions.extend(self.begin_staging(now, proposal));
        actions
    }

    /// Begins to watch the zones of the accepted and of the proposed configuration.
    fn begin_staging(&mut self, now: Instant, proposal: Proposal) -> Vec<Action> {
        let contents = [&self.theirs, &self.candidate];
        let configs = contents
            .into_iter()
            .flatten()
            .filter_map(|manifest| manifest.config().ok());
        let zones: BTreeSet<_> = configs.flat_map(|config| config.zones.into_keys()).collect();
        self.staging = Some(Staging {
            row: self.view.row,
            since: now,
            revision: proposal.revision,
            watch: Watch::new(proposal, zones),
        });
        self.read_rows()
    }

    /// Accepts the proposal, withdraws it or continues to wait, depending on the zones' rows.
    fn decide(&mut self, now: Instant) -> Vec<Action> {
        let Some(staging) = &self.staging else {
            return self.read_rows();
        };
        if self.withdrawal.is_none() {
            let lagging = staging.watch.lagging(now, self.timing.zone_timeout);
            if let Some((zone, reason)) = staging.watch.refusal() {
                self.withdrawal = Some(Outcome::Refused { zone, reason });
            } else if now >= self.deadline() {
                self.withdrawal = Some(Outcome::Late(lagging));
            } else if lagging.is_empty() {
                return self.accept(now);
            } else {
                return self.pause(now);
            }
        }
        self.phase = Phase::Withdraw;
        vec![Action::Write(transaction::set_proposal(self.view, None))]
    }

    /// Requests the transaction that makes the proposal the accepted version.
    fn accept(&mut self, now: Instant) -> Vec<Action> {
        let Some(staging) = &self.staging else {
            return self.read_rows();
        };
        let record = Record {
            id: self.request.id,
            revision: staging.revision,
            author: self.request.author.clone(),
            at: self.request.at,
            passed_over: staging.watch.timed_out(now, self.timing.zone_timeout),
        };
        let writes = transaction::accept(staging.row, &record, staging.watch.checks());
        self.accepting = Some(staging.revision.version);
        self.phase = Phase::Accept;
        vec![Action::Write(writes)]
    }

    fn finish_accept(&mut self, now: Instant, ending: &Ending) -> Vec<Action> {
        let Some(staging) = &self.staging else {
            return self.read_rows();
        };
        if *ending != Ending::Applied {
            return self.retry(now);
        }
        let revision = staging.revision;
        let passed_over = staging.watch.timed_out(now, self.timing.zone_timeout);
        let head = Head {
            accepted: Some(revision),
            proposed: None,
        };
        let row = staging.row + 1;
        let mut actions = vec![Action::Publish(View { row, head })];
        actions.extend(self.finish(Outcome::Accepted { revision, passed_over }));
        actions
    }

    fn finish_withdraw(&mut self, now: Instant, ending: &Ending) -> Vec<Action> {
        match (ending, self.withdrawal.take()) {
            // The head row changed, so no accepting transaction that is still in flight can take effect.
            (Ending::Applied, Some(outcome)) => self.finish(outcome),
            (_, outcome) => {
                self.withdrawal = outcome;
                self.retry(now)
            }
        }
    }
}
