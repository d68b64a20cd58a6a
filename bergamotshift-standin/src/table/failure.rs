//! The service's errors.

use ntex::http::Response;
use ntex::http::StatusCode;
use serde_json::json;

/// Why a call took no effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// The request is not understood.
    Validation(String),
    /// Conditions did not hold: one flag for each operation, true where it failed.
    Cancelled(Vec<bool>),
    /// The token was used for another request.
    Mismatch,
    /// Too many calls.
    Throttled,
}

impl Failure {
    pub(super) fn validation(message: &str) -> Self {
        Self::Validation(message.to_owned())
    }

    pub(super) fn response(&self) -> Response {
        let (kind, message) = match self {
            Self::Validation(message) => ("com.amazon.coral.validate#ValidationException", message.as_str()),
            Self::Cancelled(_) => (
                "com.amazonaws.dynamodb.v20120810#TransactionCanceledException",
                "Transaction cancelled, please refer cancellation reasons for specific reasons",
            ),
            Self::Mismatch => (
                "com.amazonaws.dynamodb.v20120810#IdempotentParameterMismatchException",
                "the token was used with other parameters",
            ),
            Self::Throttled => (
                "com.amazonaws.dynamodb.v20120810#ProvisionedThroughputExceededException",
                "the table's throughput is used up",
            ),
        };
        let mut body = json!({"__type": kind, "message": message});
        if let Self::Cancelled(failed) = self {
            let reason = |failed: &bool| json!({"Code": if *failed { "ConditionalCheckFailed" } else { "None" }});
            body["CancellationReasons"] = failed.iter().map(reason).collect();
        }
        Response::build(StatusCode::BAD_REQUEST)
            .content_type("application/x-amz-json-1.0")
            .body(body.to_string())
    }
}
