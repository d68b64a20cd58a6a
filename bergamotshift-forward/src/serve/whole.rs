//! Answers that are read whole before the caller gets them.

use bytes::BytesMut;
use ntex::http::HeaderMap;
use ntex::http::Method;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::body::Body;
use tokio::time::timeout;

use super::Forwarder;
use super::attempt::History;
use super::attempt::Open;
use super::job::Job;
use super::refusal::Reason;
use super::refusal::Refusal;
use crate::exchange::Failure;

/// The largest answer that is held, in bytes; plain services answer with some kilobytes.
const LARGEST: usize = 8 << 20;

/// A complete answer of an endpoint.
#[derive(Debug)]
pub(super) struct Whole {
    status: StatusCode,
    headers: HeaderMap,
    body: bytes::Bytes,
}

impl Whole {
    /// Returns the status.
    pub(super) const fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns the answer that the caller gets.
    pub(super) fn response(self, method: &Method) -> Response {
        let mut response = Response::new(self.status);
        let mut headers = bergamotshift_endpoint::header::towards_caller(&self.headers);
        if *method != Method::HEAD {
            headers.remove(ntex::http::header::CONTENT_LENGTH);
        }
        *response.headers_mut() = headers;
        let bodiless = *method == Method::HEAD || self.status == StatusCode::NO_CONTENT;
        response.set_body(if bodiless {
            Body::None
        } else {
            Body::Bytes(ntex::util::Bytes::copy_from_slice(&self.body))
        })
    }
}

impl Forwarder {
    /// Reads an answer to its end; asks again elsewhere when it breaks off and the request may be repeated.
    pub(super) async fn finish(&self, job: &Job, history: &mut History, open: Open) -> Result<Whole, Refusal> {
        let mut open = open;
        loop {
            let failure = match self.read(job, open).await {
                Ok(whole) => return Ok(whole),
                Err(failure) => failure,
            };
            let timed_out = failure == Failure::Silent;
            if timed_out || !job.route.is_repeatable() || history.sends >= job.route.attempts {
                return Err(if timed_out { Reason::TimedOut } else { Reason::Broken }.into());
            }
            open = self.open(job, history, None).await?;
        }
    }

    async fn read(&self, job: &Job, open: Open) -> Result<Whole, Failure> {
        let Open {
            answer,
            mut connection,
            mut seat,
        } = open;
        let mut framing = answer.body;
        let mut body = BytesMut::new();
        let left = job.deadline.since(self.shared.clock.now());
        let reading = async {
            while let Some(piece) = connection.body(&mut framing).await? {
                body.extend_from_slice(&piece);
                if body.len() > LARGEST {
                    return Err(Failure::Malformed("it is larger than any that is held"));
                }
            }
            Ok(())
        };
        let read = timeout(left, reading).await.unwrap_or(Err(Failure::Silent));
        match read {
            Ok(()) => {
                seat.record_start();
                if !answer.status.is_server_error() {
                    seat.record_success();
                }
                let address = seat.endpoint().registration.address;
                let now = self.shared.clock.now();
                self.pool.borrow_mut().put(now, address, connection, &answer.headers);
                Ok(Whole {
                    status: answer.status,
                    headers: answer.headers,
                    body: body.freeze(),
                })
            }
            Err(failure) => {
                seat.record_failure();
                Err(failure)
            }
        }
    }
}
