//! What bounds a rollout.

use core::time::Duration;

use serde::Deserialize;
use thiserror::Error as ThisError;

/// Why settings cannot be used.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(ThisError)]
pub enum Error {
    /// The share is none.
    #[error("expose_share is {0}, and has to lie between 0 and 1")]
    Share(f64),
    /// The number of requests is none.
    #[error("expose_slack is {0}, and must not be negative")]
    Slack(f64),
}

/// What bounds a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(default)]
pub struct Settings {
    /// The largest part of a service's requests that a bad version may get between the order and its time limit.
    pub expose_share: f64,
    /// Requests that it may get beyond that.
    pub expose_slack: f64,
    /// Milliseconds from the 50th bad answer of a version to the last request that it may get.
    pub rollback_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            expose_share: 0.1,
            expose_slack: 50.0,
            rollback_ms: 5_000,
        }
    }
}

impl Settings {
    /// Checks that the figures can be met.
    ///
    /// # Errors
    ///
    /// Returns the figure that cannot.
    pub fn check(&self) -> Result<(), Error> {
        if !(0.0..=1.0).contains(&self.expose_share) {
            return Err(Error::Share(self.expose_share));
        }
        if self.expose_slack < 0.0 || self.expose_slack.is_nan() {
            return Err(Error::Slack(self.expose_slack));
        }
        Ok(())
    }

    /// Returns how old a holder's word may be until a canary gets nothing any more.
    ///
    /// An entry that is cut off does not hear that a version was rolled back.
    pub fn directive_timeout(&self) -> Duration {
        Duration::from_millis(self.rollback_ms).mul_f64(0.5)
    }
}
