//! The claim protocol: entries, one key, a faulty table and a faulty endpoint.

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

/// A fault put into the test's own wrapper around the driver, to show that the properties can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Defect {
    None,
    /// A write without an answer is taken for one that took effect.
    TrustsLostWrites,
    /// The caller is told `not-run` at the timeout, but the driver is not told of it.
    RepliesWithoutGivingUp,
    /// A request is given out for sending twice.
    SendsTwice,
    /// The network repeats a request whose answer is lost.
    SendsAgain,
    /// The caller is told of a refusal when another sending holds the claim.
    RefusesContested,
    /// A process that starts over sends what its predecessor had claimed.
    SendsAfterCrash,
    /// What is replayed is this sending's own answer, not the stored one.
    ReplaysOwnAnswer,
    /// A refusal by the endpoint is reported although the request ran.
    RefusesAfterRunning,
}

struct Claims {
    sendings: u8,
    faults: u8,
    crashes: u8,
    defect: Defect,
}

fn answer_of(place: usize) -> Answer {
    Answer {
        status: 200,
        headers: Vec::new(),
        body: answer::Body::Inline(vec![place as u8]),
    }
}

impl Claims {
    fn tell(&self, world: &mut World, place: usize, event: Event) {
        if world.sendings[place].crashed {
            return;
        }
        let now = world.now();
        let actions = world.sendings[place].driver.on(now, event);
        for action in actions {
            self.carry_out(world, place, action);
        }
        world.tidy();
    }

    fn carry_out(&self, world: &mut World, place: usize, action: Action) {
        match action {
            Action::Write { op, write } => world.post(Message::Write(place, op, write_key(write))),
            Action::Read { op, .. } => world.post(Message::Read(place, op)),
            Action::Send => {
                world.sendings[place].sends += 1 + u8::from(self.defect == Defect::SendsTwice);
                world.post(Message::Call(place));
            }
            Action::Reply(reply) => self.reply(world, place, reply),
            Action::Wake(_) => {}
            Action::Store { .. } => unreachable!("the answers are short"),
        }
    }

    fn reply(&self, world: &mut World, place: usize, reply: Reply) {
        let reply = match (self.defect, reply) {
            (Defect::ReplaysOwnAnswer, Reply::Replay(_)) => Reply::Replay(answer_of(place)),
            (Defect::RefusesContested, Reply::InProgress { retry_after }) => {
                let reason = Reason::Endpoint;
                Reply::NotRun { reason, retry_after }
            }
            (_, reply) => reply,
        };
        let ran = world.sendings.iter().any(|sending| sending.runs > 0);
        let sending = &mut world.sendings[place];
        sending.run_before_reply = ran;
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

    fn first(&self) -> World {
        let settings = driver::Settings {
            claim_timeout: Duration::ZERO,
            claim_tries: 2,
            record_tries: 1,
            backoff: Duration::ZERO,
            backoff_limit: Duration::ZERO,
            retry_after: Duration::ZERO,
            max_inline_bytes: 16,
        };
        let sending = |place: u8| Sending {
            driver: Driver::new(request(place), settings),
            asked: false,
            crashed: false,
            reply: None,
            sends: 0,
            runs: 0,
            run_before_reply: false,
        };
        World {
            late: false,
            row: None,
            sendings: (0..self.sendings).map(sending).collect(),
            messages: Vec::new(),
            faults: self.faults,
            crashes: self.crashes,
        }
    }

    fn steps(&self, state: &World, found: &mut dyn FnMut(String, World)) {
        self.process_steps(state, found);
        self.network_steps(state, found);
    }

    fn broken(&self, state: &World) -> Option<&'static str> {
        let runs = state.sendings.iter().map(|sending| sending.runs).sum::<u8>();
        if runs > 1 {
            return Some("at most one run");
        }
        if state.sendings.iter().any(|sending| sending.sends > 1) {
            return Some("a driver sends once");
        }
        for (place, sending) in state.sendings.iter().enumerate() {
            let Some(reply) = &sending.reply else { continue };
            let under_way = state.messages.contains(&Message::Call(place));
            match reply {
                Reply::NotRun { .. } if sending.runs > 0 || under_way => return Some("not-run is true"),
                Reply::NotRun { reason, .. } if from_the_row(*reason) && sending.run_before_reply => {
                    return Some("not-run is true of the key");
                }
                Reply::Answer(answer) | Reply::Replay(answer) if !ran_with(state, answer) => {
                    return Some("an answer is the run's own");
                }
                _ => {}
            }
        }
        None
    }
}

/// Reasons that a driver gives only after its own claim stood in the table.
fn from_the_row(reason: Reason) -> bool {
    reason == Reason::Endpoint
}

fn ran_with(world: &World, answer: &Answer) -> bool {
    let mut places = 0..world.sendings.len();
    places.any(|place| world.sendings[place].runs > 0 && answer_of(place) == *answer)
}

fn request(place: u8) -> driver::Request {
    driver::Request {
        scope: Scope::new("o", "s", "k"),
        digest: Digest::default(),
        attempt: attempt::Id::new(u128::from(place) + 1),
        holder: "e".into(),
        deadline: DEADLINE,
        wall_clock: WallClock::new(Instant::ZERO, 0),
    }
}
