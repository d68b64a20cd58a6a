//! Random numbers from the system.

use rand::SeedableRng;
use rand::TryRng;
use rand::rngs::SysRng;
use rand_pcg::Pcg64Mcg;

/// Seeds a generator from the system, so that two threads or entries never draw the same identifiers.
///
/// # Panics
///
/// Panics when the system gives no random bytes; no identifier could be trusted then.
pub fn generator() -> Pcg64Mcg {
    let mut seed = [0; 16];
    SysRng
        .try_fill_bytes(&mut seed)
        .expect("the operating system gives random bytes");
    Pcg64Mcg::from_seed(seed)
}
