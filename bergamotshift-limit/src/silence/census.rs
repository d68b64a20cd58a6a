//! Silence of one endpoint and of most.

/// Smallest number of endpoints whose common silence counts as one event.
const MIN_COMMON: u32 = 2;

/// Extent of a silence among the endpoints that a client uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extent {
    /// Most endpoints go on to answer.
    Single,
    /// Most endpoints are silent together.
    Common,
}

/// Count of the endpoints of a service that answer a client's requests, and of the silent ones among them.
///
/// ```
/// use bergamotshift_limit::silence::{Census, Extent};
///
/// let census = Census::from_iter([true, true, false]);
/// assert_eq!(census.extent(), Extent::Common);
/// assert_eq!(Census::from_iter([true]).extent(), Extent::Single);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Census {
    /// Number of endpoints with answers that have begun and not ended.
    pub answering: u32,
    /// Number of these that are silent.
    pub silent: u32,
}

impl Census {
    /// Returns whether most endpoints are silent together.
    pub const fn extent(self) -> Extent {
        if self.silent >= MIN_COMMON && self.silent * 2 > self.answering {
            Extent::Common
        } else {
            Extent::Single
        }
    }
}

impl FromIterator<bool> for Census {
    /// Counts endpoints by whether each is silent.
    fn from_iter<I: IntoIterator<Item = bool>>(iter: I) -> Self {
        iter.into_iter().fold(Self::default(), |census, is_silent| Self {
            answering: census.answering + 1,
            silent: census.silent + u32::from(is_silent),
        })
    }
}
