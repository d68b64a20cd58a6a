//! Who is calling: bearer keys of organisations.

use bergamotshift_config::config::Config;
use bergamotshift_config::config::Organisation;
use ntex::http::HeaderMap;
use ntex::http::header;
use thiserror::Error;

/// Why a caller is not let in.
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

/// Finds the organisation whose key a request carries.
///
/// # Errors
///
/// Returns an error when there is no key, or one that no organisation has.
pub fn organisation<'a>(config: &'a Config, headers: &HeaderMap) -> Result<&'a Organisation, Error> {
    let value = headers.get(header::AUTHORIZATION).ok_or(Error::Missing)?;
    let token = value.to_str().ok().and_then(bearer).ok_or(Error::Missing)?;
    config.organisation_by_token(token).ok_or(Error::Unknown)
}

fn bearer(value: &str) -> Option<&str> {
    let (scheme, token) = value.split_once(' ')?;
    let token = token.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !token.is_empty()).then_some(token)
}
