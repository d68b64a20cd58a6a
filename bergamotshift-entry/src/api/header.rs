//! The system's own headers.

pub use bergamotshift_endpoint::header::OUTCOME;

/// Identifies a request towards its caller and operators.
pub const REQUEST_ID: &str = "x-bergamotshift-request-id";

/// Asks for another urgency than the service's own.
pub const URGENCY: &str = "x-bergamotshift-urgency";

/// Bounds how long the request may take, in milliseconds.
pub const DEADLINE_MS: &str = "x-bergamotshift-deadline-ms";

/// Tells that an answer is that of an earlier request under the same key.
pub const REPLAYED: &str = "idempotency-replayed";

/// Recognises a request that is sent again.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
