//! Attempts whose endpoint falls silent.
//!
//! Silence does not tell a dead endpoint from one that is suspended or cut off for a moment, so it never ends an attempt
//! by itself. A [`Watch`] decides what a client does meanwhile: it has the path to the endpoint checked ([`Pulse`]) and
//! looks for a replacement, while the attempt goes on until the replacement has begun to answer. If most endpoints fall
//! silent together ([`Census`]), no attempt moves: the replacement would be as silent, and the moves would be a storm of
//! retries.
//!
//! ```
//! use core::time::Duration;
//! use bergamotshift_core::prelude::*;
//! use bergamotshift_limit::silence::{Action, Extent, Path, Settings, Watch};
//!
//! let began = Instant::from_secs(1);
//! let watch = Watch::new(Settings::default(), Duration::from_secs(1), began);
//! let late = began + Duration::from_secs(1);
//! assert!(matches!(watch.decide(began, Path::Unknown, Extent::Single), Action::Wait(_)));
//! assert!(matches!(watch.decide(late, Path::Reached, Extent::Common), Action::Wait(_)));
//! assert!(matches!(watch.decide(late, Path::Reached, Extent::Single), Action::Replace { overlap: Some(_) }));
//! assert_eq!(watch.decide(late, Path::Gone, Extent::Single), Action::GiveUp);
//! ```

mod census;
mod pulse;
mod watch;

use core::time::Duration;

pub use self::census::Census;
pub use self::census::Extent;
pub use self::pulse::Path;
pub use self::pulse::Pulse;
pub use self::watch::Action;
pub use self::watch::Watch;

/// Settings of a [`Watch`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time before the limit at which the path to the endpoint is checked, so that the outcome is known at the limit.
    pub check_lead: Duration,
    /// Time for which the outcome of a check is believed.
    pub check_ttl: Duration,
    /// Time between two looks at a silent endpoint, and between two searches for a replacement.
    pub interval: Duration,
    /// Maximum time for which a replacement may work beside an attempt at an endpoint that may still work on it.
    pub max_overlap: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            check_lead: Duration::from_millis(300),
            check_ttl: Duration::from_secs(1),
            interval: Duration::from_millis(250),
            max_overlap: Duration::from_millis(300),
        }
    }
}
