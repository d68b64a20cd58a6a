//! When the kernel does what.

use core::time::Duration;

use bergamotshift_core::clock::Instant;
use rand::RngExt;

use super::Action;
use super::Kernel;

/// The next time of each recurring task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Schedule {
    pub(super) probe: Instant,
    pub(super) cross: Instant,
    pub(super) housekeeping: Instant,
    pub(super) reconnect: Instant,
    pub(super) flush: Option<Instant>,
}

impl Schedule {
    pub(super) const HOUSEKEEPING: Duration = Duration::from_secs(1);
    pub(super) const RECONNECT: Duration = Duration::from_secs(10);

    pub(super) const fn new(now: Instant) -> Self {
        Self {
            probe: now,
            cross: now,
            housekeeping: now,
            reconnect: now,
            flush: None,
        }
    }

    /// Starts all tasks anew after a pause, so that missed rounds are not made up for in one burst.
    pub(super) const fn restart(&mut self, now: Instant) {
        self.probe = now;
        self.cross = now;
        self.housekeeping = now;
        self.reconnect = now;
    }
}

impl Kernel {
    /// Returns the time at which the kernel has to be called next, at the latest.
    pub fn due(&self) -> Instant {
        let schedule = &self.schedule;
        let mut due = schedule.probe.min(schedule.housekeeping).min(schedule.cross);
        due = due.min(schedule.reconnect);
        due = due.min(schedule.flush.unwrap_or(Instant::MAX));
        let probes = self.probes.values().map(|probe| probe.next);
        let suspects = self.suspects.values().copied();
        probes.chain(suspects).fold(due, Instant::min)
    }

    /// Gives each entry its own phase, so that entries started together do not send together.
    pub(super) fn spread_phases(&mut self, now: Instant) {
        let mut phase = |length: Duration| now + length.mul_f64(self.random.random::<f64>());
        self.schedule.probe = phase(self.settings.probe_interval);
        self.schedule.cross = phase(self.settings.zone_probe_interval);
        self.schedule.housekeeping = phase(Schedule::HOUSEKEEPING / 4);
        self.schedule.reconnect = phase(Schedule::RECONNECT);
    }

    /// Does all that is due.
    pub(super) fn run_due(&mut self, now: Instant, out: &mut Vec<Action>) {
        if now >= self.schedule.housekeeping {
            self.schedule.housekeeping = now + Schedule::HOUSEKEEPING;
            self.keep_house(now, out);
        }
        self.advance_probes(now, out);
        self.expire_suspects(now, out);
        if now >= self.schedule.probe {
            self.schedule.probe = next(self.schedule.probe, now, self.settings.probe_interval);
            self.probe_next(now, out);
        }
        if now >= self.schedule.cross {
            self.schedule.cross = next(self.schedule.cross, now, self.settings.zone_probe_interval);
            self.probe_zone(now, out);
        }
        if now >= self.schedule.reconnect {
            self.schedule.reconnect = now + Schedule::RECONNECT;
            self.reconnect(now, out);
        }
        if self.schedule.flush.is_some_and(|at| now >= at) {
            self.flush(out);
        }
    }

    fn keep_house(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.refresh_speakers();
        self.refresh_watches(out);
        self.join(out);
        self.publish(now);
        self.forget(now);
    }
}

/// Returns the time after `last`, or one period from now when rounds were missed.
fn next(last: Instant, now: Instant, period: Duration) -> Instant {
    let next = last + period;
    if next > now { next } else { now + period }
}
