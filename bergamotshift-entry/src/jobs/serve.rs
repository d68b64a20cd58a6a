//! Serves requests that fetch or cancel jobs.

use std::rc::Rc;

use bergamotshift_claim::job;
use bergamotshift_core::attempt;
use bergamotshift_core::name;
use bergamotshift_core::table::Ending;
use ntex::http::Method;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::header;
use serde_json::json;

use super::Error;
use crate::api;
use crate::api::reply;
use crate::claims;
use crate::claims::Store;
use crate::worker::Worker;

/// Maximum number of tries to cancel a job before the caller is told to retry.
const MAX_TRIES: u32 = 5;

/// Answers a request for the job whose identifier is `text`.
///
/// # Errors
///
/// Returns an error if the job does not exist, cannot be read, failed, was cancelled, or has already ended when it is
/// to be cancelled, and if the method is not supported.
pub async fn serve(
    worker: &Rc<Worker>,
    organisation: &name::Organisation,
    method: &Method,
    text: &str,
    id: attempt::Id,
) -> Result<Response, api::error::Error> {
    let store = &worker.shared.store;
    let result = match (text.parse(), method) {
        (Err(_), _) => Err(Error::NotFound),
        (Ok(job), &Method::GET) => return fetch(store, organisation, job, id).await,
        (Ok(job), &Method::DELETE) => cancel(store, organisation, job).await,
        (Ok(_), _) => Err(Error::Method),
    };
    result
        .map(|()| Response::new(StatusCode::NO_CONTENT))
        .map_err(api::error::Error::from_job)
}

async fn fetch(
    store: &Store,
    organisation: &name::Organisation,
    job: job::Id,
    id: attempt::Id,
) -> Result<Response, api::error::Error> {
    let record = find(store, organisation, job).await;
    let state = record.map_err(api::error::Error::from_job)?.state;
    let error = match state {
        job::State::Open => {
            let mut response = Response::build(StatusCode::ACCEPTED);
            response.header(header::RETRY_AFTER, "1");
            return Ok(response.json(&json!({ "id": job.to_string(), "object": "job", "status": "open" })));
        }
        job::State::Done { answer, .. } => {
            let whole = claims::to_whole(answer, store).await;
            return Ok(reply::whole(whole.map_err(api::error::Error::from_claim)?, id));
        }
        job::State::Failed { outcome, .. } => Error::Failed(outcome),
        job::State::Cancelled => Error::Cancelled,
    };
    Err(api::error::Error::from_job(error))
}

/// Reads a job of the organisation; jobs of other organisations are reported as not found.
async fn find(store: &Store, organisation: &name::Organisation, job: job::Id) -> Result<job::Record, Error> {
    let row = store
        .read(job.record_row())
        .await
        .map_err(|_unreachable| Error::Unreachable)?;
    let row = row.ok_or(Error::NotFound)?;
    let record = job::Record::decode(&row.body).map_err(|_newer| Error::Unreachable)?;
    if record.organisation != *organisation {
        return Err(Error::NotFound);
    }
    Ok(record)
}

/// Closes a job at the version of its open row, so that the result of the lease's holder conflicts.
async fn cancel(store: &Store, organisation: &name::Organisation, job: job::Id) -> Result<(), Error> {
    for _ in 0..MAX_TRIES {
        let record = find(store, organisation, job).await?;
        match record.state {
            job::State::Open => {}
            job::State::Cancelled => return Ok(()),
            job::State::Done { .. } | job::State::Failed { .. } => return Err(Error::Ended),
        }
        let Ok(Some(open)) = store.read(job.open_row()).await else {
            continue;
        };
        if store.transact(record.close(job::State::Cancelled, open.version)).await == Ending::Applied {
            return Ok(());
        }
    }
    Err(Error::Unreachable)
}
