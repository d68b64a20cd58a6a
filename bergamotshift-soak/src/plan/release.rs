//! Draws of releases of a service, and of trouble about them.

use core::ops::Range;
use core::time::Duration;

use bergamotshift_metadata_standin::Fault;

use super::CALM;
use super::Draw;
use super::Handover;
use super::LATE_MS;
use super::Plan;
use super::Size;
use super::Step;
use crate::proxy::Mode;
use crate::site::SERVICES;

/// Time from the end of a release to the next one, in milliseconds: also longer than endpoints that go stay registered.
pub(super) const GAP_MS: Range<u64> = 500..4_500;

/// Time from one endpoint of a release to the next, and between the two of a place, in milliseconds.
const TURN_MS: Range<u64> = 50..1_000;

/// How long before a release they begin to, in milliseconds.
pub(super) const BEFORE_MS: Range<u64> = 0..400;

/// How long entries stand still or are cut off from the store, in milliseconds.
pub(super) const AWAY_MS: Range<u64> = 500..5_000;

/// When trouble begins, in milliseconds after the release.
const AFTER_MS: Range<u64> = 0..3_000;

/// How long killed entries are gone, in milliseconds.
const GONE_MS: Range<u64> = 200..3_000;

/// First version of the releases without trouble.
const QUIET_VERSION: u64 = 101;

impl Plan {
    /// Draws releases of the services and trouble about them, and adds them; the other steps stay as they are.
    #[must_use]
    pub fn with_releases(mut self, seed: u64, size: Size) -> Self {
        // Another number than those of the steps before.
        let mut draw = Draw::new(seed, size, 9);
        draw.releases(2, true);
        self.steps.extend(draw.steps);
        self.steps.sort_by_key(|(at, _)| *at);
        self
    }

    /// Draws releases of the services without any other trouble.
    #[must_use]
    pub fn quiet_releases(seed: u64, size: Size) -> Self {
        let mut draw = Draw::new(seed, size, 10);
        draw.releases(QUIET_VERSION, false);
        draw.steps.sort_by_key(|(at, _)| *at);
        Self { steps: draw.steps }
    }
}

impl Draw {
    /// Draws releases of one service after the other; the first version of each is 1.
    fn releases(&mut self, first: u64, has_trouble: bool) {
        let mut versions = [(first, 1); SERVICES.len()];
        let mut at = CALM + self.within(GAP_MS);
        let mut service = self.below(SERVICES.len() as u64) as usize;
        while at < self.size.span {
            let (mut next, mut current) = versions[service];
            let before = current;
            if next == first || self.below(4) > 0 {
                current = next;
                next += 1;
            } else {
                current = current.saturating_sub(1).max(1);
            }
            let end = self.release(at, service, current);
            if has_trouble {
                for _ in 0..=self.below(2) {
                    self.away(at);
                }
                for _ in 0..=self.below(2) {
                    if self.trouble(at, service, before) {
                        current = before;
                    }
                }
            }
            versions[service] = (next, current);
            at = end + self.within(GAP_MS);
            service = (service + 1) % SERVICES.len();
        }
    }

    /// Draws a release of a version to all endpoints of a service or half of them, and returns its end.
    fn release(&mut self, at: Duration, service: usize, version: u64) -> Duration {
        let endpoints = self.size.endpoints;
        let (first, is_partial) = (self.below(endpoints as u64) as usize, self.below(4) == 0);
        let count = if is_partial { endpoints.div_ceil(2) } else { endpoints };
        let turn = if self.below(3) == 0 {
            Duration::ZERO
        } else {
            self.within(TURN_MS)
        };
        let overlap = self.within(TURN_MS);
        let (joins, goes) = if self.below(2) == 0 {
            (Duration::ZERO, overlap)
        } else {
            (overlap, Duration::ZERO)
        };
        let crashes = self.below(2) == 0;
        let handover = Handover { joins, goes, crashes };
        let mut due = at;
        for number in first..first + count {
            let place = number % endpoints * SERVICES.len() + service;
            self.push(due, Step::Replace(place, version, handover));
            due += turn;
        }
        due + overlap
    }

    /// Draws an entry that is out of step from before a release on: it stands still, or is cut off from the store.
    fn away(&mut self, release: Duration) {
        let from = release.saturating_sub(self.within(BEFORE_MS));
        let until = from + self.within(AWAY_MS);
        let entry = self.entry();
        if self.below(3) > 0 {
            self.push(from, Step::Freeze(entry));
            self.push(until, Step::Thaw(entry));
        } else {
            let mode = self.mode();
            self.push(from, Step::Link(entry, mode));
            self.push(until, Step::Link(entry, Mode::Pass));
        }
    }

    /// Draws trouble of entries or of the store after a release of a service began; returns whether all its endpoints crash as
    /// well, and those that take their places have the version before.
    fn trouble(&mut self, release: Duration, service: usize, before: u64) -> bool {
        let at = release + self.within(AFTER_MS);
        let (away, gone) = (self.within(AWAY_MS), self.within(GONE_MS));
        let entry = self.entry();
        match self.below(5) {
            0 | 1 => {
                for entry in 0..self.size.entries {
                    self.push(at, Step::Kill(entry));
                    self.push(at + gone, Step::Start(entry));
                }
                let goes_back = self.below(3) > 0;
                let handover = Handover {
                    crashes: true,
                    ..Handover::default()
                };
                let places = (service..self.size.endpoints * SERVICES.len()).step_by(SERVICES.len());
                for place in places.filter(|_| goes_back) {
                    self.steps
                        .retain(|(due, step)| *due < at || !matches!(step, Step::Replace(own, ..) if *own == place));
                    self.push(at, Step::Replace(place, before, handover));
                }
                return goes_back;
            }
            2 => {
                self.push(at, Step::Kill(entry));
                self.push(at + gone, Step::Start(entry));
            }
            3 => {
                self.push(at, Step::Stop(entry));
                self.push(at, Step::ResetLink(self.size.entries - 1 - entry));
            }
            _ => {
                let late = self.within(LATE_MS);
                self.push(release, Step::Spell(Fault::Late(late), away, 0));
            }
        }
        false
    }
}
