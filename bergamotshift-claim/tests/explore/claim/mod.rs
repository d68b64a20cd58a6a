//! Model of the claim protocol: entries, one key, a faulty table and a faulty endpoint.

mod steps;
mod tests;
mod world;

use core::time::Duration;

use bergamotshift_claim::answer;
use bergamotshift_claim::prelude::*;
use bergamotshift_core::attempt;
use bergamotshift_core::clock::Instant;
use bergamotshift_core::table::Ending;
use driver::Action;
use driver::Driver;
use driver::Event;
use driver::Reason;
use driver::Reply;

use self::world::*;
use crate::search::Model;

/// Defect injected by the test's wrapper around the driver, which shows that the properties can be violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Defect {
    None,
    /// A write with an unknown ending is assumed to be applied.
    TrustsLostWrites,
    /// The caller gets `not-run` at the timeout, but the driver does not give up.
    RepliesWithoutGivingUp,
    /// A request is sent twice.
    SendsTwice,
    /// The network delivers a request a second time when its answer is lost.
    SendsAgain,
    /// The caller gets a refusal when another request holds the claim.
    RefusesContested,
    /// A restarted process sends the request that its predecessor claimed.
    SendsAfterCrash,
    /// The replayed answer is this request's own one, not the stored one.
    ReplaysOwnAnswer,
    /// The endpoint reports a refusal although it executed the request.
    RefusesAfterRunning,
}

struct Claims {
    sendings: u8,
    faults: u8,
    crashes: u8,
    defect: Defect,
}

fn answer_of(index: usize) -> Answer {
    Answer {
        status: 200,
        headers: Vec::new(),
        body: answer::Body::Inline(vec![index as u8]),
    }
}

impl Claims {
    fn handle(&self, world: &mut World, index: usize, event: Event) {
        if world.sendings[index].has_crashed {
            return;
        }
        let now = world.now();
        let actions = world.sendings[index].driver.on(now, event);
        for action in actions {
            self.carry_out(world, index, action);
        }
        world.normalise();
    }

    fn carry_out(&self, world: &mut World, index: usize, action: Action) {
        match action {
            Action::Write { op, write } => world.post(Message::Write(index, op, write_key(write))),
            Action::Read { op, .. } => world.post(Message::Read(index, op)),
            Action::Send => {
                world.sendings[index].sends += 1 + u8::from(self.defect == Defect::SendsTwice);
                world.post(Message::Call(index));
            }
            Action::Reply(reply) => self.reply(world, index, reply),
            Action::Wake(_) => {}
            Action::Store { .. } => unreachable!("the answers are short"),
        }
    }

    fn reply(&self, world: &mut World, index: usize, reply: Reply) {
        let reply = match (self.defect, reply) {
            (Defect::ReplaysOwnAnswer, Reply::Replay(_)) => Reply::Replay(answer_of(index)),
            (Defect::RefusesContested, Reply::InProgress { retry_after }) => {
                let reason = Reason::Endpoint;
                Reply::NotRun { reason, retry_after }
            }
            (_, reply) => reply,
        };
        let ran = world.sendings.iter().any(|sending| sending.runs > 0);
        let sending = &mut world.sendings[index];
        sending.has_run_before_reply = ran;
        sending.reply = Some(reply);
    }

    fn ending(&self, finish: Finish) -> Ending {
        match finish {
            Finish::Applied => Ending::Applied,
            Finish::Conflict => Ending::Conflict(vec![0]),
            Finish::Refused => Ending::Refused,
            Finish::Unknown if self.defect == Defect::TrustsLostWrites => Ending::Applied,
            Finish::Unknown => Ending::Unknown,
        }
    }
}

impl Model for Claims {
    type State = World;

    fn initial(&self) -> World {
        let settings = driver::Settings {
            claim_timeout: Duration::ZERO,
            claim_tries: 2,
            record_tries: 1,
            backoff: Duration::ZERO,
            backoff_limit: Duration::ZERO,
            retry_after: Duration::ZERO,
            max_inline_bytes: 16,
        };
        let sending = |index: u8| Sending {
            driver: Driver::new(request(index), settings),
            is_started: false,
            has_crashed: false,
            reply: None,
            sends: 0,
            runs: 0,
            has_run_before_reply: false,
        };
        World {
            is_past_deadline: false,
            row: None,
            sendings: (0..self.sendings).map(sending).collect(),
            messages: Vec::new(),
            faults: self.faults,
            crashes: self.crashes,
        }
    }

    fn steps(&self, state: &World, emit: &mut dyn FnMut(String, World)) {
        self.process_steps(state, emit);
        self.network_steps(state, emit);
    }

    fn violated(&self, state: &World) -> Option<&'static str> {
        let runs = state.sendings.iter().map(|sending| sending.runs).sum::<u8>();
        if runs > 1 {
            return Some("at most one run");
        }
        if state.sendings.iter().any(|sending| sending.sends > 1) {
            return Some("a driver sends once");
        }
        for (index, sending) in state.sendings.iter().enumerate() {
            let Some(reply) = &sending.reply else { continue };
            let is_in_flight = state.messages.contains(&Message::Call(index));
            match reply {
                Reply::NotRun { .. } if sending.runs > 0 || is_in_flight => return Some("not-run is true"),
                Reply::NotRun { reason, .. } if is_after_claim(*reason) && sending.has_run_before_reply => {
                    return Some("not-run is true of the key");
                }
                Reply::Answer(answer) | Reply::Replay(answer) if !has_run_with(state, answer) => {
                    return Some("an answer is the run's own");
                }
                _ => {}
            }
        }
        None
    }
}

/// Returns whether a driver gives this reason only after its own claim was in the table.
fn is_after_claim(reason: Reason) -> bool {
    reason == Reason::Endpoint
}

fn has_run_with(world: &World, answer: &Answer) -> bool {
    let mut indices = 0..world.sendings.len();
    indices.any(|index| world.sendings[index].runs > 0 && answer_of(index) == *answer)
}

fn request(index: u8) -> driver::Request {
    driver::Request {
        scope: Scope::new("o", "s", "k"),
        digest: Digest::default(),
        attempt: attempt::Id::new(u128::from(index) + 1),
        holder: "e".into(),
        deadline: DEADLINE,
        wall_clock: Clock::new(Instant::ZERO, 0),
    }
}
