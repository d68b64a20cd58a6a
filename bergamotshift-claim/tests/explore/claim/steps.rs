//! Steps of the callers, the processes, the table, the network and the endpoint.

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
    /// Emits the steps of the callers and the processes.
    pub(super) fn process_steps(&self, world: &World, emit: &mut dyn FnMut(String, World)) {
        for (index, sending) in world.sendings.iter().enumerate() {
            let mut step = |name: &str, change: &dyn Fn(&mut World)| {
                let mut next = world.clone();
                change(&mut next);
                emit(format!("{name} {index}"), next);
            };
            if sending.has_crashed {
                continue;
            }
            if !sending.is_started {
                step("ask", &|next| {
                    next.sendings[index].is_started = true;
                    self.handle(next, index, Event::Ask);
                });
                continue;
            }
            if sending.driver.is_closed() {
                continue;
            }
            if sending.driver.due().is_some() {
                step("wake", &|next| self.wake(next, index));
            }
            if sending.reply.is_none() && sending.sends == 0 {
                step("cancel", &|next| self.handle(next, index, Event::Cancel));
            }
            if world.crashes > 0 {
                step("crash", &|next| self.crash(next, index));
            }
        }
        if !world.is_past_deadline {
            let mut next = world.clone();
            next.is_past_deadline = true;
            emit("the deadline passes".to_owned(), next);
        }
    }

    pub(super) fn wake(&self, world: &mut World, index: usize) {
        let is_unanswered = world.sendings[index].reply.is_none();
        if self.defect == Defect::RepliesWithoutGivingUp && is_unanswered {
            let reason = Reason::Table;
            let retry_after = Duration::ZERO;
            self.reply(world, index, Reply::NotRun { reason, retry_after });
        } else {
            self.handle(world, index, Event::Woke);
        }
    }

    pub(super) fn crash(&self, world: &mut World, index: usize) {
        world.crashes -= 1;
        world.sendings[index].has_crashed = true;
        world.normalise();
        if self.defect == Defect::SendsAfterCrash && world.row.is_some() {
            world.post(Message::Call(index));
        }
    }

    /// Emits the steps of the table, the network and the endpoint.
    pub(super) fn network_steps(&self, world: &World, emit: &mut dyn FnMut(String, World)) {
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
                emit(format!("{name} {message:?}"), next);
            };
            match &message {
                Message::Write(index, op, write) => {
                    let report = |next: &mut World, finish| next.post(Message::Written(*index, *op, finish));
                    step("apply", false, &|next| {
                        let finish = next.apply(write);
                        next.normalise();
                        report(next, finish);
                    });
                    step("apply, lose the answer", true, &|next| {
                        next.apply(write);
                        report(next, Finish::Unknown);
                    });
                    step("delay, lose the answer", true, &|next| {
                        next.post(Message::LateWrite(write.clone()));
                        report(next, Finish::Unknown);
                    });
                    step("refuse", true, &|next| report(next, Finish::Refused));
                }
                Message::LateWrite(write) => step("apply late", false, &|next| {
                    next.apply(write);
                }),
                Message::Read(index, op) => {
                    step("read", false, &|next| {
                        let row = next.row.clone();
                        let reading = row.map_or(Reading::Nothing, |(version, body)| Reading::Row(version, body));
                        next.post(Message::Rows(*index, *op, reading));
                    });
                    step("fail", true, &|next| {
                        next.post(Message::Rows(*index, *op, Reading::Failure));
                    });
                }
                Message::Written(index, op, finish) => step("deliver", false, &|next| {
                    let ending = self.ending(*finish);
                    self.handle(next, *index, Event::Written { op: *op, ending });
                }),
                Message::Rows(index, op, reading) => step("deliver", false, &|next| {
                    let row = match reading.clone() {
                        Reading::Nothing => Ok(None),
                        Reading::Row(version, body) => Ok(Some(Row { version, body })),
                        Reading::Failure => Err(driver::Unreachable),
                    };
                    self.handle(next, *index, Event::Rows { op: *op, row });
                }),
                Message::Call(index) => {
                    let complete =
                        |next: &mut World, completion| self.handle(next, *index, Event::Completed(completion));
                    step("run", false, &|next| {
                        next.sendings[*index].runs += 1;
                        complete(next, Completion::Answered(answer_of(*index)));
                    });
                    step("run, lose the answer", true, &|next| {
                        next.sendings[*index].runs += 1;
                        if self.defect == Defect::SendsAgain {
                            next.post(Message::Call(*index));
                        }
                        complete(next, Completion::Lost);
                    });
                    step("refuse", true, &|next| {
                        let ran = self.defect == Defect::RefusesAfterRunning;
                        next.sendings[*index].runs += u8::from(ran);
                        complete(next, Completion::Refused);
                    });
                }
            }
        }
    }
}
