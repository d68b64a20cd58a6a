//! Responses in the API's error format to messages that are invalid HTTP or arrive too slowly.

use std::io;
use std::rc::Rc;

use bergamotshift_core::outcome::Outcome;
use ntex::http::Response;
use ntex::http::error::DecodeError;
use ntex::http::h1::Control;
use ntex::http::h1::ControlAck;
use ntex::http::h1::ProtocolError;
use ntex::http::h1::control::Reason as Disconnect;
use ntex::io::Filter;

use super::error::Error;
use super::error::Reason;
use crate::worker::Worker;

/// Handles events of a caller's connection other than requests, and answers protocol errors.
pub fn control<F: Filter>(worker: &Rc<Worker>, event: Control<F, io::Error>) -> ControlAck<F> {
    match event {
        Control::Disconnect(Disconnect::ProtocolError(error)) => {
            let response = response(worker, error.err());
            error.fail_with(response)
        }
        other => other.ack(),
    }
}

fn response(worker: &Worker, error: &ProtocolError) -> Response {
    let reason = match error {
        ProtocolError::Decode(DecodeError::TooLarge(_) | DecodeError::MaxHeaders) => {
            Reason::HeadTooLarge(worker.shared.settings.bounds.max_head)
        }
        ProtocolError::SlowRequestTimeout | ProtocolError::SlowPayloadTimeout => Reason::TooSlow,
        other => Reason::Protocol(other.to_string()),
    };
    // A malformed body may belong to a request that is being streamed and has partly reached an endpoint. The HTTP
    // library does not name the request, so the outcome is unknown while any upload is in flight.
    let outcome = if worker.is_uploading() {
        Outcome::Unknown
    } else {
        Outcome::NotRun
    };
    let error = Error { reason, outcome };
    worker.shared.metrics.failed(error.code(), error.outcome);
    error.response(worker.generate_id())
}
