//! Works out this entry's share of a limit from what all entries ask for.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;

/// How demand and silence are judged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharePolicy {
    /// Over what time demand is averaged.
    pub averaging_window: Duration,
    /// How long an entry may be silent until its share is left as it is.
    pub silence_timeout: Duration,
    /// The part of its share that an entry keeps at the least from one round to the next.
    pub min_retained: f64,
    /// The part of the limit below which demand is calm.
    pub calm_fraction: f64,
    /// The part of the limit that is dealt out evenly, whatever the demand: a caller that comes to another entry must
    /// find room there at once.
    pub even_fraction: f64,
}

impl Default for SharePolicy {
    fn default() -> Self {
        Self {
            averaging_window: Duration::from_secs(8),
            silence_timeout: Duration::from_millis(1_500),
            min_retained: 0.96,
            calm_fraction: 0.65,
            even_fraction: 0.25,
        }
    }
}

/// Averages what is asked for, in units per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand(f64);

impl Demand {
    /// Takes in what was asked for in the last `span`, averaged over `memory`.
    pub fn note(&mut self, memory: Duration, units: u64, span: Duration) {
        let seconds = span.as_secs_f64();
        if seconds <= 0.0 {
            return;
        }
        let weight = (seconds / memory.as_secs_f64()).min(1.0);
        self.0 += (units as f64 / seconds - self.0) * weight;
    }

    /// Returns the units per second.
    pub const fn get(self) -> f64 {
        self.0
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Other {
    demand: f64,
    share: f64,
    heard: Instant,
}

/// What an entry that starts uses, in even shares.
const FIRST: f64 = 0.5;

/// A share that the others are told before it is used.
#[derive(Clone, Copy, Debug)]
struct Claim {
    share: f64,
    since: Instant,
}

/// This entry's share of one organisation's limit; in a large fleet, the share of its zone, which the zone's keeper uses.
/// What is said of entries here holds of zones then.
///
/// All entries hear each other: a share that shrinks does so at once, and one that grows is told first, as a claim. It
/// is used when every other entry was heard since, and only as far as their own claims leave room.
///
/// Failure: two entries see the same room, or two halves of the fleet do not hear each other, and both grow. Symptom:
/// the organisation uses more than its limit, up to twice as much. A claim that somebody may not have heard is not
/// used, and while an entry is silent the others share out among them only what they had when it fell silent.
#[derive(Clone, Debug)]
pub struct Share<K> {
    others: BTreeMap<K, Other>,
    own: Option<f64>,
    claim: Option<Claim>,
    /// The demand that the others were told last.
    told: f64,
    /// While an entry is silent: how many are heard, and what they and this one had when it fell silent.
    held: Option<(usize, f64)>,
}

impl<K> Default for Share<K> {
    fn default() -> Self {
        Self {
            others: BTreeMap::new(),
            own: None,
            claim: None,
            told: 0.0,
            held: None,
        }
    }
}

impl<K: Ord + Clone> Share<K> {
    /// Takes in what another entry says: its demand, and the share that it uses or claims.
    pub fn record_peer(&mut self, now: Instant, entry: &K, demand: f64, share: f64) {
        let other = Other {
            demand,
            share,
            heard: now,
        };
        self.others.insert(entry.clone(), other);
    }

    /// Returns the share that an entry which takes the place of another one may use, among `members` in all.
    pub fn current_or_initial(&self, members: usize) -> f64 {
        self.own.unwrap_or(FIRST / members.max(1) as f64)
    }

    /// Takes over the share that another entry uses for the same zone, to go on with it when that one is gone.
    pub const fn adopt(&mut self, share: f64) {
        self.own = Some(share);
        self.claim = None;
    }

    /// Forgets an entry that is gone for good.
    pub fn forget(&mut self, entry: &K) {
        self.others.remove(entry);
    }

    /// Returns the share that the others have to be told: the one in use, or the larger one that is claimed.
    pub fn announced(&self) -> f64 {
        self.claim.map_or(self.own.unwrap_or_default(), |claim| claim.share)
    }

    /// Returns this entry's share, between 0 and 1, among `members` entries in all.
    pub fn update(&mut self, now: Instant, policy: &SharePolicy, demand: Demand, members: usize) -> f64 {
        let is_heard = |other: &&Other| now.since(other.heard) < policy.silence_timeout;
        let heard: Vec<Other> = self.others.values().filter(is_heard).copied().collect();
        let used: f64 = heard.iter().map(|other| other.share).sum();
        // An entry that starts uses half of an even share before anybody has heard it, or it could serve nobody while
        // another one is silent. The others give way as soon as they hear it.
        let own = self.current_or_initial(members);
        let free = self.free(&heard, members, own + used);
        let asked: f64 = heard.iter().map(|other| other.demand).sum();
        let count = heard.len() as f64 + 1.0;
        let part = |demand: f64| {
            let total = demand + asked;
            let fair = if total > 0.0 { demand / total } else { 1.0 / count };
            policy.even_fraction / count + (1.0 - policy.even_fraction) * fair
        };
        let wanted = free * part(demand.get());
        let room = (free - used - own).max(0.0);
        let all_heard_since = |since: Instant| heard.iter().all(|other| other.heard > since);
        let share = match self.claim {
            _ if wanted <= own => {
                self.claim = None;
                // Requests come in lumps; a share that followed each lull would be small most of the time.
                let kept = (own * policy.min_retained).min((free - used).max(0.0));
                wanted.max(kept)
            }
            // Nobody else is there to be told.
            _ if members <= 1 => wanted,
            Some(claim) if all_heard_since(claim.since) => {
                self.claim = None;
                claim.share.min(wanted).min(own + room)
            }
            Some(_) => own,
            None => {
                let share = wanted.min(own + room * part(self.told));
                self.claim = (share > own).then_some(Claim { share, since: now });
                own
            }
        };
        self.told = demand.get();
        self.own = Some(share);
        share
    }

    /// Returns whether most entries are heard and together ask for far less than `rate` units a second.
    ///
    /// The smaller half of a fleet that is cut in two is never calm, so not both halves spend what calm times allow.
    pub fn is_calm(&self, now: Instant, policy: &SharePolicy, demand: Demand, members: usize, rate: f64) -> bool {
        let count = 1 + self.heard_lately(now, policy).count();
        2 * count > members && self.total_demand(now, policy, demand) < rate * policy.calm_fraction
    }

    /// Returns the units per second that this entry and those that it hears are asked for.
    pub fn total_demand(&self, now: Instant, policy: &SharePolicy, demand: Demand) -> f64 {
        let others = self.heard_lately(now, policy).map(|other| other.demand);
        demand.get() + others.sum::<f64>()
    }

    fn heard_lately(&self, now: Instant, policy: &SharePolicy) -> impl Iterator<Item = &Other> {
        let silence = policy.silence_timeout;
        self.others
            .values()
            .filter(move |other| now.since(other.heard) < silence)
    }

    /// Returns how much of the limit this entry and those that it hears share out.
    fn free(&mut self, heard: &[Other], members: usize, had: f64) -> f64 {
        if heard.len() + 1 >= members {
            self.held = None;
            return 1.0;
        }
        match self.held {
            Some((count, held)) if count == heard.len() => held,
            _ => {
                // An entry that never heard anybody may use what an even share is.
                let even = (heard.len() + 1) as f64 / members as f64;
                let held = if self.own.is_some() { had.min(1.0) } else { even };
                self.held = Some((heard.len(), held));
                held
            }
        }
    }
}
