//! Evidence of whether this entry reaches the endpoints of a service.

use core::sync::atomic::AtomicUsize;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bergamotshift_core::prelude::*;

/// Number of endpoints of a service that refuse connections, with none that accepts one in between, from which this entry
/// counts as cut off from the service.
const MIN_UNREACHED: usize = 3;

/// Maximum number of endpoints of a service whose connections have to break without an answer, with no answer in between,
/// until this entry counts as cut off from the service. Half of the service's endpoints suffice, as the end of an
/// availability zone breaks the connections to fewer.
const MAX_BROKEN: usize = 8;

/// Minimum time for which a connection has to stay open to count as a path.
pub const MIN_STAY: Duration = Duration::from_millis(100);

/// Maximum time for which a connection has to stay open. A request may run for long before it breaks with its endpoint.
const MAX_STAY: Duration = Duration::from_millis(500);

/// Multiple of the time after which connections broke, for which another one has to stay open.
const STAY_FACTOR: u32 = 2;

/// Endpoints of one service that were not reached since the last answer on a new connection.
#[derive(Clone, Debug, Default)]
struct Attempts {
    /// Endpoints to which no connection was opened.
    unreached: BTreeSet<u64>,
    /// Endpoints whose connections were opened and broke without an answer.
    broken: BTreeSet<u64>,
    /// Longest time for which one of those connections was open.
    longest: Duration,
    is_cut_off: bool,
}

impl Attempts {
    /// Returns the time for which a connection has to stay open to count as a path.
    fn stay(&self) -> Duration {
        (self.longest * STAY_FACTOR).clamp(MIN_STAY, MAX_STAY)
    }
}

/// Evidence from new connections to endpoints, by service.
///
/// Only new connections count, as established ones may live on while new ones are refused. One that was opened counts once
/// its endpoint has answered, or once it has outlived those that broke, as something on the path may accept and reset it.
///
/// ```
/// use bergamotshift_core::prelude::*;
/// use bergamotshift_forward::relay::Reach;
///
/// let (reach, planner) = (Reach::default(), name::Service::new("planner"));
/// for endpoint in 1..=3 {
///     reach.record_unreached(&planner, endpoint, 12);
/// }
/// assert!(reach.is_cut_off(&planner));
/// reach.record_reached(&planner);
/// assert!(!reach.is_cut_off(&planner));
/// ```
#[derive(Debug, Default)]
pub struct Reach {
    services: Mutex<HashMap<name::Service, Attempts>>,
    /// Number of services that this entry is cut off from.
    cut_off: AtomicUsize,
}

impl Reach {
    /// Returns whether this entry is cut off from any service.
    pub fn is_any_cut_off(&self) -> bool {
        self.cut_off.load(Ordering::Acquire) > 0
    }

    /// Returns the number of services that this entry is cut off from.
    pub fn count(&self) -> usize {
        self.cut_off.load(Ordering::Acquire)
    }

    /// Returns whether this entry is cut off from the endpoints of a service.
    pub fn is_cut_off(&self, service: &name::Service) -> bool {
        self.is_any_cut_off() && self.lock().get(service).is_some_and(|attempts| attempts.is_cut_off)
    }

    /// Returns the services that this entry is cut off from.
    pub fn services(&self) -> Vec<name::Service> {
        if !self.is_any_cut_off() {
            return Vec::new();
        }
        let services = self.lock();
        let cut_off = services.iter().filter(|(_, attempts)| attempts.is_cut_off);
        cut_off.map(|(service, _)| service.clone()).collect()
    }

    /// Records that an endpoint of a service answered on a new connection; returns whether this entry was cut off from the
    /// service until now.
    pub fn record_reached(&self, service: &name::Service) -> bool {
        let Some(attempts) = self.lock().remove(service) else {
            return false;
        };
        if attempts.is_cut_off {
            self.cut_off.fetch_sub(1, Ordering::AcqRel);
        }
        attempts.is_cut_off
    }

    /// Returns the time for which a new connection to an endpoint of a service has to stay open to count as a path.
    pub fn stay(&self, service: &name::Service) -> Duration {
        self.lock().get(service).map_or(MIN_STAY, Attempts::stay)
    }

    /// Records that a new connection to an endpoint of a service is open for a time; returns whether this shows that the entry
    /// is not cut off any more.
    pub fn record_open(&self, service: &name::Service, open_for: Duration) -> bool {
        let mut services = self.lock();
        let Some(attempts) = services.get_mut(service) else {
            return false;
        };
        if !attempts.is_cut_off || open_for < attempts.stay() {
            return false;
        }
        self.cut_off.fetch_sub(1, Ordering::AcqRel);
        *attempts = Attempts {
            longest: attempts.longest,
            ..Attempts::default()
        };
        true
    }

    /// Records that no connection to an endpoint was opened; returns whether this entry is cut off from the service since.
    ///
    /// `known` is the number of the service's endpoints. An entry that is cut off from another service needs no further
    /// evidence.
    pub fn record_unreached(&self, service: &name::Service, endpoint: u64, known: usize) -> bool {
        let least = if self.is_any_cut_off() { 1 } else { MIN_UNREACHED };
        let mut services = self.lock();
        let attempts = services.entry(service.clone()).or_default();
        attempts.unreached.insert(endpoint);
        let is_enough = attempts.unreached.len() >= least.min(known.max(1));
        is_enough && self.cut_off(attempts)
    }

    /// Records that a new connection to an endpoint broke without an answer, `open_for` after it was opened; returns whether
    /// this entry is cut off from the service since.
    ///
    /// `known` is the number of the service's endpoints. An endpoint that ends breaks its connections too, so this needs more
    /// evidence than connections that are not opened.
    pub fn record_broken(&self, service: &name::Service, endpoint: u64, known: usize, open_for: Duration) -> bool {
        let least = (known / 2).clamp(MIN_UNREACHED, MAX_BROKEN);
        let mut services = self.lock();
        let attempts = services.entry(service.clone()).or_default();
        attempts.broken.insert(endpoint);
        attempts.longest = attempts.longest.max(open_for);
        let is_enough = attempts.unreached.union(&attempts.broken).count() >= least.min(known.max(1));
        is_enough && self.cut_off(attempts)
    }

    /// Records that this entry is cut off from a service; returns whether it was not before.
    fn cut_off(&self, attempts: &mut Attempts) -> bool {
        if attempts.is_cut_off {
            return false;
        }
        attempts.is_cut_off = true;
        self.cut_off.fetch_add(1, Ordering::AcqRel);
        true
    }

    /// Forgets services that are not in use any more.
    pub fn retain(&self, is_in_use: impl Fn(&name::Service) -> bool) {
        let mut services = self.lock();
        let gone = services.extract_if(|service, _| !is_in_use(service));
        let cut_off = gone.filter(|(_, attempts)| attempts.is_cut_off).count();
        self.cut_off.fetch_sub(cut_off, Ordering::AcqRel);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<name::Service, Attempts>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
