//! Computes this entry's share of a limit from the demand at all entries.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;

/// Parameters by which a limit is divided among the entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Time over which demand is averaged.
    pub averaging_window: Duration,
    /// Time without an announcement after which an entry counts as silent and is assumed to keep its share.
    pub silence_timeout: Duration,
    /// Smallest fraction of its share that an entry retains from one round to the next.
    pub min_retained: f64,
    /// Fraction of the limit below which demand is calm.
    pub calm_fraction: f64,
    /// Fraction of the limit that is divided evenly, whatever the demand: a caller that moves to another entry must be
    /// admitted there at once.
    pub even_fraction: f64,
}

impl Default for Policy {
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

/// Moving average of the units that callers request, per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand(f64);

impl Demand {
    /// Adds the units that were requested during the last `span`, averaged over `window`.
    pub fn note(&mut self, window: Duration, units: u64, span: Duration) {
        let seconds = span.as_secs_f64();
        if seconds <= 0.0 {
            return;
        }
        let weight = (seconds / window.as_secs_f64()).min(1.0);
        self.0 += (units as f64 / seconds - self.0) * weight;
    }

    /// Returns the units per second.
    pub const fn get(self) -> f64 {
        self.0
    }
}

/// Last announcement of another entry.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    demand: f64,
    share: f64,
    received: Instant,
}

/// Share of an entry that starts, as a fraction of an even share.
const INITIAL_SHARE: f64 = 0.5;

/// Larger share that is announced to the others before it is used.
#[derive(Clone, Copy, Debug)]
struct Claim {
    share: f64,
    since: Instant,
}

/// This entry's share of one organisation's limit.
///
/// In a large fleet it is the share of this entry's zone, which the zone's keeper uses; "entry" then stands for a zone.
///
/// A share that shrinks does so at once, and one that grows is announced first, as a claim. The claim is used once an
/// announcement of every other live entry was received after it, and only as far as the claims of the others leave
/// room. While an entry is silent, the others divide among them only what they had when it fell silent.
///
/// Otherwise two entries could both grow into the same room, as could two halves of a partitioned fleet, and the
/// organisation would use up to twice its limit.
#[derive(Clone, Debug)]
pub struct Share<K> {
    peers: BTreeMap<K, Peer>,
    own: Option<f64>,
    claim: Option<Claim>,
    /// Demand that was last announced to the others.
    announced_demand: f64,
    /// While an entry is silent, the number of other live entries, and the share that those and this entry had together
    /// when it fell silent.
    frozen: Option<(usize, f64)>,
}

impl<K> Default for Share<K> {
    fn default() -> Self {
        Self {
            peers: BTreeMap::new(),
            own: None,
            claim: None,
            announced_demand: 0.0,
            frozen: None,
        }
    }
}

impl<K: Ord + Clone> Share<K> {
    /// Records another entry's announcement: its demand, and the share that it uses or claims.
    pub fn record_peer(&mut self, now: Instant, entry: &K, demand: f64, share: f64) {
        let peer = Peer {
            demand,
            share,
            received: now,
        };
        self.peers.insert(entry.clone(), peer);
    }

    /// Returns the current share, or the initial one among `members` entries in all if there is none yet.
    pub fn current_or_initial(&self, members: usize) -> f64 {
        self.own.unwrap_or(INITIAL_SHARE / members.max(1) as f64)
    }

    /// Adopts the share that another entry uses for the same zone, to go on with it when that entry is gone.
    pub const fn adopt(&mut self, share: f64) {
        self.own = Some(share);
        self.claim = None;
    }

    /// Forgets an entry that is gone for good.
    pub fn forget(&mut self, entry: &K) {
        self.peers.remove(entry);
    }

    /// Returns the share to announce to the others: the one in use, or the larger one that is claimed.
    pub fn announced(&self) -> f64 {
        self.claim.map_or(self.own.unwrap_or_default(), |claim| claim.share)
    }

    /// Updates and returns this entry's share, between 0 and 1, among `members` entries in all.
    pub fn update(&mut self, now: Instant, policy: &Policy, demand: Demand, members: usize) -> f64 {
        let is_live = |peer: &&Peer| now.since(peer.received) < policy.silence_timeout;
        let live: Vec<Peer> = self.peers.values().filter(is_live).copied().collect();
        let used: f64 = live.iter().map(|peer| peer.share).sum();
        // An entry that starts uses half of an even share before any other knows of it, or it could admit no request
        // while another one is silent. The others give way with its first announcement.
        let own = self.current_or_initial(members);
        let available = self.available(&live, members, own + used);
        let peer_demand: f64 = live.iter().map(|peer| peer.demand).sum();
        let count = live.len() as f64 + 1.0;
        let fraction = |demand: f64| {
            let total = demand + peer_demand;
            let fair = if total > 0.0 { demand / total } else { 1.0 / count };
            policy.even_fraction / count + (1.0 - policy.even_fraction) * fair
        };
        let wanted = available * fraction(demand.get());
        let room = (available - used - own).max(0.0);
        let all_received_since = |since: Instant| live.iter().all(|peer| peer.received > since);
        let share = match self.claim {
            _ if wanted <= own => {
                self.claim = None;
                // Demand is bursty; a share that followed each lull would be small most of the time.
                let retained = (own * policy.min_retained).min((available - used).max(0.0));
                wanted.max(retained)
            }
            // There is no other entry to which a claim would have to be announced.
            _ if members <= 1 => wanted,
            Some(claim) if all_received_since(claim.since) => {
                self.claim = None;
                claim.share.min(wanted).min(own + room)
            }
            Some(_) => own,
            None => {
                let share = wanted.min(own + room * fraction(self.announced_demand));
                self.claim = (share > own).then_some(Claim { share, since: now });
                own
            }
        };
        self.announced_demand = demand.get();
        self.own = Some(share);
        share
    }

    /// Returns whether demand is calm: most entries are live, and their demand together is far below `rate` units per
    /// second.
    ///
    /// The smaller half of a partitioned fleet is never calm, so at most one half spends what calm times allow.
    pub fn is_calm(&self, now: Instant, policy: &Policy, demand: Demand, members: usize, rate: f64) -> bool {
        let count = 1 + self.live_peers(now, policy).count();
        2 * count > members && self.total_demand(now, policy, demand) < rate * policy.calm_fraction
    }

    /// Returns the demand at this entry and the other live ones, in units per second.
    pub fn total_demand(&self, now: Instant, policy: &Policy, demand: Demand) -> f64 {
        let others = self.live_peers(now, policy).map(|peer| peer.demand);
        demand.get() + others.sum::<f64>()
    }

    fn live_peers(&self, now: Instant, policy: &Policy) -> impl Iterator<Item = &Peer> {
        let timeout = policy.silence_timeout;
        self.peers
            .values()
            .filter(move |peer| now.since(peer.received) < timeout)
    }

    /// Returns the fraction of the limit that this entry and the other live ones divide among them; `current` is the
    /// sum of their shares.
    fn available(&mut self, live: &[Peer], members: usize, current: f64) -> f64 {
        if live.len() + 1 >= members {
            self.frozen = None;
            return 1.0;
        }
        match self.frozen {
            Some((count, frozen)) if count == live.len() => frozen,
            _ => {
                // An entry without a share so far may use an even one.
                let even = (live.len() + 1) as f64 / members as f64;
                let frozen = if self.own.is_some() { current.min(1.0) } else { even };
                self.frozen = Some((live.len(), frozen));
                frozen
            }
        }
    }
}
