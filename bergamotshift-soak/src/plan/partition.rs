//! Draws of entries that are cut off from each other while versions are released.

use core::time::Duration;

use super::Draw;
use super::Plan;
use super::Size;
use super::Step;
use super::release::AWAY_MS;
use super::release::BEFORE_MS;
use super::release::GAP_MS;
use crate::proxy::Cut;
use crate::proxy::Mode;
use crate::proxy::Way;

impl Plan {
    /// Draws entries that are cut off from each other from before a release on, and adds them; the other steps stay as they
    /// are.
    #[must_use]
    pub fn with_partitions(mut self, seed: u64, size: Size) -> Self {
        // Another number than those of the steps before.
        let mut draw = Draw::new(seed, size, 11);
        let mut next = Duration::ZERO;
        for (at, step) in &self.steps {
            if matches!(step, Step::Replace(..)) && *at >= next {
                for _ in 0..=draw.below(2) {
                    draw.partition(*at);
                }
                next = *at + draw.within(GAP_MS);
            }
        }
        self.steps.extend(draw.steps);
        self.steps.sort_by_key(|(at, _)| *at);
        self
    }
}

impl Draw {
    /// Draws an entry that is cut off from one other or all of them, in one way or both, and in one of two cases from the store
    /// as well.
    fn partition(&mut self, release: Duration) {
        let from = release.saturating_sub(self.within(BEFORE_MS));
        let until = from + self.within(AWAY_MS);
        let (entry, entries) = (self.entry(), self.size.entries);
        let other = (entry + 1 + self.below(entries.max(2) as u64 - 1) as usize) % entries;
        let (cut, way) = (Cut::ALL[self.below(3) as usize], self.way());
        if self.below(4) == 0 {
            self.push(from, Step::Approach(entry, Mode::Hold(way)));
            self.push(until, Step::Approach(entry, Mode::Pass));
        } else {
            let is_alone = self.below(2) == 0;
            for other in (0..entries).filter(|one| *one != entry && (is_alone || *one == other)) {
                let pairs = [(Way::Back, entry, other), (Way::Forth, other, entry)];
                for (_, from_entry, to_entry) in pairs.into_iter().filter(|(spared, ..)| *spared != way) {
                    self.push(from, Step::Separate(from_entry, to_entry, Some(cut)));
                    self.push(until, Step::Separate(from_entry, to_entry, None));
                }
            }
        }
        if self.below(2) == 0 {
            self.push(from, Step::Link(entry, Mode::Hold(Way::Both)));
            self.push(until, Step::Link(entry, Mode::Pass));
        }
    }
}
