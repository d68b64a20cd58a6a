//! Signs requests to the platform.

use core::fmt;
use core::fmt::Debug;

use ntex::client::ClientRequest;

/// Proves to the platform who asks.
pub trait Signer: Debug {
    /// Adds the proof to a request with this body.
    fn sign(&self, request: ClientRequest, body: &[u8]) -> ClientRequest;
}

/// Sends a bearer token, or nothing when it is empty.
#[derive(Clone, Default)]
pub struct Bearer {
    token: String,
}

impl Bearer {
    /// Makes a signer from a token.
    pub fn new(token: impl Into<String>) -> Self {
        Self { token: token.into() }
    }
}

// The token must not show in logs.
impl Debug for Bearer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Bearer").finish_non_exhaustive()
    }
}

impl Signer for Bearer {
    fn sign(&self, request: ClientRequest, _body: &[u8]) -> ClientRequest {
        if self.token.is_empty() {
            request
        } else {
            request.bearer_auth(&self.token)
        }
    }
}
