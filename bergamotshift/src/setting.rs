//! Checked settings: text from a flag or a variable, turned into a type or into one clear line.

use core::fmt::Display;
use core::str::FromStr;
use core::time::Duration;

use thiserror::Error;

use crate::environment::variable;

/// Says which setting is wrong or missing, by its flag and its variable.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Error {
    /// A setting without a default wasn't given.
    #[error("--{flag} (or {variable}) is missing: {purpose}", variable = variable(flag))]
    Missing {
        /// The flag without its dashes.
        flag: &'static str,
        /// What the setting is for.
        purpose: &'static str,
    },
    /// A setting's text can't be read.
    #[error("--{flag} (or {variable}) is \"{text}\": {cause}", variable = variable(flag))]
    Wrong {
        /// The flag without its dashes.
        flag: &'static str,
        /// What was given.
        text: String,
        /// Why it can't be read.
        cause: String,
    },
}

/// Reads an optional setting.
///
/// # Errors
///
/// Returns [`Error::Wrong`] when the text doesn't parse.
pub fn optional<T>(flag: &'static str, text: Option<&str>) -> Result<Option<T>, Error>
where
    T: FromStr,
    T::Err: Display,
{
    let Some(text) = text else {
        return Ok(None);
    };
    match text.parse() {
        Ok(value) => Ok(Some(value)),
        Err(cause) => Err(wrong(flag, text, &cause)),
    }
}

/// Reads a setting that has a default.
///
/// # Errors
///
/// Returns [`Error::Wrong`] when the text doesn't parse.
pub fn or<T>(flag: &'static str, text: Option<&str>, default: T) -> Result<T, Error>
where
    T: FromStr,
    T::Err: Display,
{
    Ok(optional(flag, text)?.unwrap_or(default))
}

/// Reads a setting that has no default.
///
/// # Errors
///
/// Returns [`Error::Missing`] when it isn't given and [`Error::Wrong`] when the text doesn't parse.
pub fn required<T>(flag: &'static str, text: Option<&str>, purpose: &'static str) -> Result<T, Error>
where
    T: FromStr,
    T::Err: Display,
{
    optional(flag, text)?.ok_or(Error::Missing { flag, purpose })
}

/// Reads a span of time such as `500ms`, `30s` or `2m`.
///
/// # Errors
///
/// Returns [`Error::Wrong`] when the text is no span of time.
pub fn duration(flag: &'static str, text: Option<&str>, default: Duration) -> Result<Duration, Error> {
    let Some(text) = text else {
        return Ok(default);
    };
    humantime::parse_duration(text).map_err(|cause| wrong(flag, text, &cause))
}

/// Reads a list whose items are parted by commas.
///
/// # Errors
///
/// Returns [`Error::Wrong`] for the first item that doesn't parse.
pub fn list<T>(flag: &'static str, text: Option<&str>) -> Result<Vec<T>, Error>
where
    T: FromStr,
    T::Err: Display,
{
    let items = text
        .unwrap_or_default()
        .split(',')
        .map(str::trim)
        .filter(|item| !item.is_empty());
    items
        .map(|item| item.parse().map_err(|cause| wrong(flag, item, &cause)))
        .collect()
}

/// Makes the error for a text that can't be used, with its cause.
pub fn wrong(flag: &'static str, text: &str, cause: &dyn Display) -> Error {
    Error::Wrong {
        flag,
        text: text.to_owned(),
        cause: cause.to_string(),
    }
}
