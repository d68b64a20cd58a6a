//! Bounds that a plan must keep.

use core::net::SocketAddr;
use core::time::Duration;

use super::Plan;
use crate::Error;

const MAX_RATE: f64 = 100_000.0;
const MAX_DURATION: Duration = Duration::from_hours(1);
const MAX_REQUESTS: f64 = 2_000_000.0;
const MAX_CONCURRENCY: usize = 20_000;
const MAX_THREADS: usize = 32;

impl Plan {
    /// Checks that the plan is complete, bounded and stays on this machine.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is wrong, or the first address that is not loopback.
    pub fn validate(&self) -> Result<(), Error> {
        self.check_addresses()?;
        self.check_mix()?;
        self.check_bounds()?;
        self.faults.validate()?;
        if !self.faults.is_empty() && self.target.is_none() {
            return Err(setting(
                "target",
                "a plan with faults needs something that carries them out",
            ));
        }
        Ok(())
    }

    fn check_addresses(&self) -> Result<(), Error> {
        if self.callers.is_empty() {
            return Err(setting("callers", "at least one address is needed"));
        }
        let endpoints = self.endpoints.iter().map(|endpoint| endpoint.address);
        let addresses = self
            .callers
            .iter()
            .copied()
            .chain(endpoints)
            .chain(self.direct.iter().copied());
        addresses.into_iter().try_for_each(check_loopback)
    }

    fn check_mix(&self) -> Result<(), Error> {
        if self.mix.iter().all(|share| share.weight == 0) {
            return Err(setting("mix", "at least one share needs a weight above zero"));
        }
        for share in &self.mix {
            if share.kind.is_model() && share.model.as_str().is_empty() {
                return Err(setting("mix", format!("{} needs a model", share.kind)));
            }
            if !share.kind.is_model() && !share.path.starts_with('/') {
                return Err(setting(
                    "mix",
                    format!("{} needs a path that starts with /", share.kind),
                ));
            }
        }
        Ok(())
    }

    fn check_bounds(&self) -> Result<(), Error> {
        if !(self.rate > 0.0 && self.rate <= MAX_RATE) {
            return Err(setting(
                "rate",
                format!("must be above 0 and at most {MAX_RATE} a second"),
            ));
        }
        if !(0.0..=MAX_RATE).contains(&self.direct_rate) {
            return Err(setting(
                "direct_rate",
                format!("must be between 0 and {MAX_RATE} a second"),
            ));
        }
        if self.duration.is_zero() || self.duration > MAX_DURATION {
            return Err(setting("duration", "must be above 0 and at most an hour"));
        }
        if self.rate * self.duration.as_secs_f64() > MAX_REQUESTS {
            return Err(setting(
                "duration",
                format!("rate times duration exceeds {MAX_REQUESTS} requests"),
            ));
        }
        if !(1..=MAX_CONCURRENCY).contains(&self.concurrency) {
            return Err(setting(
                "concurrency",
                format!("must be between 1 and {MAX_CONCURRENCY}"),
            ));
        }
        if !(1..=MAX_THREADS).contains(&self.threads) {
            return Err(setting("threads", format!("must be between 1 and {MAX_THREADS}")));
        }
        Ok(())
    }
}

/// Refuses an address that is not on this machine.
pub(crate) fn check_loopback(address: SocketAddr) -> Result<(), Error> {
    if address.ip().is_loopback() {
        Ok(())
    } else {
        Err(Error::NotLoopback(address))
    }
}

fn setting(setting: &'static str, reason: impl Into<String>) -> Error {
    Error::Setting {
        setting,
        reason: reason.into(),
    }
}
