//! What a holder of the duties leaves to the next one.

use serde::Deserialize;
use serde::Serialize;

/// State of the usage windows when a holder of the duties gave them up in order.
///
/// The fencing number identifies the holder: an entry that starts again holds the duties under another number, and its
/// new process knows nothing of the reports of the former one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Handover {
    /// Fencing number under which the holder gave the duties up.
    pub number: u64,
    /// Last window that was reported or left out.
    pub reported: u64,
    /// Last window that may have been reported under counts that the store has lost; 0 without one.
    pub uncertain: u64,
    /// Last window that a holder before this one may have reported; 0 if it is known which ones it did.
    pub former: u64,
}

impl Handover {
    /// Returns whether nobody held the duties between the holder and the one that began under `number`.
    ///
    /// A number of a later era of the store follows none, since the store has lost who held the duties in between.
    pub const fn precedes(&self, number: u64) -> bool {
        self.number + 1 == number
    }
}
