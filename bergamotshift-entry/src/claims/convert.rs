//! Conversion between answers of endpoints and their stored form.

use bergamotshift_claim::answer;
use bergamotshift_claim::answer::Answer;
use bergamotshift_claim::answer::Body;
use ntex::http::HeaderMap;
use ntex::http::StatusCode;
use ntex::http::header::HeaderName;
use ntex::http::header::HeaderValue;
use ntex::util::Bytes;

use super::Error;
use super::Store;
use crate::exchange::whole::Whole;

/// Converts an answer to its stored form.
pub fn from_whole(whole: &Whole) -> Answer {
    Answer {
        status: whole.status.as_u16(),
        headers: from_headers(&whole.headers),
        body: Body::Inline(whole.body.to_vec()),
    }
}

/// Converts a stored answer to the one that the caller receives; fetches its body if it is in the object store.
///
/// # Errors
///
/// Returns [`Error::AnswerUnavailable`] if the body was not stored or cannot be fetched.
pub async fn to_whole(answer: Answer, store: &Store) -> Result<Whole, Error> {
    let body = match answer.body {
        Body::Inline(bytes) => Bytes::from(bytes),
        Body::Object { key, .. } => store.get_object(key).await.ok_or(Error::AnswerUnavailable)?,
        Body::Dropped => return Err(Error::AnswerUnavailable),
    };
    Ok(Whole {
        status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK),
        headers: to_headers(&answer.headers),
        body,
    })
}

/// Converts headers to their stored form.
pub fn from_headers(headers: &HeaderMap) -> Vec<answer::Header> {
    let header = |(name, value): (&HeaderName, &HeaderValue)| answer::Header {
        name: name.as_str().into(),
        value: value.as_bytes().to_vec(),
    };
    headers.iter().map(header).collect()
}

/// Converts stored headers back; headers that are not valid are left out.
pub fn to_headers(stored: &[answer::Header]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for header in stored {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}
