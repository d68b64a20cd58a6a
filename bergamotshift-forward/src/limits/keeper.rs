//! In a large fleet, the entry that keeps an organisation's account for all.
//!
//! With dozens of entries, each one's share of a limit is smaller than one large request, and it takes many seconds until
//! all have heard a claim. So most of a limit lies with one entry, which the others ask for what their own share does not
//! hold; the rest is shared as in a small fleet, for when that entry cannot be reached.

use core::net::SocketAddr;
use core::time::Duration;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The most entries among which limits are shared without keepers.
pub const SMALL: usize = 16;

/// The part of a limit that its keeper gives out. The rest is for when the keeper cannot be reached: shared by dozens, it
/// holds small requests alone, and an organisation that is at its limit cannot use it. With 0.8, one request in twenty of
/// a calm day was refused for good, with 0.95 one in twenty-eight.
pub const KEPT: f64 = 0.95;

/// How long a keeper may take to answer: some ways between zones. Nothing is sent meanwhile.
pub const PATIENCE: Duration = Duration::from_millis(120);

/// A question for units of an organisation's limit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Question {
    /// The organisation.
    pub organisation: name::Organisation,
    /// How many units.
    pub units: u64,
}

/// The answer: `None` when they are granted, else how many milliseconds until there is room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// How long until there is room, in milliseconds; `None` when the units are granted.
    pub retry_after_ms: Option<u64>,
}

/// Who keeps an organisation's account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Keeper {
    /// Nobody: the limit is shared.
    Nobody,
    /// This entry.
    Own,
    /// The entry at this address.
    Other(SocketAddr),
}

/// Returns the entry that keeps an organisation's account, on which all entries with the same list agree.
pub fn keeper<'a>(
    organisation: &name::Organisation,
    entries: impl Iterator<Item = &'a name::Entry>,
) -> Option<&'a name::Entry> {
    entries.max_by_key(|entry| {
        let seed = xxh3_64_with_seed(entry.as_str().as_bytes(), 0);
        xxh3_64_with_seed(organisation.as_str().as_bytes(), seed)
    })
}
