//! VM list over HTTP: `GET /vms` and `GET /notices?since=N`, with JSON answers.

use bergamotshift_core::vm::Listing;
use bytes::Bytes;
use ntex::http::Method;
use serde::Deserialize;

use super::client::Client;
use crate::Error;
use crate::Future;
use crate::vms::Notice;

/// VM list and reclaim notices over HTTP.
#[derive(Clone, Debug)]
pub struct Vms {
    client: Client,
}

#[derive(Deserialize)]
struct List {
    vms: Vec<Listing>,
}

#[derive(Deserialize)]
struct Notices {
    notices: Vec<Notice>,
}

impl Vms {
    /// Creates the adapter from a client.
    pub const fn new(client: Client) -> Self {
        Self { client }
    }
}

impl crate::vms::Vms for Vms {
    fn list(&self) -> Future<'_, Result<Vec<Listing>, Error>> {
        Box::pin(async move {
            let request = self.client.request(Method::GET, "/vms");
            let answer = self.client.send(request, Bytes::new()).await?;
            Ok(answer.parse::<List>()?.vms)
        })
    }

    fn notices(&self, since: u64) -> Future<'_, Result<Vec<Notice>, Error>> {
        Box::pin(async move {
            let request = self.client.request(Method::GET, &format!("/notices?since={since}"));
            let answer = self.client.send(request, Bytes::new()).await?;
            Ok(answer.parse::<Notices>()?.notices)
        })
    }
}
