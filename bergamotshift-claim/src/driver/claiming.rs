//! From the caller's question to the send, or to giving up before it.

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
    pub(super) fn asked(&mut self, now: Instant) -> Vec<Action> {
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

    /// Writes the claim over the row's version `base`.
    fn claim_over(&mut self, base: u64) -> Vec<Action> {
        self.phase = Phase::Claiming { base };
        self.contested = false;
        let op = self.next_op();
        let write = self.record(State::Sent).write_over(base);
        vec![Action::Write { op, write }]
    }

    pub(super) fn claim_written(&mut self, now: Instant, base: u64, ending: &Ending) -> Vec<Action> {
        match ending {
            Ending::Applied => self.claimed(now, base + 1),
            Ending::Refused => {
                self.phase = Phase::Settling;
                self.give_up(now, Reason::Table)
            }
            Ending::Conflict(_) => {
                self.contested = true;
                self.settle(now)
            }
            Ending::Unknown => {
                self.doubt = true;
                self.settle(now)
            }
        }
    }

    /// Reads the row back, where a lost or a refused write shows whose claim stands.
    fn settle(&mut self, now: Instant) -> Vec<Action> {
        if self.tries >= self.settings.claim_tries {
            return self.give_up(now, Reason::Table);
        }
        self.tries += 1;
        self.phase = Phase::Settling;
        self.read()
    }

    pub(super) fn settled(&mut self, now: Instant, reading: Reading) -> Vec<Action> {
        match reading {
            Err(_) => self.settle(now),
            // The lost write has not landed, at least not yet. Writing again is safe: if the lost one lands first,
            // this one conflicts and the row read next carries this driver's own attempt id.
            Ok(None) => self.claim_over(0),
            Ok(Some(row)) => self.met(now, &row),
        }
    }

    /// Acts on the row that stands in the table.
    fn met(&mut self, now: Instant, row: &Row) -> Vec<Action> {
        let Ok(record) = Record::decode(&row.body) else {
            // A row that this version cannot read may belong to a request that ran.
            return self.reply_and_close(Reply::Unknown);
        };
        if record.attempt == self.request.attempt {
            return match record.state {
                State::Sent => self.claimed(now, row.version),
                _ => self.reply_and_close(Reply::Unknown),
            };
        }
        let same = record.digest == self.request.digest;
        match record.state {
            State::Withdrawn => self.claim_over(row.version),
            _ if !same => self.reply_and_close(Reply::Mismatch),
            State::Done(answer) => self.reply_and_close(Reply::Replay(answer)),
            State::Sent if self.request.wall_clock.millis(now) < record.until => {
                self.reply_and_close(self.in_progress())
            }
            // Still `sent` after the holder's own deadline: it died or lost the table. Whether it sent cannot be
            // told, so nobody sends again.
            State::Sent | State::Unknown => self.reply_and_close(Reply::Unknown),
        }
    }

    /// The claim stands under this driver's attempt id: send now or never.
    fn claimed(&mut self, now: Instant, version: u64) -> Vec<Action> {
        self.due = None;
        if now < self.request.deadline {
            self.phase = Phase::Sending { version };
            return vec![Action::Send];
        }
        // A process that paused here would run a request whose caller has long been told otherwise.
        let mut actions = vec![Action::Reply(self.not_run(Reason::Deadline))];
        actions.extend(self.finish(version, State::Withdrawn));
        actions
    }

    pub(super) fn cancelled(&mut self, now: Instant) -> Vec<Action> {
        match self.phase {
            Phase::Idle => self.reply_and_close(self.not_run(Reason::Cancelled)),
            Phase::Claiming { .. } | Phase::Settling => self.give_up(now, Reason::Cancelled),
            // What was sent cannot be called back; its answer is recorded for the caller's next sending.
            _ => Vec::new(),
        }
    }

    /// Answers the caller before anything was sent, and sees to it that the key does not stay taken.
    pub(super) fn give_up(&mut self, now: Instant, reason: Reason) -> Vec<Action> {
        let writing = matches!(self.phase, Phase::Claiming { .. });
        let may_land = self.doubt || writing;
        let reply = if self.contested {
            // The key's row exists, and whether its request ran is not known here.
            self.in_progress()
        } else {
            self.not_run(reason)
        };
        if !may_land {
            return self.reply_and_close(reply);
        }
        self.phase = Phase::Clearing;
        self.tries = 0;
        let mut actions = vec![Action::Reply(reply)];
        actions.extend(self.back_off(now));
        actions
    }

    /// Makes sure that a claim which will never be sent does not hold the key.
    pub(super) fn cleared(&mut self, now: Instant, reading: Reading) -> Vec<Action> {
        match reading {
            Err(_) => self.back_off(now),
            // A withdrawn row in its place makes the late write conflict for good.
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
