//! The deterministic tokens of an engine, and the texts they make.

use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::request::Request;

/// Characters of a token: a space and six hexadecimal digits.
const LENGTH: usize = 7;

/// Returns the digest of a prompt's text.
pub fn digest(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// Returns token `index` of the answer to the prompt with this digest.
pub fn token(digest: u64, index: u32) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), digest);
    format!(" {:06x}", hash & 0x00ff_ffff)
}

/// Returns the first `tokens` tokens that an engine answers to this request body, after what the body resumes.
///
/// Returns `None` when the body is no completion request.
///
/// ```
/// use bergamotshift_standin::engine::text;
///
/// let fresh = serde_json::json!({"model": "m", "prompt": "hello"});
/// let whole = text::expected(&fresh, 4).expect("a completion request");
/// let resumed = serde_json::json!({"model": "m", "prompt": format!("hello{}", &whole[..14])});
/// assert_eq!(text::expected(&resumed, 2).expect("a completion request"), whole[14..]);
/// ```
pub fn expected(body: &Value, tokens: u32) -> Option<String> {
    let request: Request = serde_json::from_value(body.clone()).ok()?;
    let prompt = request.prompt()?;
    Some(
        (prompt.given..prompt.given + tokens)
            .map(|index| token(prompt.digest, index))
            .collect(),
    )
}

/// Splits a text into a prompt and the tokens of its answer that follow, and returns the prompt with their number.
///
/// A text that does not end in tokens of its own beginning is all prompt.
pub(super) fn split(text: &str) -> (&str, u32) {
    let run = text
        .as_bytes()
        .rchunks_exact(LENGTH)
        .take_while(|chunk| is_token(chunk))
        .count();
    for given in (1..=run).rev() {
        // Every chunk of the run is ASCII, so the split lies between characters.
        let (prompt, tail) = text.split_at(text.len() - given * LENGTH);
        if continues(prompt, tail) {
            return (prompt, given as u32);
        }
    }
    (text, 0)
}

/// Returns the number of tokens in `tail`, when it is the beginning of the answer to `prompt`.
pub(super) fn count(prompt: &str, tail: &str) -> Option<u32> {
    (tail.len().is_multiple_of(LENGTH) && continues(prompt, tail)).then_some((tail.len() / LENGTH) as u32)
}

fn continues(prompt: &str, tail: &str) -> bool {
    let digest = digest(prompt);
    tail.as_bytes()
        .chunks(LENGTH)
        .enumerate()
        .all(|(index, chunk)| chunk == token(digest, index as u32).as_bytes())
}

fn is_token(chunk: &[u8]) -> bool {
    chunk.first() == Some(&b' ') && chunk[1..].iter().all(u8::is_ascii_hexdigit)
}
