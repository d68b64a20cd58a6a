//! Values that are published repeatedly, at a rate that keeps the total traffic constant as the fleet grows.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::clock::Instant;
use bergamotshift_core::load::Report;
use bergamotshift_core::name;

use super::Action;
use super::Kernel;
use super::Sample;
use crate::endpoint;
use crate::load;
use crate::mark;
use crate::tag;
use crate::usage;
use crate::wire::Item;
use crate::zone;

/// Times and values of this entry's last publications.
#[derive(Clone, Debug, Default)]
pub(super) struct Published {
    usages: Publication,
    zone_usages: Publication,
    summaries: BTreeMap<name::Service, Instant>,
    heartbeat: Instant,
    sequence: u16,
}

/// Last published rates, with the time of publication.
#[derive(Clone, Debug, Default)]
struct Publication {
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
    /// Number of intervals after which an unchanged value is published again, for members that missed it.
    const REPEAT_INTERVALS: u32 = 5;
    /// Minimum interval between two publications of a value.
    const MIN_INTERVAL: Duration = Duration::from_secs(1);
    /// Minimum interval between two publications of a value that goes to other zones.
    const MIN_CROSS_ZONE_INTERVAL: Duration = Duration::from_secs(2);

    pub(super) fn publish(&mut self, now: Instant) {
        self.publish_usages(now);
        if self.speaker_rank().is_none() {
            return;
        }
        self.publish_heartbeat(now);
        if self.speaker_rank().is_some_and(|(rank, _)| rank == 0) {
            self.publish_summaries(now);
            self.publish_zone_usages(now);
            self.rotate_speakers(now);
        }
    }

    /// Handles the load report of an endpoint that this entry watches.
    pub(super) fn handle_load_report(
        &mut self,
        now: Instant,
        endpoint: &endpoint::Id,
        report: &Report,
        out: &mut Vec<Action>,
    ) {
        if report.leaving {
            self.mark_leaving(now, endpoint.clone(), mark::Source::Endpoint, None, out);
        }
        let interval = self.load_interval();
        let tag = endpoint.tag();
        let level = load::Level::of(report);
        let sequence = report.sequence;
        let is_due = self
            .watches
            .is_due(now, endpoint, level, interval, Self::REPEAT_INTERVALS);
        let sample = Sample {
            sequence,
            level,
            at: now,
        };
        self.loads.insert(tag, sample);
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
        self.queue.push(now, Item::Load(load), self.settings.transient_sends);
    }

    /// Returns the interval between two publications of one endpoint's load.
    fn load_interval(&self) -> Duration {
        let count = self.directory.iter().filter(|known| known.zone == self.me.zone).count();
        Self::publish_interval(count, self.settings.loads_per_second, Self::MIN_INTERVAL)
    }

    fn publish_usages(&mut self, now: Instant) {
        let rates: Vec<usage::Rate> = self
            .usage
            .own()
            .map(|(organisation, rate)| usage::Rate {
                organisation: tag::Short::of(organisation),
                level: load::quantise(rate),
            })
            .collect();
        let publishers = self.members.live_in(&self.me.zone).count() * part_count(&rates);
        let interval = Self::publish_interval(publishers, self.settings.usages_per_second, Self::MIN_INTERVAL);
        if self.published.usages.is_due(now, &rates, interval) {
            let sequence = self.next_sequence();
            self.queue_usages(now, usage::Place::Entry(self.tag.short()), sequence, &rates);
            self.published.usages.set(now, rates);
        }
    }

    fn publish_zone_usages(&mut self, now: Instant) {
        let sums = self.usage.in_zone();
        let rates: Vec<usage::Rate> = sums
            .into_iter()
            .map(|(organisation, rate)| usage::Rate {
                organisation,
                level: load::quantise(rate),
            })
            .collect();
        let per_second = self.settings.usages_per_second.div_ceil(3);
        let interval = Self::publish_interval(
            self.zones.len() * part_count(&rates),
            per_second,
            Self::MIN_CROSS_ZONE_INTERVAL,
        );
        if self.published.zone_usages.is_due(now, &rates, interval) {
            let zone = tag::Short::of(&self.me.zone);
            let sequence = self.usage.zone_sequence(zone).wrapping_add(1);
            self.queue_usages(now, usage::Place::Zone(zone), sequence, &rates);
            self.published.zone_usages.set(now, rates);
        }
    }

    fn queue_usages(&mut self, now: Instant, place: usage::Place, sequence: u16, rates: &[usage::Rate]) {
        for (part, rates) in rates.chunks(usage::Update::MAX_RATES).enumerate() {
            let usage = usage::Update {
                place,
                part: part as u8,
                sequence,
                rates: rates.to_vec(),
            };
            if matches!(place, usage::Place::Zone(_)) {
                self.usage.merge(&usage);
            }
            self.queue.push(now, Item::Usage(usage), self.settings.transient_sends);
        }
    }

    fn publish_heartbeat(&mut self, now: Instant) {
        let speakers: usize = self
            .zones
            .keys()
            .map(|zone| zone::speaker_count(self.members.live_in(zone).count()))
            .sum();
        let interval = Self::publish_interval(
            speakers,
            self.settings.summaries_per_second.div_ceil(3),
            Self::MIN_CROSS_ZONE_INTERVAL,
        );
        if now.since(self.published.heartbeat) < interval {
            return;
        }
        self.published.heartbeat = now;
        let heartbeat = zone::Heartbeat {
            zone: tag::Short::of(&self.me.zone),
            speaker: self.tag.short(),
            sequence: self.next_sequence(),
            lost: self.lost_zones(),
        };
        if let Some(view) = self.zones.get_mut(&self.me.zone) {
            view.merge(now, &heartbeat);
        }
        self.queue
            .push(now, Item::Heartbeat(heartbeat), self.settings.transient_sends);
    }

    fn publish_summaries(&mut self, now: Instant) {
        let sums = self.sum_loads();
        let count = sums.len() * self.zones.len();
        let per_second = (self.settings.summaries_per_second * 2).div_ceil(3);
        let interval = Self::publish_interval(count, per_second, Self::MIN_CROSS_ZONE_INTERVAL);
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
                .push(now, Item::Summary(summary), self.settings.transient_sends);
        }
    }

    /// Returns the summed loads of this zone's endpoints that accept work, per service.
    fn sum_loads(&self) -> BTreeMap<name::Service, Sum> {
        let mut sums: BTreeMap<name::Service, Sum> = BTreeMap::new();
        for known in self.directory.iter().filter(|known| known.zone == self.me.zone) {
            let sum = sums.entry(known.service.clone()).or_default();
            if self.marks.contains(&known.id) {
                continue;
            }
            sum.endpoints += 1;
            let Some(sample) = self.loads.get(&known.id.tag()) else {
                continue;
            };
            let report = sample.level.report(0);
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

impl Publication {
    /// Returns whether rates have to be published: after an interval if they changed, else after
    /// [`Kernel::REPEAT_INTERVALS`].
    fn is_due(&self, now: Instant, rates: &[usage::Rate], interval: Duration) -> bool {
        let since = now.since(self.at);
        (self.rates != rates && since >= interval) || since >= interval * Kernel::REPEAT_INTERVALS
    }

    fn set(&mut self, now: Instant, rates: Vec<usage::Rate>) {
        self.at = now;
        self.rates = rates;
    }
}

/// Returns the number of updates that these rates take.
const fn part_count(rates: &[usage::Rate]) -> usize {
    rates.len().div_ceil(usage::Update::MAX_RATES)
}
