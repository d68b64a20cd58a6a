//! The requests of a run, each drawn from the seed and its place alone.

use core::fmt;

use bytes::Bytes;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use smol_str::SmolStr;

use crate::plan::Share;

const CHAT_PATH: &str = "/v1/chat/completions";
const COMPLETION_PATH: &str = "/v1/completions";

/// Words that prompts are made of.
const WORDS: [&str; 16] = [
    "roster", "shift", "hall", "cook", "waiter", "contract", "banquet", "congress", "room", "map", "robot", "zone",
    "door", "stairs", "night", "morning",
];

/// What a request asks for and how its answer comes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A chat completion whose answer comes whole.
    Chat,
    /// A chat completion whose answer streams.
    ChatStream,
    /// A completion whose answer comes whole.
    Completion,
    /// A completion whose answer streams.
    CompletionStream,
    /// A plain request without a body.
    #[default]
    Get,
    /// A plain request with a body, which may be repeated.
    Post,
    /// A deferred chat completion, fetched later.
    Job,
    /// A plain request that must run at most once, sent to several entries under one key.
    Once,
}

impl Kind {
    /// All kinds, in the order of reports.
    pub const ALL: [Self; 8] = [
        Self::Chat,
        Self::ChatStream,
        Self::Completion,
        Self::CompletionStream,
        Self::Get,
        Self::Post,
        Self::Job,
        Self::Once,
    ];

    /// Returns whether a model service answers.
    pub const fn is_model(self) -> bool {
        matches!(
            self,
            Self::Chat | Self::ChatStream | Self::Completion | Self::CompletionStream | Self::Job
        )
    }

    /// Returns whether the answer streams.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::ChatStream | Self::CompletionStream)
    }

    /// Returns whether the request goes to the chat API.
    pub const fn is_chat(self) -> bool {
        matches!(self, Self::Chat | Self::ChatStream | Self::Job)
    }

    /// Returns the name used in reports and plans.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Chat => "chat",
            Self::ChatStream => "chat-stream",
            Self::Completion => "completion",
            Self::CompletionStream => "completion-stream",
            Self::Get => "get",
            Self::Post => "post",
            Self::Job => "job",
            Self::Once => "once",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// One request as its caller sends it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its place in the run.
    pub index: u64,
    /// Its kind.
    pub kind: Kind,
    /// Its idempotency key, unique to it.
    pub key: SmolStr,
    /// The path with its query.
    pub path: SmolStr,
    /// The body; empty for `Kind::Get`.
    pub body: Bytes,
    /// The prompt of a model request, or empty.
    pub prompt: String,
    /// Tokens asked for, of a model request.
    pub max_tokens: u32,
    /// How many entries get it at once.
    pub sends: u32,
}

impl Request {
    /// Draws the request at `index` of a run.
    ///
    /// The mix must hold a share with a weight above zero, as [`Plan::validate`](crate::Plan::validate) checks.
    pub fn draw(mix: &[Share], seed: u64, label: &str, index: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ index.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let share = pick(mix, &mut random);
        let text = words(share.words, index, &mut random);
        let (path, body) = content(share, index, &text);
        Self {
            index,
            kind: share.kind,
            key: SmolStr::new(format!("{label}-{index}")),
            path,
            body,
            prompt: if share.kind.is_model() { text } else { String::new() },
            max_tokens: share.max_tokens,
            sends: if share.kind == Kind::Once {
                share.sends.max(1)
            } else {
                1
            },
        }
    }
}

fn pick<'a>(mix: &'a [Share], random: &mut Pcg64Mcg) -> &'a Share {
    let total: u32 = mix.iter().map(|share| share.weight).sum();
    let mut place = random.random_range(0..total);
    for share in mix {
        if place < share.weight {
            return share;
        }
        place -= share.weight;
    }
    unreachable!("the place is below the sum of the weights")
}

/// Returns a text that no other request of the run has.
fn words(count: u32, index: u64, random: &mut Pcg64Mcg) -> String {
    let mut text = format!("request {index}:");
    for _ in 0..count {
        text.push(' ');
        text.push_str(WORDS[random.random_range(0..WORDS.len())]);
    }
    text
}

fn content(share: &Share, index: u64, text: &str) -> (SmolStr, Bytes) {
    let body = match share.kind {
        Kind::Get => return (SmolStr::new(format!("{}?request={index}", share.path)), Bytes::new()),
        Kind::Post | Kind::Once => {
            let body = json!({"request": index, "text": text});
            return (share.path.clone(), body.to_string().into());
        }
        Kind::Completion | Kind::CompletionStream => json!({
            "model": share.model.as_str(),
            "prompt": text,
            "max_tokens": share.max_tokens,
            "stream": share.kind.is_stream(),
        }),
        Kind::Chat | Kind::ChatStream | Kind::Job => json!({
            "model": share.model.as_str(),
            "messages": [{"role": "user", "content": text}],
            "max_tokens": share.max_tokens,
            "stream": share.kind.is_stream(),
        }),
    };
    let path = if share.kind.is_chat() {
        CHAT_PATH
    } else {
        COMPLETION_PATH
    };
    (SmolStr::new_static(path), body.to_string().into())
}
