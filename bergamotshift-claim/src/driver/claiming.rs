//! Phases from the caller's request to the send, or to giving up before it.

use bergamotshift_core::clock::Instant;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Row;

use super::Action;
use super::Driver;
use super::Phase;
use super::Reason;
use super::Reply;
use super::event::Reading;
use crate::record::Record;
use crate::record::State;

impl Driver {
    /// Writes the claim of a new request.
    pub(super) fn start(&mut self, now: Instant) -> Vec<Action> {
        if self.phase != Phase::Idle {
            return Vec::new();
        }
        if now >= self.request.deadline {
            return self.reply_and_close(self.not_run(Reason::Deadline));
        }
        let due = (now + self.settings.claim_timeout).min(self.request.deadline);
        self.due = Some(due);
        let mut actions = self.claim_over(0);
        actions.push(Action::Wake(due));
        actions
    }

    /// Writes the claim over version `base` of the row.
    fn claim_over(&mut self, base: u64) -> Vec<Action> {
        self.phase = Phase::Claiming { base };
        self.is_contested = false;
        let op = self.next_op();
        let write = self.record(State::Sent).write_over(base);
        vec![Action::Write { op, write }]
    }

    /// Handles the ending of the claim's write.
    pub(super) fn claim_written(&mut self, now: Instant, base: u64, ending: &Ending) -> Vec<Action> {
        match ending {
            Ending::Applied => self.claimed(now, base + 1),
            Ending::Refused => {
                self.phase = Phase::Resolving;
                self.give_up(now, Reason::Table)
            }
            Ending::Conflict(_) => {
                self.is_contested = true;
                self.resolve(now)
            }
            Ending::Unknown => {
                self.has_unknown_write = true;
                self.resolve(now)
            }
        }
    }

    /// Reads the row to determine which attempt holds the claim, after a write that conflicted or had an unknown
    /// ending.
    fn resolve(&mut self, now: Instant) -> Vec<Action> {
        if self.tries >= self.settings.claim_tries {
            return self.give_up(now, Reason::Table);
        }
        self.tries += 1;
        self.phase = Phase::Resolving;
        self.read()
    }

    /// Handles the row that was read after a write of the claim.
    pub(super) fn claim_read(&mut self, now: Instant, reading: Reading) -> Vec<Action> {
        match reading {
            Err(_) => self.resolve(now),
            // The write with the unknown ending has not taken effect, at least not yet. Writing again is safe: if the
            // first write takes effect before this one, this one conflicts, and the row read next contains this
            // driver's own attempt id.
            Ok(None) => self.claim_over(0),
            Ok(Some(row)) => self.resolve_row(now, &row),
        }
    }

    /// Continues or replies according to the existing row.
    fn resolve_row(&mut self, now: Instant, row: &Row) -> Vec<Action> {
        let Ok(record) = Record::decode(&row.body) else {
            // A row that this version cannot decode may belong to a request that was executed.
            return self.reply_and_close(Reply::Unknown);
        };
        if record.attempt == self.request.attempt {
            return match record.state {
                State::Sent => self.claimed(now, row.version),
                _ => self.reply_and_close(Reply::Unknown),
            };
        }
        let is_same_request = record.digest == self.request.digest;
        match record.state {
            State::Withdrawn => self.claim_over(row.version),
            _ if !is_same_request => self.reply_and_close(Reply::Mismatch),
            State::Done(answer) => self.reply_and_close(Reply::Replay(answer)),
            State::Sent if self.request.wall_clock.millis(now) < record.until => {
                self.reply_and_close(self.in_progress())
            }
            // The row is still `sent` after the holder's deadline, so the holder died or lost access to the table. It
            // is unknown whether it sent the request, so nobody may send it again.
            State::Sent | State::Unknown => self.reply_and_close(Reply::Unknown),
        }
    }

    /// Sends the request, as this driver's attempt holds the claim, or withdraws the claim after the deadline.
    fn claimed(&mut self, now: Instant, version: u64) -> Vec<Action> {
        self.due = None;
        if now < self.request.deadline {
            self.phase = Phase::Sending { version };
            return vec![Action::Send];
        }
        // The process may have been paused before this point, and its caller may have been answered otherwise long ago.
        let mut actions = vec![Action::Reply(self.not_run(Reason::Deadline))];
        actions.extend(self.finish(version, State::Withdrawn));
        actions
    }

    /// Gives up because the caller disconnected, unless the request was sent already.
    pub(super) fn cancelled(&mut self, now: Instant) -> Vec<Action> {
        match self.phase {
            Phase::Idle => self.reply_and_close(self.not_run(Reason::Cancelled)),
            Phase::Claiming { .. } | Phase::Resolving => self.give_up(now, Reason::Cancelled),
            // A sent request cannot be cancelled; its answer is recorded for the caller's retry.
            _ => Vec::new(),
        }
    }

    /// Replies to the caller before the request was sent, and clears a claim that may still take effect.
    pub(super) fn give_up(&mut self, now: Instant, reason: Reason) -> Vec<Action> {
        let is_writing = matches!(self.phase, Phase::Claiming { .. });
        let may_take_effect = self.has_unknown_write || is_writing;
        let reply = if self.is_contested {
            // The key's row exists, and it is unknown here whether its request was executed.
            self.in_progress()
        } else {
            self.not_run(reason)
        };
        if !may_take_effect {
            return self.reply_and_close(reply);
        }
        self.phase = Phase::Clearing;
        self.tries = 0;
        let mut actions = vec![Action::Reply(reply)];
        actions.extend(self.back_off(now));
        actions
    }

    /// Handles the row that was read to clear a claim under which nothing will be sent.
    pub(super) fn clearing_read(&mut self, now: Instant, reading: Reading) -> Vec<Action> {
        match reading {
            Err(_) => self.back_off(now),
            // With a withdrawn row in its place, the late write conflicts whenever it arrives.
            Ok(None) => self.clear(0),
            Ok(Some(row)) => match Record::decode(&row.body) {
                Ok(record) if record.attempt == self.request.attempt && record.state == State::Sent => {
                    self.clear(row.version)
                }
                _ => {
                    self.phase = Phase::Closed;
                    Vec::new()
                }
            },
        }
    }

    fn not_run(&self, reason: Reason) -> Reply {
        Reply::NotRun {
            reason,
            retry_after: self.settings.retry_after,
        }
    }

    const fn in_progress(&self) -> Reply {
        Reply::InProgress {
            retry_after: self.settings.retry_after,
        }
    }
}
