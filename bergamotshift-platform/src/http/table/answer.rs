//! Answers of the protocol, read with suspicion: what is not understood counts as lost.

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

/// A successful transaction's answer, which tells nothing but may hold statistics.
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
                .map_err(|cause| Error::Unknown(format!("a version is no number: {cause}")))?,
            body: STANDARD
                .decode(&self.b.value)
                .map_err(|cause| Error::Unknown(format!("a body is no base64: {cause}")))?,
        })
    }
}

fn lost(what: &str) -> Error {
    Error::Unknown(what.to_owned())
}

/// Returns how a transaction ended that was answered with this status and body.
///
/// `places` gives the place of each operation's write.
pub(super) fn ending(status: u16, body: &[u8], places: &[usize]) -> Ending {
    if status == OK {
        // `Value` would do for the shape, but a list is no object and no answer of this service.
        let understood = body.first() == Some(&b'{') && serde_json::from_slice::<Transacted>(body).is_ok();
        return if understood { Ending::Applied } else { Ending::Unknown };
    }
    let Some(failure) = failure(status, body) else {
        return Ending::Unknown;
    };
    match failure.name() {
        "TransactionCanceledException" => cancelled(&failure.reasons, places),
        // The first send of this token is still being worked on.
        "TransactionInProgressException" => Ending::Unknown,
        _ => Ending::Refused,
    }
}

fn cancelled(reasons: &[Reason], places: &[usize]) -> Ending {
    let failed = places
        .iter()
        .zip(reasons)
        .filter(|(_, reason)| reason.code == "ConditionalCheckFailed");
    let failed: Vec<_> = failed.map(|(place, _)| *place).collect();
    // Without such a reason it met another transaction or a limit; either way it took no effect.
    if failed.is_empty() {
        Ending::Refused
    } else {
        Ending::Conflict(failed)
    }
}

/// Returns the service's own refusal; `None` when the answer is not one.
///
/// A gateway's error page, also one with a client error's status, says nothing about the transaction.
fn failure(status: u16, body: &[u8]) -> Option<Failure> {
    CLIENT_ERRORS
        .contains(&status)
        .then(|| serde_json::from_slice(body).ok())
        .flatten()
}

impl Failure {
    /// Returns the error's name without its namespace.
    fn name(&self) -> &str {
        self.kind.rsplit_once('#').map_or(self.kind.as_str(), |(_, name)| name)
    }
}

/// Returns the body of a successful read.
pub(super) fn checked(status: u16, body: &[u8]) -> Result<&[u8], Error> {
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

/// What is known of a row that was asked for.
#[derive(Clone, Debug)]
enum Found {
    Unanswered,
    Absent,
    Present(Row),
}

/// Rows asked for, as far as they were answered.
#[derive(Debug)]
pub(super) struct Rows {
    rows: BTreeMap<Key, Found>,
}

impl Rows {
    pub(super) fn new(keys: &[Key]) -> Self {
        Self {
            rows: keys.iter().map(|key| (key.clone(), Found::Unanswered)).collect(),
        }
    }

    /// Returns the keys not answered yet.
    pub(super) fn missing(&self) -> Vec<Key> {
        let missing = self.rows.iter().filter(|(_, found)| matches!(found, Found::Unanswered));
        missing.map(|(key, _)| key.clone()).collect()
    }

    /// Returns a row that was answered.
    pub(super) fn row(&self, key: &Key) -> Option<Row> {
        match self.rows.get(key)? {
            Found::Present(row) => Some(row.clone()),
            Found::Absent | Found::Unanswered => None,
        }
    }

    /// Takes the answer to a batch that asked for these keys.
    ///
    /// A row that was not asked for belongs to someone else's answer, so nothing of it is believed.
    pub(super) fn take(&mut self, table: &str, asked: &[Key], body: &[u8]) -> Result<(), Error> {
        let batch: Batch = serde_json::from_slice(body).map_err(|cause| Error::Unknown(cause.to_string()))?;
        let mut found: BTreeMap<Key, Found> = asked.iter().map(|key| (key.clone(), Found::Absent)).collect();
        let items = batch
            .responses
            .get(table)
            .ok_or_else(|| lost("the table's rows are missing"))?;
        for item in items {
            let key = Key::new(&item.pk.value, &item.sk.value);
            let place = found
                .get_mut(&key)
                .ok_or_else(|| lost("a row that was not asked for"))?;
            *place = Found::Present(item.row()?);
        }
        for key in batch.unprocessed_keys.values().flat_map(|keys| &keys.keys) {
            if found.remove(&key.key()).is_none() {
                return Err(lost("a key that was not asked for"));
            }
        }
        self.rows.extend(found);
        Ok(())
    }
}

/// Returns the page that a query of this partition after this sort key was answered with.
pub(super) fn page(body: &[u8], partition: &str, after: Option<&str>) -> Result<Page, Error> {
    let queried: Queried = serde_json::from_slice(body).map_err(|cause| Error::Unknown(cause.to_string()))?;
    let mut rows: Vec<(SmolStr, Row)> = Vec::with_capacity(queried.items.len());
    for item in queried.items {
        let last = rows.last().map(|(sort, _)| sort.as_str()).or(after);
        if item.pk.value != partition || last.is_some_and(|last| item.sk.value.as_str() <= last) {
            return Err(lost("a row that was not asked for"));
        }
        let row = item.row()?;
        rows.push((item.sk.value, row));
    }
    let next = queried.last_evaluated_key.map(|key| key.sk.value);
    // A page that does not go forward would be read for ever.
    if next
        .as_deref()
        .is_some_and(|next| after.is_some_and(|after| next <= after))
    {
        return Err(lost("a page that goes back"));
    }
    Ok(Page { rows, next })
}
