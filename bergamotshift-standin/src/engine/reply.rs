//! Completion answers in the shape of the OpenAI API.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use ntex::util::Bytes;
use serde_json::Value;
use serde_json::json;
use smol_str::SmolStr;

use super::batch::Finish;
use super::batch::Token;

/// Ends a stream.
pub(super) const DONE: &[u8] = b"data: [DONE]\n\n";

/// Tokens that an answer cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Usage {
    pub(super) prompt: u32,
    pub(super) cached: u32,
    pub(super) generated: u32,
}

/// What all parts of an answer have in common.
#[derive(Clone, Debug)]
pub(super) struct Shape {
    pub(super) id: String,
    pub(super) model: SmolStr,
    pub(super) version: SmolStr,
    pub(super) chat: bool,
    pub(super) created: u64,
}

impl Shape {
    pub(super) fn new(chat: bool, model: SmolStr, version: SmolStr, attempt: &str) -> Self {
        let prefix = if chat { "chatcmpl" } else { "cmpl" };
        let created = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |span| span.as_secs());
        Self {
            id: format!("{prefix}-{attempt}"),
            model,
            version,
            chat,
            created,
        }
    }

    /// Returns one event of a stream.
    pub(super) fn event(&self, token: &Token) -> Bytes {
        let finish = token.finish.map(Finish::as_str);
        let choice = if self.chat {
            json!({"index": 0, "delta": {"role": "assistant", "content": token.text}, "finish_reason": finish})
        } else {
            json!({"index": 0, "text": token.text, "finish_reason": finish})
        };
        self.chunk(json!({"choices": [choice]}))
    }

    /// Returns the event that tells what a stream cost.
    pub(super) fn usage_event(&self, usage: Usage) -> Bytes {
        self.chunk(json!({"choices": [], "usage": usage.to_value()}))
    }

    /// Returns a whole answer.
    pub(super) fn whole(&self, content: &str, finish: Finish, usage: Usage) -> Value {
        let finish = finish.as_str();
        let choice = if self.chat {
            json!({"index": 0, "message": {"role": "assistant", "content": content}, "finish_reason": finish})
        } else {
            json!({"index": 0, "text": content, "finish_reason": finish})
        };
        let object = if self.chat {
            "chat.completion"
        } else {
            "text_completion"
        };
        self.complete(object, json!({"choices": [choice], "usage": usage.to_value()}))
    }

    fn chunk(&self, part: Value) -> Bytes {
        let object = if self.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        Bytes::from(format!("data: {}\n\n", self.complete(object, part)))
    }

    fn complete(&self, object: &str, mut part: Value) -> Value {
        part["id"] = json!(self.id);
        part["object"] = json!(object);
        part["created"] = json!(self.created);
        part["model"] = json!(self.model);
        if !self.version.is_empty() {
            part["system_fingerprint"] = json!(self.version);
        }
        part
    }
}

impl Usage {
    fn to_value(self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.generated,
            "total_tokens": self.prompt + self.generated,
            "prompt_tokens_details": {"cached_tokens": self.cached},
        })
    }
}
