//! OpenAI-compatible API of model services.

mod answer;
mod complete;

use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_config::config::Kind;
use bergamotshift_config::config::Organisation;
use bergamotshift_config::config::Service;
use bergamotshift_core::attempt;
use bergamotshift_core::prelude::*;
use bergamotshift_endpoint::engine::resume::CHAT;
use bergamotshift_endpoint::engine::resume::COMPLETIONS;
use ntex::http::Method;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::StatusCode;
use serde_json::json;

use self::complete::complete;
pub use self::complete::hash_prompt;
use super::error::Error;
use super::error::Reason;
use super::reply::Active;
use crate::snapshot::Snapshot;
use crate::worker::Worker;

const MODELS: &str = "/v1/models";
const MODEL_PREFIX: &str = "/v1/models/";

/// Handles a request to the OpenAI-compatible API.
///
/// # Errors
///
/// Returns the failure to report to the caller.
pub async fn serve(
    worker: &Rc<Worker>,
    snapshot: &Arc<Snapshot>,
    organisation: &Organisation,
    request: &mut Request,
    id: attempt::Id,
    active: Active,
) -> Result<Response, Error> {
    let path = request.path();
    match (request.method(), path) {
        (&Method::GET, MODELS) => Ok(list_models(snapshot, organisation)),
        (&Method::GET, _) if path.starts_with(MODEL_PREFIX) => {
            find_model(snapshot, organisation, &path[MODEL_PREFIX.len()..])
        }
        (&Method::POST, CHAT | COMPLETIONS) => complete(worker, snapshot, organisation, request, id, active).await,
        (_, MODELS | CHAT | COMPLETIONS) => Err(Error::not_run(Reason::Method(path.to_owned()))),
        _ => Err(Error::not_run(Reason::UnknownPath(path.to_owned()))),
    }
}

/// Returns the models that an organisation may use, with their services.
fn offered_models<'a>(
    snapshot: &'a Snapshot,
    organisation: &'a Organisation,
) -> impl Iterator<Item = (&'a name::Model, &'a Service)> {
    let services = snapshot.config.services.values();
    services
        .filter(|service| service.kind == Kind::Model && organisation.may_use(&service.name))
        .flat_map(|service| service.models.iter().map(move |model| (model, service)))
}

fn describe(model: &name::Model, service: &Service) -> serde_json::Value {
    json!({ "id": model, "object": "model", "created": 0, "owned_by": service.name })
}

fn list_models(snapshot: &Snapshot, organisation: &Organisation) -> Response {
    let data: Vec<_> = offered_models(snapshot, organisation)
        .map(|(model, service)| describe(model, service))
        .collect();
    Response::build(StatusCode::OK).json(&json!({ "object": "list", "data": data }))
}

fn find_model(snapshot: &Snapshot, organisation: &Organisation, wanted: &str) -> Result<Response, Error> {
    offered_models(snapshot, organisation)
        .find(|(model, _)| model.as_str() == wanted)
        .map(|(model, service)| Response::build(StatusCode::OK).json(&describe(model, service)))
        .ok_or_else(|| Error::not_run(Reason::UnknownModel(wanted.to_owned())))
}
