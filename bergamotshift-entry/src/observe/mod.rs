//! What operators can see of an entry: metrics, traces and what log records say.

mod event;
pub mod metrics;
pub mod platform;
pub mod trace;

pub use self::metrics::Metrics;
pub use self::metrics::Record;
pub use self::metrics::ServiceMetrics;
pub use self::trace::Hop;
pub use self::trace::Span;
pub use self::trace::Trace;
pub use self::trace::Traces;
