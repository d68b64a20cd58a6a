//! Deduplication of repeatable requests with an idempotency key.

use std::rc::Rc;

use bergamotshift_claim::digest::Digest;
use bergamotshift_claim::scope::Scope;
use ntex::http::Response;
use ntex::http::header::HeaderName;
use ntex::http::header::HeaderValue;

use super::Decision;
use super::Error;
use super::Leader;
use super::Windows;
use super::convert;
use crate::api;
use crate::api::header::REPLAYED;
use crate::api::reply;
use crate::exchange::Call;
use crate::exchange::whole::Whole;
use crate::worker::Worker;

/// Result of the search for an earlier request with the same key.
#[derive(Debug)]
pub enum Lookup {
    /// No answer was found. The request is to be executed; with a key, it shares its answer through the [`Leader`].
    Run(Option<Leader>),
    /// An earlier request provided the answer.
    Answered(Response),
}

impl Lookup {
    /// Looks for an earlier request with the same key, and waits for its answer if it is still running.
    ///
    /// # Errors
    ///
    /// Returns an error if the key was used for a different request, or if too many requests wait for the answer.
    pub async fn find_answer(worker: &Rc<Worker>, call: &Call) -> Result<Self, api::error::Error> {
        let Some(key) = &call.key else {
            return Ok(Self::Run(None));
        };
        let scope = Scope {
            organisation: call.organisation.clone(),
            service: call.service.clone(),
            key: key.clone(),
        };
        let digest = Digest::of(call.method.as_str(), call.path.as_str(), &call.body);
        loop {
            let answer = match Windows::enter(&worker.shared, scope.clone(), digest) {
                Decision::Start(leader) => return Ok(Self::Run(Some(leader))),
                Decision::Mismatch => return Err(api::error::Error::from_claim(Error::Mismatch)),
                Decision::Full => return Err(api::error::Error::from_claim(Error::InProgress)),
                Decision::Replay(answer) => answer,
                Decision::Join(receiver) => match receiver.await {
                    Ok(Some(answer)) => answer,
                    // The earlier request got no answer, so this one may become the leader.
                    Ok(None) | Err(_) => continue,
                },
            };
            let whole = convert::to_whole(answer, &worker.shared.store).await;
            let whole = whole.map_err(api::error::Error::from_claim)?;
            return Ok(Self::Answered(mark_replayed(reply::whole(whole, call.id))));
        }
    }
}

/// Shares an answer with the requests that joined and later ones. Server errors (5xx) are not worth replaying.
pub fn share_answer(leader: Option<Leader>, whole: &Whole) {
    if let Some(leader) = leader
        && !whole.status.is_server_error()
    {
        leader.finish(&convert::from_whole(whole));
    }
}

/// Adds the header that marks a response as the answer of an earlier request.
pub(super) fn mark_replayed(mut response: Response) -> Response {
    response
        .headers_mut()
        .insert(HeaderName::from_static(REPLAYED), HeaderValue::from_static("true"));
    response
}
