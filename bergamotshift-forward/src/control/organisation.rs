//! Computes each organisation's limit at this entry, from the entry's share or that of its zone.

use core::time::Duration;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use slog::info;

use super::inner::ASSUMED_ENTRIES;
use super::inner::Inner;
use crate::document::Limit;
use crate::limits::Account;
use crate::limits::Demand;
use crate::limits::INITIAL_DEBT_CALM;
use crate::limits::Keeper;
use crate::limits::Keepers;
use crate::limits::Policy;
use crate::limits::Quota;
use crate::limits::Share;
use crate::limits::keeper;
use crate::observe::Topic;
use crate::view::Shared;

/// Fraction of the allowed excess over a limit that is distributed to entries; the rest covers requests that overdraw
/// their share.
const SLACK_FRACTION: f64 = 0.4;

/// Multiple of the burst that all entries together may distribute while an organisation is far below its limit.
///
/// Without it, a few large requests that arrive at one entry exceed its small share of the burst and are refused,
/// although the organisation uses half of its limit (1 to 2 % of requests under low load). Units taken beyond the share
/// remain owed when demand rises: they are repaid at the rate before more requests are admitted, so a window stays
/// within the limit's slack.
const CALM_BURSTS: f64 = 1.5;

/// Time for which an organisation counts as busy. It covers the window over which limits are judged and the interval
/// between two writes of an entry's row.
const BUSY_DURATION: Duration = Duration::from_secs(13);

/// Initial debt of a keeper that starts, in bursts. Only one request per zone can overdraw, and a
/// killed process is back after a second, so another half burst in one window stays within the 10 % by which a limit
/// may be exceeded.
const KEEPER_INITIAL_DEBT: f64 = 0.5;

/// Time without a word from any entry, and without a write of the own row, after which an entry of a small fleet uses
/// nothing of a limit: the others may take it for gone a moment later. It is as long as a row counts, without what is added
/// for clocks that differ.
const LOST_TIMEOUT: Duration = Duration::from_secs(15);

/// Limit state of one organisation.
#[derive(Debug, Default)]
pub(super) struct Organisation {
    /// Account for requests at this entry.
    pub(super) account: Arc<Account>,
    /// Account from which this entry grants units to its whole zone as the keeper.
    pub(super) zone_account: Arc<Account>,
    /// Share of this entry in a small fleet.
    pub(super) share: Share<name::Entry>,
    /// Share of the zone in a large fleet.
    pub(super) zone_share: Share<name::Zone>,
    /// Demand of callers at this entry.
    pub(super) demand: Demand,
    /// Time at which its known demand was last above the low-demand threshold.
    pub(super) last_busy: Option<Instant>,
    /// Part of the limit that this entry may use.
    quota: Option<Quota>,
}

impl Organisation {
    /// Updates this entry's part of the limit among `members` entries; `slack` is the number of units that all entries
    /// together may admit beyond the burst.
    fn update_quota(&mut self, now: Instant, limit: Option<Limit>, slack: f64, members: usize) {
        let policy = Policy::default();
        let fraction = self.share.update(now, &policy, self.demand, members);
        self.quota = limit.map(|limit| {
            if self.share.total_demand(now, &policy, self.demand) >= limit.rate * policy.calm_fraction {
                self.last_busy = Some(now);
            }
            let calm = self.share.is_calm(now, &policy, self.demand, members, limit.rate);
            total(limit, slack).scaled(fraction, fraction.max(min_burst_fraction(calm, members)))
        });
        self.account.set(now, self.quota);
    }

    /// Gives up this entry's part of the limit, which the others divide among them.
    fn give_up(&mut self, now: Instant, limit: Option<Limit>) {
        self.share.adopt(0.0);
        self.quota = limit.map(|_| Quota::default());
        self.account.set(now, self.quota);
    }

    /// Reduces the initial debt because the organisation was far below its limit before this process started.
    fn cap_calm_debt(&self, now: Instant) {
        if let Some(quota) = self.quota {
            self.account.cap_debt(now, quota, INITIAL_DEBT_CALM);
        }
    }

    /// Updates the part of the limit that this entry grants as the keeper of its zone or as its deputy, among `zones`
    /// zones.
    fn update_zone_quota(&mut self, now: Instant, limit: Option<Limit>, slack: f64, zones: usize, keepers: Keepers) {
        let policy = Policy::default();
        let is_keeper = keepers.keeper == Keeper::Own;
        if !is_keeper && !keepers.is_deputy {
            return;
        }
        let fraction = if is_keeper {
            self.zone_share.update(now, &policy, self.demand, zones)
        } else {
            self.zone_share.current_or_initial(zones) * keeper::DEPUTY_SHARE
        };
        let quota = limit.map(|limit| {
            let calm = is_keeper && self.zone_share.is_calm(now, &policy, self.demand, zones, limit.rate);
            let zone_total = Quota {
                initial_debt: KEEPER_INITIAL_DEBT,
                ..total(limit, slack)
            };
            zone_total.scaled(fraction, fraction.max(min_burst_fraction(calm, zones)))
        });
        self.zone_account.set(now, quota);
    }
}

/// Returns the quota that covers a whole limit, including the allowed excess.
fn total(limit: Limit, slack: f64) -> Quota {
    Quota {
        rate: limit.rate,
        burst: limit.burst + slack,
        share_burst: limit.burst + slack,
        ..Quota::default()
    }
}

/// Returns the minimum fraction of a burst that each of `members` may use.
fn min_burst_fraction(is_calm: bool, members: usize) -> f64 {
    if is_calm {
        (CALM_BURSTS / members as f64).min(1.0)
    } else {
        0.0
    }
}

impl Inner {
    /// Returns the organisations whose recent demand was a large part of their limits.
    pub(super) fn busy_organisations(&self, now: Instant) -> Vec<name::Organisation> {
        let is_busy =
            |organisation: &&Organisation| organisation.last_busy.is_some_and(|at| now.since(at) < BUSY_DURATION);
        let busy = self
            .organisations
            .iter()
            .filter(|(_, organisation)| is_busy(organisation));
        busy.map(|(name, _)| name.clone()).collect()
    }

    /// Applies the organisations that entries stored as busy before this process started.
    ///
    /// A process that starts counts every organisation's burst as used up. After an outage of all entries that would
    /// refuse half of all callers for a second, although they ask for half of their limits. The rows written some
    /// seconds before tell which organisations may have been at their limits; the others get part of their bursts at
    /// once.
    pub(super) fn restore_limits(&mut self, now: Instant, shared: &Shared) {
        let Some(busy) = self.busy_before_start.take_if(|_| self.document.version > 0) else {
            return;
        };
        info!(shared.log.always(), "limits remembered"; "busy" => busy.len(),
            "organisations" => self.organisations.len(), "document" => self.document.version);
        for declared in Arc::clone(&self.document).organisations.iter() {
            let organisation = self.organisations.entry(declared.name.clone()).or_default();
            if busy.contains(&declared.name) {
                organisation.last_busy = Some(now);
            } else {
                organisation.cap_calm_debt(now);
            }
        }
    }

    /// Updates the keeper and the deputy of the zone.
    pub(super) fn update_keepers(&mut self, now: Instant, shared: &Shared) {
        if shared.is_stopping() {
            self.members.set_stopping();
        }
        let keepers = self.members.keeping(now);
        if keepers == self.keepers {
            return;
        }
        if let Some((logger, left_out)) = shared.log.rate_limited(now, Topic::State) {
            info!(logger, "zone kept"; "keeper" => ?keepers.keeper, "deputy" => ?keepers.deputy,
                "is_deputy" => keepers.is_deputy, "members" => self.members.count(), "left_out" => left_out);
        }
        let is_keeper = keepers.keeper == Keeper::Own;
        shared.metrics.zone_keeper.set(i64::from(is_keeper));
        self.keepers = keepers;
        // The accounts are updated before the view is published, as grants are taken from them from then on.
        self.update_quotas(now, shared);
        self.publish(shared);
    }

    /// Returns whether the other entries may take this one for gone: none of them was heard, and the list has not had a
    /// new row of this one for long.
    fn is_lost(&self, now: Instant) -> bool {
        let is_heard = self.members.recent_states(now, LOST_TIMEOUT).next().is_some();
        let is_written = now.since(self.row_written) < LOST_TIMEOUT;
        !self.members.is_large() && self.members.count() > 1 && !is_heard && !is_written
    }

    /// Updates this entry's part of each limit.
    pub(super) fn update_quotas(&mut self, now: Instant, shared: &Shared) {
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
        let is_lost = self.is_lost(now);
        for declared in document.organisations.iter() {
            let organisation = self.organisations.entry(declared.name.clone()).or_default();
            let limit = declared.limit.filter(|limit| limit.rate > 0.0);
            if is_lost {
                organisation.give_up(now, limit);
            } else if is_large {
                organisation.update_zone_quota(now, limit, slack, zones, self.keepers);
            } else {
                organisation.update_quota(now, limit, slack, members);
            }
        }
    }
}
