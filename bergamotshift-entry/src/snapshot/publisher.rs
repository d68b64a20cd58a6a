//! Publishes snapshots from the control thread to the worker threads.

use core::cell::RefCell;
use std::sync::Arc;

use arc_swap::ArcSwap;
use arc_swap::Cache;

use super::Snapshot;

/// Publisher that replaces the current snapshot atomically.
#[derive(Clone, Debug)]
pub struct Publisher(Arc<ArcSwap<Snapshot>>);

impl Publisher {
    /// Creates a publisher with a first snapshot.
    pub fn new(first: Snapshot) -> Self {
        Self(Arc::new(ArcSwap::from_pointee(first)))
    }

    /// Replaces the current snapshot.
    pub fn publish(&self, snapshot: Snapshot) {
        self.0.store(Arc::new(snapshot));
    }

    /// Returns the current snapshot.
    pub fn current(&self) -> Arc<Snapshot> {
        self.0.load_full()
    }

    /// Returns a reader for one thread.
    pub fn reader(&self) -> Reader {
        Reader(RefCell::new(Cache::new(Arc::clone(&self.0))))
    }
}

/// Reader of snapshots on one thread, whose cache mostly avoids access to memory that other threads write.
#[derive(Debug)]
pub struct Reader(RefCell<Cache<Arc<ArcSwap<Snapshot>>, Arc<Snapshot>>>);

impl Reader {
    /// Returns the current snapshot.
    pub fn current(&self) -> Arc<Snapshot> {
        Arc::clone(self.0.borrow_mut().load())
    }
}
