//! Random number generators with a seed from the operating system.

use rand::SeedableRng;
use rand::TryRng;
use rand::rngs::SysRng;
use rand_pcg::Pcg64Mcg;

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
