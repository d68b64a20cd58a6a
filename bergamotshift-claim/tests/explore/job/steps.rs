//! What can happen next to the entries, the table and the runs.

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
    fn tell(&self, world: &mut World, place: usize, event: Event) {
        let Some(holder) = &mut world.holders[place] else {
            return;
        };
        for action in holder.runner.on(NOW, event) {
            self.carry_out(world, place, action);
        }
        world.tidy();
    }

    fn carry_out(&self, world: &mut World, place: usize, action: Action) {
        let running = |world: &mut World, running| {
            if let Some(holder) = &mut world.holders[place] {
                holder.running = running;
            }
        };
        match action {
            Action::Transact(writes) => {
                if self.defect == Defect::RepeatsResults && writes.len() > 1 {
                    world.post(Message::Late(without_conditions(writes.clone())));
                }
                world.post(Message::Transact(place, self.spoil(writes)));
            }
            Action::Read(_) => world.post(Message::Read(place)),
            Action::Start(_) => {
                running(world, true);
                world.note_started(place);
            }
            Action::Stop => running(world, false),
            Action::Wake(_) => {}
        }
    }

    fn spoil(&self, mut writes: Vec<Write>) -> Vec<Write> {
        let closes = writes.len() > 1;
        for write in &mut writes {
            let spoilt = match self.defect {
                Defect::ClosesUnconditionally => closes,
                Defect::ClosesWithoutLease => closes && write.key == ID.open_row(),
                Defect::TakesUnconditionally => !closes,
                Defect::None | Defect::RepeatsResults => false,
            };
            if spoilt {
                write.condition = Condition::Any;
            }
        }
        writes
    }

    pub(super) fn process_steps(&self, world: &World, found: &mut dyn FnMut(String, World)) {
        // Any entry may list and take the job at any time: a wrong idea of a lapsed lease is the worst case.
        if let (Some(open), true) = (&world.open, world.holders.len() < self.holders) {
            let mut next = world.clone();
            let place = next.holders.len();
            next.holders.push(Some(Holder {
                runner: runner(place, open),
                running: false,
                wakes: self.wakes,
            }));
            self.tell(&mut next, place, Event::Take);
            found(format!("take {place}"), next);
        }
        for (place, holder) in world.holders.iter().enumerate() {
            let Some(holder) = holder else { continue };
            let mut step = |name: &str, change: &dyn Fn(&mut World)| {
                let mut next = world.clone();
                change(&mut next);
                found(format!("{name} {place}"), next);
            };
            if holder.running {
                for (name, ran) in [
                    ("answer", Completion::Answered(Answer::default())),
                    ("run without an answer", Completion::Unknown),
                    ("not run", Completion::NotRun),
                ] {
                    step(name, &|next| {
                        if ran == Completion::NotRun {
                            next.note_not_run(place);
                        }
                        if let Some(holder) = &mut next.holders[place] {
                            holder.running = false;
                        }
                        self.tell(next, place, Event::Completed(ran.clone()));
                    });
                }
                step("leave", &|next| self.tell(next, place, Event::Leave));
            }
            if holder.runner.is_closed() {
                continue;
            }
            if holder.wakes > 0 {
                step("wake", &|next| {
                    if let Some(holder) = &mut next.holders[place] {
                        holder.wakes -= 1;
                    }
                    self.tell(next, place, Event::Woke);
                });
            }
            if world.crashes > 0 {
                step("crash", &|next| {
                    next.crashes -= 1;
                    next.holders[place] = None;
                    next.tidy();
                });
            }
        }
    }

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
                Message::Transact(place, writes) => {
                    let told = |next: &mut World, ending| next.post(Message::Written(*place, ending));
                    step("apply", false, &|next| {
                        let ending = next.apply(writes);
                        told(next, ending);
                    });
                    step("apply, lose the answer", true, &|next| {
                        next.apply(writes);
                        told(next, Ending::Unknown);
                    });
                    step("delay, lose the answer", true, &|next| {
                        next.post(Message::Late(writes.clone()));
                        told(next, Ending::Unknown);
                    });
                    step("refuse", true, &|next| told(next, Ending::Refused));
                }
                Message::Late(writes) => step("apply late", false, &|next| {
                    next.apply(writes);
                }),
                Message::Read(place) => {
                    step("read", false, &|next| {
                        let rows = [next.record.clone(), next.open.clone()];
                        next.post(Message::Rows(*place, Some(rows)));
                    });
                    step("fail", true, &|next| next.post(Message::Rows(*place, None)));
                }
                Message::Written(place, ending) => step("deliver", false, &|next| {
                    self.tell(next, *place, Event::Written(ending.clone()));
                }),
                Message::Rows(place, rows) => step("deliver", false, &|next| {
                    let rows = rows.clone().ok_or(Unreachable);
                    self.tell(next, *place, Event::Rows(rows));
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
