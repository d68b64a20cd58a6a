//! Steps of the entries, the table and the runs.

use bergamotshift_claim::driver::Unreachable;
use bergamotshift_claim::job;
use bergamotshift_claim::prelude::*;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Write;
use job::Action;
use job::Completion;
use job::Event;

use super::Defect;
use super::Holder;
use super::ID;
use super::Jobs;
use super::Message;
use super::NOW;
use super::World;
use super::runner;

impl Jobs {
    fn handle(&self, world: &mut World, index: usize, event: Event) {
        let Some(holder) = &mut world.holders[index] else {
            return;
        };
        for action in holder.runner.on(NOW, event) {
            self.carry_out(world, index, action);
        }
        world.normalise();
    }

    fn carry_out(&self, world: &mut World, index: usize, action: Action) {
        let set_running = |world: &mut World, is_running| {
            if let Some(holder) = &mut world.holders[index] {
                holder.is_running = is_running;
            }
        };
        match action {
            Action::Transact(writes) => {
                if self.defect == Defect::RepeatsResults && writes.len() > 1 {
                    world.post(Message::Late(without_conditions(writes.clone())));
                }
                world.post(Message::Transact(index, self.inject_defect(writes)));
            }
            Action::Read(_) => world.post(Message::Read(index)),
            Action::Start(_) => {
                set_running(world, true);
                world.record_started(index);
            }
            Action::Stop => set_running(world, false),
            Action::Wake(_) => {}
        }
    }

    fn inject_defect(&self, mut writes: Vec<Write>) -> Vec<Write> {
        let is_closing = writes.len() > 1;
        for write in &mut writes {
            let is_defective = match self.defect {
                Defect::ClosesUnconditionally => is_closing,
                Defect::ClosesWithoutLease => is_closing && write.key == ID.open_row(),
                Defect::TakesUnconditionally => !is_closing,
                Defect::None | Defect::RepeatsResults => false,
            };
            if is_defective {
                write.condition = Condition::Any;
            }
        }
        writes
    }

    pub(super) fn process_steps(&self, world: &World, emit: &mut dyn FnMut(String, World)) {
        // Any entry may list and take the job at any time, which includes the worst case of a lease that is wrongly
        // assumed to have expired.
        if let (Some(open), true) = (&world.open, world.holders.len() < self.holders) {
            let mut next = world.clone();
            let index = next.holders.len();
            next.holders.push(Some(Holder {
                runner: runner(index, open),
                is_running: false,
                wakes: self.wakes,
            }));
            self.handle(&mut next, index, Event::Take);
            emit(format!("take {index}"), next);
        }
        for (index, holder) in world.holders.iter().enumerate() {
            let Some(holder) = holder else { continue };
            let mut step = |name: &str, change: &dyn Fn(&mut World)| {
                let mut next = world.clone();
                change(&mut next);
                emit(format!("{name} {index}"), next);
            };
            if holder.is_running {
                for (name, completion) in [
                    ("answer", Completion::Answered(Answer::default())),
                    ("run without an answer", Completion::Unknown),
                    ("not run", Completion::NotRun),
                ] {
                    step(name, &|next| {
                        if completion == Completion::NotRun {
                            next.record_not_run(index);
                        }
                        if let Some(holder) = &mut next.holders[index] {
                            holder.is_running = false;
                        }
                        self.handle(next, index, Event::Completed(completion.clone()));
                    });
                }
                step("leave", &|next| self.handle(next, index, Event::Leave));
            }
            if holder.runner.is_closed() {
                continue;
            }
            if holder.wakes > 0 {
                step("wake", &|next| {
                    if let Some(holder) = &mut next.holders[index] {
                        holder.wakes -= 1;
                    }
                    self.handle(next, index, Event::Woke);
                });
            }
            if world.crashes > 0 {
                step("crash", &|next| {
                    next.crashes -= 1;
                    next.holders[index] = None;
                    next.normalise();
                });
            }
        }
    }

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
                Message::Transact(index, writes) => {
                    let report = |next: &mut World, ending| next.post(Message::Written(*index, ending));
                    step("apply", false, &|next| {
                        let ending = next.apply(writes);
                        report(next, ending);
                    });
                    step("apply, lose the answer", true, &|next| {
                        next.apply(writes);
                        report(next, Ending::Unknown);
                    });
                    step("delay, lose the answer", true, &|next| {
                        next.post(Message::Late(writes.clone()));
                        report(next, Ending::Unknown);
                    });
                    step("refuse", true, &|next| report(next, Ending::Refused));
                }
                Message::Late(writes) => step("apply late", false, &|next| {
                    next.apply(writes);
                }),
                Message::Read(index) => {
                    step("read", false, &|next| {
                        let rows = [next.record.clone(), next.open.clone()];
                        next.post(Message::Rows(*index, Some(rows)));
                    });
                    step("fail", true, &|next| next.post(Message::Rows(*index, None)));
                }
                Message::Written(index, ending) => step("deliver", false, &|next| {
                    self.handle(next, *index, Event::Written(ending.clone()));
                }),
                Message::Rows(index, rows) => step("deliver", false, &|next| {
                    let rows = rows.clone().ok_or(Unreachable);
                    self.handle(next, *index, Event::Rows(rows));
                }),
            }
        }
    }
}

fn without_conditions(mut writes: Vec<Write>) -> Vec<Write> {
    for write in &mut writes {
        write.condition = Condition::Any;
    }
    writes
}
