//! Routes: which requests go where, and what they are owed.

use core::time::Duration;

use bergamotshift_core::name;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// What may be repeated, and what an answer looks like.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Kind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    #[default]
    Once,
    /// Answers with a stream of events.
    Stream,
}

/// A share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Split {
    /// Where the share goes.
    pub service: name::Service,
    /// How large it is against the route's other shares.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// The operators' name for it.
    pub name: SmolStr,
    /// The host that it answers for.
    pub host: SmolStr,
    /// What its paths begin with; starts and ends with a slash.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer, or the first event, has its full worth.
    pub objective: Duration,
    /// The longest pause between two events of a stream that is on time.
    pub pause: Duration,
    /// Its rank, 0 first.
    pub urgency: u8,
    /// Where its requests go.
    pub splits: Vec<Split>,
    /// The most endpoints to which one caller's attempt is sent.
    pub attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether a broken stream may go on at another endpoint.
    pub resumable: bool,
}

impl Route {
    /// Returns whether a request may be sent again although it may have run.
    pub const fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::Once => false,
            Kind::Stream => self.resumable,
        }
    }

    /// Chooses a service for a request by its identifier's hash, so that the shares come out as weighted.
    pub fn service(&self, hash: u64) -> Option<&name::Service> {
        let total: u64 = self.splits.iter().map(|split| u64::from(split.weight)).sum();
        let mut place = hash.checked_rem(total)?;
        for split in &self.splits {
            let weight = u64::from(split.weight);
            if place < weight {
                return Some(&split.service);
            }
            place -= weight;
        }
        None
    }
}
