//! Limits of one organisation: requests, tokens and spend, held across all entries.
//!
//! Workers ask an [`Account`]; the control thread keeps a [`Ledger`] of accounts and sets each to this entry's portion
//! of the organisation's limits (see [`crate::demand`]).
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

/// What an organisation may use in all; `None` is without limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Requests per second.
    pub requests_per_second: Option<f64>,
    /// Requests at once. The other limits allow bursts of as many seconds as this is at the request rate.
    pub burst: f64,
    /// Tokens per second, prompt and answer.
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
    /// The burst, in seconds, of limits that come without a request rate.
    const BURST_SECONDS: f64 = 10.0;

    fn burst_seconds(&self) -> f64 {
        match self.requests_per_second {
            Some(rate) if rate > 0.0 => self.burst / rate,
            _ => Self::BURST_SECONDS,
        }
    }
}

/// What a request is expected to use, or did use, besides being one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Tokens, prompt and answer.
    pub tokens: u64,
    /// The price of the endpoint time it takes.
    pub spend: Price,
}

/// Which limit was reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// Requests per second.
    Requests,
    /// Tokens per second.
    Tokens,
    /// Spend per hour.
    Spend,
}

/// A limit was reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Excess {
    /// Which one.
    pub limit: Limit,
    /// When the same request would pass, if nothing else were sent until then.
    pub retry_after: Duration,
}
