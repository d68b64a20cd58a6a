//! Storage for the parcels of leaving entries until their callers come back.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::clock::Instant;
use bergamotshift_core::name;

use super::Key;
use super::Parcel;

/// Outcome of storing a parcel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// The parcel is stored.
    Kept,
    /// A copy with at least as much progress is already stored.
    Known,
    /// The parcel would exceed the keeper's capacity.
    Full,
}

/// Outcome of asking a keeper for a parcel.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Retrieval {
    /// The parcel; the requester continues the request.
    Parcel(Box<Parcel>),
    /// The entry that took the parcel before and continues the request.
    Elsewhere(name::Entry),
    /// No parcel is stored under the key.
    Missing,
}

/// Bounded store of parcels, each kept until its deadline.
#[derive(Clone, Debug)]
pub struct Keeper {
    parcels: BTreeMap<Key, Stored>,
    bytes: usize,
    capacity: usize,
}

#[derive(Clone, Debug)]
struct Stored {
    parcel: Parcel,
    expires_at: Instant,
    taken_by: Option<(name::Entry, Instant)>,
}

impl Default for Keeper {
    fn default() -> Self {
        Self::new(Self::DEFAULT_CAPACITY)
    }
}

impl Keeper {
    /// Default capacity in bytes: a quarter of an entry's memory.
    pub const DEFAULT_CAPACITY: usize = 32 * 1_024 * 1_024;

    /// Time after which a taken parcel may be taken by another entry, because the first one is presumed gone.
    pub const RETAKE_TIMEOUT: Duration = Duration::from_secs(10);

    /// Creates a keeper that holds at most `capacity` bytes.
    pub const fn new(capacity: usize) -> Self {
        Self {
            parcels: BTreeMap::new(),
            bytes: 0,
            capacity,
        }
    }

    /// Stores a parcel unless a copy with at least as much progress is stored or the capacity would be exceeded.
    pub fn put(&mut self, now: Instant, parcel: Parcel) -> Receipt {
        self.expire(now);
        let known = self.parcels.get(&parcel.key);
        if known.is_some_and(|known| !parcel.supersedes(&known.parcel)) {
            return Receipt::Known;
        }
        let freed = known.map_or(0, |known| known.parcel.size());
        let size = parcel.size();
        if self.bytes - freed + size > self.capacity {
            return Receipt::Full;
        }
        self.bytes = self.bytes - freed + size;
        let stored = Stored {
            expires_at: now + Duration::from_millis(parcel.left_ms),
            taken_by: known.and_then(|known| known.taken_by.clone()),
            parcel,
        };
        self.parcels.insert(stored.parcel.key.clone(), stored);
        Receipt::Kept
    }

    /// Returns a parcel to the entry `by`, to which its caller came back.
    ///
    /// The same entry may ask again, because the answer may have been lost. Until [`Self::RETAKE_TIMEOUT`] has passed,
    /// any other entry gets the name of the one that took the parcel: the caller reconnected twice, and two entries
    /// that both continue would spend the tokens twice.
    pub fn take(&mut self, now: Instant, key: &Key, by: &name::Entry) -> Retrieval {
        self.expire(now);
        let Some(stored) = self.parcels.get_mut(key) else {
            return Retrieval::Missing;
        };
        if let Some((holder, since)) = &stored.taken_by
            && holder != by
            && now.since(*since) < Self::RETAKE_TIMEOUT
        {
            return Retrieval::Elsewhere(holder.clone());
        }
        stored.taken_by = Some((by.clone(), now));
        let left = stored.expires_at.since(now);
        let parcel = Parcel {
            left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            ..stored.parcel.clone()
        };
        Retrieval::Parcel(Box::new(parcel))
    }

    /// Removes a parcel whose caller has received its answer.
    pub fn finish(&mut self, key: &Key) {
        if let Some(stored) = self.parcels.remove(key) {
            self.bytes -= stored.parcel.size();
        }
    }

    /// Removes and returns all parcels with their hop count raised by one, because this entry leaves.
    pub fn drain(&mut self, now: Instant) -> Vec<Parcel> {
        self.expire(now);
        self.bytes = 0;
        let drained = core::mem::take(&mut self.parcels);
        drained
            .into_values()
            .map(|stored| Parcel {
                hops: stored.parcel.hops + 1,
                left_ms: u64::try_from(stored.expires_at.since(now).as_millis()).unwrap_or(u64::MAX),
                ..stored.parcel
            })
            .collect()
    }

    /// Drops all parcels after a pause of this entry.
    ///
    /// During the pause the other keeper may have returned a parcel and its caller may have been served. Continuing
    /// with a stale copy would only repeat work.
    pub fn clear(&mut self) {
        self.parcels.clear();
        self.bytes = 0;
    }

    /// Returns the number of stored parcels.
    pub fn len(&self) -> usize {
        self.parcels.len()
    }

    /// Returns whether no parcel is stored.
    pub fn is_empty(&self) -> bool {
        self.parcels.is_empty()
    }

    fn expire(&mut self, now: Instant) {
        let bytes = &mut self.bytes;
        self.parcels.retain(|_, stored| {
            let keep = stored.expires_at > now;
            if !keep {
                *bytes -= stored.parcel.size();
            }
            keep
        });
    }
}
