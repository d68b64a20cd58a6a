//! Phases from the endpoint call's result, or from giving up, to the final state in the table.

use bergamotshift_core::clock::Instant;
use bergamotshift_core::table::Ending;
use smol_str::format_smolstr;

use super::Action;
use super::Driver;
use super::Phase;
use super::Reason;
use super::Reply;
use super::event::Completion;
use crate::answer::Answer;
use crate::answer::Body;
use crate::record::State;

/// Final state that is being written to the table.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Recording {
    /// Version of the row that is written over; 0 if the row does not exist.
    version: u64,
    state: State,
    /// Whether a claim is being cleared, in which case a conflict means that the row has to be read again.
    is_clearing: bool,
}

impl Driver {
    /// Replies to the caller and records the result of the endpoint call.
    pub(super) fn completed(&mut self, completion: Completion) -> Vec<Action> {
        let Phase::Sending { version } = self.phase else {
            return Vec::new();
        };
        match completion {
            Completion::Answered(answer) => {
                let mut actions = vec![Action::Reply(Reply::Answer(answer.clone()))];
                actions.extend(self.store(version, answer));
                actions
            }
            Completion::Refused => {
                let retry_after = self.settings.retry_after;
                let reason = Reason::Endpoint;
                let mut actions = vec![Action::Reply(Reply::NotRun { reason, retry_after })];
                actions.extend(self.finish(version, State::Withdrawn));
                actions
            }
            Completion::Lost => {
                let mut actions = vec![Action::Reply(Reply::Unknown)];
                actions.extend(self.finish(version, State::Unknown));
                actions
            }
        }
    }

    /// Records the answer, after a long body was put into the object store.
    fn store(&mut self, version: u64, mut answer: Answer) -> Vec<Action> {
        let body = match &mut answer.body {
            Body::Inline(bytes) if bytes.len() > self.settings.max_inline_bytes => core::mem::take(bytes),
            _ => return self.finish(version, State::Done(answer)),
        };
        let key = format_smolstr!("answer/{}", self.request.attempt);
        answer.body = Body::Object {
            key: key.clone(),
            length: body.len() as u64,
        };
        self.phase = Phase::Storing { version, answer };
        let op = self.next_op();
        vec![Action::Store { op, key, body }]
    }

    /// Records the answer after the attempt to put its body into the object store.
    pub(super) fn stored(&mut self, is_stored: bool) -> Vec<Action> {
        let Phase::Storing { version, answer } = &self.phase else {
            return Vec::new();
        };
        let version = *version;
        let mut answer = answer.clone();
        if !is_stored {
            answer.body = Body::Dropped;
        }
        self.finish(version, State::Done(answer))
    }

    /// Writes the final state over version `version` of the row.
    pub(super) fn finish(&mut self, version: u64, state: State) -> Vec<Action> {
        self.tries = 0;
        self.record_state(Recording {
            version,
            state,
            is_clearing: false,
        })
    }

    /// Withdraws a claim under which nothing will be sent; `version` is 0 if its write has not taken effect yet.
    pub(super) fn clear(&mut self, version: u64) -> Vec<Action> {
        self.record_state(Recording {
            version,
            state: State::Withdrawn,
            is_clearing: true,
        })
    }

    fn record_state(&mut self, recording: Recording) -> Vec<Action> {
        self.due = None;
        self.phase = Phase::Recording(recording);
        self.write_final()
    }

    /// Writes the final state, or retries the write.
    pub(super) fn write_final(&mut self) -> Vec<Action> {
        let Phase::Recording(recording) = &self.phase else {
            return Vec::new();
        };
        let write = self.record(recording.state.clone()).write_over(recording.version);
        let op = self.next_op();
        vec![Action::Write { op, write }]
    }

    /// Handles the ending of the final state's write.
    pub(super) fn final_written(&mut self, now: Instant, ending: &Ending) -> Vec<Action> {
        let Phase::Recording(recording) = &self.phase else {
            return Vec::new();
        };
        match ending {
            // The late write of the claim took effect in between, so the row has to be read again.
            Ending::Conflict(_) if recording.is_clearing => {
                self.phase = Phase::Clearing;
                self.back_off(now)
            }
            // No other process writes over this attempt's row, so an earlier write of the same state took effect.
            Ending::Applied | Ending::Conflict(_) => self.close(),
            Ending::Refused | Ending::Unknown => self.back_off(now),
        }
    }

    /// Waits before the next try of the phase, or closes the driver after the last one.
    ///
    /// The row then stays `sent`, and callers that retry are told that the outcome is unknown.
    pub(super) fn back_off(&mut self, now: Instant) -> Vec<Action> {
        if self.tries >= self.settings.record_tries {
            return self.close();
        }
        let backoff = self.settings.backoff.saturating_mul(1 << self.tries.min(16));
        self.tries += 1;
        let due = now + backoff.min(self.settings.backoff_limit);
        self.due = Some(due);
        vec![Action::Wake(due)]
    }

    fn close(&mut self) -> Vec<Action> {
        self.phase = Phase::Closed;
        self.due = None;
        Vec::new()
    }
}
