//! Answers of the DynamoDB JSON protocol; an answer that cannot be parsed counts as lost.

use std::collections::BTreeMap;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use serde::Deserialize;
use serde_json::Value;
use smol_str::SmolStr;

use crate::Error;
use crate::table::Page;

const OK: u16 = 200;
const CLIENT_ERRORS: core::ops::Range<u16> = 400..500;

#[derive(Deserialize)]
struct Failure {
    #[serde(rename = "__type")]
    kind: String,
    #[serde(rename = "CancellationReasons", default)]
    reasons: Vec<Reason>,
}

#[derive(Deserialize)]
struct Reason {
    #[serde(rename = "Code", default)]
    code: String,
}

/// Answer to a successful transaction, which may only contain statistics.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Transacted {
    #[serde(rename = "ConsumedCapacity", default)]
    _capacity: Value,
    #[serde(rename = "ItemCollectionMetrics", default)]
    _metrics: Value,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Batch {
    responses: BTreeMap<String, Vec<Item>>,
    #[serde(default)]
    unprocessed_keys: BTreeMap<String, Keys>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Keys {
    keys: Vec<ItemKey>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Queried {
    items: Vec<Item>,
    last_evaluated_key: Option<ItemKey>,
}

#[derive(Deserialize)]
struct ItemKey {
    pk: Text,
    sk: Text,
}

#[derive(Deserialize)]
struct Item {
    pk: Text,
    sk: Text,
    v: Number,
    b: Binary,
}

#[derive(Deserialize)]
struct Text {
    #[serde(rename = "S")]
    value: SmolStr,
}

#[derive(Deserialize)]
struct Number {
    #[serde(rename = "N")]
    value: String,
}

#[derive(Deserialize)]
struct Binary {
    #[serde(rename = "B")]
    value: String,
}

impl ItemKey {
    fn key(&self) -> Key {
        Key::new(&self.pk.value, &self.sk.value)
    }
}

impl Item {
    fn row(&self) -> Result<Row, Error> {
        Ok(Row {
            version: self
                .v
                .value
                .parse()
                .map_err(|cause| Error::Unknown(format!("invalid row version: {cause}")))?,
            body: STANDARD
                .decode(&self.b.value)
                .map_err(|cause| Error::Unknown(format!("invalid base64 in a row body: {cause}")))?,
        })
    }
}

/// Returns the error for an answer that counts as lost.
fn lost(cause: &str) -> Error {
    Error::Unknown(cause.to_owned())
}

/// Returns the result of a transaction that was answered with this status and body.
///
/// `indices` holds the index of each operation's write.
pub(super) fn ending(status: u16, body: &[u8], indices: &[usize]) -> Ending {
    if status == OK {
        // A struct can also be deserialized from a JSON array, which is not a valid answer.
        let is_valid = body.first() == Some(&b'{') && serde_json::from_slice::<Transacted>(body).is_ok();
        return if is_valid { Ending::Applied } else { Ending::Unknown };
    }
    let Some(failure) = failure(status, body) else {
        return Ending::Unknown;
    };
    match failure.name() {
        "TransactionCanceledException" => cancelled(&failure.reasons, indices),
        // The first attempt with this token is still in progress.
        "TransactionInProgressException" => Ending::Unknown,
        _ => Ending::Refused,
    }
}

/// Returns the result of a cancelled transaction.
fn cancelled(reasons: &[Reason], indices: &[usize]) -> Ending {
    let failed = indices
        .iter()
        .zip(reasons)
        .filter(|(_, reason)| reason.code == "ConditionalCheckFailed");
    let failed: Vec<_> = failed.map(|(index, _)| *index).collect();
    // Without such a reason, the transaction met a concurrent one or a limit, and had no effect either way.
    if failed.is_empty() {
        Ending::Refused
    } else {
        Ending::Conflict(failed)
    }
}

/// Parses an error of the service itself; returns `None` for any other answer.
///
/// An error page of a gateway, even with the status of a client error, says nothing about the transaction.
fn failure(status: u16, body: &[u8]) -> Option<Failure> {
    CLIENT_ERRORS
        .contains(&status)
        .then(|| serde_json::from_slice(body).ok())
        .flatten()
}

impl Failure {
    /// Returns the name of the error without its namespace.
    fn name(&self) -> &str {
        self.kind.rsplit_once('#').map_or(self.kind.as_str(), |(_, name)| name)
    }
}

/// Returns the body of a successful read, or the error that the answer stands for.
pub(super) fn success_body(status: u16, body: &[u8]) -> Result<&[u8], Error> {
    if status == OK {
        return Ok(body);
    }
    let Some(failure) = failure(status, body) else {
        return Err(Error::Unknown(format!("status {status}")));
    };
    match failure.name() {
        "ProvisionedThroughputExceededException" | "ThrottlingException" | "RequestLimitExceeded" => {
            Err(Error::Throttled { retry_after: None })
        }
        name => Err(Error::Refused(name.to_owned())),
    }
}

/// State of a requested row.
#[derive(Clone, Debug)]
enum Lookup {
    Unanswered,
    Absent,
    Present(Row),
}

/// Requested rows, with the answers received so far.
#[derive(Debug)]
pub(super) struct Rows {
    rows: BTreeMap<Key, Lookup>,
}

impl Rows {
    pub(super) fn new(keys: &[Key]) -> Self {
        Self {
            rows: keys.iter().map(|key| (key.clone(), Lookup::Unanswered)).collect(),
        }
    }

    /// Returns the keys that are still unanswered.
    pub(super) fn missing(&self) -> Vec<Key> {
        let missing = self
            .rows
            .iter()
            .filter(|(_, lookup)| matches!(lookup, Lookup::Unanswered));
        missing.map(|(key, _)| key.clone()).collect()
    }

    /// Returns a row; `None` if it is absent or still unanswered.
    pub(super) fn row(&self, key: &Key) -> Option<Row> {
        match self.rows.get(key)? {
            Lookup::Present(row) => Some(row.clone()),
            Lookup::Absent | Lookup::Unanswered => None,
        }
    }

    /// Records the answer to a batch that requested these keys.
    ///
    /// An answer with a row that was not requested belongs to another call, so all of it is rejected.
    pub(super) fn record(&mut self, table: &str, requested: &[Key], body: &[u8]) -> Result<(), Error> {
        let batch: Batch = serde_json::from_slice(body).map_err(|cause| Error::Unknown(cause.to_string()))?;
        let mut lookups: BTreeMap<Key, Lookup> = requested.iter().map(|key| (key.clone(), Lookup::Absent)).collect();
        let items = batch
            .responses
            .get(table)
            .ok_or_else(|| lost("the answer contains no rows of the table"))?;
        for item in items {
            let key = Key::new(&item.pk.value, &item.sk.value);
            let lookup = lookups
                .get_mut(&key)
                .ok_or_else(|| lost("the answer contains a row that was not requested"))?;
            *lookup = Lookup::Present(item.row()?);
        }
        for key in batch.unprocessed_keys.values().flat_map(|keys| &keys.keys) {
            if lookups.remove(&key.key()).is_none() {
                return Err(lost("the answer contains a key that was not requested"));
            }
        }
        self.rows.extend(lookups);
        Ok(())
    }
}

/// Parses the answer to a query of this partition after this sort key.
pub(super) fn page(body: &[u8], partition: &str, after: Option<&str>) -> Result<Page, Error> {
    let queried: Queried = serde_json::from_slice(body).map_err(|cause| Error::Unknown(cause.to_string()))?;
    let mut rows: Vec<(SmolStr, Row)> = Vec::with_capacity(queried.items.len());
    for item in queried.items {
        let last = rows.last().map(|(sort, _)| sort.as_str()).or(after);
        if item.pk.value != partition || last.is_some_and(|last| item.sk.value.as_str() <= last) {
            return Err(lost("the answer contains a row that was not requested"));
        }
        let row = item.row()?;
        rows.push((item.sk.value, row));
    }
    let next = queried.last_evaluated_key.map(|key| key.sk.value);
    // Following a page that does not advance would never end.
    if next
        .as_deref()
        .is_some_and(|next| after.is_some_and(|after| next <= after))
    {
        return Err(lost("the next page does not advance"));
    }
    Ok(Page { rows, next })
}
