//! Grants units of the accounts that this entry keeps for all.

use ntex::http::Request;
use ntex::http::Response;
use ntex::http::StatusCode;

use super::question::question;
use crate::limits::Keeper;
use crate::limits::keeper::Answer;
use crate::limits::keeper::Question;
use crate::view::Shared;

/// The path at which units are asked for.
pub const PATH: &str = "/grant";

/// The largest question, in bytes.
const LARGEST: usize = 1_024;

/// Answers another entry that asks for units.
///
/// An entry that does not take itself for the keeper grants nothing: the one that asks has another list of entries, and
/// two keepers would give out the limit twice.
pub async fn grant(shared: &Shared, mut request: Request) -> Response {
    let question = match question::<Question>(&mut request, LARGEST).await {
        Ok(question) => question,
        Err(status) => return Response::new(status),
    };
    let view = shared.view.load();
    let kept = view.accounts.get(&question.organisation);
    let Some(accounts) = kept.filter(|accounts| accounts.keeper == Keeper::Own) else {
        return Response::new(StatusCode::CONFLICT);
    };
    let taken = accounts.kept.take(shared.clock.now(), question.units);
    let answer = Answer {
        retry_after_ms: taken.err().map(|refused| refused.retry_after.as_millis() as u64),
    };
    match postcard::to_stdvec(&answer) {
        Ok(bytes) => Response::build(StatusCode::OK).body(bytes),
        Err(_) => Response::new(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
