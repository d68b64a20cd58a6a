//! Cloud API over HTTP: `POST /vms` with a spec, and `DELETE /vms/NAME`.

use bergamotshift_core::name;
use bytes::Bytes;
use ntex::http::Method;
use ntex::http::StatusCode;
use percent_encoding::utf8_percent_encode;
use serde::Deserialize;

use super::ESCAPED;
use super::client::Answer;
use super::client::Client;
use crate::Error;
use crate::Future;
use crate::cloud::Spec;

/// Cloud API over HTTP.
#[derive(Clone, Debug)]
pub struct Cloud {
    client: Client,
}

#[derive(Deserialize)]
struct Failure {
    error: Detail,
}

#[derive(Deserialize)]
struct Detail {
    #[serde(rename = "type")]
    kind: String,
}

impl Cloud {
    /// Creates the adapter from a client.
    pub const fn new(client: Client) -> Self {
        Self { client }
    }

    async fn start(&self, spec: Spec) -> Result<(), Error> {
        let body = serde_json::to_vec(&spec).map_err(|cause| Error::Refused(cause.to_string()))?;
        let request = self
            .client
            .request(Method::POST, "/vms")
            .content_type("application/json");
        let answer = self.client.send(request, Bytes::from(body)).await?;
        match answer.status {
            StatusCode::ACCEPTED => Ok(()),
            _ if is_error(&answer, "no-capacity") => Err(Error::NoCapacity),
            _ => Err(answer.error()),
        }
    }

    async fn stop(&self, vm: name::Vm) -> Result<(), Error> {
        let path = format!("/vms/{}", utf8_percent_encode(vm.as_str(), ESCAPED));
        let answer = self
            .client
            .send(self.client.request(Method::DELETE, &path), Bytes::new())
            .await?;
        match answer.status {
            StatusCode::NO_CONTENT => Ok(()),
            StatusCode::NOT_FOUND if is_error(&answer, "not-found") => Ok(()),
            _ => Err(answer.error()),
        }
    }
}

/// Returns whether an answer is an error of this kind from the API itself, not from a gateway.
fn is_error(answer: &Answer, kind: &str) -> bool {
    !answer.status.is_success()
        && serde_json::from_slice::<Failure>(&answer.body).is_ok_and(|failure| failure.error.kind == kind)
}

impl crate::cloud::Cloud for Cloud {
    fn start(&self, spec: Spec) -> Future<'_, Result<(), Error>> {
        Box::pin(self.start(spec))
    }

    fn stop(&self, vm: name::Vm) -> Future<'_, Result<(), Error>> {
        Box::pin(self.stop(vm))
    }
}
