//! Decides how a new version of a service is rolled out, without I/O.
//!
//! An operator's [`Order`] names the version that a service is to run. The endpoints of that version first take a small,
//! bounded share of the requests as a canary. What both versions answered over the same time is the [`Evidence`]; the
//! [`Detector`] compares them, and the [`Director`] of the one entry that holds the duties turns that into
//! [`Directive`]s: how large the share is, and when the order is completed or rolled back. Every entry keeps a
//! [`Tracker`] of each service, which says which versions may take work.
//!
//! ```
//! use core::time::Duration;
//!
//! use bergamotshift_core::prelude::*;
//! use bergamotshift_rollout::prelude::*;
//!
//! let mut tracker = Tracker::default();
//! assert_eq!(tracker.admission("v1"), Admission::Stable);
//! let order = Order {
//!     service: name::Service::new("planner"),
//!     to: "v2".into(),
//!     duration: Duration::from_secs(12),
//!     number: 7,
//! };
//! tracker.apply_order(Instant::from_secs(1), order, Duration::ZERO);
//! assert_eq!(tracker.admission("v2"), Admission::Canary);
//! assert_eq!(tracker.share(Instant::from_secs(1)), 0, "nobody has directed a share yet");
//! ```

pub mod detector;
pub mod directive;
pub mod director;
pub mod evidence;
pub mod order;
pub mod prelude;
pub mod settings;
pub mod tracker;

pub use self::detector::Detector;
pub use self::directive::Directive;
pub use self::director::Director;
pub use self::evidence::Evidence;
pub use self::order::Order;
pub use self::settings::Settings;
pub use self::tracker::Tracker;
