//! What callers were told, and what endpoints truly ran.

mod remote;

use core::fmt::Debug;
use core::net::SocketAddr;

use bergamotshift_core::name;
use bergamotshift_core::outcome::Outcome;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use thiserror::Error;

pub use remote::Remote;

use crate::work::Kind;

/// One answer, or the lack of one, to one sending of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Sending {
    /// The entry it went to.
    pub entry: SocketAddr,
    /// The status, or `None` when the connection gave none.
    pub status: Option<u16>,
    /// What the answer said about whether the request ran.
    pub outcome: Option<Outcome>,
    /// The identifier that the entry gave the request.
    pub request_id: SmolStr,
    /// What broke, when something did.
    pub broken: Option<String>,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fate {
    /// The whole answer came, and its content is right.
    Whole,
    /// The whole answer came, and its content is not that request's.
    Wrong,
    /// It was refused before it was accepted.
    Refused,
    /// No entry answered it.
    #[default]
    Unreachable,
    /// It was accepted, a part of the answer came, and the rest never did.
    Cut,
    /// It was accepted and no part of an answer came.
    Lost,
}

/// One request as its caller saw it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Its place in the run.
    pub index: u64,
    /// Its kind.
    pub kind: Kind,
    /// Its idempotency key.
    pub key: SmolStr,
    /// Whether it carries the marker that crashes endpoints.
    pub poisonous: bool,
    /// Whether an entry accepted it: a 2xx head, a 202 or the first byte of a stream.
    pub accepted: bool,
    /// How it ended.
    pub fate: Fate,
    /// The evidence, when it did not end whole.
    pub detail: String,
    /// Each sending, in the order of the answers.
    pub sendings: Vec<Sending>,
    /// When it was due, in microseconds since the run's start.
    pub due_us: u64,
    /// How late it was sent, in microseconds.
    pub lag_us: u64,
    /// From when it was due to the last byte, in microseconds.
    pub latency_us: u64,
    /// From when it was due to the first token, in microseconds.
    pub first_token_us: Option<u64>,
    /// Tokens that came in.
    pub tokens: u32,
}

impl Record {
    /// Returns whether each answer said that the request did not run, and no sending is in doubt.
    pub fn denied(&self) -> bool {
        let denied = |sending: &Sending| sending.outcome == Some(Outcome::NotRun);
        !self.sendings.is_empty() && self.sendings.iter().all(denied)
    }

    /// Returns the identifiers that entries gave the request.
    pub fn request_ids(&self) -> Vec<SmolStr> {
        let given = self.sendings.iter().filter(|sending| !sending.request_id.is_empty());
        given.map(|sending| sending.request_id.clone()).collect()
    }
}

/// One request that an endpoint began to work on, as its own ledger has it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Run {
    /// The attempt id that came with it.
    pub attempt: Option<SmolStr>,
    /// The idempotency key that came with it.
    pub key: Option<SmolStr>,
    /// The request's method and path.
    pub target: SmolStr,
    /// Tokens generated.
    pub tokens: u32,
    /// Prompt tokens computed.
    pub prefilled: u32,
    /// Whether it came to its end.
    pub finished: bool,
}

/// The ledger of one endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Book {
    /// The endpoint.
    pub endpoint: name::Vm,
    /// The runs in the order of their starts.
    pub runs: Vec<Run>,
    /// Whether the endpoint told all of it; false when it could not be read again before it died.
    pub complete: bool,
}

/// A ledger could not be read.
#[derive(Debug)]
#[derive(Error)]
pub enum Error {
    /// The thread that reads ledgers failed.
    #[error("the ledgers could not be read: {0}")]
    Thread(String),
}

/// Gives the ledgers of all endpoints.
///
/// The demo reads its stand-ins' handles, which outlive a kill; [`Remote`] asks over HTTP.
pub trait Source: Debug + Send + Sync {
    /// Returns what each endpoint ran so far; blocks the calling thread.
    ///
    /// # Errors
    ///
    /// Returns an error when no ledger at all can be read. One endpoint's silence shows in [`Book::complete`].
    fn books(&self) -> Result<Vec<Book>, Error>;
}
