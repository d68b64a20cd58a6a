//! Requests that continue a broken stream on another endpoint.

use ntex::util::Bytes;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::engine::event::Event;
use crate::engine::progress::Progress;

/// Path of chat completions.
pub const CHAT: &str = "/v1/chat/completions";

/// Path of plain prompt completions.
pub const COMPLETIONS: &str = "/v1/completions";

/// Request fields that limit the length of a completion, in tokens.
const LENGTH_FIELDS: [&str; 2] = ["max_tokens", "max_completion_tokens"];

/// Continuation of a broken stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resumption {
    /// Request body with which another endpoint generates the missing part.
    Body(Bytes),
    /// Every token was delivered. Only these events, if any, and the end of the stream are missing.
    Complete(Vec<Event>),
    /// The stream cannot be continued. The request can only be started over.
    Impossible,
}

/// Returns the continuation of a stream after the recorded progress.
///
/// Several choices, tool calls and reasoning cannot be continued, because no engine accepts them as the start of an
/// answer.
pub fn plan(path: &str, body: &Bytes, progress: &Progress) -> Resumption {
    if progress.is_opaque() {
        return Resumption::Impossible;
    }
    if progress.is_finished() {
        return Resumption::Complete(Vec::new());
    }
    let Ok(Value::Object(mut fields)) = serde_json::from_slice(body) else {
        return Resumption::Impossible;
    };
    if !is_resumable(&fields) {
        return Resumption::Impossible;
    }
    match reduce_limits(&mut fields, progress.tokens()) {
        Limit::Remaining => {}
        Limit::Reached => return Resumption::Complete(vec![length_event(path, progress)]),
    }
    if extend(path, &mut fields, progress.text()).is_none() {
        return Resumption::Impossible;
    }
    serde_json::to_vec(&fields).map_or(Resumption::Impossible, |body| Resumption::Body(Bytes::from(body)))
}

fn is_resumable(fields: &Map<String, Value>) -> bool {
    let multiple = fields.get("n").and_then(Value::as_u64).is_some_and(|n| n > 1);
    let tools = fields
        .get("tools")
        .and_then(Value::as_array)
        .is_some_and(|tools| !tools.is_empty());
    let logprobs = match fields.get("logprobs") {
        None | Some(Value::Null | Value::Bool(false)) => false,
        Some(_) => true,
    };
    !multiple && !tools && !logprobs
}

enum Limit {
    Remaining,
    Reached,
}

/// Subtracts the delivered tokens from the length limits of the request.
fn reduce_limits(fields: &mut Map<String, Value>, tokens: u32) -> Limit {
    for field in LENGTH_FIELDS {
        let Some(limit) = fields.get(field).and_then(Value::as_u64) else {
            continue;
        };
        let remaining = limit.saturating_sub(u64::from(tokens));
        if remaining == 0 {
            return Limit::Reached;
        }
        fields.insert(field.to_owned(), json!(remaining));
    }
    Limit::Remaining
}

/// Adds the delivered text to the request as the start of the answer.
///
/// Returns `None` if the request has no prompt or messages to which it can be added.
fn extend(path: &str, fields: &mut Map<String, Value>, text: &str) -> Option<()> {
    if path == COMPLETIONS {
        let prompt = fields.get("prompt")?.as_str()?;
        let extended = format!("{prompt}{text}");
        fields.insert("prompt".to_owned(), json!(extended));
        return Some(());
    }
    let continues = fields.get("continue_final_message") == Some(&Value::Bool(true));
    let messages = fields.get_mut("messages")?.as_array_mut()?;
    if continues {
        let last = messages.last_mut()?.as_object_mut()?;
        let extended = format!("{}{text}", last.get("content")?.as_str()?);
        last.insert("content".to_owned(), json!(extended));
    } else {
        messages.push(json!({ "role": "assistant", "content": text }));
    }
    fields.insert("continue_final_message".to_owned(), json!(true));
    fields.insert("add_generation_prompt".to_owned(), json!(false));
    Some(())
}

/// Returns the final chunk of a completion that reached its length limit before the stream broke.
fn length_event(path: &str, progress: &Progress) -> Event {
    let choice = if path == COMPLETIONS {
        json!({ "index": 0, "text": "", "finish_reason": "length" })
    } else {
        json!({ "index": 0, "delta": {}, "finish_reason": "length" })
    };
    let object = if path == COMPLETIONS {
        "text_completion"
    } else {
        "chat.completion.chunk"
    };
    let chunk = json!({ "id": progress.id(), "object": object, "choices": [choice] });
    Event::new(Bytes::from(format!("data: {chunk}")))
}

/// Rewrites an event of a continuation for the caller, or returns `None` if the caller already has it.
///
/// The caller sees a single completion, so the identifier stays that of the first stream. The first chunk of a
/// continuation only names the role and is dropped, because the caller has received it before. The carried tokens are
/// part of the continuation's prompt and are reported to the caller as generated.
pub fn rewrite(event: Event, id: &str, carried: u32) -> Option<Event> {
    let Some(data) = event.data() else { return Some(event) };
    let Ok(mut chunk) = serde_json::from_slice::<Value>(data) else {
        return Some(event);
    };
    if is_opening(&chunk) {
        return None;
    }
    let Some(fields) = chunk.as_object_mut() else {
        return Some(event);
    };
    if !id.is_empty() && fields.contains_key("id") {
        fields.insert("id".to_owned(), json!(id));
    }
    if let Some(usage) = fields.get_mut("usage").and_then(Value::as_object_mut) {
        move_tokens(usage, u64::from(carried));
    }
    Some(Event::new(Bytes::from(format!("data: {chunk}"))))
}

/// Moves the carried tokens from the prompt count to the completion count.
fn move_tokens(usage: &mut Map<String, Value>, carried: u64) {
    if let Some(prompt) = usage.get("prompt_tokens").and_then(Value::as_u64) {
        usage.insert("prompt_tokens".to_owned(), json!(prompt.saturating_sub(carried)));
    }
    if let Some(generated) = usage.get("completion_tokens").and_then(Value::as_u64) {
        usage.insert("completion_tokens".to_owned(), json!(generated + carried));
    }
}

/// Returns whether a chunk only names the role, as the first chunk of a stream does.
fn is_opening(chunk: &Value) -> bool {
    let choice = &chunk["choices"][0];
    let delta = &choice["delta"];
    let no_text = delta["content"].as_str().is_none_or(str::is_empty);
    delta.get("role").is_some() && no_text && choice["finish_reason"].is_null()
}
