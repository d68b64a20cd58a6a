//! What an endpoint's answer says of the endpoint.

use core::time::Duration;

use ntex::http::HeaderMap;
use ntex::http::StatusCode;
use ntex::http::header;

use super::Dialect;

/// The value of a mark that says that it does not hold.
const UNMARKED: &str = "0";

/// What an endpoint says of itself in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// The requests a second that it takes from all entries together; `None` when it names no limit.
    pub rate: Option<f64>,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// How long it wants nothing from this entry; `None` when it did not turn the request away, or named no time.
    pub retry_after: Option<Duration>,
}

impl Notice {
    /// Reads an answer's head; a value that makes no sense counts as absent.
    pub fn read(dialect: &Dialect, status: StatusCode, headers: &HeaderMap) -> Self {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim);
        let pause = text(&header::RETRY_AFTER).filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
        Self {
            rate: text(&dialect.rate).and_then(quantity),
            is_leaving: text(&dialect.leaving).is_some_and(|mark| mark != UNMARKED),
            retry_after: pause
                .and_then(quantity)
                .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok()),
        }
    }
}

/// Reads a decimal number that is not negative.
fn quantity(text: &str) -> Option<f64> {
    let number: f64 = text.parse().ok()?;
    Some(number).filter(|number| number.is_finite() && *number >= 0.0)
}
