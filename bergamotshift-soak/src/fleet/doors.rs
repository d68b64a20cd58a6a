//! Where callers come in.

use std::sync::Mutex;
use std::sync::PoisonError;

use crate::caller::Door;

/// The doors that callers may use.
#[derive(Debug, Default)]
pub struct Doors(Mutex<Vec<Option<Door>>>);

impl Doors {
    /// Returns the doors of all entries that run.
    pub fn open(&self) -> Vec<Door> {
        let doors = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        doors.iter().flatten().copied().collect()
    }

    pub(super) fn set(&self, entry: usize, door: Option<Door>) {
        let mut doors = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if doors.len() <= entry {
            doors.resize(entry + 1, None);
        }
        doors[entry] = door;
    }
}
