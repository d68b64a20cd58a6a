//! Completion requests as engines take them.

use serde::Deserialize;
use serde_json::Value;
use smol_str::SmolStr;

use super::text;

/// The body of a chat or text completion; fields that the engine does not know are ignored.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct Request {
    pub(super) model: SmolStr,
    pub(super) messages: Option<Vec<Message>>,
    pub(super) prompt: Option<Text>,
    pub(super) stream: bool,
    pub(super) max_tokens: Option<u32>,
    pub(super) max_completion_tokens: Option<u32>,
    pub(super) stream_options: Option<StreamOptions>,
    pub(super) continue_final_message: bool,
    /// Lower runs earlier.
    pub(super) priority: i64,
}

/// One message of a chat.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub(super) struct Message {
    pub(super) role: SmolStr,
    #[serde(default)]
    pub(super) content: Value,
}

/// A prompt, alone or as a list of one.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(untagged)]
pub(super) enum Text {
    One(String),
    Many(Vec<String>),
}

#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct StreamOptions {
    pub(super) include_usage: bool,
}

/// What an engine makes of a request's prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Prompt {
    /// The digest that decides the answer's tokens.
    pub(super) digest: u64,
    /// Words of the prompt, which the engine takes for tokens.
    pub(super) words: Vec<u64>,
    /// Tokens of the answer that the request brings along.
    pub(super) given: u32,
}

impl Request {
    /// Returns the prompt, or `None` when the request has none.
    pub(super) fn prompt(&self) -> Option<Prompt> {
        if let Some(messages) = &self.messages {
            return Some(self.chat(messages));
        }
        let whole = match self.prompt.as_ref()? {
            Text::One(text) => text.clone(),
            Text::Many(texts) => texts.concat(),
        };
        let (prompt, given) = text::split(&whole);
        Some(Prompt {
            digest: text::digest(prompt),
            words: words(prompt),
            given,
        })
    }

    /// Returns the most tokens to generate, when the request says so.
    pub(super) fn maximum(&self) -> Option<u32> {
        self.max_completion_tokens.or(self.max_tokens)
    }

    fn chat(&self, messages: &[Message]) -> Prompt {
        let last = messages
            .last()
            .filter(|message| self.continue_final_message && message.role == "assistant");
        let earlier = if last.is_some() {
            &messages[..messages.len() - 1]
        } else {
            messages
        };
        let mut prompt = render(earlier);
        let begun = last.map(|message| plain(&message.content)).unwrap_or_default();
        let given = text::count(&prompt, &begun).unwrap_or_else(|| {
            // Another engine's or a person's beginning: it becomes part of the prompt.
            prompt.push_str(&begun);
            0
        });
        Prompt {
            digest: text::digest(&prompt),
            words: words(&prompt),
            given,
        }
    }
}

fn render(messages: &[Message]) -> String {
    let mut text = String::new();
    for message in messages {
        text.extend([message.role.as_str(), ": ", &plain(&message.content), "\n"]);
    }
    text
}

/// Returns the text of a message's content, which is a string or a list of parts.
fn plain(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts.iter().filter_map(|part| part.get("text")?.as_str()).collect(),
        _ => String::new(),
    }
}

fn words(text: &str) -> Vec<u64> {
    text.split_whitespace().map(text::digest).collect()
}
