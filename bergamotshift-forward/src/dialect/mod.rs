//! How callers and endpoints name what the request path needs to know.
//!
//! The formats are fixed and small: decimal numbers, `a,b` pairs and `ID:TOKENS` lists. The header names vary from one
//! platform to the next, so they are data. The defaults are this product's own.

mod metadata;
mod notice;

use core::net::SocketAddr;

use bergamotshift_core::name;
use ntex::http::HeaderMap;
use ntex::http::header;
use ntex::http::header::HeaderName;
use smol_str::SmolStr;

pub use self::metadata::Metadata;
pub use self::metadata::Part;
pub use self::metadata::Size;
pub use self::notice::Notice;

/// The header names and the key scheme that callers and endpoints use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dialect {
    /// Identifies a caller's attempt; endpoints echo it.
    pub request: HeaderName,
    /// How long the sender still waits, in milliseconds.
    pub time_left: HeaderName,
    /// The scheme before the key in `Authorization`.
    pub key_scheme: SmolStr,
    /// The organisation's name, set towards endpoints.
    pub organisation: HeaderName,
    /// The one endpoint incarnation that may run the request; others refuse it unrun.
    pub expected: HeaderName,
    /// The endpoint incarnation that answers.
    pub incarnation: HeaderName,
    /// Marks an answer whose request did not run and will not.
    pub not_run: HeaderName,
    /// Marks an answer that an endpoint made.
    pub seal: HeaderName,
    /// An endpoint's load: running, waiting and slots, comma-separated.
    pub load: HeaderName,
    /// The requests a second that an endpoint takes from all entries together, as a decimal number.
    pub rate: HeaderName,
    /// Marks an answer of an endpoint that leaves.
    pub leaving: HeaderName,
    /// The prompt's tokens and the most tokens to generate, comma-separated.
    pub size: HeaderName,
    /// The prompt's parts in order, as comma-separated `ID:TOKENS` with hexadecimal identifiers.
    pub prompt: HeaderName,
    /// How urgent a request is towards endpoints, 0 first and 9 last.
    pub urgency: HeaderName,
    /// The address of another endpoint that holds parts of the prompt in its cache.
    pub source: HeaderName,
    /// Headers that only the system may set towards endpoints.
    pub reserved: Vec<HeaderName>,
}

impl Default for Dialect {
    fn default() -> Self {
        const fn own(name: &'static str) -> HeaderName {
            HeaderName::from_static(name)
        }
        Self {
            request: own("bergamotshift-request"),
            time_left: own("bergamotshift-deadline-ms"),
            key_scheme: SmolStr::new_static("Bearer"),
            organisation: own("bergamotshift-organisation"),
            expected: own("bergamotshift-expected"),
            incarnation: own("bergamotshift-incarnation"),
            not_run: own("bergamotshift-not-run"),
            seal: own("bergamotshift-seal"),
            load: own("bergamotshift-load"),
            rate: own("bergamotshift-limit"),
            leaving: own("bergamotshift-leaving"),
            size: own("bergamotshift-size"),
            prompt: own("bergamotshift-prompt"),
            urgency: own("bergamotshift-priority"),
            source: own("bergamotshift-source"),
            reserved: Vec::new(),
        }
    }
}

/// An endpoint's load as one of its answers tells it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Places for running requests.
    pub slots: u32,
}

/// What the system tells an endpoint about a request beside the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct Envelope<'a> {
    /// The incarnation that may run it.
    pub expected: &'a str,
    /// Whose request it is, when a key proved that.
    pub organisation: Option<&'a name::Organisation>,
    /// How long the answer is still waited for, in milliseconds.
    pub time_left: u64,
    /// How urgent it is, 0 first and 9 last; `None` leaves the endpoint's default.
    pub urgency: Option<u8>,
    /// Another endpoint, from which the endpoint gets cached parts of the prompt.
    pub source: Option<SocketAddr>,
    /// The last event that the caller has, when that is later than what the caller's own header says.
    pub last_event: Option<u64>,
}

/// The standard header by which an event stream goes on after an event.
pub const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");

impl Dialect {
    /// Returns the key that a caller shows.
    pub fn key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        let text = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
        let (scheme, key) = text.split_once(' ')?;
        scheme
            .eq_ignore_ascii_case(&self.key_scheme)
            .then_some(key.trim_ascii())
            .filter(|key| !key.is_empty())
    }

    /// Returns the headers of a request on its way to an endpoint.
    ///
    /// The caller's key and whatever only the system may say are taken off.
    pub fn towards_endpoint(&self, headers: &HeaderMap, envelope: &Envelope<'_>) -> HeaderMap {
        let mut kept = bergamotshift_endpoint::header::towards_endpoint(headers);
        // The library keeps the framing of its own; this one is written anew for each connection.
        let own = [
            &self.expected,
            &self.organisation,
            &self.time_left,
            &self.urgency,
            &self.source,
        ];
        for name in own.into_iter().chain(&self.reserved) {
            kept.remove(name);
        }
        set(&mut kept, &self.expected, envelope.expected);
        set(&mut kept, &self.time_left, &envelope.time_left.to_string());
        if let Some(organisation) = envelope.organisation {
            set(&mut kept, &self.organisation, organisation.as_str());
        }
        if let Some(urgency) = envelope.urgency {
            set(&mut kept, &self.urgency, &urgency.to_string());
        }
        if let Some(source) = envelope.source {
            set(&mut kept, &self.source, &source.to_string());
        }
        if let Some(last) = envelope.last_event {
            set(&mut kept, &LAST_EVENT, &last.to_string());
        }
        kept
    }

    /// Returns whether an answer belongs to the request `id`.
    pub fn echoes(&self, headers: &HeaderMap, id: &str) -> bool {
        headers
            .get(&self.request)
            .is_some_and(|value| value.as_bytes() == id.as_bytes())
    }

    /// Returns whether an answer proves that its request did not run.
    pub fn says_not_run(&self, headers: &HeaderMap) -> bool {
        headers.contains_key(&self.not_run)
    }

    /// Returns whether an endpoint made the answer.
    pub fn is_sealed(&self, headers: &HeaderMap) -> bool {
        headers.contains_key(&self.seal)
    }

    /// Returns the load that an answer tells.
    pub fn load(&self, headers: &HeaderMap) -> Option<Load> {
        let text = headers.get(&self.load)?.to_str().ok()?;
        let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
        Some(Load {
            running: numbers.next()??,
            waiting: numbers.next()??,
            slots: numbers.next()??,
        })
    }
}

fn set(headers: &mut HeaderMap, name: &HeaderName, text: &str) {
    if let Ok(value) = header::HeaderValue::from_str(text) {
        headers.insert(name.clone(), value);
    }
}
