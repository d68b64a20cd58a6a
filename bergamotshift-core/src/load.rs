//! Load reports of endpoints, which reach an entry with a delay.

use serde::Deserialize;
use serde::Serialize;

/// Load reported by an endpoint.
///
/// All values are from an earlier time, so the user of a report has to add the requests sent since.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Sequence number of the report; a report with a lower number than a known one is stale.
    pub sequence: u64,
    /// Number of requests in the running batch.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
    /// Number of slots of a full batch.
    pub slots: u32,
    /// Number of prompt tokens of all accepted requests that are not computed yet.
    pub prefill_backlog: u32,
    /// Tokens generated per second over all running requests.
    pub decode_rate: u32,
    /// Share of the KV cache in use, in thousandths.
    pub cache_permille: u16,
    /// Whether the endpoint announces that it is leaving.
    pub leaving: bool,
}

/// Upper bound of the numbers of requests in a report.
const MAX_REQUESTS: u32 = 1 << 20;

/// Upper bound of the numbers of tokens in a report.
const MAX_TOKENS: u32 = 1 << 30;

/// Upper bound of a share, in thousandths.
const MAX_PERMILLE: u16 = 1_000;

impl Report {
    /// Returns the report with all values limited to plausible bounds.
    ///
    /// A faulty endpoint may report the largest representable number, with which a sum would overflow and crash the
    /// thread that serves callers. Sums of values within these bounds stay far below any overflow.
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
            running: self.running.min(MAX_REQUESTS),
            waiting: self.waiting.min(MAX_REQUESTS),
            slots: self.slots.min(MAX_REQUESTS),
            prefill_backlog: self.prefill_backlog.min(MAX_TOKENS),
            decode_rate: self.decode_rate.min(MAX_TOKENS),
            cache_permille: self.cache_permille.min(MAX_PERMILLE),
            ..self
        }
    }
}
