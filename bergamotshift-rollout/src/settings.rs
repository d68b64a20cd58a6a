//! Limits of a rollout.

use core::time::Duration;

use serde::Deserialize;
use thiserror::Error as ThisError;

/// Error in the settings of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(ThisError)]
pub enum Error {
    /// The share is not between 0 and 1.
    #[error("expose_share is {0}, but must be between 0 and 1")]
    Share(f64),
    /// The number of requests is negative or not a number.
    #[error("expose_slack is {0}, but must not be negative")]
    Slack(f64),
}

/// Limits of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Maximum share of a service's requests that a bad version may get until the time limit of the order, from 0 to 1.
    pub expose_share: f64,
    /// Number of requests that a bad version may get in addition to that share.
    pub expose_slack: f64,
    /// Maximum time from the 50th bad answer of a version to its last request, in milliseconds.
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
    /// Checks that the settings are in range.
    ///
    /// # Errors
    ///
    /// Returns an error for the first setting that is out of range.
    pub fn check(&self) -> Result<(), Error> {
        if !(0.0..=1.0).contains(&self.expose_share) {
            return Err(Error::Share(self.expose_share));
        }
        if self.expose_slack < 0.0 || self.expose_slack.is_nan() {
            return Err(Error::Slack(self.expose_slack));
        }
        Ok(())
    }

    /// Returns the time after which a directive is stale and the canary gets no more requests.
    ///
    /// An entry that is cut off does not learn that a version was rolled back.
    pub fn directive_timeout(&self) -> Duration {
        Duration::from_millis(self.rollback_ms).mul_f64(0.5)
    }
}
