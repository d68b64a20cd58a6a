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

/// The largest count of requests that a report is believed.
const MOST_REQUESTS: u32 = 1 << 20;

/// The largest count of tokens that a report is believed.
const MOST_TOKENS: u32 = 1 << 30;

/// A whole, in thousandths.
const WHOLE_PERMILLE: u16 = 1_000;

impl Report {
    /// Returns the report with every reading brought within what an endpoint can mean.
    ///
    /// Failure: a faulty endpoint reports the largest number that there is. Symptom: a sum with it overflows and the
    /// thread that serves callers dies. Sums of readings within these bounds stay far below any overflow.
    ///
    /// ```
    /// use bergamotshift_core::load::Report;
    ///
    /// let report = Report { running: u32::MAX, cache_permille: 2_000, ..Report::default() };
    /// let bounded = report.bounded();
    /// assert_eq!((bounded.running, bounded.cache_permille), (1 << 20, 1_000));
    /// assert_eq!(bounded.bounded(), bounded);
    /// ```
    #[must_use]
    pub fn bounded(self) -> Self {
        Self {
            running: self.running.min(MOST_REQUESTS),
            waiting: self.waiting.min(MOST_REQUESTS),
            slots: self.slots.min(MOST_REQUESTS),
            prefill_backlog: self.prefill_backlog.min(MOST_TOKENS),
            decode_rate: self.decode_rate.min(MOST_TOKENS),
            cache_permille: self.cache_permille.min(WHOLE_PERMILLE),
            ..self
        }
    }
}
