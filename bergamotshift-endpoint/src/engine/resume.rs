//! The request that goes on where a broken stream stopped.

use ntex::util::Bytes;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::engine::event::Event;
use crate::engine::progress::Progress;

/// Where chats are completed.
pub const CHAT: &str = "/v1/chat/completions";

/// Where plain prompts are completed.
pub const COMPLETIONS: &str = "/v1/completions";

/// The fields that bound a completion's length.
const LENGTH_FIELDS: [&str; 2] = ["max_tokens", "max_completion_tokens"];

/// How a broken stream goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resumption {
    /// Another endpoint gets this body and delivers what is missing.
    Body(Bytes),
    /// Every token was delivered; these events, if any, and the end of the stream are missing.
    Complete(Vec<Event>),
    /// The stream cannot go on; the request can only be started over.
    Impossible,
}

/// Returns how a stream goes on after what was delivered.
///
/// Several choices, tool calls and reasoning cannot be continued: no engine takes them as a beginning.
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
    match lessen(&mut fields, progress.tokens()) {
        Length::Left => {}
        Length::Reached => return Resumption::Complete(vec![length_event(path, progress)]),
    }
    if extend(path, &mut fields, progress.text()).is_none() {
        return Resumption::Impossible;
    }
    serde_json::to_vec(&fields).map_or(Resumption::Impossible, |body| Resumption::Body(Bytes::from(body)))
}

fn is_resumable(fields: &Map<String, Value>) -> bool {
    let several = fields.get("n").and_then(Value::as_u64).is_some_and(|n| n > 1);
    let tools = fields
        .get("tools")
        .and_then(Value::as_array)
        .is_some_and(|tools| !tools.is_empty());
    let logprobs = match fields.get("logprobs") {
        None | Some(Value::Null | Value::Bool(false)) => false,
        Some(_) => true,
    };
    !several && !tools && !logprobs
}

enum Length {
    Left,
    Reached,
}

/// Lessens the completion's bounds by what was delivered.
fn lessen(fields: &mut Map<String, Value>, tokens: u32) -> Length {
    for field in LENGTH_FIELDS {
        let Some(limit) = fields.get(field).and_then(Value::as_u64) else {
            continue;
        };
        let left = limit.saturating_sub(u64::from(tokens));
        if left == 0 {
            return Length::Reached;
        }
        fields.insert(field.to_owned(), json!(left));
    }
    Length::Left
}

/// Makes the delivered text the beginning of the completion.
fn extend(path: &str, fields: &mut Map<String, Value>, text: &str) -> Option<()> {
    if path == COMPLETIONS {
        let prompt = fields.get("prompt")?.as_str()?;
        let longer = format!("{prompt}{text}");
        fields.insert("prompt".to_owned(), json!(longer));
        return Some(());
    }
    let continues = fields.get("continue_final_message") == Some(&Value::Bool(true));
    let messages = fields.get_mut("messages")?.as_array_mut()?;
    if continues {
        let last = messages.last_mut()?.as_object_mut()?;
        let longer = format!("{}{text}", last.get("content")?.as_str()?);
        last.insert("content".to_owned(), json!(longer));
    } else {
        messages.push(json!({ "role": "assistant", "content": text }));
    }
    fields.insert("continue_final_message".to_owned(), json!(true));
    fields.insert("add_generation_prompt".to_owned(), json!(false));
    Some(())
}

/// Returns the chunk that ends a completion whose length bound was reached before the stream broke.
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

/// Returns an event of a continuation as the caller has to see it, or nothing when the caller already has it.
///
/// The caller holds one completion, so its identifier stays that of the first stream; and a continuation opens with a
/// chunk that only names the role, which the caller has seen before. Tokens that were carried over stand in the
/// continuation's prompt, and count as generated towards the caller.
pub fn rewrite(event: Event, id: &str, carried: u32) -> Option<Event> {
    let Some(data) = event.data() else { return Some(event) };
    let Ok(mut chunk) = serde_json::from_slice::<Value>(data) else {
        return Some(event);
    };
    if opens(&chunk) {
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

/// Counts tokens of the prompt as tokens of the answer.
fn move_tokens(usage: &mut Map<String, Value>, carried: u64) {
    if let Some(prompt) = usage.get("prompt_tokens").and_then(Value::as_u64) {
        usage.insert("prompt_tokens".to_owned(), json!(prompt.saturating_sub(carried)));
    }
    if let Some(generated) = usage.get("completion_tokens").and_then(Value::as_u64) {
        usage.insert("completion_tokens".to_owned(), json!(generated + carried));
    }
}

fn opens(chunk: &Value) -> bool {
    let choice = &chunk["choices"][0];
    let delta = &choice["delta"];
    let silent = delta["content"].as_str().is_none_or(str::is_empty);
    delta.get("role").is_some() && silent && choice["finish_reason"].is_null()
}
