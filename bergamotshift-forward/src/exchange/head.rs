//! Heads of requests and responses.

use core::fmt::Write;

use ntex::http::HeaderMap;
use ntex::http::Method;
use ntex::http::StatusCode;
use ntex::http::header;
use ntex::http::header::HeaderName;
use ntex::http::header::HeaderValue;

use super::body::Framing;
use super::failure::Failure;

/// Maximum number of header fields of a response.
const MAX_FIELDS: usize = 64;

/// Maximum HTTP status; the library takes any number of three digits from 100.
const MAX_STATUS: u16 = 599;

/// Head of a response.
#[derive(Clone, Debug)]
pub struct Head {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Framing of the body that follows.
    pub framing: Framing,
    /// Whether the endpoint keeps the connection open after the response.
    pub keep_alive: bool,
}

/// Encodes the head and body of a request.
pub fn encode(method: &Method, path: &str, headers: &HeaderMap, body: &[u8]) -> Vec<u8> {
    let mut bytes = encode_head(method, path, headers, body.len());
    bytes.extend_from_slice(body);
    bytes
}

/// Encodes the head of a request whose body has `length` bytes.
pub fn encode_head(method: &Method, path: &str, headers: &HeaderMap, length: usize) -> Vec<u8> {
    const TYPICAL_HEAD: usize = 768;
    let mut text = String::with_capacity(TYPICAL_HEAD);
    // Writing to a string never fails.
    let _ = write!(text, "{method} {path} HTTP/1.1\r\n");
    let mut bytes = text.into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    let bodiless = matches!(*method, Method::GET | Method::HEAD | Method::DELETE) && length == 0;
    if !bodiless {
        bytes.extend_from_slice(format!("content-length: {length}\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}

impl Head {
    /// Parses the head of a response; returns it with its length, or `None` when more bytes are needed.
    pub(super) fn parse(bytes: &[u8], method: &Method) -> Result<Option<(Self, usize)>, Failure> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut fields);
        let length = match response.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Failure::Malformed("its head is not valid HTTP")),
        };
        let status = response.code.filter(|code| *code <= MAX_STATUS);
        let status = status.and_then(|code| StatusCode::from_u16(code).ok());
        let status = status.filter(|status| *status != StatusCode::SWITCHING_PROTOCOLS);
        let status = status.ok_or(Failure::Malformed("its status is invalid"))?;
        let mut headers = HeaderMap::with_capacity(response.headers.len());
        for field in response.headers.iter() {
            let name =
                HeaderName::try_from(field.name).map_err(|_invalid| Failure::Malformed("a header name is invalid"))?;
            let value = HeaderValue::from_bytes(field.value);
            let value = value.map_err(|_invalid| Failure::Malformed("a header value is invalid"))?;
            headers.append(name, value);
        }
        let framing = Framing::from_head(status, &headers, method)?;
        let keep_alive = is_persistent(response.version == Some(1), &headers) && framing.is_framed();
        let head = Self {
            status,
            headers,
            framing,
            keep_alive,
        };
        Ok(Some((head, length)))
    }

    /// Returns whether the response is an event stream.
    pub fn is_event_stream(&self) -> bool {
        let kind = self.headers.get(header::CONTENT_TYPE).map(HeaderValue::as_bytes);
        kind.is_some_and(|kind| kind.starts_with(b"text/event-stream"))
    }
}

/// Returns whether the connection stays open after a response, by its HTTP version and headers.
fn is_persistent(is_http_1_1: bool, headers: &HeaderMap) -> bool {
    let options = headers.get_all(header::CONNECTION);
    let mut options = options
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','));
    if is_http_1_1 {
        !options.any(|option| option.trim().eq_ignore_ascii_case("close"))
    } else {
        options.any(|option| option.trim().eq_ignore_ascii_case("keep-alive"))
    }
}
