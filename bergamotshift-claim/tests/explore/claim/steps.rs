//! What can happen next: to callers and processes, to the table, the network and the endpoint.

use core::time::Duration;

use bergamotshift_claim::prelude::*;
use bergamotshift_core::table::Row;
use driver::Completion;
use driver::Event;
use driver::Reason;
use driver::Reply;

use super::Claims;
use super::Defect;
use super::answer_of;
use super::world::*;

impl Claims {
    /// Steps of the callers and of the processes.
    pub(super) fn process_steps(&self, world: &World, found: &mut dyn FnMut(String, World)) {
        for (place, sending) in world.sendings.iter().enumerate() {
            let mut step = |name: &str, change: &dyn Fn(&mut World)| {
                let mut next = world.clone();
                change(&mut next);
                found(format!("{name} {place}"), next);
            };
            if sending.crashed {
                continue;
            }
            if !sending.asked {
                step("ask", &|next| {
                    next.sendings[place].asked = true;
                    self.tell(next, place, Event::Ask);
                });
                continue;
            }
            if sending.driver.is_closed() {
                continue;
            }
            if sending.driver.due().is_some() {
                step("wake", &|next| self.wake(next, place));
            }
            if sending.reply.is_none() && sending.sends == 0 {
                step("cancel", &|next| self.tell(next, place, Event::Cancel));
            }
            if world.crashes > 0 {
                step("crash", &|next| self.crash(next, place));
            }
        }
        if !world.late {
            let mut next = world.clone();
            next.late = true;
            found("the deadline passes".to_owned(), next);
        }
    }

    pub(super) fn wake(&self, world: &mut World, place: usize) {
        let unanswered = world.sendings[place].reply.is_none();
        if self.defect == Defect::RepliesWithoutGivingUp && unanswered {
            let reason = Reason::Table;
            let retry_after = Duration::ZERO;
            self.reply(world, place, Reply::NotRun { reason, retry_after });
        } else {
            self.tell(world, place, Event::Woke);
        }
    }

    pub(super) fn crash(&self, world: &mut World, place: usize) {
        world.crashes -= 1;
        world.sendings[place].crashed = true;
        world.tidy();
        if self.defect == Defect::SendsAfterCrash && world.row.is_some() {
            world.post(Message::Call(place));
        }
    }

    /// Steps of the table, the network and the endpoint.
    pub(super) fn network_steps(&self, world: &World, found: &mut dyn FnMut(String, World)) {
        for at in 0..world.messages.len() {
            let mut rest = world.clone();
            let message = rest.messages.remove(at);
            let mut step = |name: &str, fault: bool, change: &dyn Fn(&mut World)| {
                if fault && rest.faults == 0 {
                    return;
                }
                let mut next = rest.clone();
                next.faults -= u8::from(fault);
                change(&mut next);
                found(format!("{name} {message:?}"), next);
            };
            match &message {
                Message::Write(place, op, write) => {
                    let told = |next: &mut World, finish| next.post(Message::Written(*place, *op, finish));
                    step("apply", false, &|next| {
                        let finish = next.apply(write);
                        next.tidy();
                        told(next, finish);
                    });
                    step("apply, lose the answer", true, &|next| {
                        next.apply(write);
                        told(next, Finish::Unknown);
                    });
                    step("delay, lose the answer", true, &|next| {
                        next.post(Message::LateWrite(write.clone()));
                        told(next, Finish::Unknown);
                    });
                    step("refuse", true, &|next| told(next, Finish::Refused));
                }
                Message::LateWrite(write) => step("apply late", false, &|next| {
                    next.apply(write);
                }),
                Message::Read(place, op) => {
                    step("read", false, &|next| {
                        let row = next.row.clone();
                        let seen = row.map_or(Seen::Nothing, |(version, body)| Seen::Row(version, body));
                        next.post(Message::Rows(*place, *op, seen));
                    });
                    step("fail", true, &|next| {
                        next.post(Message::Rows(*place, *op, Seen::Failure));
                    });
                }
                Message::Written(place, op, finish) => step("deliver", false, &|next| {
                    let ending = self.ending(*finish);
                    self.tell(next, *place, Event::Written { op: *op, ending });
                }),
                Message::Rows(place, op, seen) => step("deliver", false, &|next| {
                    let row = match seen.clone() {
                        Seen::Nothing => Ok(None),
                        Seen::Row(version, body) => Ok(Some(Row { version, body })),
                        Seen::Failure => Err(driver::Unreachable),
                    };
                    self.tell(next, *place, Event::Rows { op: *op, row });
                }),
                Message::Call(place) => {
                    let verdict = |next: &mut World, verdict| self.tell(next, *place, Event::Completed(verdict));
                    step("run", false, &|next| {
                        next.sendings[*place].runs += 1;
                        verdict(next, Completion::Answered(answer_of(*place)));
                    });
                    step("run, lose the answer", true, &|next| {
                        next.sendings[*place].runs += 1;
                        if self.defect == Defect::SendsAgain {
                            next.post(Message::Call(*place));
                        }
                        verdict(next, Completion::Lost);
                    });
                    step("refuse", true, &|next| {
                        let ran = self.defect == Defect::RefusesAfterRunning;
                        next.sendings[*place].runs += u8::from(ran);
                        verdict(next, Completion::Refused);
                    });
                }
            }
        }
    }
}
