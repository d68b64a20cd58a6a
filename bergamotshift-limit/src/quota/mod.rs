//! Limits on requests, tokens and spend of an organisation, enforced across all entries.
//!
//! Workers charge requests to an [`Account`]. The control thread keeps a [`Ledger`] of accounts and sets each to this
//! entry's portion of the organisation's limits (see [`crate::demand`]).
//!
//! ```
//! use bergamotshift_core::prelude::*;
//! use bergamotshift_limit::quota::{Cost, Ledger, Limits};
//! use bergamotshift_limit::demand;
//!
//! let mut ledger = Ledger::new(demand::View::new(demand::Settings::default(), vec![], 0));
//! let limits = Limits { requests_per_second: Some(1.0), burst: 1.0, ..Limits::default() };
//! let account = ledger.open(Instant::ZERO, name::Organisation::from("hotel"), limits);
//! assert!(account.admit(Instant::ZERO, Cost::default()).is_ok());
//! assert!(account.admit(Instant::ZERO, Cost::default()).is_err());
//! ```

mod account;
mod ledger;

use core::time::Duration;

use bergamotshift_core::prelude::*;

pub use self::account::Account;
pub use self::ledger::Ledger;

/// Limits of an organisation over the whole fleet; `None` means unlimited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Requests per second.
    pub requests_per_second: Option<f64>,
    /// Burst in requests. The other limits allow bursts of the same duration, measured at the request rate.
    pub burst: f64,
    /// Tokens per second, of prompts and answers.
    pub tokens_per_second: Option<f64>,
    /// Spend per hour.
    pub spend_per_hour: Option<Price>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            requests_per_second: None,
            burst: 10.0,
            tokens_per_second: None,
            spend_per_hour: None,
        }
    }
}

impl Limits {
    /// Burst, in seconds, of limits without a request rate.
    const DEFAULT_BURST_SECONDS: f64 = 10.0;

    /// Returns the burst of the token and spend limits, in seconds.
    fn burst_seconds(&self) -> f64 {
        match self.requests_per_second {
            Some(rate) if rate > 0.0 => self.burst / rate,
            _ => Self::DEFAULT_BURST_SECONDS,
        }
    }
}

/// Expected or actual cost of a request, besides counting as one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Tokens of the prompt and the answer.
    pub tokens: u64,
    /// Price of the endpoint time that it takes.
    pub spend: Price,
}

/// Kind of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// Requests per second.
    Requests,
    /// Tokens per second.
    Tokens,
    /// Spend per hour.
    Spend,
}

/// Refusal of a request because a limit is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Excess {
    /// Limit that is reached.
    pub limit: Limit,
    /// Time until the same request would be admitted if no other is sent.
    pub retry_after: Duration,
}
