//! What operators can see of an entry: metrics, and soon traces.

mod metrics;

pub use self::metrics::Metrics;
pub use self::metrics::ServiceMetrics;
