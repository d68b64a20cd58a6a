//! Takes a request as a job.

use std::rc::Rc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bergamotshift_claim::answer::Body;
use bergamotshift_claim::digest::Digest;
use bergamotshift_claim::job;
use bergamotshift_claim::scope::Scope;
use bergamotshift_core::table::Ending;
use ntex::http::HeaderMap;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::header;
use serde_json::json;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use super::Error;
use super::PATH;
use crate::api;
use crate::api::header::REQUEST_ID;
use crate::claims;
use crate::exchange::Call;
use crate::worker::Worker;

/// The longest request body that is kept in the table's row, in bytes.
const INLINE: usize = 16 << 10;

/// How often the job's rows are written before the caller is told that it may have been accepted.
const TRIES: u32 = 3;

/// Returns whether the caller prefers a deferred answer.
pub fn prefers_async(headers: &HeaderMap) -> bool {
    let preferences = headers.get_all("prefer").filter_map(|value| value.to_str().ok());
    preferences
        .flat_map(|value| value.split(','))
        .any(|preference| preference.trim().eq_ignore_ascii_case("respond-async"))
}

/// Accepts a request as a job; it is durable once the caller hears of it.
///
/// # Errors
///
/// Returns why it was not, or may not have been, accepted.
pub async fn accept(worker: &Rc<Worker>, call: &Call) -> Result<Response, api::error::Error> {
    let record = record(worker, call).await.map_err(api::error::Error::from_job)?;
    let open = job::Open {
        urgency: call.urgency,
        deadline: unix_millis(SystemTime::now()),
        fence: 0,
        lease: None,
    };
    let id = keep(worker, &record, &open)
        .await
        .map_err(api::error::Error::from_job)?;
    let mut response = Response::build(StatusCode::ACCEPTED);
    response
        .header(header::LOCATION, format!("{PATH}{id}"))
        .header(REQUEST_ID, call.id.to_string());
    Ok(response.json(&json!({ "id": id.to_string(), "object": "job", "status": "open" })))
}

async fn record(worker: &Rc<Worker>, call: &Call) -> Result<job::Record, Error> {
    let scope = call.key.as_ref().map(|key| Scope {
        organisation: call.organisation.clone(),
        service: call.service.clone(),
        key: key.clone(),
    });
    let id = scope.map_or(job::Id::new(call.id.get()), |scope| job::Id::of(&scope));
    let body = if call.body.len() <= INLINE {
        Body::Inline(call.body.to_vec())
    } else {
        let key = format_smolstr!("job/{id}/{}", call.id);
        if !worker.shared.store.keep(key.clone(), call.body.to_vec()).await {
            return Err(Error::NotKept);
        }
        let length = call.body.len() as u64;
        Body::Object { key, length }
    };
    Ok(job::Record {
        id,
        organisation: call.organisation.clone(),
        service: call.service.clone(),
        digest: Digest::of(call.method.as_str(), call.path.as_str(), &call.body),
        request: job::Request {
            method: SmolStr::new(call.method.as_str()),
            path: SmolStr::new(call.path.as_str()),
            headers: claims::from_headers(&call.headers),
            body,
        },
        key: call.key.clone(),
        repeatable: call.repeatable,
        accepted: unix_millis(SystemTime::now()),
        state: job::State::Open,
    })
}

/// Writes the job's rows, or finds those that an earlier sending of the same key left.
async fn keep(worker: &Rc<Worker>, record: &job::Record, open: &job::Open) -> Result<job::Id, Error> {
    let store = &worker.shared.store;
    let mut doubt = false;
    for _ in 0..TRIES {
        match store.transact(record.accept(open)).await {
            Ending::Applied => return Ok(record.id),
            Ending::Refused if !doubt => return Err(Error::NotKept),
            Ending::Refused => continue,
            Ending::Conflict(_) | Ending::Unknown => doubt = true,
        }
        // The rows may be there: of this sending, whose answer was lost, or of an earlier one.
        let Ok(Some(row)) = store.read(record.id.record_row()).await else {
            continue;
        };
        let Ok(found) = job::Record::decode(&row.body) else {
            return Err(Error::Unsure);
        };
        let same = found.digest == record.digest;
        return if same { Ok(record.id) } else { Err(Error::Mismatch) };
    }
    Err(Error::Unsure)
}

fn unix_millis(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
