//! Urgency of requests.

use serde::Deserialize;
use serde::Serialize;

/// Urgency of a request, from the service's rules or the caller's header.
///
/// The order is by priority: `Urgent` sorts first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// A person waits for the answer; the service's latency target is enforced.
    Urgent,
    /// The answer is needed soon; the latency target is a guideline and is not enforced.
    #[default]
    Normal,
    /// The answer may wait for cheap capacity until its deadline.
    Deferrable,
}
