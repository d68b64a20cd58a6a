//! Routes, which map requests to services and set their timeouts and priorities.

use core::time::Duration;

use bergamotshift_core::name;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// The kind of a route's requests: whether they may be repeated, and the form of the response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Kind {
    /// Requests that may run any number of times.
    Idempotent,
    /// Requests that run at most once for each attempt of a caller.
    #[default]
    Once,
    /// Requests whose response is a stream of events.
    Stream,
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Split {
    /// The service.
    pub service: name::Service,
    /// The weight, relative to the route's other shares.
    pub weight: u32,
}

/// What a route asks of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Objective {
    /// The priority, 0 first.
    pub urgency: u8,
    /// The target time for a response, or for the first event of a stream.
    pub time: Duration,
}

impl Objective {
    /// Returns whether objectives compete: the least urgent one is at least twice as long as every other, so the requests
    /// that it admits fill the queue beyond what all more urgent ones tolerate.
    pub fn compete(objectives: &[Self]) -> bool {
        let Some(last) = objectives.iter().map(|one| one.urgency).max() else {
            return false;
        };
        let least_urgent = objectives.iter().filter(|one| one.urgency == last);
        let most_urgent = objectives.iter().filter(|one| one.urgency < last);
        let shortest = least_urgent.map(|one| one.time).min();
        let longest = most_urgent.map(|one| one.time).max();
        shortest.zip(longest).is_some_and(|(last, other)| last >= other * 2)
    }
}

/// A route from a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// The name of the route.
    pub name: SmolStr,
    /// The host of its requests.
    pub host: SmolStr,
    /// The prefix of its paths, which starts and ends with a slash.
    pub prefix: SmolStr,
    /// The kind of its requests.
    pub kind: Kind,
    /// The maximum time for which a caller waits.
    pub timeout: Duration,
    /// The target time for a response, or for the first event of a stream.
    pub objective: Duration,
    /// The target for the longest pause between two events of a stream.
    pub pause: Duration,
    /// The priority, 0 first.
    pub urgency: u8,
    /// The services that receive its requests.
    pub splits: Vec<Split>,
    /// The maximum number of endpoints to which one attempt of a caller is sent.
    pub attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether a broken stream may be resumed at another endpoint.
    pub resumable: bool,
}

impl Split {
    /// Chooses a service in proportion to the weights, by a hash. Returns `None` when all weights are 0.
    pub fn choose(splits: &[Self], hash: u64) -> Option<&name::Service> {
        let total: u64 = splits.iter().map(|split| u64::from(split.weight)).sum();
        let mut offset = hash.checked_rem(total)?;
        for split in splits {
            let weight = u64::from(split.weight);
            if offset < weight {
                return Some(&split.service);
            }
            offset -= weight;
        }
        None
    }
}

impl Route {
    /// Returns whether a request may be sent again even if it may have run already.
    pub const fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::Once => false,
            Kind::Stream => self.resumable,
        }
    }

    /// Returns what it asks of its services.
    pub const fn objective(&self) -> Objective {
        Objective {
            urgency: self.urgency,
            time: self.objective,
        }
    }

    /// Chooses a service for a request in proportion to the weights, by the hash of the request's identifier. Returns
    /// `None` when all weights are 0.
    pub fn service(&self, hash: u64) -> Option<&name::Service> {
        Split::choose(&self.splits, hash)
    }
}
