//! What can happen next to the clock, the entries, the table and the orders.

use bergamotshift_claim::driver::Unreachable;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Write;
use lease::Action;
use lease::Event;
use rand_pcg::Pcg64Mcg;

use super::Defect;
use super::Leases;
use super::Message;
use super::Order;
use super::World;
use super::lease;
use super::number;

impl Leases {
    fn tell(&self, world: &mut World, place: usize, event: Event) {
        let now = world.now();
        // The jitter is zero, so what is drawn does not matter.
        let mut random = Pcg64Mcg::new(1);
        let actions = world.processes[place].keeper.on(now, event, &mut random);
        for action in actions {
            match action {
                Action::Write(write) => {
                    let write = self.spoil(world, place, write);
                    world.post(Message::Write(place, write));
                }
                Action::Read(_) => world.post(Message::Read(place)),
                Action::Wake(at) => world.processes[place].due = Some(at),
                Action::Begin { number } => world.begin(number, place),
                Action::End => {}
            }
        }
    }

    fn spoil(&self, world: &World, place: usize, mut write: Write) -> Write {
        let bergamotshift_core::table::Change::Put(body) = &write.change else {
            panic!("a lease is only ever put");
        };
        let version = 0;
        let body = body.clone();
        let new = number(&bergamotshift_core::table::Row { version, body });
        let renews = world.begun.contains(&(new, place));
        let spoilt = match self.defect {
            Defect::TakesUnconditionally => !renews,
            Defect::RenewsUnconditionally => renews,
            _ => false,
        };
        if spoilt {
            write.condition = Condition::Any;
        }
        write
    }

    /// Returns what is heard of a word; believing an old one is the same as hearing that the holder gave up.
    fn distort(&self, word: lease::Notice) -> lease::Notice {
        match word {
            lease::Notice::Holds { number, .. } if self.defect == Defect::BelievesOldWords => {
                lease::Notice::GaveUp { number }
            }
            word => word,
        }
    }

    pub(super) fn process_steps(&self, world: &World, found: &mut dyn FnMut(String, World)) {
        let pressing = world.orders.iter().any(|order| order.given + self.pause <= world.time);
        if world.time < self.end && !pressing {
            let mut next = world.clone();
            next.time += 1;
            found("a second passes".to_owned(), next);
        }
        let now = world.now();
        for (place, process) in world.processes.iter().enumerate() {
            let mut step = |name: &str, change: &dyn Fn(&mut World)| {
                let mut next = world.clone();
                change(&mut next);
                found(format!("{name} {place}"), next);
            };
            // A process that is paused wakes at any time after it wanted to.
            if process.due.is_some_and(|due| now >= due) {
                step("wake", &|next| {
                    next.processes[place].due = None;
                    self.tell(next, place, Event::Woke);
                });
            }
            if process.words > 0
                && let Some(word) = process.keeper.notice(now)
            {
                step("say", &|next| {
                    next.processes[place].words -= 1;
                    next.post(Message::Notice(1 - place, self.distort(word)));
                });
            }
            let under_way = world.orders.iter().any(|order| order.from == place);
            let holds = process.keeper.permit(now, true);
            let may_give_up = !under_way || self.defect == Defect::GivesUpInWord;
            if process.gives_up
                && may_give_up
                && let Some(number) = holds
            {
                step("give up", &|next| {
                    next.processes[place].gives_up = false;
                    if self.defect == Defect::GivesUpInWord {
                        next.post(Message::Notice(1 - place, lease::Notice::GaveUp { number }));
                    } else {
                        self.tell(next, place, Event::GiveUp);
                    }
                });
            }
            if under_way {
                continue;
            }
            if let Some(number) = process.keeper.permit(now, false) {
                step("order", &|next| {
                    let given = next.time;
                    next.orders.push(Order {
                        number,
                        from: place,
                        given,
                    });
                    next.orders.sort_unstable();
                });
            }
            if self.resigns && !process.resigned && process.keeper.permit(now, true).is_some() {
                step("resign", &|next| {
                    next.processes[place].resigned = true;
                    next.processes[place].due = None;
                    self.tell(next, place, Event::Resign);
                });
            }
        }
    }

    pub(super) fn network_steps(&self, world: &World, found: &mut dyn FnMut(String, World)) {
        for at in 0..world.orders.len() {
            let mut next = world.clone();
            let order = next.orders.remove(at);
            next.arrive(order);
            found(format!("arrive {order:?}"), next);
        }
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
                Message::Write(place, write) => {
                    let told = |next: &mut World, ending| next.post(Message::Written(*place, ending));
                    step("apply", false, &|next| {
                        let ending = next.apply(write);
                        told(next, ending);
                    });
                    step("apply, lose the answer", true, &|next| {
                        next.apply(write);
                        told(next, Ending::Unknown);
                    });
                    step("delay, lose the answer", true, &|next| {
                        next.post(Message::Late(write.clone()));
                        told(next, Ending::Unknown);
                    });
                    step("refuse", true, &|next| told(next, Ending::Refused));
                }
                Message::Late(write) => step("apply late", false, &|next| {
                    next.apply(write);
                }),
                Message::Read(place) => {
                    step("read", false, &|next| {
                        let row = next.row.clone();
                        next.post(Message::Rows(*place, row, true));
                    });
                    step("fail", true, &|next| next.post(Message::Rows(*place, None, false)));
                }
                Message::Written(place, ending) => step("deliver", false, &|next| {
                    self.tell(next, *place, Event::Written(ending.clone()));
                }),
                Message::Notice(place, said) => step("hear", false, &|next| {
                    self.tell(next, *place, Event::Received(*said));
                }),
                Message::Rows(place, row, answered) => step("deliver", false, &|next| {
                    let row = if *answered { Ok(row.clone()) } else { Err(Unreachable) };
                    self.tell(next, *place, Event::Rows(row));
                }),
            }
        }
    }
}
