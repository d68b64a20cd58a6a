//! Answers of the protocol in XML.

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

/// Returns whether an error is about the key and not about the bucket, a proxy or anything else.
pub(super) fn is_no_such_key(body: &[u8]) -> bool {
    code(body).as_deref() == Some("NoSuchKey")
}

/// Returns whether the store asks to come back later.
pub(super) fn is_slow_down(body: &[u8]) -> bool {
    code(body).as_deref() == Some("SlowDown")
}

/// Returns the keys of a list that asked for this prefix after this key.
pub(super) fn keys(body: &[u8], prefix: &str, after: Option<&str>) -> Result<Vec<SmolStr>, Error> {
    let page: List = from_reader(body).map_err(|cause| Error::Unknown(cause.to_string()))?;
    let mut keys: Vec<SmolStr> = Vec::with_capacity(page.contents.len());
    for contents in page.contents {
        let last = keys.last().map(SmolStr::as_str).or(after);
        if !contents.key.starts_with(prefix) || last.is_some_and(|last| contents.key.as_str() <= last) {
            return Err(Error::Unknown("a key that was not asked for".into()));
        }
        keys.push(SmolStr::new(contents.key));
    }
    // A caller takes an empty page for the end.
    if keys.is_empty() && page.is_truncated {
        return Err(Error::Unknown("an empty page that is not the last".into()));
    }
    Ok(keys)
}

fn code(body: &[u8]) -> Option<String> {
    from_reader::<_, Failure>(body).ok().map(|failure| failure.code)
}
