//! Object store over the S3 protocol, with path-style URLs.

mod answer;
#[cfg(test)]
mod tests;

use bytes::Bytes;
use ntex::client::ClientRequest;
use ntex::http::Method;
use ntex::http::StatusCode;
use ntex::http::header;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::utf8_percent_encode;
use smol_str::SmolStr;

use super::ESCAPED;
use super::client::Answer;
use super::client::Client;
use crate::Error;
use crate::Future;
use crate::objects::Object;
use crate::objects::Precondition;

/// Settings of the object adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the bucket.
    pub bucket: SmolStr,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            bucket: SmolStr::new_static("bergamotshift"),
        }
    }
}

/// Object store over the S3 protocol.
#[derive(Debug)]
pub struct Objects {
    client: Client,
    settings: Settings,
}

impl Objects {
    /// Creates the adapter from a client.
    pub const fn new(client: Client, settings: Settings) -> Self {
        Self { client, settings }
    }

    fn request(&self, method: Method, key: &str) -> ClientRequest {
        let key = utf8_percent_encode(key, ESCAPED);
        self.client.request(method, &format!("/{}/{key}", self.settings.bucket))
    }

    async fn get(&self, key: SmolStr) -> Result<Option<Object>, Error> {
        let answer = self.client.send(self.request(Method::GET, &key), Bytes::new()).await?;
        match answer.status {
            StatusCode::OK => Ok(Some(Object {
                tag: tag(&answer)?,
                body: answer.body,
            })),
            StatusCode::NOT_FOUND if answer::is_no_such_key(&answer.body) => Ok(None),
            _ => Err(error(&answer)),
        }
    }

    async fn put(&self, key: SmolStr, body: Bytes, precondition: Precondition) -> Result<SmolStr, Error> {
        let request = self.request(Method::PUT, &key).content_type("application/octet-stream");
        let request = match &precondition {
            Precondition::None => request,
            Precondition::Absent => request.header(header::IF_NONE_MATCH, "*"),
            Precondition::Match(tag) => request.header(header::IF_MATCH, tag.as_str()),
        };
        let answer = self.client.send(request, body).await?;
        if answer.status == StatusCode::OK {
            tag(&answer)
        } else {
            Err(error(&answer))
        }
    }

    async fn delete(&self, key: SmolStr) -> Result<(), Error> {
        let answer = self
            .client
            .send(self.request(Method::DELETE, &key), Bytes::new())
            .await?;
        match answer.status {
            StatusCode::NO_CONTENT | StatusCode::OK => Ok(()),
            StatusCode::NOT_FOUND if answer::is_no_such_key(&answer.body) => Ok(()),
            _ => Err(error(&answer)),
        }
    }

    async fn list(&self, prefix: SmolStr, after: Option<SmolStr>, limit: u32) -> Result<Vec<SmolStr>, Error> {
        let escape = |text: &str| utf8_percent_encode(text, NON_ALPHANUMERIC).to_string();
        let mut path = format!(
            "/{}?list-type=2&max-keys={limit}&prefix={}",
            self.settings.bucket,
            escape(&prefix)
        );
        if let Some(after) = &after {
            path.push_str("&start-after=");
            path.push_str(&escape(after));
        }
        let answer = self
            .client
            .send(self.client.request(Method::GET, &path), Bytes::new())
            .await?;
        if answer.status != StatusCode::OK {
            return Err(error(&answer));
        }
        answer::keys(&answer.body, &prefix, after.as_deref())
    }
}

/// Returns the `ETag` of an answer.
fn tag(answer: &Answer) -> Result<SmolStr, Error> {
    let tag = answer.headers.get(header::ETAG).and_then(|tag| tag.to_str().ok());
    tag.map(SmolStr::new)
        .ok_or_else(|| Error::Unknown("the answer has no ETag header".into()))
}

/// Converts an unsuccessful answer into an error.
fn error(answer: &Answer) -> Error {
    // Unlike other server errors, SlowDown is returned before the call takes effect.
    if answer.status == StatusCode::SERVICE_UNAVAILABLE && answer::is_slow_down(&answer.body) {
        return Error::Throttled { retry_after: None };
    }
    answer.error()
}

impl crate::objects::Objects for Objects {
    fn get(&self, key: SmolStr) -> Future<'_, Result<Option<Object>, Error>> {
        Box::pin(self.get(key))
    }

    fn put(&self, key: SmolStr, body: Bytes, precondition: Precondition) -> Future<'_, Result<SmolStr, Error>> {
        Box::pin(self.put(key, body, precondition))
    }

    fn delete(&self, key: SmolStr) -> Future<'_, Result<(), Error>> {
        Box::pin(self.delete(key))
    }

    fn list(&self, prefix: SmolStr, after: Option<SmolStr>, limit: u32) -> Future<'_, Result<Vec<SmolStr>, Error>> {
        Box::pin(self.list(prefix, after, limit))
    }
}
