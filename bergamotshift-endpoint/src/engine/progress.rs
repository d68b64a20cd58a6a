//! What a stream has delivered so far, kept so that another endpoint can go on from there.

use serde::Deserialize;

use crate::engine::event::Event;

/// Raw events are folded into text once they take this many bytes, so that an open stream costs little memory.
const FOLD_BYTES: usize = 4 * 1024;

/// One chunk of a completion, as far as a continuation needs it.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub struct Chunk {
    /// The completion's identifier.
    pub id: String,
    /// The choices; a continuation needs exactly one.
    pub choices: Vec<Choice>,
}

/// One choice inside a chunk.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub struct Choice {
    /// Which of several choices.
    pub index: u32,
    /// What a chat adds.
    pub delta: Delta,
    /// What a plain completion adds.
    pub text: String,
    /// Why the choice ended, in its last chunk.
    pub finish_reason: Option<String>,
}

/// What a chunk adds to a chat message.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub struct Delta {
    /// The text.
    pub content: Option<String>,
    /// Calls of tools, whose arguments cannot be continued.
    pub tool_calls: Option<serde_json::Value>,
    /// Reasoning text, which cannot be continued either.
    pub reasoning_content: Option<String>,
}

/// What a stream has delivered.
///
/// On the ordinary path an event is only copied into a small buffer. It is parsed when the buffer is full or when
/// the stream has to go on elsewhere.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    raw: Vec<u8>,
    id: String,
    text: String,
    events: u64,
    tokens: u32,
    finished: bool,
    opaque: bool,
}

impl Progress {
    /// Notes an event that went to the caller.
    pub fn record(&mut self, event: &Event) {
        self.events += 1;
        let Some(data) = event.data() else {
            self.opaque = true;
            return;
        };
        self.raw.extend_from_slice(data);
        self.raw.push(b'\n');
        if self.raw.len() >= FOLD_BYTES {
            self.parse_pending();
        }
    }

    /// Returns the number of events delivered, which is the last event's number.
    pub const fn events(&self) -> u64 {
        self.events
    }

    /// Parses what was only copied so far.
    pub fn parse_pending(&mut self) {
        let raw = core::mem::take(&mut self.raw);
        for line in raw.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
            match serde_json::from_slice::<Chunk>(line) {
                Ok(chunk) => self.add(chunk),
                Err(_) => self.opaque = true,
            }
        }
    }

    /// Returns the completion's identifier. Call [`Progress::parse_pending`] first.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the text delivered. Call [`Progress::parse_pending`] first.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the number of tokens delivered, counted as one per chunk with text. Call [`Progress::parse_pending`] first.
    pub const fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns whether the last chunk of the completion itself was delivered. Call [`Progress::parse_pending`] first.
    pub const fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns whether something was delivered that a continuation cannot take up. Call [`Progress::parse_pending`] first.
    pub const fn is_opaque(&self) -> bool {
        self.opaque
    }

    fn add(&mut self, chunk: Chunk) {
        if self.id.is_empty() {
            self.id = chunk.id;
        }
        for choice in chunk.choices {
            let Delta {
                content,
                tool_calls,
                reasoning_content,
            } = choice.delta;
            self.opaque |= choice.index > 0 || tool_calls.is_some() || reasoning_content.is_some();
            let added = content.as_deref().unwrap_or(&choice.text);
            if !added.is_empty() {
                self.text.push_str(added);
                self.tokens += 1;
            }
            self.finished |= choice.finish_reason.is_some();
        }
    }
}
