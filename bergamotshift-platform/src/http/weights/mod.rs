//! Weight store over HTTP: `POST /tickets` with a model and version.

use bytes::Bytes;
use ntex::http::Method;

use super::client::Client;
use crate::Error;
use crate::Future;
use crate::weights::Spec;
use crate::weights::Ticket;

/// Weight store over HTTP.
#[derive(Clone, Debug)]
pub struct Weights {
    client: Client,
}

impl Weights {
    /// Creates the adapter from a client.
    pub const fn new(client: Client) -> Self {
        Self { client }
    }

    async fn fetch(&self, spec: Spec) -> Result<Ticket, Error> {
        let body = serde_json::to_vec(&spec).map_err(|cause| Error::Refused(cause.to_string()))?;
        let request = self
            .client
            .request(Method::POST, "/tickets")
            .content_type("application/json");
        self.client.send(request, Bytes::from(body)).await?.parse()
    }
}

impl crate::weights::Weights for Weights {
    fn fetch(&self, spec: Spec) -> Future<'_, Result<Ticket, Error>> {
        Box::pin(self.fetch(spec))
    }
}
