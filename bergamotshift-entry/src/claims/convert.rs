//! Answers of endpoints as they are kept, and back.

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

/// Returns an answer as it is kept.
pub fn from_whole(whole: &Whole) -> Answer {
    let header = |(name, value): (&HeaderName, &HeaderValue)| answer::Header {
        name: name.as_str().into(),
        value: value.as_bytes().to_vec(),
    };
    Answer {
        status: whole.status.as_u16(),
        headers: whole.headers.iter().map(header).collect(),
        body: Body::Inline(whole.body.to_vec()),
    }
}

/// Returns a kept answer as the caller gets it.
///
/// # Errors
///
/// Returns an error when its body was not kept or cannot be fetched.
pub async fn to_whole(answer: Answer, store: &Store) -> Result<Whole, Error> {
    let body = match answer.body {
        Body::Inline(bytes) => Bytes::from(bytes),
        Body::Object { key, .. } => store.fetch(key).await.ok_or(Error::AnswerAway)?,
        Body::Dropped => return Err(Error::AnswerAway),
    };
    let mut headers = HeaderMap::new();
    for header in answer.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    Ok(Whole {
        status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK),
        headers,
        body,
    })
}
