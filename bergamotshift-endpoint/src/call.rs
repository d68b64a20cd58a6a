//! One attempt of a request, as it is sent to an endpoint.

use core::net::SocketAddr;
use core::time::Duration;

use bergamotshift_core::attempt;
use ntex::http::HeaderMap;
use ntex::http::Method;
use ntex::http::Payload;
use ntex::http::uri::Authority;
use ntex::http::uri::PathAndQuery;
use ntex::util::Bytes;

/// Address of an endpoint, with or without TLS.
#[derive(Clone, Debug)]
pub struct Target {
    authority: Authority,
    tls: bool,
}

impl Target {
    /// Creates a target from a socket address, reached in clear text or over TLS.
    ///
    /// # Panics
    ///
    /// Never: a socket address is always a valid authority.
    pub fn new(address: SocketAddr, tls: bool) -> Self {
        let authority = address
            .to_string()
            .parse()
            .expect("a socket address is a valid authority");
        Self { authority, tls }
    }

    /// Returns the host and port.
    pub const fn authority(&self) -> &Authority {
        &self.authority
    }

    /// Returns the URI scheme.
    pub const fn scheme(&self) -> &'static str {
        if self.tls { "https" } else { "http" }
    }
}

/// Body of a call.
#[derive(Debug, Default)]
pub enum Body {
    /// No body.
    #[default]
    Empty,
    /// Body in memory, so that it can be sent again.
    Buffered(Bytes),
    /// Body that is streamed and can be sent only once.
    Streamed(Payload),
}

/// One attempt of a request.
#[derive(Debug)]
pub struct Call {
    /// Endpoint that receives the attempt.
    pub target: Target,
    /// Identifier of the attempt, expected in the answer.
    pub attempt: attempt::Id,
    /// HTTP method.
    pub method: Method,
    /// Path with its query.
    pub path: PathAndQuery,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Body,
    /// Timeout for the head of the answer.
    pub timeout: Duration,
}
