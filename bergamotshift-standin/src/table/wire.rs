//! The JSON shapes of the protocol.

use std::collections::BTreeMap;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use smol_str::SmolStr;

use super::failure::Failure;

/// Attributes by name; each is an object of its type and value, such as `{"S": "text"}`.
pub(super) type Attributes = BTreeMap<String, Value>;

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Transact {
    pub(super) transact_items: Vec<TransactItem>,
    pub(super) client_request_token: Option<SmolStr>,
}

#[derive(Debug)]
#[derive(Deserialize, Serialize)]
pub(super) enum TransactItem {
    Put(Operation),
    Update(Operation),
    Delete(Operation),
    ConditionCheck(Operation),
}

#[derive(Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "PascalCase", default)]
pub(super) struct Operation {
    pub(super) table_name: SmolStr,
    pub(super) item: Option<Attributes>,
    pub(super) key: Option<Attributes>,
    pub(super) condition_expression: Option<String>,
    pub(super) update_expression: Option<String>,
    pub(super) expression_attribute_values: Attributes,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Get {
    pub(super) key: Attributes,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct BatchGet {
    pub(super) request_items: BTreeMap<SmolStr, Keys>,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Keys {
    pub(super) keys: Vec<Attributes>,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Query {
    pub(super) key_condition_expression: String,
    pub(super) expression_attribute_values: Attributes,
    pub(super) exclusive_start_key: Option<Attributes>,
    pub(super) limit: Option<usize>,
}

/// Reads a key's attributes.
pub(super) fn key(attributes: &Attributes) -> Result<Key, Failure> {
    Ok(Key::new(text(attributes, "pk")?, text(attributes, "sk")?))
}

/// Reads an attribute of type `S`.
pub(super) fn text<'a>(attributes: &'a Attributes, name: &str) -> Result<&'a str, Failure> {
    let value = attributes.get(name).and_then(|value| value.get("S")?.as_str());
    value
        .filter(|text| !text.is_empty())
        .ok_or_else(|| Failure::validation(&format!("{name} is no text")))
}

/// Reads an attribute of type `N`.
pub(super) fn number(attributes: &Attributes, name: &str) -> Result<u64, Failure> {
    let value = attributes
        .get(name)
        .and_then(|value| value.get("N")?.as_str()?.parse().ok());
    value.ok_or_else(|| Failure::validation(&format!("{name} is no number")))
}

/// Reads an attribute of type `B`.
pub(super) fn bytes(attributes: &Attributes, name: &str) -> Result<Vec<u8>, Failure> {
    let value = attributes
        .get(name)
        .and_then(|value| STANDARD.decode(value.get("B")?.as_str()?).ok());
    value.ok_or_else(|| Failure::validation(&format!("{name} is no base64")))
}

/// Writes a row as an item.
pub(super) fn item(key: &Key, row: &Row) -> Value {
    json!({
        "pk": {"S": key.partition},
        "sk": {"S": key.sort},
        "v": {"N": row.version.to_string()},
        "b": {"B": STANDARD.encode(&row.body)},
    })
}

/// Writes a key.
pub(super) fn key_item(key: &Key) -> Value {
    json!({"pk": {"S": key.partition}, "sk": {"S": key.sort}})
}
