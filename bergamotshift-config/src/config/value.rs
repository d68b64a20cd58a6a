//! How prices and spans of time are written in the folder.

use core::fmt;
use core::time::Duration;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Deserializer;
use serde::de;

/// The dearest price that is read, in currency units: no mistake of digits reaches the arithmetic's end.
const MAX_PRICE: f64 = 1_000_000.0;

/// Reads a price from a decimal number of currency units.
pub(super) fn price<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Price, D::Error> {
    deserializer.deserialize_any(Decimal)
}

/// Reads a price that may be missing.
pub(super) fn maybe_price<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Price>, D::Error> {
    price(deserializer).map(Some)
}

/// Reads a span of time such as `2s` or `77ms`.
pub(super) fn span<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    let span = humantime::parse_duration(&text).map_err(de::Error::custom)?;
    if span.is_zero() || span > MAX_SPAN {
        return Err(de::Error::custom("a span of time is more than 0 and at most 30 days"));
    }
    Ok(span)
}

/// The longest span that is read: deadlines stay far from the clock's end.
const MAX_SPAN: Duration = Duration::from_hours(30 * 24);

/// Reads a span that may be missing.
pub(super) fn maybe_span<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Duration>, D::Error> {
    span(deserializer).map(Some)
}

struct Decimal;

impl de::Visitor<'_> for Decimal {
    type Value = Price;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a price: a number from 0 to 1000000")
    }

    fn visit_f64<E: de::Error>(self, v: f64) -> Result<Price, E> {
        const MICROS: f64 = 1e6;
        if (0.0..=MAX_PRICE).contains(&v) {
            Ok(Price::from_micros((v * MICROS).round() as u64))
        } else {
            Err(E::invalid_value(de::Unexpected::Float(v), &self))
        }
    }

    fn visit_i64<E: de::Error>(self, v: i64) -> Result<Price, E> {
        self.visit_f64(v as f64)
    }

    fn visit_u64<E: de::Error>(self, v: u64) -> Result<Price, E> {
        self.visit_f64(v as f64)
    }
}
