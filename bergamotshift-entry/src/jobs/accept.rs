//! Accepts requests as deferred jobs.

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

/// Maximum length of a request body stored in the table row, in bytes; a longer body goes to the object store.
const MAX_INLINE_BODY: usize = 16 << 10;

/// Maximum number of tries to write the job's rows before the caller is told that the job may have been accepted.
const MAX_TRIES: u32 = 3;

/// Returns whether the caller prefers a deferred answer (`Prefer: respond-async`).
pub fn prefers_async(headers: &HeaderMap) -> bool {
    let preferences = headers.get_all("prefer").filter_map(|value| value.to_str().ok());
    preferences
        .flat_map(|value| value.split(','))
        .any(|preference| preference.trim().eq_ignore_ascii_case("respond-async"))
}

/// Accepts a request as a job and returns the 202 response. The job is durable by then.
///
/// # Errors
///
/// Returns an error if the job was not accepted or if it is unknown whether it was.
pub async fn accept(worker: &Rc<Worker>, call: &Call) -> Result<Response, api::error::Error> {
    let record = build_record(worker, call).await.map_err(api::error::Error::from_job)?;
    let open = job::Open {
        urgency: call.urgency,
        deadline: unix_millis(SystemTime::now()),
        fence: 0,
        lease: None,
    };
    let id = store(worker, &record, &open)
        .await
        .map_err(api::error::Error::from_job)?;
    let mut response = Response::build(StatusCode::ACCEPTED);
    response
        .header(header::LOCATION, format!("{PATH}{id}"))
        .header(REQUEST_ID, call.id.to_string());
    Ok(response.json(&json!({ "id": id.to_string(), "object": "job", "status": "open" })))
}

/// Builds the job's record and stores a long body in the object store.
async fn build_record(worker: &Rc<Worker>, call: &Call) -> Result<job::Record, Error> {
    let scope = call.key.as_ref().map(|key| Scope {
        organisation: call.organisation.clone(),
        service: call.service.clone(),
        key: key.clone(),
    });
    let id = scope.map_or(job::Id::new(call.id.get()), |scope| job::Id::of(&scope));
    let body = if call.body.len() <= MAX_INLINE_BODY {
        Body::Inline(call.body.to_vec())
    } else {
        let key = format_smolstr!("job/{id}/{}", call.id);
        if !worker.shared.store.put_object(key.clone(), call.body.to_vec()).await {
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

/// Writes the job's rows, or finds the rows of an earlier request with the same key.
async fn store(worker: &Rc<Worker>, record: &job::Record, open: &job::Open) -> Result<job::Id, Error> {
    let store = &worker.shared.store;
    let mut is_uncertain = false;
    for _ in 0..MAX_TRIES {
        match store.transact(record.accept(open)).await {
            Ending::Applied => return Ok(record.id),
            Ending::Refused if !is_uncertain => return Err(Error::NotKept),
            Ending::Refused => continue,
            Ending::Conflict(_) | Ending::Unknown => is_uncertain = true,
        }
        // The rows may exist: from this call if the table's reply was lost, or from an earlier request.
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
