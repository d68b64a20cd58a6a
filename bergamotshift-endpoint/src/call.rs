//! One attempt of a request, as it goes to an endpoint.

use core::net::SocketAddr;
use core::time::Duration;

use bergamotshift_core::attempt;
use ntex::http::HeaderMap;
use ntex::http::Method;
use ntex::http::Payload;
use ntex::http::uri::Authority;
use ntex::http::uri::PathAndQuery;
use ntex::util::Bytes;

/// Where an endpoint listens.
#[derive(Clone, Debug)]
pub struct Target {
    authority: Authority,
    tls: bool,
}

impl Target {
    /// Makes a target from an address, spoken to in clear text or over TLS.
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

/// The body of a call.
#[derive(Debug, Default)]
pub enum Body {
    /// Nothing.
    #[default]
    Empty,
    /// A body that is held whole, so that it can be sent again.
    Buffered(Bytes),
    /// A body that streams through once.
    Streamed(Payload),
}

/// One attempt of a request.
#[derive(Debug)]
pub struct Call {
    /// Where it goes.
    pub target: Target,
    /// Its identifier, which the answer has to carry.
    pub attempt: attempt::Id,
    /// The HTTP method.
    pub method: Method,
    /// The path with its query.
    pub path: PathAndQuery,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Body,
    /// How long the answer's head may take.
    pub timeout: Duration,
}
