//! Serialization of prices and durations in the folder.

/// Prices as decimal numbers, in currency units.
pub(super) mod price {
    use core::fmt;

    use bergamotshift_core::prelude::*;
    use serde::Deserializer;
    use serde::Serializer;
    use serde::de;

    /// Number of micro-units in one currency unit.
    const MICROS_PER_UNIT: f64 = 1e6;

    /// Maximum price, in currency units. It keeps a price with mistyped digits from overflowing the arithmetic.
    const MAX: f64 = 1e6;

    #[expect(
        clippy::trivially_copy_pass_by_ref,
        reason = "serde calls it with a reference to the field"
    )]
    pub fn serialize<S: Serializer>(price: &Price, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_f64(price.as_micros() as f64 / MICROS_PER_UNIT)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Price, D::Error> {
        deserializer.deserialize_any(Decimal)
    }

    struct Decimal;

    impl de::Visitor<'_> for Decimal {
        type Value = Price;

        fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
            formatter.write_str("a price: a number from 0 to 1000000")
        }

        fn visit_f64<E: de::Error>(self, v: f64) -> Result<Price, E> {
            if (0.0..=MAX).contains(&v) {
                Ok(Price::from_micros((v * MICROS_PER_UNIT).round() as u64))
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
}

/// Optional prices.
pub(super) mod maybe_price {
    use bergamotshift_core::prelude::*;
    use serde::Deserializer;
    use serde::Serializer;

    #[expect(clippy::ref_option, reason = "serde calls it with a reference to the field")]
    pub fn serialize<S: Serializer>(price: &Option<Price>, serializer: S) -> Result<S::Ok, S::Error> {
        match price {
            Some(price) => super::price::serialize(price, serializer),
            None => serializer.serialize_none(),
        }
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Price>, D::Error> {
        super::price::deserialize(deserializer).map(Some)
    }
}

/// Durations, such as `2s` or `77ms`.
pub(super) mod span {
    use core::time::Duration;

    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;
    use serde::de;

    /// Maximum duration. It keeps deadlines far below the maximum of the clock.
    const MAX: Duration = Duration::from_hours(30 * 24);

    pub fn serialize<S: Serializer>(span: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&humantime::format_duration(*span))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let text = String::deserialize(deserializer)?;
        let span = humantime::parse_duration(&text).map_err(de::Error::custom)?;
        if span.is_zero() || span > MAX {
            return Err(de::Error::custom("a duration must be more than 0 and at most 30 days"));
        }
        Ok(span)
    }
}

/// Optional durations.
pub(super) mod maybe_span {
    use core::time::Duration;

    use serde::Deserializer;
    use serde::Serializer;

    #[expect(clippy::ref_option, reason = "serde calls it with a reference to the field")]
    pub fn serialize<S: Serializer>(span: &Option<Duration>, serializer: S) -> Result<S::Ok, S::Error> {
        match span {
            Some(span) => super::span::serialize(span, serializer),
            None => serializer.serialize_none(),
        }
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Duration>, D::Error> {
        super::span::deserialize(deserializer).map(Some)
    }
}
