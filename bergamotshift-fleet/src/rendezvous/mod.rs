//! Rendezvous hashing: assigns a role to live members without any communication.
//!
//! Entries with the same view compute the same ranking, and the loss of a member moves only that member's roles.
//!
//! ```
//! use bergamotshift_fleet::rendezvous;
//!
//! let all = [1_u64, 2, 3, 4];
//! let chosen = rendezvous::top(7, 2, all.iter().map(|member| (*member, *member)));
//! let without_last = rendezvous::top(7, 2, all.iter().filter(|member| **member != chosen[1]).map(|m| (*m, *m)));
//! assert_eq!(chosen[0], without_last[0]);
//! ```

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of a member for a key.
pub fn weight(key: u64, member: u64) -> u64 {
    xxh3_64_with_seed(&member.to_le_bytes(), key)
}

/// Returns the `count` candidates with the highest weights for a key, highest first.
///
/// Each candidate is a pair of the hash that it is ranked by and the value to return.
pub fn top<T>(key: u64, count: usize, candidates: impl Iterator<Item = (u64, T)>) -> Vec<T> {
    let mut ranked: Vec<(u64, u64, T)> = candidates
        .map(|(member, value)| (weight(key, member), member, value))
        .collect();
    ranked.sort_unstable_by_key(|&(weight, member, _)| core::cmp::Reverse((weight, member)));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, _, value)| value).collect()
}
