//! Load reports of endpoints, which reach an entry late.

use serde::Deserialize;
use serde::Serialize;

/// What an endpoint says of its own load.
///
/// Every field is a reading at some earlier moment: whoever uses a report adds what was sent since.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Counts the endpoint's reports; a lower number than one already seen is stale.
    pub sequence: u64,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Slots in the running batch when it is full.
    pub slots: u32,
    /// Prompt tokens not yet computed, of all accepted requests.
    pub prefill_backlog: u32,
    /// Tokens generated per second at the moment, over all running requests.
    pub decode_rate: u32,
    /// Share of the KV cache in use, in thousandths.
    pub cache_permille: u16,
    /// Whether the endpoint says that it is leaving.
    pub leaving: bool,
}
