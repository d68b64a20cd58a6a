//! Figures that are published again and again, at a pace that keeps their sum flat as the fleet grows.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::clock::Instant;
use bergamotshift_core::load::Report;
use bergamotshift_core::name;

use super::Action;
use super::Heard;
use super::Kernel;
use crate::endpoint;
use crate::load;
use crate::mark;
use crate::tag;
use crate::usage;
use crate::wire::Item;
use crate::zone;

/// When this entry last published what.
#[derive(Clone, Debug, Default)]
pub(super) struct Published {
    uses: Told,
    zone_uses: Told,
    summaries: BTreeMap<name::Service, Instant>,
    beat: Instant,
    sequence: u16,
}

/// The rates last published, and when.
#[derive(Clone, Debug, Default)]
struct Told {
    at: Instant,
    rates: Vec<usage::Rate>,
}

/// Sums over a service's endpoints in this zone.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    endpoints: u32,
    slots: u32,
    busy: u32,
    prefill: u32,
}

impl Kernel {
    /// An unchanged figure is repeated after this many intervals, for those who missed it.
    const REPEAT: u32 = 5;
    /// The least time between two publications of one figure.
    const LEAST: Duration = Duration::from_secs(1);
    /// The least time between two publications of one figure between zones.
    const LEAST_FAR: Duration = Duration::from_secs(2);

    pub(super) fn publish(&mut self, now: Instant) {
        self.publish_uses(now);
        if self.rank().is_none() {
            return;
        }
        self.publish_beat(now);
        if self.rank().is_some_and(|(rank, _)| rank == 0) {
            self.publish_summaries(now);
            self.publish_zone_uses(now);
            self.rotate(now);
        }
    }

    /// Takes in the load of an endpoint that this entry watches.
    pub(super) fn loaded(&mut self, now: Instant, endpoint: &endpoint::Id, report: &Report, out: &mut Vec<Action>) {
        if report.leaving {
            self.mark(now, endpoint.clone(), mark::Source::Endpoint, None, out);
        }
        let interval = self.load_interval();
        let tag = endpoint.tag();
        let level = load::Level::of(report);
        let sequence = report.sequence;
        let is_due = self.watches.is_due(now, endpoint, level, interval, Self::REPEAT);
        let heard = Heard {
            sequence,
            level,
            at: now,
        };
        self.loads.insert(tag, heard);
        if !is_due {
            return;
        }
        self.watches.set_published(now, endpoint, level, sequence);
        let load = load::Load {
            endpoint: tag,
            sequence,
            level,
            age_ds: 0,
        };
        self.queue.push(now, Item::Load(load), self.settings.sends_passing);
    }

    /// Returns the time between two publications of one endpoint's load.
    fn load_interval(&self) -> Duration {
        let count = self.directory.iter().filter(|known| known.zone == self.me.zone).count();
        Self::pace(count, self.settings.loads_per_second, Self::LEAST)
    }

    fn publish_uses(&mut self, now: Instant) {
        let rates: Vec<usage::Rate> = self
            .usage
            .own()
            .map(|(organisation, rate)| usage::Rate {
                organisation: tag::Short::of(organisation),
                level: load::quantise(rate),
            })
            .collect();
        let publishers = self.members.live_in(&self.me.zone).count() * parts(&rates);
        let interval = Self::pace(publishers, self.settings.uses_per_second, Self::LEAST);
        if self.published.uses.is_due(now, &rates, interval) {
            let sequence = self.next_sequence();
            self.queue_uses(now, usage::Place::Entry(self.tag.short()), sequence, &rates);
            self.published.uses.set(now, rates);
        }
    }

    fn publish_zone_uses(&mut self, now: Instant) {
        let sums = self.usage.in_zone();
        let rates: Vec<usage::Rate> = sums
            .into_iter()
            .map(|(organisation, rate)| usage::Rate {
                organisation,
                level: load::quantise(rate),
            })
            .collect();
        let per_second = self.settings.uses_per_second.div_ceil(3);
        let interval = Self::pace(self.zones.len() * parts(&rates), per_second, Self::LEAST_FAR);
        if self.published.zone_uses.is_due(now, &rates, interval) {
            let zone = tag::Short::of(&self.me.zone);
            let sequence = self.usage.zone_sequence(zone).wrapping_add(1);
            self.queue_uses(now, usage::Place::Zone(zone), sequence, &rates);
            self.published.zone_uses.set(now, rates);
        }
    }

    fn queue_uses(&mut self, now: Instant, place: usage::Place, sequence: u16, rates: &[usage::Rate]) {
        for (part, rates) in rates.chunks(usage::Use::MOST).enumerate() {
            let usage = usage::Use {
                place,
                part: part as u8,
                sequence,
                rates: rates.to_vec(),
            };
            if matches!(place, usage::Place::Zone(_)) {
                self.usage.merge(&usage);
            }
            self.queue.push(now, Item::Use(usage), self.settings.sends_passing);
        }
    }

    fn publish_beat(&mut self, now: Instant) {
        let speakers: usize = self
            .zones
            .keys()
            .map(|zone| zone::speaker_count(self.members.live_in(zone).count()))
            .sum();
        let interval = Self::pace(
            speakers,
            self.settings.summaries_per_second.div_ceil(3),
            Self::LEAST_FAR,
        );
        if now.since(self.published.beat) < interval {
            return;
        }
        self.published.beat = now;
        let beat = zone::Beat {
            zone: tag::Short::of(&self.me.zone),
            speaker: self.tag.short(),
            sequence: self.next_sequence(),
            lost: self.lost_zones(),
        };
        if let Some(view) = self.zones.get_mut(&self.me.zone) {
            view.merge(now, &beat);
        }
        self.queue.push(now, Item::Beat(beat), self.settings.sends_passing);
    }

    fn publish_summaries(&mut self, now: Instant) {
        let sums = self.sums();
        let count = sums.len() * self.zones.len();
        let per_second = (self.settings.summaries_per_second * 2).div_ceil(3);
        let interval = Self::pace(count, per_second, Self::LEAST_FAR);
        let zone = tag::Short::of(&self.me.zone);
        for (service, sum) in sums {
            let last = self.published.summaries.get(&service);
            if last.is_some_and(|last| now.since(*last) < interval) {
                continue;
            }
            let tag = tag::Short::of(&service);
            let known = self.summaries.get(&(zone, tag)).map_or(0, |known| known.sequence);
            let summary = zone::Summary {
                zone,
                service: tag,
                sequence: known.wrapping_add(1),
                endpoints: load::quantise(sum.endpoints),
                slots: load::quantise(sum.slots),
                busy: load::quantise(sum.busy),
                prefill: load::quantise(sum.prefill),
            };
            self.published.summaries.insert(service, now);
            self.summaries.insert((zone, tag), summary);
            self.queue
                .push(now, Item::Summary(summary), self.settings.sends_passing);
        }
    }

    /// Sums the loads of this zone's endpoints that take work, per service.
    fn sums(&self) -> BTreeMap<name::Service, Sum> {
        let mut sums: BTreeMap<name::Service, Sum> = BTreeMap::new();
        for known in self.directory.iter().filter(|known| known.zone == self.me.zone) {
            let sum = sums.entry(known.service.clone()).or_default();
            if self.marks.contains(&known.id) {
                continue;
            }
            sum.endpoints += 1;
            let Some(heard) = self.loads.get(&known.id.tag()) else {
                continue;
            };
            let report = heard.level.report(0);
            sum.slots += report.slots;
            sum.busy += report.running + report.waiting;
            sum.prefill = sum.prefill.saturating_add(report.prefill_backlog);
        }
        sums
    }

    const fn next_sequence(&mut self) -> u16 {
        self.published.sequence = self.published.sequence.wrapping_add(1);
        self.published.sequence
    }
}

impl Told {
    /// Returns whether rates are to be published: they changed and an interval passed, or several passed.
    fn is_due(&self, now: Instant, rates: &[usage::Rate], interval: Duration) -> bool {
        let since = now.since(self.at);
        (self.rates != rates && since >= interval) || since >= interval * Kernel::REPEAT
    }

    fn set(&mut self, now: Instant, rates: Vec<usage::Rate>) {
        self.at = now;
        self.rates = rates;
    }
}

/// Returns how many publications these rates take.
const fn parts(rates: &[usage::Rate]) -> usize {
    rates.len().div_ceil(usage::Use::MOST)
}
