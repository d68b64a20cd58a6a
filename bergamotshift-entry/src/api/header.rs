//! Names of the headers that this system defines or interprets.

pub use bergamotshift_endpoint::header::OUTCOME;

/// Response header with the identifier of the request, for callers and operators.
pub const REQUEST_ID: &str = "x-bergamotshift-request-id";

/// Request header that overrides the urgency configured for the service.
pub const URGENCY: &str = "x-bergamotshift-urgency";

/// Request header with the maximum duration of the request, in milliseconds.
pub const DEADLINE_MS: &str = "x-bergamotshift-deadline-ms";

/// Response header that marks the answer as that of an earlier request with the same idempotency key.
pub const REPLAYED: &str = "idempotency-replayed";

/// Request header with the idempotency key, by which repeated requests are recognised.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
