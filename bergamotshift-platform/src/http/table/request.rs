//! Request bodies of the DynamoDB JSON protocol.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bergamotshift_core::table::Change;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Write;
use serde_json::Value;
use serde_json::json;

/// Converts writes into operations, and returns the index of each operation's write.
///
/// A check without a condition is left out, because the protocol has no such operation.
pub(super) fn operations(table: &str, writes: Vec<Write>) -> (Vec<Value>, Vec<usize>) {
    let all = writes.into_iter().enumerate();
    all.filter_map(|(index, write)| Some((operation(table, &write)?, index)))
        .unzip()
}

/// Returns the body of a transaction.
pub(super) fn transaction(operations: &[Value], token: &str) -> Value {
    json!({"TransactItems": operations, "ClientRequestToken": token})
}

/// Returns the body of a batch read of these rows.
pub(super) fn batch(table: &str, keys: &[Key]) -> Value {
    let keys: Vec<_> = keys.iter().map(key_attributes).collect();
    json!({"RequestItems": {table: {"Keys": keys, "ConsistentRead": true}}})
}

/// Returns the body of a query that lists a partition.
pub(super) fn query(table: &str, partition: &str, after: Option<&str>, limit: u32) -> Value {
    let mut body = json!({
        "TableName": table,
        "KeyConditionExpression": "pk = :p",
        "ExpressionAttributeValues": {":p": {"S": partition}},
        "ConsistentRead": true,
        "Limit": limit,
    });
    if let Some(after) = after {
        body["ExclusiveStartKey"] = key_attributes(&Key::new(partition, after));
    }
    body
}

/// Returns the operation of a write, or `None` for a check without a condition.
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
        body["Key"] = key_attributes(&write.key);
    }
    if values.as_object().is_some_and(|values| !values.is_empty()) {
        body["ExpressionAttributeValues"] = values;
    }
    Some(json!({kind: body}))
}

/// Adds the new row to an operation, and returns the kind of the operation.
///
/// With [`Condition::Any`] the current version is not known, so an update lets the service increment it.
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

fn key_attributes(key: &Key) -> Value {
    json!({"pk": {"S": key.partition}, "sk": {"S": key.sort}})
}
