//! Admission control: shares services among organisations and refuses requests that cannot be served in time.
//!
//! The control thread owns a [`Control`], which applies the configuration, the load reported by endpoints, and the
//! demand announced by other entries. Workers use its [`Table`], which is part of each snapshot: [`admit`] decides
//! before the first byte of a request is sent to an endpoint, with a few atomic operations and no lock. The returned
//! [`Ticket`] counts the tokens of the answer and corrects the organisation's account when the request ends.
//!
//! The unit of work is a request for plain services and an answer token for model services. A prompt token counts as
//! the fraction of an answer token's engine time that it takes.

mod control;
mod isolation;
mod load;
mod size;
mod table;
mod throughput;
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

/// Refusal of a request before any byte of it was sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(ThisError)]
#[error("{}", describe(*.reason))]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

impl Refusal {
    /// Returns whether the organisation's own use is the cause rather than the service's load.
    pub const fn is_caused_by_organisation(&self) -> bool {
        matches!(self.reason, Reason::Limit(_) | Reason::Share)
    }

    /// Returns the error code of the API.
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

/// Returns the message for a reason.
const fn describe(reason: Reason) -> &'static str {
    match reason {
        Reason::Limit(Limit::Requests) => "the organisation has reached its limit of requests per second",
        Reason::Limit(Limit::Tokens) => "the organisation has reached its limit of tokens per second",
        Reason::Limit(Limit::Spend) => "the organisation has reached its limit of spend per hour",
        Reason::Share => "the service is busy and the organisation has used its share",
        Reason::Target => "the service is too busy to answer within its latency target",
        Reason::Deadline => "the service is too busy to answer within the deadline",
    }
}
