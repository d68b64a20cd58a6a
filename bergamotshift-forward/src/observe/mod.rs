//! Observability of a running entry: its metrics, its rate-limited log and its clock.

mod clock;
mod intake;
mod log;
mod metrics;
mod shortage;
mod speeds;

pub use self::clock::Clock;
pub use self::intake::Intake;
pub use self::log::Log;
pub use self::log::Topic;
pub use self::metrics::Metrics;
pub use self::metrics::Outcome;
pub use self::shortage::Shortage;
pub use self::speeds::Speeds;
