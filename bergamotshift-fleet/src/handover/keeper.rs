//! Parcels that this entry keeps for callers that come back.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::clock::Instant;
use bergamotshift_core::name;

use super::Key;
use super::Parcel;

/// What became of a parcel that came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// It is kept.
    Kept,
    /// A copy that is at least as far is kept already.
    Known,
    /// There is no room.
    Full,
}

/// What an entry gets that asks for a parcel.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Retrieval {
    /// The parcel, to go on with.
    Parcel(Box<Parcel>),
    /// Another entry goes on with it.
    Elsewhere(name::Entry),
    /// Nothing is kept under the key.
    Missing,
}

/// The parcels that an entry keeps.
#[derive(Clone, Debug)]
pub struct Keeper {
    kept: BTreeMap<Key, Kept>,
    bytes: usize,
    capacity: usize,
}

#[derive(Clone, Debug)]
struct Kept {
    parcel: Parcel,
    until: Instant,
    taken: Option<(name::Entry, Instant)>,
}

impl Default for Keeper {
    fn default() -> Self {
        Self::new(Self::CAPACITY)
    }
}

impl Keeper {
    /// Bytes of parcels that are kept at most: a quarter of an entry's memory.
    pub const CAPACITY: usize = 32 * 1_024 * 1_024;

    /// A parcel that was taken can be taken again after this: whoever took it is gone.
    pub const RETAKE: Duration = Duration::from_secs(10);

    /// Makes a keeper that holds at most `capacity` bytes.
    pub const fn new(capacity: usize) -> Self {
        Self {
            kept: BTreeMap::new(),
            bytes: 0,
            capacity,
        }
    }

    /// Takes a parcel in.
    pub fn put(&mut self, now: Instant, parcel: Parcel) -> Receipt {
        self.expire(now);
        let known = self.kept.get(&parcel.key);
        if known.is_some_and(|known| !parcel.supersedes(&known.parcel)) {
            return Receipt::Known;
        }
        let freed = known.map_or(0, |known| known.parcel.size());
        let size = parcel.size();
        if self.bytes - freed + size > self.capacity {
            return Receipt::Full;
        }
        self.bytes = self.bytes - freed + size;
        let kept = Kept {
            until: now + Duration::from_millis(parcel.left_ms),
            taken: known.and_then(|known| known.taken.clone()),
            parcel,
        };
        self.kept.insert(kept.parcel.key.clone(), kept);
        Receipt::Kept
    }

    /// Gives a parcel to the entry `by`, to which its caller came back.
    ///
    /// Asked again by the same entry, it gives it again: the answer may have been lost. Another entry is told who has
    /// it: the caller came back twice, and two entries that both go on would spend the tokens twice.
    pub fn take(&mut self, now: Instant, key: &Key, by: &name::Entry) -> Retrieval {
        self.expire(now);
        let Some(kept) = self.kept.get_mut(key) else {
            return Retrieval::Missing;
        };
        if let Some((holder, since)) = &kept.taken
            && holder != by
            && now.since(*since) < Self::RETAKE
        {
            return Retrieval::Elsewhere(holder.clone());
        }
        kept.taken = Some((by.clone(), now));
        let left = kept.until.since(now);
        let parcel = Parcel {
            left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            ..kept.parcel.clone()
        };
        Retrieval::Parcel(Box::new(parcel))
    }

    /// Forgets a parcel whose caller has its answer.
    pub fn finish(&mut self, key: &Key) {
        if let Some(kept) = self.kept.remove(key) {
            self.bytes -= kept.parcel.size();
        }
    }

    /// Gives all parcels away, because this entry leaves: each counts one hop more.
    pub fn drain(&mut self, now: Instant) -> Vec<Parcel> {
        self.expire(now);
        self.bytes = 0;
        let kept = core::mem::take(&mut self.kept);
        kept.into_values()
            .map(|kept| Parcel {
                hops: kept.parcel.hops + 1,
                left_ms: u64::try_from(kept.until.since(now).as_millis()).unwrap_or(u64::MAX),
                ..kept.parcel
            })
            .collect()
    }

    /// Drops everything, after a pause of this entry.
    ///
    /// Meanwhile the other keeper may have given the request away and its caller may be long served; going on with a
    /// stale copy would only repeat work.
    pub fn clear(&mut self) {
        self.kept.clear();
        self.bytes = 0;
    }

    /// Returns the number of parcels.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Returns whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    fn expire(&mut self, now: Instant) {
        let bytes = &mut self.bytes;
        self.kept.retain(|_, kept| {
            let keep = kept.until > now;
            if !keep {
                *bytes -= kept.parcel.size();
            }
            keep
        });
    }
}
