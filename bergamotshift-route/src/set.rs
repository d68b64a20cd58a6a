//! Bit sets of small numeric ids (zones, classes, models), which are cheap to test on the request path.

/// A bit set of numbers below [`Set::CAPACITY`].
///
/// ```
/// use bergamotshift_route::set::Set;
///
/// let zones = Set::EMPTY.with(1).with(3);
/// assert!(zones.contains(3) && !zones.contains(2));
/// assert!(Set::EMPTY.with(1).is_subset(zones));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Set(u128);

impl Set {
    /// Exclusive upper bound of the numbers that the set can hold.
    pub const CAPACITY: usize = 128;

    /// The empty set.
    pub const EMPTY: Self = Self(0);

    /// The set of all numbers below [`Set::CAPACITY`].
    pub const ALL: Self = Self(u128::MAX);

    /// Returns the set with `number` added; numbers beyond the capacity are ignored.
    #[must_use]
    pub const fn with(self, number: u8) -> Self {
        match 1_u128.checked_shl(number as u32) {
            Some(bit) => Self(self.0 | bit),
            None => self,
        }
    }

    /// Returns the set without `number`.
    #[must_use]
    pub const fn without(self, number: u8) -> Self {
        match 1_u128.checked_shl(number as u32) {
            Some(bit) => Self(self.0 & !bit),
            None => self,
        }
    }

    /// Returns whether `number` is in the set.
    pub const fn contains(self, number: u8) -> bool {
        match 1_u128.checked_shl(number as u32) {
            Some(bit) => self.0 & bit != 0,
            None => false,
        }
    }

    /// Returns whether every number of this set is in `other`.
    pub const fn is_subset(self, other: Self) -> bool {
        self.0 & !other.0 == 0
    }

    /// Returns whether the set is empty.
    pub const fn is_empty(self) -> bool {
        self.0 == 0
    }
}

impl Default for Set {
    fn default() -> Self {
        Self::EMPTY
    }
}
