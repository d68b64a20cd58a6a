//! Lets a keyed request that may be repeated join or replay an earlier one.

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

/// What a request that carries a key does next.
#[derive(Debug)]
pub enum Lookup {
    /// It runs; with a key, it leaves its answer to others.
    Run(Option<Leader>),
    /// An earlier one has answered it.
    Answered(Response),
}

impl Lookup {
    /// Looks for an earlier request under the same key, and waits for its answer if it is still running.
    ///
    /// # Errors
    ///
    /// Returns an error when the key belongs to another request, or too many wait already.
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
                Decision::Start(started) => return Ok(Self::Run(Some(started))),
                Decision::Mismatch => return Err(api::error::Error::from_claim(Error::Mismatch)),
                Decision::Full => return Err(api::error::Error::from_claim(Error::InProgress)),
                Decision::Replay(answer) => answer,
                Decision::Join(left) => match left.await {
                    Ok(Some(answer)) => answer,
                    // The one it waited for brought no answer, so this one may be the first now.
                    Ok(None) | Err(_) => continue,
                },
            };
            let whole = convert::to_whole(answer, &worker.shared.store).await;
            let whole = whole.map_err(api::error::Error::from_claim)?;
            return Ok(Self::Answered(replayed(reply::whole(whole, call.id))));
        }
    }
}

/// Leaves an answer to those who joined; a failure of the endpoint's is not worth replaying.
pub fn share_answer(started: Option<Leader>, whole: &Whole) {
    if let Some(started) = started
        && !whole.status.is_server_error()
    {
        started.finish(&convert::from_whole(whole));
    }
}

/// Marks an answer as that of an earlier request.
pub(super) fn replayed(mut response: Response) -> Response {
    response
        .headers_mut()
        .insert(HeaderName::from_static(REPLAYED), HeaderValue::from_static("true"));
    response
}
