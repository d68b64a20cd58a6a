//! Assembles a whole completion from an engine's event stream.
//!
//! A caller that asks for a single answer gets one, but the engine is asked for a stream. A stalled engine is then
//! detected within the time between tokens, and an engine that dies loses only the tokens that it had not sent.

use bergamotshift_endpoint::engine::event::Event;
use bergamotshift_endpoint::engine::resume::CHAT;
use ntex::util::Bytes;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use super::Error;
use super::events::Events;

/// Request fields whose answers cannot be assembled from the chunks of a stream.
const UNSUPPORTED_FIELDS: [&str; 7] = [
    "tools",
    "functions",
    "logprobs",
    "prompt_logprobs",
    "best_of",
    "echo",
    "audio",
];

/// Returns the body that requests the same completion as a stream, or `None` if the answer cannot be assembled from
/// the chunks of a stream.
pub fn streaming_body(body: &Bytes) -> Option<Bytes> {
    let Ok(Value::Object(mut fields)) = serde_json::from_slice(body) else {
        return None;
    };
    let is_unsupported = |name: &&str| fields.get(*name).is_some_and(is_set);
    let has_choices = fields.get("n").and_then(Value::as_u64).is_some_and(|n| n > 1);
    let has_prompts = fields.get("prompt").is_some_and(Value::is_array);
    if has_choices || has_prompts || UNSUPPORTED_FIELDS.iter().any(is_unsupported) {
        return None;
    }
    fields.insert("stream".to_owned(), json!(true));
    fields.insert("stream_options".to_owned(), json!({ "include_usage": true }));
    serde_json::to_vec(&fields).ok().map(Bytes::from)
}

/// Returns whether a field is present with a value other than null, `false` or an empty array.
fn is_set(value: &Value) -> bool {
    match value {
        Value::Null | Value::Bool(false) => false,
        Value::Array(items) => !items.is_empty(),
        _ => true,
    }
}

/// Reads a completion to its end and returns it as a single answer.
///
/// # Errors
///
/// Returns an error if the completion cannot be finished.
pub async fn read(source: &mut Events) -> Result<Bytes, Error> {
    let chat = source.attempts().call().path.path() == CHAT;
    let mut answer = Answer::default();
    let mut events = Vec::new();
    while !source.is_done() {
        source.read(&mut events).await?;
        for event in events.drain(..) {
            answer.add(&event);
        }
    }
    Ok(answer.finish(chat))
}

/// Answer assembled from the chunks read so far.
#[derive(Debug, Default)]
struct Answer {
    /// Fields that all chunks share, such as the identifier and the model.
    common: Map<String, Value>,
    /// Message of a chat completion, joined from the deltas.
    message: Map<String, Value>,
    /// Text of a plain completion, joined from the chunks.
    text: String,
    /// Other fields of the choice, such as the finish reason.
    choice: Map<String, Value>,
    usage: Option<Value>,
}

impl Answer {
    fn add(&mut self, event: &Event) {
        let chunk = event.data().and_then(|data| serde_json::from_slice(data).ok());
        let Some(Value::Object(mut chunk)) = chunk else { return };
        if let Some(usage) = chunk.remove("usage").filter(|usage| !usage.is_null()) {
            self.usage = Some(usage);
        }
        if let Some(Value::Array(choices)) = chunk.remove("choices") {
            for choice in choices {
                self.add_choice(choice);
            }
        }
        for (name, value) in chunk {
            self.common.entry(name).or_insert(value);
        }
    }

    fn add_choice(&mut self, choice: Value) {
        let Value::Object(mut choice) = choice else { return };
        if let Some(Value::Object(delta)) = choice.remove("delta") {
            delta.into_iter().for_each(|(name, value)| self.add_part(name, value));
        }
        if let Some(Value::String(text)) = choice.remove("text") {
            self.text.push_str(&text);
        }
        for (name, value) in choice {
            if !value.is_null() || !self.choice.contains_key(&name) {
                self.choice.insert(name, value);
            }
        }
    }

    fn add_part(&mut self, name: String, value: Value) {
        match (self.message.get_mut(&name), value) {
            (Some(Value::String(_)), _) if name == "role" => {}
            (Some(Value::String(text)), Value::String(suffix)) => text.push_str(&suffix),
            (Some(_), Value::Null) => {}
            (_, value) => drop(self.message.insert(name, value)),
        }
    }

    fn finish(mut self, chat: bool) -> Bytes {
        let object = if chat { "chat.completion" } else { "text_completion" };
        if chat {
            self.message.entry("role").or_insert(json!("assistant"));
            self.message.entry("content").or_insert(json!(""));
            self.choice.insert("message".to_owned(), Value::Object(self.message));
        } else {
            self.choice.insert("text".to_owned(), json!(self.text));
        }
        self.common.insert("object".to_owned(), json!(object));
        self.common.insert("choices".to_owned(), json!([self.choice]));
        if let Some(usage) = self.usage {
            self.common.insert("usage".to_owned(), usage);
        }
        Bytes::from(Value::Object(self.common).to_string())
    }
}
