//! Sharing a service among organisations, and turning away what cannot be served in time.
//!
//! The control thread owns a [`Control`]: it follows the configuration, reads the load that endpoints report, and
//! hears what other entries are asked for. Workers ask its [`Table`], which each snapshot carries: [`admit`] decides
//! before the first byte of a request goes towards an endpoint, with a few atomic operations and no lock, and the
//! [`Ticket`] that it gives counts the answer's tokens and corrects the organisation's account when it is dropped.
//!
//! Work is counted in tokens for model services, a prompt's token as the part of an answer's token that it takes an
//! engine, and in requests for plain services.

mod control;
mod flow;
mod isolation;
mod load;
mod size;
mod table;
mod ticket;

use core::time::Duration;

use bergamotshift_limit::admission::Reason;
use bergamotshift_limit::quota::Limit;
use thiserror::Error as ThisError;

pub use self::control::Control;
pub use self::isolation::Guard;
pub use self::isolation::Isolation;
pub use self::table::Table;
pub use self::ticket::Admission;
pub use self::ticket::Ticket;
pub use self::ticket::admit;
pub use self::ticket::decide;

/// A request is turned away before any byte of it went towards an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(ThisError)]
#[error("{}", text(*.reason))]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When it may come back.
    pub retry_after: Duration,
}

impl Refusal {
    /// Returns whether the caller's organisation is the cause, and not the service's load.
    pub const fn is_caused_by_organisation(&self) -> bool {
        matches!(self.reason, Reason::Limit(_) | Reason::Share)
    }

    /// Returns the API's code.
    pub const fn code(&self) -> &'static str {
        match self.reason {
            Reason::Limit(Limit::Requests) => "request_limit",
            Reason::Limit(Limit::Tokens) => "token_limit",
            Reason::Limit(Limit::Spend) => "spend_limit",
            Reason::Share => "share_used",
            Reason::Target => "target_out_of_reach",
            Reason::Deadline => "deadline_out_of_reach",
        }
    }
}

const fn text(reason: Reason) -> &'static str {
    match reason {
        Reason::Limit(Limit::Requests) => "the organisation has reached its limit of requests per second",
        Reason::Limit(Limit::Tokens) => "the organisation has reached its limit of tokens per second",
        Reason::Limit(Limit::Spend) => "the organisation has reached its limit of spend per hour",
        Reason::Share => "the service is busy and the organisation has used its share",
        Reason::Target => "the service is too busy to answer within its latency target",
        Reason::Deadline => "the service is too busy to answer within the deadline",
    }
}
