//! Versions that endpoints state.

use core::time::Duration;
use std::sync::Mutex;
use std::sync::PoisonError;

use bergamotshift_core::prelude::*;
use bergamotshift_endpoint::engine::version::Version;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time after which a statement no longer counts, as the endpoint may have been replaced on its address.
const TTL: Duration = Duration::from_secs(10);

/// Version that an endpoint last stated in a stream to this entry.
///
/// It only says where to ask first. Whether a stream goes on at an endpoint follows from what that states in the
/// continuation.
#[derive(Debug, Default)]
pub struct Statement(Mutex<Option<(Version, Instant)>>);

impl Statement {
    /// Records what a stream stated.
    pub fn record(&self, now: Instant, version: Version) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some((version, now));
    }

    /// Returns a digest of the version that the endpoint states; `None` if it stated none lately.
    pub fn digest(&self, now: Instant) -> Option<u64> {
        let stated = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let (version, _) = stated.as_ref().filter(|(_, at)| now.since(*at) < TTL)?;
        let [model, fingerprint] =
            [&version.model, &version.fingerprint].map(|text| text.as_deref().unwrap_or_default());
        Some(xxh3_64_with_seed(fingerprint.as_bytes(), xxh3_64(model.as_bytes())))
    }

    /// Returns whether the endpoint states a version that is `wanted`; `None` if it stated none lately.
    pub fn is_wanted(&self, now: Instant, wanted: impl FnOnce(&Version) -> bool) -> Option<bool> {
        let stated = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let (version, _) = stated.as_ref().filter(|(_, at)| now.since(*at) < TTL)?;
        Some(wanted(version))
    }
}
