//! An organisation's limit at this entry: its share, or its zone's, and who keeps the zone.

use core::time::Duration;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use slog::info;

use super::inner::ASSUMED_ENTRIES;
use super::inner::Inner;
use crate::document::Limit;
use crate::limits::Account;
use crate::limits::Demand;
use crate::limits::Keeper;
use crate::limits::Keeping;
use crate::limits::Part;
use crate::limits::Share;
use crate::limits::Timing;
use crate::limits::USED_CALM;
use crate::limits::keeper;
use crate::observe::Topic;
use crate::view::Shared;

/// The part of the units beyond a limit that entries deal out; the rest covers requests that overdraw their share.
const SLACK_FRACTION: f64 = 0.4;

/// How many times the burst all entries together may deal out while an organisation is far below its limit.
///
/// Failure: a few large requests come to one entry, whose share of the burst is small. Symptom: they are refused though
/// the organisation uses half of its limit (one to two in a hundred requests on calm days). What is taken beyond the
/// share stays owed when demand rises, so it is paid back at the rate before more is let in, and a window holds no more
/// than the limit's slack allows.
const CALM_BURSTS: f64 = 1.5;

/// How long an organisation counts as busy: a window over which limits are judged, and the time between two writes of an
/// entry's row.
const BUSY_DURATION: Duration = Duration::from_secs(13);

/// What a process that starts and keeps its zone takes to be used up, in bursts. Only as many requests as there are zones
/// overdraw, and a process that was killed is back after a second, so that half a burst more in one window stays within
/// the tenth by which a limit may be exceeded.
const KEEPER_USED_BURSTS: f64 = 0.5;

#[derive(Debug, Default)]
pub(super) struct Organisation {
    pub(super) account: Arc<Account>,
    /// What this entry grants to all of its zone, when it keeps that.
    pub(super) zone_account: Arc<Account>,
    /// This entry's share in a small fleet.
    pub(super) share: Share<name::Entry>,
    /// The zone's share in a large one.
    pub(super) zone_share: Share<name::Zone>,
    pub(super) demand: Demand,
    /// When it last asked for more than what is calm, as far as this entry knows.
    pub(super) last_busy: Option<Instant>,
    /// This entry's part of the limit.
    part: Option<Part>,
}

impl Organisation {
    /// Works out this entry's part of the limit among `members` entries; `slack` are units that all together may let in
    /// beyond its burst.
    fn update_part(&mut self, now: Instant, limit: Option<Limit>, slack: f64, members: usize) {
        let timing = Timing::default();
        let fraction = self.share.next(now, &timing, self.demand, members);
        self.part = limit.map(|limit| {
            if self.share.asked(now, &timing, self.demand) >= limit.rate * timing.calm {
                self.last_busy = Some(now);
            }
            let calm = self.share.is_calm(now, &timing, self.demand, members, limit.rate);
            total(limit, slack).times(fraction, fraction.max(min_burst_fraction(calm, members)))
        });
        self.account.set(now, self.part);
    }

    /// Takes in that all entries knew the organisation to be far below its limit before this process started.
    fn relieve_calm(&self, now: Instant) {
        if let Some(part) = self.part {
            self.account.relieve(now, part, USED_CALM);
        }
    }

    /// Works out the part of the limit that this entry grants as the keeper of its zone, or as its deputy, among `zones`.
    fn update_zone_part(&mut self, now: Instant, limit: Option<Limit>, slack: f64, zones: usize, keeping: Keeping) {
        let timing = Timing::default();
        let is_keeper = keeping.keeper == Keeper::Own;
        if !is_keeper && !keeping.is_deputy {
            return;
        }
        let fraction = if is_keeper {
            self.zone_share.next(now, &timing, self.demand, zones)
        } else {
            self.zone_share.standby(zones) * keeper::DEPUTY
        };
        let part = limit.map(|limit| {
            let calm = is_keeper && self.zone_share.is_calm(now, &timing, self.demand, zones, limit.rate);
            let whole = Part {
                used: KEEPER_USED_BURSTS,
                ..total(limit, slack)
            };
            whole.times(fraction, fraction.max(min_burst_fraction(calm, zones)))
        });
        self.zone_account.set(now, part);
    }
}

/// Returns a whole limit, with what may be let in beyond it.
fn total(limit: Limit, slack: f64) -> Part {
    Part {
        rate: limit.rate,
        burst: limit.burst + slack,
        base: limit.burst + slack,
        ..Part::default()
    }
}

/// Returns the part of a burst that each of `members` may use at the least.
fn min_burst_fraction(is_calm: bool, members: usize) -> f64 {
    if is_calm {
        (CALM_BURSTS / members as f64).min(1.0)
    } else {
        0.0
    }
}

impl Inner {
    /// Returns the organisations that asked for much of their limits lately.
    pub(super) fn busy_organisations(&self, now: Instant) -> Vec<name::Organisation> {
        let is_busy =
            |organisation: &&Organisation| organisation.last_busy.is_some_and(|at| now.since(at) < BUSY_DURATION);
        let busy = self
            .organisations
            .iter()
            .filter(|(_, organisation)| is_busy(organisation));
        busy.map(|(name, _)| name.clone()).collect()
    }

    /// Takes in which organisations asked for much of their limits, as the entries wrote before this process started.
    ///
    /// Failure: all entries are killed, and each that starts again takes every organisation's burst to be used up. Symptom:
    /// for a second after the end of an outage half of all callers are refused, though they ask for half of their limits.
    /// What the entries wrote down some seconds before says who may have been at its limit; the others get a part of their
    /// bursts at once.
    pub(super) fn restore_limits(&mut self, now: Instant, shared: &Shared) {
        let Some(busy) = self.busy_before_start.take_if(|_| self.document.version > 0) else {
            return;
        };
        info!(shared.log.always(), "limits remembered"; "busy" => busy.len(),
            "organisations" => self.organisations.len(), "document" => self.document.version);
        for declared in &Arc::clone(&self.document).organisations {
            let organisation = self.organisations.entry(declared.name.clone()).or_default();
            if busy.contains(&declared.name) {
                organisation.last_busy = Some(now);
            } else {
                organisation.relieve_calm(now);
            }
        }
    }

    /// Works out who keeps the zone.
    pub(super) fn update_keeping(&mut self, now: Instant, shared: &Shared) {
        if shared.is_stopping() {
            self.members.stop();
        }
        let keeping = self.members.keeping(now);
        if keeping == self.keeping {
            return;
        }
        if let Some((logger, left_out)) = shared.log.room(now, Topic::Belief) {
            info!(logger, "zone kept"; "keeper" => ?keeping.keeper, "deputy" => ?keeping.deputy,
                "is_deputy" => keeping.is_deputy, "members" => self.members.count(), "left_out" => left_out);
        }
        let is_keeper = keeping.keeper == Keeper::Own;
        shared.metrics.keeper.set(i64::from(is_keeper));
        self.keeping = keeping;
        // The accounts come first: whoever is asked from now on grants from them.
        self.update_parts(now, shared);
        self.publish(shared);
    }

    /// Works out this entry's part of each limit.
    pub(super) fn update_parts(&mut self, now: Instant, shared: &Shared) {
        let known = self.members.count();
        let members = if self.entries_listed {
            known
        } else {
            known.max(ASSUMED_ENTRIES)
        };
        let slack = shared.settings.limit.slack * SLACK_FRACTION;
        let document = Arc::clone(&self.document);
        let zones = self.members.zones().len();
        let is_large = self.members.is_large();
        for declared in &document.organisations {
            let organisation = self.organisations.entry(declared.name.clone()).or_default();
            let limit = declared.limit.filter(|limit| limit.rate > 0.0);
            if is_large {
                organisation.update_zone_part(now, limit, slack, zones, self.keeping);
            } else {
                organisation.update_part(now, limit, slack, members);
            }
        }
    }
}
