//! Table service over the DynamoDB JSON protocol.
//!
//! A row is an item with the attributes `pk`, `sk`, `v` (its version) and `b` (its body).

mod answer;
mod request;
#[cfg(test)]
mod tests;

use core::cell::RefCell;

use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;
use bytes::Bytes;
use ntex::http::Method;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SysRng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use smol_str::SmolStr;

use super::client::Answer;
use super::client::Client;
use crate::Error;
use crate::Future;
use crate::table::Page;

/// Maximum number of operations in a transaction, and of keys in a batch.
const MAX_ITEMS: usize = 100;
/// Maximum number of rounds of a batch read; each round requests the keys that are still unanswered.
const MAX_BATCH_ROUNDS: usize = 8;

/// Settings of the table adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the table.
    pub table: SmolStr,
    /// Maximum number of retries of a transaction whose answer was lost, all with the same idempotency token.
    pub retries: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            table: SmolStr::new_static("bergamotshift"),
            retries: 1,
        }
    }
}

/// Table service over the DynamoDB JSON protocol.
#[derive(Debug)]
pub struct Table {
    client: Client,
    settings: Settings,
    rng: RefCell<Pcg64Mcg>,
}

impl Table {
    /// Creates the adapter from a client.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] if the operating system's rng number generator fails.
    pub fn new(client: Client, settings: Settings) -> Result<Self, Error> {
        let rng = Pcg64Mcg::try_from_rng(&mut SysRng).map_err(|cause| Error::Refused(cause.to_string()))?;
        Ok(Self {
            client,
            settings,
            rng: RefCell::new(rng),
        })
    }

    async fn call(&self, operation: &str, body: &impl Serialize) -> Result<Answer, Error> {
        let body = serde_json::to_vec(body).map_err(|cause| Error::Refused(cause.to_string()))?;
        self.post(operation, Bytes::from(body)).await
    }

    async fn post(&self, operation: &str, body: Bytes) -> Result<Answer, Error> {
        let request = self
            .client
            .request(Method::POST, "/")
            .header("x-amz-target", format!("DynamoDB_20120810.{operation}"))
            .content_type("application/x-amz-json-1.0");
        self.client.send(request, body).await
    }

    /// Sends a transaction, and retries it with the same idempotency token if its answer is lost.
    ///
    /// The service treats a token that is used again within 10 minutes as the same transaction, so a retry cannot take
    /// effect twice. After a lost answer, `Applied` is the only result of a retry that is conclusive: if a retry is
    /// refused, the first attempt may still have taken effect, and a conflict may be with its own writes.
    async fn transact(&self, writes: Vec<Write>) -> Ending {
        let (operations, indices) = request::operations(&self.settings.table, writes);
        if operations.is_empty() {
            return Ending::Applied;
        }
        if operations.len() > MAX_ITEMS {
            return Ending::Refused;
        }
        let token = format!("{:032x}", self.rng.borrow_mut().random::<u128>());
        let Ok(body) = serde_json::to_vec(&request::transaction(&operations, &token)) else {
            return Ending::Refused;
        };
        let body = Bytes::from(body);
        let result = self.send(&body, &indices).await;
        if result != Ending::Unknown {
            return result;
        }
        for _ in 0..self.settings.retries {
            if self.send(&body, &indices).await == Ending::Applied {
                return Ending::Applied;
            }
        }
        Ending::Unknown
    }

    async fn send(&self, body: &Bytes, indices: &[usize]) -> Ending {
        match self.post("TransactWriteItems", body.clone()).await {
            Ok(answer) => answer::ending(answer.status.as_u16(), &answer.body, indices),
            Err(error) if error.had_no_effect() => Ending::Refused,
            Err(_) => Ending::Unknown,
        }
    }

    async fn get(&self, keys: Vec<Key>) -> Result<Vec<Option<Row>>, Error> {
        let mut rows = answer::Rows::new(&keys);
        for _ in 0..MAX_BATCH_ROUNDS {
            let missing = rows.missing();
            if missing.is_empty() {
                return Ok(keys.iter().map(|key| rows.row(key)).collect());
            }
            for chunk in missing.chunks(MAX_ITEMS) {
                let body = request::batch(&self.settings.table, chunk);
                let answer = self.call("BatchGetItem", &body).await?;
                let answer = answer::success_body(answer.status.as_u16(), &answer.body)?;
                rows.record(&self.settings.table, chunk, answer)?;
            }
        }
        Err(Error::Throttled { retry_after: None })
    }

    async fn query(&self, partition: SmolStr, after: Option<SmolStr>, limit: u32) -> Result<Page, Error> {
        let body = request::query(&self.settings.table, &partition, after.as_deref(), limit);
        let answer = self.call("Query", &body).await?;
        let answer = answer::success_body(answer.status.as_u16(), &answer.body)?;
        answer::page(answer, &partition, after.as_deref())
    }
}

impl crate::table::Table for Table {
    fn transact(&self, writes: Vec<Write>) -> Future<'_, Ending> {
        Box::pin(self.transact(writes))
    }

    fn get(&self, keys: Vec<Key>) -> Future<'_, Result<Vec<Option<Row>>, Error>> {
        Box::pin(self.get(keys))
    }

    fn query(&self, partition: SmolStr, after: Option<SmolStr>, limit: u32) -> Future<'_, Result<Page, Error>> {
        Box::pin(self.query(partition, after, limit))
    }
}
