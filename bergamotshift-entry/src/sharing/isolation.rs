//! The one place that an endpoint has for suspected work.

use core::sync::atomic::AtomicBool;
use core::sync::atomic::Ordering;
use std::sync::Arc;

/// An endpoint's place for one request that is suspected of killing endpoints.
///
/// Failure: an endpoint dies and everything that ran there is suspected; all of it goes on at one other endpoint, the
/// guilty request with it. Symptom: that endpoint dies too, and innocent requests are refused with the guilty one. With
/// one suspect an endpoint, the second death accuses nobody else for the second time.
#[derive(Clone, Debug, Default)]
pub struct Isolation(Arc<AtomicBool>);

impl Isolation {
    /// Takes the place until the result is dropped, unless another request has it.
    pub fn try_acquire(&self) -> Option<Guard> {
        let taken = self.0.swap(true, Ordering::AcqRel);
        (!taken).then(|| Guard(self.clone()))
    }

    /// Returns whether a request has the place.
    pub fn is_acquired(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// The place is taken until this is dropped.
#[derive(Debug)]
pub struct Guard(Isolation);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.0.store(false, Ordering::Release);
    }
}
