//! Idempotency keys made of fields of the body.

use serde_json::Value;
use smol_str::SmolStr;

/// Keeps the fields apart; no header can hold it, so no caller's own key looks like one made of fields.
const SEPARATOR: char = '\u{1f}';

/// Returns the key that the configured fields of a JSON body make, if all of them are there.
///
/// A field is a path such as `body.shift.id`.
pub fn key_from_fields(fields: &[SmolStr], body: &[u8]) -> Option<SmolStr> {
    if fields.is_empty() {
        return None;
    }
    let body = serde_json::from_slice::<Value>(body).ok()?;
    let mut key = String::new();
    for field in fields {
        key.push(SEPARATOR);
        key.push_str(&value(field, &body)?.to_string());
    }
    Some(key.into())
}

fn value<'a>(field: &str, body: &'a Value) -> Option<&'a Value> {
    let path = field.strip_prefix("body.")?;
    let found = path.split('.').try_fold(body, |value, name| value.get(name))?;
    (!found.is_null()).then_some(found)
}
