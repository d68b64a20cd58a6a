//! Record of the part of a stream that the caller has received, from which another endpoint can continue it.

use serde::Deserialize;

use crate::engine::event::Event;

/// Size of the unparsed data at which it is parsed, in bytes. Keeps the memory of an open stream small.
const MAX_PENDING_BYTES: usize = 4 * 1024;

/// One chunk of a completion, reduced to the fields that a continuation needs.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub struct Chunk {
    /// Identifier of the completion.
    pub id: String,
    /// Choices of the chunk. Only the choice with index 0 can be continued.
    pub choices: Vec<Choice>,
}

/// One choice of a chunk.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub struct Choice {
    /// Index of the choice among the alternatives.
    pub index: u32,
    /// Addition to a chat message.
    pub delta: Delta,
    /// Text added to a plain completion.
    pub text: String,
    /// Reason for the end of the choice, set in its last chunk.
    pub finish_reason: Option<String>,
}

/// Addition of a chunk to a chat message.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub struct Delta {
    /// Added text.
    pub content: Option<String>,
    /// Tool calls. Their arguments cannot be continued.
    pub tool_calls: Option<serde_json::Value>,
    /// Reasoning text. It cannot be continued.
    pub reasoning_content: Option<String>,
}

/// Part of a stream that the caller has received.
///
/// While the stream runs, the data of an event is only copied into a small buffer. It is parsed when the buffer is full
/// or when another endpoint has to continue the stream.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    pending: Vec<u8>,
    id: String,
    text: String,
    events: u64,
    tokens: u32,
    finished: bool,
    opaque: bool,
}

impl Progress {
    /// Records an event that was sent to the caller.
    pub fn record(&mut self, event: &Event) {
        self.events += 1;
        let Some(data) = event.data() else {
            self.opaque = true;
            return;
        };
        self.pending.extend_from_slice(data);
        self.pending.push(b'\n');
        if self.pending.len() >= MAX_PENDING_BYTES {
            self.parse_pending();
        }
    }

    /// Returns the number of recorded events, which is also the number of the last one.
    pub const fn events(&self) -> u64 {
        self.events
    }

    /// Parses the data that was only copied so far.
    pub fn parse_pending(&mut self) {
        let pending = core::mem::take(&mut self.pending);
        for line in pending.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
            match serde_json::from_slice::<Chunk>(line) {
                Ok(chunk) => self.add(chunk),
                Err(_) => self.opaque = true,
            }
        }
    }

    /// Returns the identifier of the completion. Call [`Progress::parse_pending`] first.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the delivered text. Call [`Progress::parse_pending`] first.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the number of delivered tokens, counted as one per chunk with text.
    ///
    /// Call [`Progress::parse_pending`] first.
    pub const fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns whether the chunk with the finish reason was delivered. Call [`Progress::parse_pending`] first.
    pub const fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns whether an event was delivered that cannot be continued. Call [`Progress::parse_pending`] first.
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
