//! Authentication of callers by the bearer keys of organisations.

use bergamotshift_config::config::Config;
use bergamotshift_config::config::Organisation;
use ntex::http::HeaderMap;
use ntex::http::header;
use thiserror::Error;

/// Reason for which a caller is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Error {
    /// The request carries no bearer key.
    #[error("no key: send `Authorization: Bearer KEY`")]
    Missing,
    /// No organisation has this key.
    #[error("the key belongs to no organisation")]
    Unknown,
}

/// Returns the organisation to which the bearer key of a request belongs.
///
/// # Errors
///
/// Returns an error if the key is missing or belongs to no organisation.
pub fn organisation<'a>(config: &'a Config, headers: &HeaderMap) -> Result<&'a Organisation, Error> {
    let value = headers.get(header::AUTHORIZATION).ok_or(Error::Missing)?;
    let token = value.to_str().ok().and_then(bearer).ok_or(Error::Missing)?;
    config.organisation_by_token(token).ok_or(Error::Unknown)
}

/// Returns the token of an `Authorization` header with the scheme `Bearer`.
fn bearer(value: &str) -> Option<&str> {
    let (scheme, token) = value.split_once(' ')?;
    let token = token.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !token.is_empty()).then_some(token)
}
