//! Requests of the protocol.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bergamotshift_core::table::Change;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Write;
use serde_json::Value;
use serde_json::json;

/// Turns writes into operations, each with the place of its write.
///
/// A check of nothing is left out: the protocol has no such operation.
pub(super) fn operations(table: &str, writes: Vec<Write>) -> (Vec<Value>, Vec<usize>) {
    let all = writes.into_iter().enumerate();
    all.filter_map(|(place, write)| Some((operation(table, &write)?, place)))
        .unzip()
}

/// Returns the body of a transaction.
pub(super) fn transaction(operations: &[Value], token: &str) -> Value {
    json!({"TransactItems": operations, "ClientRequestToken": token})
}

/// Returns the body that reads these rows.
pub(super) fn batch(table: &str, keys: &[Key]) -> Value {
    let keys: Vec<_> = keys.iter().map(key_item).collect();
    json!({"RequestItems": {table: {"Keys": keys, "ConsistentRead": true}}})
}

/// Returns the body that lists a partition.
pub(super) fn query(table: &str, partition: &str, after: Option<&str>, limit: u32) -> Value {
    let mut body = json!({
        "TableName": table,
        "KeyConditionExpression": "pk = :p",
        "ExpressionAttributeValues": {":p": {"S": partition}},
        "ConsistentRead": true,
        "Limit": limit,
    });
    if let Some(after) = after {
        body["ExclusiveStartKey"] = key_item(&Key::new(partition, after));
    }
    body
}

fn operation(table: &str, write: &Write) -> Option<Value> {
    let mut values = json!({});
    let mut body = json!({"TableName": table});
    match write.condition {
        Condition::Absent => body["ConditionExpression"] = json!("attribute_not_exists(pk)"),
        Condition::Version(version) => {
            body["ConditionExpression"] = json!("v = :v");
            values[":v"] = json!({"N": version.to_string()});
        }
        Condition::Any => {}
    }
    let kind = match (&write.change, write.condition) {
        (Change::Check, Condition::Any) => return None,
        (Change::Check, _) => "ConditionCheck",
        (Change::Delete, _) => "Delete",
        (Change::Put(content), condition) => put(&mut body, &mut values, &write.key, condition, content),
    };
    if kind != "Put" {
        body["Key"] = key_item(&write.key);
    }
    if values.as_object().is_some_and(|values| !values.is_empty()) {
        body["ExpressionAttributeValues"] = values;
    }
    Some(json!({kind: body}))
}

/// Fills in what a put changes; without a known version the service itself has to count it up.
fn put(body: &mut Value, values: &mut Value, key: &Key, condition: Condition, content: &[u8]) -> &'static str {
    let content = json!({"B": STANDARD.encode(content)});
    let version = match condition {
        Condition::Absent => 1,
        Condition::Version(version) => version + 1,
        Condition::Any => {
            body["UpdateExpression"] = json!("SET b = :b ADD v :one");
            values[":b"] = content;
            values[":one"] = json!({"N": "1"});
            return "Update";
        }
    };
    body["Item"] = json!({
        "pk": {"S": key.partition},
        "sk": {"S": key.sort},
        "v": {"N": version.to_string()},
        "b": content,
    });
    "Put"
}

fn key_item(key: &Key) -> Value {
    json!({"pk": {"S": key.partition}, "sk": {"S": key.sort}})
}
