//! Random number generators with a seed from the operating system, and fractions that spread entries evenly.

use bergamotshift_core::prelude::*;
use rand::SeedableRng;
use rand::TryRng;
use rand::rngs::SysRng;
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64;

/// Returns a generator with a random seed from the operating system, so that two threads or entries do not generate the
/// same identifiers.
///
/// # Panics
///
/// Panics when the operating system provides no random bytes, as no identifier could be relied on to be unique then.
pub fn generator() -> Pcg64Mcg {
    let mut seed = [0; 16];
    SysRng
        .try_fill_bytes(&mut seed)
        .expect("the operating system gives random bytes");
    Pcg64Mcg::from_seed(seed)
}

/// Returns a fraction between 0 and 1 that spreads entries evenly and is the same for an entry each time.
pub fn fraction_of(entry: &name::Entry) -> f64 {
    xxh3_64(entry.as_str().as_bytes()) as f64 / u64::MAX as f64
}
