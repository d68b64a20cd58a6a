//! Schedule of the kernel's recurring tasks.

use core::time::Duration;

use bergamotshift_core::clock::Instant;
use rand::RngExt;

use super::Action;
use super::Kernel;

/// Next time of each recurring task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Schedule {
    pub(super) probe: Instant,
    pub(super) zone_probe: Instant,
    pub(super) housekeeping: Instant,
    pub(super) reconnect: Instant,
    pub(super) flush: Option<Instant>,
}

impl Schedule {
    pub(super) const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);
    pub(super) const RECONNECT_INTERVAL: Duration = Duration::from_secs(10);

    pub(super) const fn new(now: Instant) -> Self {
        Self {
            probe: now,
            zone_probe: now,
            housekeeping: now,
            reconnect: now,
            flush: None,
        }
    }

    /// Restarts all tasks after a pause, so that missed rounds are not made up for in a burst.
    pub(super) const fn restart(&mut self, now: Instant) {
        self.probe = now;
        self.zone_probe = now;
        self.housekeeping = now;
        self.reconnect = now;
    }
}

impl Kernel {
    /// Returns the latest time at which [`Kernel::handle`] has to be called next.
    pub fn due(&self) -> Instant {
        let schedule = &self.schedule;
        let mut due = schedule.probe.min(schedule.housekeeping).min(schedule.zone_probe);
        due = due.min(schedule.reconnect);
        due = due.min(schedule.flush.unwrap_or(Instant::MAX));
        let probes = self.probes.values().map(|probe| probe.deadline);
        let suspects = self.suspects.values().copied();
        probes.chain(suspects).fold(due, Instant::min)
    }

    /// Gives each entry a random phase, so that entries started together do not send at the same time.
    pub(super) fn randomise_phases(&mut self, now: Instant) {
        let mut phase = |length: Duration| now + length.mul_f64(self.random.random::<f64>());
        self.schedule.probe = phase(self.settings.probe_interval);
        self.schedule.zone_probe = phase(self.settings.zone_probe_interval);
        self.schedule.housekeeping = phase(Schedule::HOUSEKEEPING_INTERVAL / 4);
        self.schedule.reconnect = phase(Schedule::RECONNECT_INTERVAL);
    }

    /// Runs all tasks that are due.
    pub(super) fn run_due(&mut self, now: Instant, out: &mut Vec<Action>) {
        if now >= self.schedule.housekeeping {
            self.schedule.housekeeping = now + Schedule::HOUSEKEEPING_INTERVAL;
            self.run_housekeeping(now, out);
        }
        self.advance_probes(now, out);
        self.expire_suspects(now, out);
        if now >= self.schedule.probe {
            self.schedule.probe = next_round(self.schedule.probe, now, self.settings.probe_interval);
            self.probe_next(now, out);
        }
        if now >= self.schedule.zone_probe {
            self.schedule.zone_probe = next_round(self.schedule.zone_probe, now, self.settings.zone_probe_interval);
            self.probe_zone(now, out);
        }
        if now >= self.schedule.reconnect {
            self.schedule.reconnect = now + Schedule::RECONNECT_INTERVAL;
            self.reconnect(now, out);
        }
        if self.schedule.flush.is_some_and(|at| now >= at) {
            self.flush_urgent(out);
        }
    }

    fn run_housekeeping(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.refresh_speakers();
        self.refresh_watches(out);
        self.join(out);
        self.publish(now);
        self.expire_state(now);
    }
}

/// Returns the time of the next round, or one period from now if rounds were missed.
fn next_round(last: Instant, now: Instant, period: Duration) -> Instant {
    let next = last + period;
    if next > now { next } else { now + period }
}
