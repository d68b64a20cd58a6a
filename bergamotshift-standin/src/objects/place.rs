//! The store's objects and operations.

use core::ops::Bound;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use ntex::http::Method;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::body::Body;
use ntex::util::Bytes;
use quick_xml::se::to_string;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_128;

use super::Settings;
use crate::fault::Plan;
use crate::host::Answer;
use crate::host::Call;
use crate::host::Site;
use crate::host::decode;

const MOST_KEYS: usize = 1000;

/// The object store behind its HTTP interface.
#[derive(Debug)]
pub(super) struct Place {
    settings: Settings,
    /// By bucket and key, joined with a slash.
    objects: Mutex<BTreeMap<String, Bytes>>,
}

#[derive(Serialize)]
#[serde(rename = "ListBucketResult", rename_all = "PascalCase")]
struct List {
    is_truncated: bool,
    key_count: usize,
    contents: Vec<Contents>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct Contents {
    key: String,
    size: usize,
}

#[derive(Serialize)]
#[serde(rename = "Error", rename_all = "PascalCase")]
struct Failure {
    code: &'static str,
    message: &'static str,
}

impl Place {
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            settings,
            objects: Mutex::default(),
        }
    }

    pub(super) fn keys(&self) -> Vec<String> {
        self.objects().keys().cloned().collect()
    }

    fn objects(&self) -> MutexGuard<'_, BTreeMap<String, Bytes>> {
        self.objects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn put(&self, name: String, call: &Call) -> Response {
        if self.settings.max_bytes > 0 && call.body.len() > self.settings.max_bytes {
            return failure(StatusCode::BAD_REQUEST, "EntityTooLarge", "the object is too large");
        }
        let mut objects = self.objects();
        let current = objects.get(&name).map(tag);
        let absent_fails = call.header("if-none-match") == Some("*") && current.is_some();
        let match_fails = call
            .header("if-match")
            .is_some_and(|wanted| current.as_deref() != Some(wanted));
        if absent_fails || match_fails {
            return failure(
                StatusCode::PRECONDITION_FAILED,
                "PreconditionFailed",
                "a precondition did not hold",
            );
        }
        let response = Response::build(StatusCode::OK).header("etag", tag(&call.body)).finish();
        objects.insert(name, call.body.clone());
        response
    }

    fn get(&self, name: &str) -> Response {
        match self.objects().get(name) {
            Some(body) => Response::build(StatusCode::OK)
                .header("etag", tag(body))
                .content_type("application/octet-stream")
                .body(Body::from(body.clone())),
            None => failure(StatusCode::NOT_FOUND, "NoSuchKey", "there is no such object"),
        }
    }

    fn list(&self, bucket: &str, call: &Call) -> Response {
        let prefix = decode(call.parameter("prefix").unwrap_or_default());
        let after = decode(call.parameter("start-after").unwrap_or_default());
        let most = call
            .parameter("max-keys")
            .and_then(|text| text.parse().ok())
            .unwrap_or(MOST_KEYS);
        let start = format!("{bucket}/{}", after.as_str().max(prefix.as_str()));
        let objects = self.objects();
        let wanted = format!("{bucket}/{prefix}");
        let mut found = objects
            .range::<str, _>((Bound::Included(start.as_str()), Bound::Unbounded))
            .take_while(|(name, _)| name.starts_with(&wanted))
            .filter(|(name, _)| after.is_empty() || name[bucket.len() + 1..] > *after);
        let contents: Vec<_> = found
            .by_ref()
            .take(most.min(MOST_KEYS))
            .map(|(name, body)| Contents {
                key: name[bucket.len() + 1..].to_owned(),
                size: body.len(),
            })
            .collect();
        let list = List {
            is_truncated: found.next().is_some(),
            key_count: contents.len(),
            contents,
        };
        xml(StatusCode::OK, &list)
    }
}

fn tag(body: &Bytes) -> String {
    format!("\"{:032x}\"", xxh3_128(body))
}

fn failure(status: StatusCode, code: &'static str, message: &'static str) -> Response {
    xml(status, &Failure { code, message })
}

fn xml(status: StatusCode, value: &impl Serialize) -> Response {
    match to_string(value) {
        Ok(text) => Response::build(status).content_type("application/xml").body(text),
        Err(_) => Response::new(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

impl Site for Place {
    fn kind(&self, call: &Call) -> String {
        let list = call.parameter("list-type").is_some();
        if list {
            "LIST".to_owned()
        } else {
            call.method.to_string()
        }
    }

    fn answer(self: Arc<Self>, call: Call, _plan: Plan) -> Answer {
        Box::pin(async move {
            let path = decode(&call.path);
            let name = path.trim_start_matches('/').to_owned();
            let is_object = name.split_once('/').is_some_and(|(_, key)| !key.is_empty());
            match &call.method {
                &Method::GET if !is_object && call.parameter("list-type") == Some("2") => {
                    self.list(name.trim_end_matches('/'), &call)
                }
                _ if !is_object => failure(StatusCode::BAD_REQUEST, "InvalidRequest", "a key is wanted"),
                &Method::PUT => self.put(name, &call),
                &Method::GET | &Method::HEAD => self.get(&name),
                &Method::DELETE => {
                    self.objects().remove(&name);
                    Response::new(StatusCode::NO_CONTENT)
                }
                _ => failure(StatusCode::METHOD_NOT_ALLOWED, "MethodNotAllowed", "not supported"),
            }
        })
    }

    fn refuse(&self) -> Response {
        failure(
            StatusCode::SERVICE_UNAVAILABLE,
            "SlowDown",
            "please reduce your request rate",
        )
    }
}
