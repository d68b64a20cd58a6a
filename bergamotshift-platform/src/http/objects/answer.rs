//! XML answers of the S3 protocol.

use quick_xml::de::from_reader;
use serde::Deserialize;
use smol_str::SmolStr;

use crate::Error;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Failure {
    code: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct List {
    is_truncated: bool,
    #[serde(default)]
    contents: Vec<Contents>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Contents {
    key: String,
}

/// Returns whether an error body says that the key does not exist, as opposed to the bucket or an error of a proxy.
pub(super) fn is_no_such_key(body: &[u8]) -> bool {
    error_code(body).as_deref() == Some("NoSuchKey")
}

/// Returns whether an error body says that the rate limit of the store is reached.
pub(super) fn is_slow_down(body: &[u8]) -> bool {
    error_code(body).as_deref() == Some("SlowDown")
}

/// Returns the keys of a list answer, checked against the requested prefix and start key.
pub(super) fn keys(body: &[u8], prefix: &str, after: Option<&str>) -> Result<Vec<SmolStr>, Error> {
    let page: List = from_reader(body).map_err(|cause| Error::Unknown(cause.to_string()))?;
    let mut keys: Vec<SmolStr> = Vec::with_capacity(page.contents.len());
    for contents in page.contents {
        let last = keys.last().map(SmolStr::as_str).or(after);
        if !contents.key.starts_with(prefix) || last.is_some_and(|last| contents.key.as_str() <= last) {
            return Err(Error::Unknown(
                "the list contains a key that was not requested or is out of order".into(),
            ));
        }
        keys.push(SmolStr::new(contents.key));
    }
    // Callers take an empty page for the end of the list.
    if keys.is_empty() && page.is_truncated {
        return Err(Error::Unknown("the list is truncated but contains no keys".into()));
    }
    Ok(keys)
}

fn error_code(body: &[u8]) -> Option<String> {
    from_reader::<_, Failure>(body).ok().map(|failure| failure.code)
}
