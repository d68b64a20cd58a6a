//! Authentication of requests to the platform.

use core::fmt;
use core::fmt::Debug;

use ntex::client::ClientRequest;

/// Signer that authenticates requests to the platform.
pub trait Signer: Debug {
    /// Adds the credentials to a request with this body.
    fn sign(&self, request: ClientRequest, body: &[u8]) -> ClientRequest;
}

/// Signer that sends a bearer token, or nothing if the token is empty.
#[derive(Clone, Default)]
pub struct Bearer {
    token: String,
}

impl Bearer {
    /// Creates a signer from a token.
    pub fn new(token: impl Into<String>) -> Self {
        Self { token: token.into() }
    }
}

// Omits the token, which must not appear in logs.
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
