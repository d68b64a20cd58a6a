//! The headers that callers and endpoints use.
//!
//! The formats are fixed and simple: decimal numbers, `a,b` pairs and `ID:TOKENS` lists. The names vary between
//! platforms, so they are data. The defaults are this product's own names.

mod metadata;
mod notice;

use core::net::SocketAddr;
use core::time::Duration;

use bergamotshift_core::name;
use ntex::http::HeaderMap;
use ntex::http::header;
use ntex::http::header::HeaderName;
use smol_str::SmolStr;

pub use self::metadata::Metadata;
pub use self::metadata::Part;
pub use self::metadata::Size;
pub use self::notice::Notice;
use crate::endpoint::Endpoint;

/// The header names and the key scheme that callers and endpoints use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dialect {
    /// The identifier of a caller's attempt; endpoints echo it.
    pub request: HeaderName,
    /// The identifier of the attempt that brought a stream's first event, from a caller that takes the stream up.
    pub resumes: HeaderName,
    /// The time for which the sender still waits, in milliseconds.
    pub time_left: HeaderName,
    /// The authentication scheme before the key in `Authorization`.
    pub key_scheme: SmolStr,
    /// The name of the organisation, sent to endpoints.
    pub organisation: HeaderName,
    /// The endpoint incarnation that may run the request; others reject it without running it.
    pub expected: HeaderName,
    /// The endpoint incarnation that responds.
    pub incarnation: HeaderName,
    /// The flag of a response whose request did not run and will not run.
    pub not_run: HeaderName,
    /// The flag of a response that an endpoint itself created.
    pub seal: HeaderName,
    /// An endpoint's load: running, waiting and slots, and with some services its pace, comma-separated.
    pub load: HeaderName,
    /// An endpoint's rate limit for requests from all entries together, in requests per second as a decimal number.
    pub rate: HeaderName,
    /// The flag of a response of an endpoint that is leaving.
    pub leaving: HeaderName,
    /// The number of rejections per second for want of room, to all entries together, beyond which an endpoint fails.
    pub tolerance: HeaderName,
    /// The number of tokens of the prompt and the maximum number to generate, comma-separated.
    pub size: HeaderName,
    /// The parts of the prompt in order, as comma-separated `ID:TOKENS` with hexadecimal identifiers.
    pub prompt: HeaderName,
    /// The priority of a request at endpoints, from 0 (first) to 9 (last).
    pub urgency: HeaderName,
    /// The address of another endpoint that has parts of the prompt in its cache.
    pub source: HeaderName,
    /// Further headers that only the system may send to endpoints.
    pub reserved: Vec<HeaderName>,
}

impl Default for Dialect {
    fn default() -> Self {
        const fn header_name(name: &'static str) -> HeaderName {
            HeaderName::from_static(name)
        }
        Self {
            request: header_name("bergamotshift-request"),
            resumes: header_name("bergamotshift-resumes"),
            time_left: header_name("bergamotshift-deadline-ms"),
            key_scheme: SmolStr::new_static("Bearer"),
            organisation: header_name("bergamotshift-organisation"),
            expected: header_name("bergamotshift-expected"),
            incarnation: header_name("bergamotshift-incarnation"),
            not_run: header_name("bergamotshift-not-run"),
            seal: header_name("bergamotshift-seal"),
            load: header_name("bergamotshift-load"),
            rate: header_name("bergamotshift-limit"),
            leaving: header_name("bergamotshift-leaving"),
            tolerance: header_name("bergamotshift-tolerance"),
            size: header_name("bergamotshift-size"),
            prompt: header_name("bergamotshift-prompt"),
            urgency: header_name("bergamotshift-priority"),
            source: header_name("bergamotshift-source"),
            reserved: Vec::new(),
        }
    }
}

/// An endpoint's load, from a header of one of its responses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// The number of running requests.
    pub running: u32,
    /// The number of requests that wait for a slot.
    pub waiting: u32,
    /// The number of slots for running requests.
    pub slots: u32,
    /// The time that work currently takes there, in percent of the usual time, as it was stated; not a number if it is
    /// none, and `None` if it was not stated.
    pub pace: Option<f64>,
}

/// The metadata of a request that the system itself sends to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Envelope<'a> {
    /// The endpoint incarnation that may run the request.
    pub expected: &'a str,
    /// The organisation of the caller, if authenticated by a key.
    pub organisation: Option<&'a name::Organisation>,
    /// The time for which this entry still waits for the response, in milliseconds.
    pub time_left: u64,
    /// The priority, from 0 (first) to 9 (last); `None` for the endpoint's default.
    pub urgency: Option<u8>,
    /// The other endpoint from which this one can fetch cached parts of the prompt.
    pub source: Option<SocketAddr>,
    /// The number of the last event that the caller received, if later than in the caller's own header.
    pub last_event: Option<u64>,
}

/// The standard header of a request that resumes an event stream, with the last event that the client received.
pub const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");

impl Dialect {
    /// Returns the key in the headers of a caller's request.
    pub fn key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        let text = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
        let (scheme, key) = text.split_once(' ')?;
        scheme
            .eq_ignore_ascii_case(&self.key_scheme)
            .then_some(key.trim_ascii())
            .filter(|key| !key.is_empty())
    }

    /// Returns the headers to send to an endpoint with a request.
    ///
    /// The caller's key and all headers that only the system may set are removed.
    pub fn towards_endpoint(&self, headers: &HeaderMap, envelope: &Envelope<'_>) -> HeaderMap {
        let mut forwarded = bergamotshift_endpoint::header::towards_endpoint(headers);
        // The library drops hop-by-hop and framing headers, as the framing is written anew for each connection.
        let system = [
            &self.expected,
            &self.organisation,
            &self.time_left,
            &self.urgency,
            &self.source,
        ];
        for name in system.into_iter().chain(&self.reserved) {
            forwarded.remove(name);
        }
        set(&mut forwarded, &self.expected, envelope.expected);
        set(&mut forwarded, &self.time_left, &envelope.time_left.to_string());
        if let Some(organisation) = envelope.organisation {
            set(&mut forwarded, &self.organisation, organisation.as_str());
        }
        if let Some(urgency) = envelope.urgency {
            set(&mut forwarded, &self.urgency, &urgency.to_string());
        }
        if let Some(source) = envelope.source {
            set(&mut forwarded, &self.source, &source.to_string());
        }
        if let Some(last_event) = envelope.last_event {
            set(&mut forwarded, &LAST_EVENT, &last_event.to_string());
        }
        forwarded
    }

    /// Returns the headers of a health check of an endpoint, which another incarnation at its address rejects.
    pub fn health_check(&self, endpoint: &Endpoint, time_left: Duration) -> HeaderMap {
        let mut headers = HeaderMap::new();
        let registration = &endpoint.registration;
        set(&mut headers, &header::HOST, &registration.address.to_string());
        set(&mut headers, &self.expected, &registration.id);
        set(&mut headers, &self.time_left, &time_left.as_millis().to_string());
        headers
    }

    /// Returns whether a response echoes the identifier `id` of the request.
    pub fn echoes(&self, headers: &HeaderMap, id: &str) -> bool {
        headers
            .get(&self.request)
            .is_some_and(|value| value.as_bytes() == id.as_bytes())
    }

    /// Returns whether a response states that its request did not run.
    pub fn says_not_run(&self, headers: &HeaderMap) -> bool {
        headers.contains_key(&self.not_run)
    }

    /// Returns whether an endpoint itself created the response.
    pub fn is_sealed(&self, headers: &HeaderMap) -> bool {
        headers.contains_key(&self.seal)
    }

    /// Returns the load in the headers of a response.
    pub fn load(&self, headers: &HeaderMap) -> Option<Load> {
        let text = headers.get(&self.load)?.to_str().ok()?;
        let mut figures = text.split(',').map(str::trim);
        let mut number = || figures.next()?.parse().ok();
        Some(Load {
            running: number()?,
            waiting: number()?,
            slots: number()?,
            pace: figures.next().map(|pace| pace.parse().unwrap_or(f64::NAN)),
        })
    }
}

/// Sets a header, unless the text is not a valid header value.
fn set(headers: &mut HeaderMap, name: &HeaderName, text: &str) {
    if let Ok(value) = header::HeaderValue::from_str(text) {
        headers.insert(name.clone(), value);
    }
}
