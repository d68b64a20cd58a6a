//! Isolation of requests that are suspected of killing endpoints.

use core::sync::atomic::AtomicBool;
use core::sync::atomic::Ordering;
use std::sync::Arc;

/// Lock of an endpoint that at most one suspected request holds at a time.
///
/// If an endpoint dies, all requests that ran there are suspected of having killed it. If they were all retried at one
/// other endpoint and killed it too, innocent requests would be refused with the faulty one. With one suspected
/// request per endpoint, a second death affects no other request that is already suspected.
#[derive(Clone, Debug, Default)]
pub struct Isolation(Arc<AtomicBool>);

impl Isolation {
    /// Acquires the lock until the guard is dropped; returns `None` if another request holds it.
    pub fn try_acquire(&self) -> Option<Guard> {
        let was_acquired = self.0.swap(true, Ordering::AcqRel);
        (!was_acquired).then(|| Guard(self.clone()))
    }

    /// Returns whether a request holds the lock.
    pub fn is_acquired(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Guard that releases the lock when it is dropped.
#[derive(Debug)]
pub struct Guard(Isolation);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.0.store(false, Ordering::Release);
    }
}
