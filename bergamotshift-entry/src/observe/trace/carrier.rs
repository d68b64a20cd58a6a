//! The headers that carry a trace from hop to hop.

use ntex::http::HeaderMap;
use ntex::http::header::HeaderName;
use ntex::http::header::HeaderValue;
use opentelemetry::propagation::Extractor;
use opentelemetry::propagation::Injector;

/// The headers of W3C Trace Context.
const FIELDS: [&str; 2] = ["traceparent", "tracestate"];

/// Headers that a trace is read from.
#[derive(Debug)]
pub(super) struct Headers<'a>(pub(super) &'a HeaderMap);

impl Extractor for Headers<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).and_then(|value| value.to_str().ok())
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(HeaderName::as_str).collect()
    }
}

/// Headers that a trace is written to.
#[derive(Debug)]
pub(super) struct Carrier<'a>(&'a mut HeaderMap);

impl<'a> Carrier<'a> {
    /// Takes headers and removes the trace that they carry.
    pub(super) fn new(headers: &'a mut HeaderMap) -> Self {
        for field in FIELDS {
            headers.remove(field);
        }
        Self(headers)
    }
}

impl Injector for Carrier<'_> {
    fn set(&mut self, key: &str, value: String) {
        let Some(field) = FIELDS.into_iter().find(|field| *field == key) else {
            return;
        };
        if !value.is_empty()
            && let Ok(value) = HeaderValue::from_str(&value)
        {
            self.0.insert(HeaderName::from_static(field), value);
        }
    }
}
