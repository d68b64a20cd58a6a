//! Idempotency keys derived from fields of the request body.

use serde_json::Value;
use smol_str::SmolStr;

/// Character before each field. Headers cannot contain it, so a caller's own key never equals a derived one.
const SEPARATOR: char = '\u{1f}';

/// Returns the key derived from the configured fields of a JSON body; `None` if a field is missing or null.
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
        key.push_str(&find_value(field, &body)?.to_string());
    }
    Some(key.into())
}

/// Returns the value at a field's path in the body.
fn find_value<'a>(field: &str, body: &'a Value) -> Option<&'a Value> {
    let path = field.strip_prefix("body.")?;
    let found = path.split('.').try_fold(body, |value, name| value.get(name))?;
    (!found.is_null()).then_some(found)
}
