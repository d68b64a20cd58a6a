//! Whole completions, read as streams.
//!
//! A caller that wants one answer gets one. Towards the engine it is a stream all the same: an engine that stands
//! still is noticed within the time between tokens, and one that dies costs only the tokens it had not sent.

use bergamotshift_endpoint::engine::event::Event;
use bergamotshift_endpoint::engine::resume::CHAT;
use ntex::util::Bytes;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use super::Error;
use super::events::Events;

/// Fields that make an answer what no stream's pieces add up to.
const UNFIT: [&str; 7] = [
    "tools",
    "functions",
    "logprobs",
    "prompt_logprobs",
    "best_of",
    "echo",
    "audio",
];

/// Returns the body that asks for the same completion as a stream; nothing when its pieces would not add up to it.
pub fn streaming_body(body: &Bytes) -> Option<Bytes> {
    let Ok(Value::Object(mut fields)) = serde_json::from_slice(body) else {
        return None;
    };
    let unfit = |name: &&str| fields.get(*name).is_some_and(is_set);
    let several = fields.get("n").and_then(Value::as_u64).is_some_and(|n| n > 1);
    let many = fields.get("prompt").is_some_and(Value::is_array);
    if several || many || UNFIT.iter().any(unfit) {
        return None;
    }
    fields.insert("stream".to_owned(), json!(true));
    fields.insert("stream_options".to_owned(), json!({ "include_usage": true }));
    serde_json::to_vec(&fields).ok().map(Bytes::from)
}

fn is_set(value: &Value) -> bool {
    match value {
        Value::Null | Value::Bool(false) => false,
        Value::Array(items) => !items.is_empty(),
        _ => true,
    }
}

/// Reads a completion to its end and returns it as one answer.
///
/// # Errors
///
/// Returns why it cannot be brought to its end.
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

/// An answer, as far as its pieces have come.
#[derive(Debug, Default)]
struct Answer {
    /// What all pieces say alike, such as the identifier and the model.
    common: Map<String, Value>,
    /// What the pieces of a chat's message add up to.
    message: Map<String, Value>,
    /// What the pieces of a plain completion add up to.
    text: String,
    /// What else is said of the choice, such as why it ended.
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
            (Some(Value::String(text)), Value::String(more)) => text.push_str(&more),
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
