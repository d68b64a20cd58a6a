//! Notices about an endpoint in the headers of its responses.

use core::time::Duration;

use ntex::http::HeaderMap;
use ntex::http::StatusCode;
use ntex::http::header;

use super::Dialect;

/// Value of a flag header that clears the flag.
const CLEARED: &str = "0";

/// A notice of an endpoint about itself, from the headers of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// The rate limit for requests from all entries together, in requests per second; `None` when the endpoint
    /// announces none.
    pub rate: Option<f64>,
    /// The number of rejections per second, to all entries together, beyond which the endpoint fails; `None` when it
    /// announces none.
    pub tolerance: Option<f64>,
    /// Whether the endpoint is leaving.
    pub is_leaving: bool,
    /// The time for which the endpoint wants no requests from this entry; `None` unless it rejected the request and
    /// named a time.
    pub retry_after: Option<Duration>,
}

impl Notice {
    /// Parses the headers of a response. A malformed value counts as absent.
    pub fn read(dialect: &Dialect, status: StatusCode, headers: &HeaderMap) -> Self {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim);
        let pause = text(&header::RETRY_AFTER).filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
        Self {
            rate: text(&dialect.rate).and_then(non_negative),
            tolerance: text(&dialect.tolerance).and_then(non_negative),
            is_leaving: text(&dialect.leaving).is_some_and(|value| value != CLEARED),
            retry_after: pause
                .and_then(non_negative)
                .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok()),
        }
    }
}

/// Parses a decimal number that is finite and not negative.
fn non_negative(text: &str) -> Option<f64> {
    let number: f64 = text.parse().ok()?;
    Some(number).filter(|number| number.is_finite() && *number >= 0.0)
}
