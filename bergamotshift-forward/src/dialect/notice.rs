//! What an endpoint's answer says of the endpoint.

use ntex::http::HeaderMap;

use super::Dialect;

/// What an endpoint says of itself in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// The requests a second that it takes from all entries together; `None` when it names no limit.
    pub rate: Option<f64>,
}

impl Notice {
    /// Reads an answer's head; a value that makes no sense counts as absent.
    pub fn read(dialect: &Dialect, headers: &HeaderMap) -> Self {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        Self {
            rate: text(&dialect.rate).and_then(quantity),
        }
    }
}

/// Reads a decimal number that is not negative.
fn quantity(text: &str) -> Option<f64> {
    let number: f64 = text.trim().parse().ok()?;
    Some(number).filter(|number| number.is_finite() && *number >= 0.0)
}
