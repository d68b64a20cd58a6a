//! Metadata in the headers of a caller's request.

use core::time::Duration;

use ntex::http::HeaderMap;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::Dialect;
use super::LAST_EVENT;

/// A part of a prompt. Requests whose prompts begin with the same parts share them in an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Part {
    /// The identifier of the part's content.
    pub id: u64,
    /// The length, in tokens.
    pub tokens: u32,
}

/// The size of a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// The number of tokens of the prompt.
    pub prompt: u32,
    /// The maximum number of tokens to generate.
    pub output: u32,
}

impl Size {
    /// Returns the total number of tokens.
    pub const fn total(self) -> u64 {
        self.prompt as u64 + self.output as u64
    }
}

/// The metadata of a request, from headers that callers set for this system.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metadata {
    /// The caller's identifier of this attempt; empty when it sent none.
    pub id: SmolStr,
    /// The time for which the caller still waits.
    pub time_left: Option<Duration>,
    /// The size of the generation.
    pub size: Option<Size>,
    /// The parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// The number of the last event of the stream that the caller received.
    pub last_event: Option<u64>,
    /// The identifier of the attempt that brought the stream's first event, if the caller takes a stream up.
    pub resumes: Option<SmolStr>,
}

impl Metadata {
    /// Parses the headers of a request. A malformed value counts as absent.
    pub fn read(dialect: &Dialect, headers: &HeaderMap) -> Self {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        Self {
            id: text(&dialect.request).map(SmolStr::new).unwrap_or_default(),
            time_left: text(&dialect.time_left)
                .and_then(|text| text.trim().parse().ok())
                .map(Duration::from_millis),
            size: text(&dialect.size).and_then(size),
            parts: text(&dialect.prompt).map(parts).unwrap_or_default(),
            last_event: text(&LAST_EVENT).and_then(|text| text.trim().parse().ok()),
            resumes: text(&dialect.resumes).map(SmolStr::new),
        }
    }

    /// Returns the identifiers of the first parts, comma-separated, for the log.
    pub fn part_ids(parts: &[Part]) -> String {
        const MAX_LOGGED: usize = 16;
        let ids = parts.iter().take(MAX_LOGGED).map(|part| format!("{:x}", part.id));
        ids.collect::<Vec<_>>().join(",")
    }

    /// Returns the last part that other requests may share: the one before the final part, which is specific to the
    /// request. A single part is returned itself.
    pub fn shared_part(&self) -> Option<Part> {
        let last = self.parts.len().checked_sub(1)?;
        Some(self.parts[last.saturating_sub(1)])
    }
}

fn size(text: &str) -> Option<Size> {
    let (prompt, output) = text.split_once(',')?;
    Some(Size {
        prompt: prompt.trim().parse().ok()?,
        output: output.trim().parse().ok()?,
    })
}

fn parts(text: &str) -> Vec<Part> {
    let part = |text: &str| {
        let (id, tokens) = text.trim().split_once(':')?;
        Some(Part {
            id: u64::from_str_radix(id, 16).ok()?,
            tokens: tokens.parse().ok()?,
        })
    };
    text.split(',').map_while(part).collect()
}
