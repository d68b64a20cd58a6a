//! Whether an answer is that of its request, worked out anew from the request alone.

use bergamotshift_core::fingerprint::Fingerprint;
use bergamotshift_standin::engine::text;
use serde::Deserialize;

use crate::work::Kind;
use crate::work::Request;

/// What a plain stand-in answers.
#[derive(Debug)]
#[derive(Deserialize)]
struct Echo {
    service: String,
    method: String,
    path: String,
    key: Option<String>,
    digest: String,
}

/// Checks a generated text token by token against the tokens that the request's prompt decides.
///
/// # Errors
///
/// Returns where the text departs from the expected one.
pub fn content(request: &Request, generated: &str) -> Result<(), String> {
    let body = serde_json::from_slice(&request.body).map_err(|cause| cause.to_string())?;
    let expected = text::expected(&body, request.max_tokens).ok_or("the request is no completion")?;
    if generated == expected {
        return Ok(());
    }
    let alike = generated
        .bytes()
        .zip(expected.bytes())
        .take_while(|(left, right)| left == right)
        .count();
    Err(format!(
        "the text departs from the expected one at byte {alike}: {} of {} bytes, {:?} in place of {:?}",
        generated.len(),
        expected.len(),
        generated.get(alike..).map_or("", head),
        expected.get(alike..).map_or("", head),
    ))
}

/// Checks a plain stand-in's answer against the request.
///
/// # Errors
///
/// Returns the field that is another's.
pub fn echo(request: &Request, answer: &[u8]) -> Result<(), String> {
    let echo: Echo = serde_json::from_slice(answer).map_err(|cause| format!("the echo is broken: {cause}"))?;
    let path = request.path.split('?').next().unwrap_or_default();
    let method = if request.kind == Kind::Get { "GET" } else { "POST" };
    let digest = Fingerprint::of(&echo.service, method, path, &request.body);
    let digest = format!("{:032x}", digest.get());
    let fields = [
        ("method", method, echo.method.as_str()),
        ("path", path, echo.path.as_str()),
        ("key", request.key.as_str(), echo.key.as_deref().unwrap_or_default()),
        ("digest", digest.as_str(), echo.digest.as_str()),
    ];
    match fields.iter().find(|(_, asked, answered)| asked != answered) {
        None => Ok(()),
        Some((field, asked, answered)) => Err(format!("{field}: asked {asked:?}, answered {answered:?}")),
    }
}

fn head(text: &str) -> &str {
    const SHOWN: usize = 16;
    text.get(..SHOWN).unwrap_or(text)
}
