//! Prices as integers, so that sums are exact.

use core::iter::Sum;
use core::ops::Add;
use core::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Amount of money in millionths of the deployment's currency unit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Price(u64);

impl Price {
    /// Price of zero.
    pub const ZERO: Self = Self(0);

    /// Creates a price from millionths of a currency unit.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the price in millionths of a currency unit.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the cost of `span` at this price per hour, rounded down to a millionth of a currency unit.
    #[must_use]
    pub const fn cost_of(self, span: Duration) -> Self {
        const MICROS_PER_HOUR: u128 = 3_600_000_000;
        let cost = self.0 as u128 * span.as_micros() / MICROS_PER_HOUR;
        Self(cost as u64)
    }
}

impl Add for Price {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl Sum for Price {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::ZERO, Add::add)
    }
}
