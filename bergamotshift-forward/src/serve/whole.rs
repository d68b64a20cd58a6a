//! Responses that are read completely before they are returned to the caller.

use std::rc::Rc;

use bytes::BytesMut;
use ntex::http::HeaderMap;
use ntex::http::Method;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::body::Body;
use ntex::io::IoRef;
use slog::info;
use tokio::time::timeout;

use super::Forwarder;
use super::active::Active;
use super::attempt::Exchange;
use super::attempt::History;
use super::delivery::Delivery;
use super::job::Job;
use super::refusal::Reason;
use super::refusal::Refusal;
use super::unframed;
use crate::exchange::Failure;
use crate::observe::Topic;

/// Maximum size of a response body, in bytes; plain services respond with a few kilobytes.
const MAX_BODY: usize = 8 << 20;

/// Maximum size of a body that is handed to the system at once, in bytes. While the entry does not stop, its request need not be
/// counted as in flight until it is written.
const MAX_UNHELD: usize = 64 << 10;

/// Complete response of an endpoint.
#[derive(Debug)]
pub(super) struct Reply {
    status: StatusCode,
    headers: HeaderMap,
    body: bytes::Bytes,
}

impl Reply {
    /// Returns the HTTP status.
    pub(super) const fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns the response to the caller. If its body is large or the entry is stopping, the request counts as in flight until
    /// the body is written.
    pub(super) fn response(
        self,
        method: &Method,
        caller: Option<IoRef>,
        active: Active,
        is_stopping: bool,
    ) -> Response {
        let mut response = Response::new(self.status);
        let mut headers = bergamotshift_endpoint::header::towards_caller(&self.headers);
        if *method != Method::HEAD {
            headers.remove(ntex::http::header::CONTENT_LENGTH);
        }
        *response.headers_mut() = headers;
        let bodiless = *method == Method::HEAD || self.status == StatusCode::NO_CONTENT;
        response.set_body(if bodiless {
            Body::None
        } else if is_stopping || self.body.len() > MAX_UNHELD {
            Body::from_message(Delivery::new(self.body, caller, active))
        } else {
            Body::Bytes(ntex::util::Bytes::copy_from_slice(&self.body))
        })
    }
}

impl Forwarder {
    /// Reads a response completely; if it is cut off and the request may be repeated, asks another endpoint.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the response is cut off and the request cannot be repeated.
    pub(super) async fn read_with_retries(
        self: &Rc<Self>,
        job: &Job,
        history: &mut History,
        exchange: Exchange,
    ) -> Result<Reply, Refusal> {
        let mut exchange = exchange;
        loop {
            let failure = match self.read_reply(job, exchange).await {
                Ok(reply) => return Ok(reply),
                Err(failure) => failure,
            };
            let timed_out = failure == Failure::Silent;
            if timed_out || !job.route.is_repeatable() || history.sends >= job.route.attempts {
                return Err(if timed_out { Reason::TimedOut } else { Reason::Broken }.into());
            }
            exchange = self.send_with_retries(job, history, None).await?;
        }
    }

    /// Reads the body of a response, and returns the connection to the pool.
    async fn read_reply(self: &Rc<Self>, job: &Job, exchange: Exchange) -> Result<Reply, Failure> {
        let witness = self.witness_of(job, &exchange);
        let Exchange {
            head,
            mut connection,
            mut guard,
            ..
        } = exchange;
        let mut framing = head.framing;
        let mut body = BytesMut::new();
        let time_left = job.deadline.since(self.shared.clock.now());
        let reading = async {
            while let Some(piece) = connection.body(&mut framing).await? {
                body.extend_from_slice(&piece);
                if body.len() > MAX_BODY {
                    return Err(Failure::Malformed("its body is too large"));
                }
            }
            Ok(())
        };
        let mut read = timeout(time_left, reading).await.unwrap_or(Err(Failure::Silent));
        if read.is_ok()
            && let Some(witness) = witness
        {
            read = self
                .check_end(job, guard.endpoint(), &connection, &witness, unframed::Kind::Whole)
                .await;
        }
        match read {
            Ok(()) => {
                guard.record_start();
                if !head.status.is_server_error() {
                    self.record_whole(job, guard.endpoint());
                    guard.record_success();
                }
                self.keep_connection(guard.endpoint(), connection, &head.headers);
                Ok(Reply {
                    status: head.status,
                    headers: head.headers,
                    body: body.freeze(),
                })
            }
            Err(failure) => {
                if self.is_endpoints_failure(job, &failure) {
                    guard.record_failure();
                }
                self.report_broken(job, guard.endpoint(), &failure, false);
                let now = self.shared.clock.now();
                if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::Attempt) {
                    info!(logger, "answer broke"; "request" => job.metadata.id.as_str(),
                        "route" => job.route.name.as_str(), "endpoint" => guard.endpoint().registration.id.as_str(),
                        "status" => head.status.as_u16(), "cause" => %failure, "bytes" => body.len(),
                        "left_ms" => job.time_left_ms(now), "left_out" => left_out);
                }
                Err(failure)
            }
        }
    }
}
