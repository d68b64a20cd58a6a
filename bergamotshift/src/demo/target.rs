//! Faults, carried out on the demo's processes.

use core::time::Duration;

use crate::core::name;
use crate::core::vm::Listing;
use crate::core::vm::State;
use crate::demo::Site;
use crate::demo::site::Member;
use crate::demo::worker::Worker;
use crate::load::fault::Action;
use crate::load::fault::Error;
use crate::load::fault::Place;
use crate::load::fault::Target;
use crate::load::fault::Trouble;
use crate::standin::fault::Fault;

/// What is left of an entry's time after a kill.
const AT_ONCE: Duration = Duration::ZERO;

impl Site {
    fn struck_workers<'a>(&'a self, place: &'a Place) -> impl Iterator<Item = &'a Worker> {
        self.workers().iter().filter(move |worker| match place {
            Place::Endpoint(vm) => worker.listing.name == *vm,
            Place::Zone(zone) => worker.listing.zone == *zone,
            Place::Entry(_) => false,
        })
    }

    fn known(&self, place: &Place) -> bool {
        let members = self.members();
        let entry = members.iter().any(|member| struck_member(member, place));
        entry || self.struck_workers(place).next().is_some()
    }

    /// Tells the platform's list that the place is leaving; the list tells the entries.
    fn announce(&self, place: &Place, notice: Duration) -> Vec<name::Vm> {
        let notice_ms = u64::try_from(notice.as_millis()).unwrap_or(u64::MAX);
        let leaving = |worker: &Worker| {
            self.platform().vms.notice(Listing {
                state: State::Leaving { notice_ms },
                ..worker.listing.clone()
            });
            worker.listing.name.clone()
        };
        self.struck_workers(place).map(leaving).collect()
    }

    fn kill(&self, place: &Place) {
        for worker in self.struck_workers(place) {
            worker.server.kill();
            self.platform().vms.remove(&worker.listing.name);
        }
        self.stop_members(place, AT_ONCE);
    }

    /// Stops the entries of a place, each on a thread of its own, so that they drain side by side.
    fn stop_members(&self, place: &Place, grace: Duration) {
        let mut members = self.members();
        let struck = members.iter_mut().filter(|member| struck_member(member, place));
        for handle in struck.filter_map(|member| member.handle.take()) {
            std::thread::spawn(move || {
                if grace > AT_ONCE {
                    handle.drain(grace);
                }
                drop(handle);
            });
        }
    }
}

fn struck_member(member: &Member, place: &Place) -> bool {
    match place {
        Place::Entry(name) => member.name == *name,
        Place::Zone(zone) => member.zone == *zone,
        Place::Endpoint(_) => false,
    }
}

impl Target for Site {
    fn begin(&self, action: &Action) -> Result<Vec<name::Vm>, Error> {
        match action {
            Action::Reclaim { place, .. } | Action::Kill { place } | Action::Pause { place, .. }
                if !self.known(place) =>
            {
                Err(Error::Unknown(format!("{place:?}")))
            }
            Action::Reclaim { place, notice } => {
                let leaving = self.announce(place, *notice);
                self.stop_members(place, *notice);
                Ok(leaving)
            }
            Action::Kill { place } => {
                self.kill(place);
                Ok(Vec::new())
            }
            Action::Pause { place, .. } => {
                self.struck_workers(place).for_each(|worker| worker.server.pause());
                Ok(Vec::new())
            }
            Action::Platform { trouble, amount, .. } => {
                self.platform().fault(&match trouble {
                    Trouble::Down => Fault::Down,
                    Trouble::Slow => Fault::Slow { ms: u64::from(*amount) },
                    Trouble::LosingAnswers => Fault::LoseAnswerAfterWrite { count: *amount },
                });
                Ok(Vec::new())
            }
            Action::Cut { .. } => Err(Error::Unsupported("the demo's zones share one loopback".to_owned())),
            Action::Poison { marker, .. } => {
                let fault = Fault::CrashOn {
                    marker: marker.to_string(),
                };
                self.workers()
                    .iter()
                    .for_each(|worker| worker.server.fault(fault.clone()));
                Ok(Vec::new())
            }
        }
    }

    fn end(&self, action: &Action) -> Result<(), Error> {
        match action {
            Action::Reclaim { place, .. } => self.kill(place),
            Action::Pause { place, .. } => {
                self.struck_workers(place).for_each(|worker| worker.server.resume());
            }
            Action::Platform {
                trouble: Trouble::Down, ..
            } => self.platform().fault(&Fault::Up),
            Action::Platform { .. } => self.platform().fault(&Fault::Clear),
            Action::Kill { .. } | Action::Cut { .. } | Action::Poison { .. } => {}
        }
        Ok(())
    }
}
