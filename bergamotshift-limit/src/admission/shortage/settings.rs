//! Parameters of admission in a shortage.

use core::time::Duration;

use serde::Deserialize;

/// Services to which admission in a shortage applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Services whose estimates can support a decision, or whose routes need it.
    #[default]
    Auto,
    /// All services of model engines.
    Always,
    /// No service.
    Never,
}

/// Parameters of admission in a shortage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time over which requested and admitted work is added up.
    pub window: Duration,
    /// Fraction of a request's objective up to which a wait counts as none.
    pub idle: f64,
    /// Fraction of the longest permitted wait above which shares are enforced.
    pub contention: f64,
    /// Multiple of its share that an organisation may be admitted: requests are indivisible, and shares follow from
    /// estimates.
    pub tolerance: f64,
    /// Fraction of a request's objective that it may always wait, so that large prompts are not starved.
    pub least_wait: f64,
    /// Maximum number of organisations whose work is recorded. Further ones are not subject to shares.
    pub organisations: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(2),
            idle: 0.1,
            contention: 0.4,
            tolerance: 1.1,
            least_wait: 0.25,
            organisations: 256,
        }
    }
}
