//! Rollout decisions for new versions of a service, without I/O.
//!
//! [`origin`] decides at which versions streams may begin and go on, and at which one a stream of unknown origin does.
//!
//! An operator's [`Order`] names the version that a service is to run. The endpoints of that version first get a small,
//! bounded share of the requests as a canary. The [`Evidence`] counts the answers of both versions over the same time,
//! and the [`Detector`] compares them. The [`Director`], at the entry that holds the duties, issues [`Directive`]s: the
//! share of the new version, and whether the order is completed or rolled back. Every entry keeps a [`Tracker`] for
//! each service, which tells which versions may take requests.
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
//!     era: 0,
//! };
//! tracker.apply_order(Instant::from_secs(1), order, Duration::ZERO);
//! assert_eq!(tracker.admission("v2"), Admission::Canary);
//! assert_eq!(tracker.share(Instant::from_secs(1)), 0, "no directive has set a share yet");
//! ```

pub mod detector;
pub mod directive;
pub mod director;
pub mod evidence;
pub mod order;
pub mod origin;
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
