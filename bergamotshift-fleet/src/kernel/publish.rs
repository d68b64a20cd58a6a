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
    uses: BTreeMap<name::Organisation, (Instant, u8)>,
    zone_uses: BTreeMap<tag::Short, (Instant, u8)>,
    summaries: BTreeMap<name::Service, Instant>,
    beat: Instant,
    sequence: u16,
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
        let sequence = report.sequence as u16;
        let heard_at = self.loads.get(&tag).map(|heard| heard.at);
        let is_due = self
            .watches
            .is_due(now, endpoint, level, heard_at, interval, Self::REPEAT);
        let heard = Heard {
            sequence,
            level,
            at: now,
        };
        self.loads.insert(tag, heard);
        if !is_due {
            return;
        }
        self.watches.set_published(now, endpoint, level);
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
        let figures = self.usage.in_zone().len() * self.members.live_in(&self.me.zone).count();
        let interval = Self::pace(figures, self.settings.uses_per_second, Self::LEAST);
        let own: Vec<(name::Organisation, u8)> = self
            .usage
            .own()
            .map(|(organisation, rate)| (organisation.clone(), load::quantise(rate)))
            .collect();
        for (organisation, rate) in own {
            let last = self.published.uses.get(&organisation).copied();
            if !is_due(now, last, rate, interval, Self::REPEAT) {
                continue;
            }
            let usage = usage::Entry {
                organisation: tag::Short::of(&organisation),
                entry: self.tag.short(),
                sequence: self.next_sequence(),
                rate,
            };
            self.published.uses.insert(organisation, (now, rate));
            self.queue.push(now, Item::Use(usage), self.settings.sends_passing);
        }
    }

    fn publish_zone_uses(&mut self, now: Instant) {
        let rates = self.usage.in_zone();
        let interval = Self::pace(
            rates.len() * self.zones.len(),
            self.settings.uses_per_second.div_ceil(2),
            Self::LEAST_FAR,
        );
        let zone = tag::Short::of(&self.me.zone);
        for (organisation, rate) in rates {
            let rate = load::quantise(rate);
            let last = self.published.zone_uses.get(&organisation).copied();
            if !is_due(now, last, rate, interval, Self::REPEAT) {
                continue;
            }
            self.published.zone_uses.insert(organisation, (now, rate));
            let usage = usage::Zone {
                organisation,
                zone,
                sequence: self.usage.zone_sequence(organisation, zone).wrapping_add(1),
                rate,
            };
            self.usage.merge_zone(usage);
            self.queue.push(now, Item::ZoneUse(usage), self.settings.sends_passing);
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

/// Returns whether a figure is to be published: it changed and an interval passed, or several passed.
fn is_due(now: Instant, last: Option<(Instant, u8)>, rate: u8, interval: Duration, repeat: u32) -> bool {
    let Some((at, told)) = last else { return true };
    let since = now.since(at);
    (told != rate && since >= interval) || since >= interval * repeat
}
