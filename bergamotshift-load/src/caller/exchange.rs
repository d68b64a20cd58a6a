//! One sending of a request, through all the entries it is taken to.

use core::net::SocketAddr;
use core::time::Duration;
use std::time::Instant;

use bergamotshift_core::outcome::Outcome;
use bytes::Bytes;
use ntex::client::ClientResponse;
use ntex::http::HeaderMap;
use smol_str::SmolStr;

use super::Manners;
use crate::ledger::Fate;
use crate::ledger::Sending;

const FIRST_PAUSE: Duration = Duration::from_millis(20);
const MAX_PAUSE: Duration = Duration::from_millis(500);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// What is known so far.
#[derive(Debug, Default)]
pub(crate) struct Exchange {
    pub(crate) accepted: bool,
    pub(crate) fate: Fate,
    pub(crate) detail: String,
    pub(crate) sendings: Vec<Sending>,
    pub(crate) first_token: Option<Instant>,
    pub(crate) tokens: u32,
    /// The body, or the text that a model generated.
    pub(crate) answer: Bytes,
    returns: u32,
}

/// Whether the caller goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    /// It asks the next entry after a pause.
    Again(Duration),
    /// It has given up, or got its answer.
    Done,
}

impl Exchange {
    /// Notes an answer's head.
    pub(crate) fn answered(&mut self, entry: SocketAddr, response: &ClientResponse) {
        let headers = response.headers();
        self.sendings.push(Sending {
            entry,
            status: Some(response.status().as_u16()),
            outcome: outcome(headers),
            request_id: header(headers, "x-bergamotshift-request-id")
                .map(SmolStr::new)
                .unwrap_or_default(),
            broken: None,
        });
        self.accepted |= response.status().is_success();
    }

    /// Notes that no answer's head came.
    pub(crate) fn unanswered(&mut self, entry: SocketAddr, cause: &str) {
        self.sendings.push(Sending {
            entry,
            status: None,
            outcome: None,
            request_id: SmolStr::default(),
            broken: Some(cause.to_owned()),
        });
    }

    /// Notes that an answer which had begun broke off.
    pub(crate) fn broke(&mut self, cause: &str) {
        if let Some(sending) = self.sendings.last_mut() {
            sending.broken = Some(cause.to_owned());
        }
    }

    /// Notes the whole answer.
    pub(crate) fn finish(&mut self, answer: Bytes) -> Turn {
        self.fate = Fate::Whole;
        self.answer = answer;
        Turn::Done
    }

    /// Decides after a broken connection: another entry, until the deadline.
    pub(crate) fn after_break(&mut self, deadline: Instant) -> Turn {
        let pause = FIRST_PAUSE.saturating_mul(self.sendings.len() as u32).min(MAX_PAUSE);
        self.until(deadline, pause)
    }

    /// Decides after a refusal: final, unless the request was accepted before or the caller still follows
    /// `Retry-After`.
    pub(crate) fn after_refusal(&mut self, response: &ClientResponse, manners: &Manners, deadline: Instant) -> Turn {
        let asked = retry_after(response.headers());
        let follows = asked.is_some() && self.returns < manners.returns;
        if !self.accepted && !follows {
            self.fate = Fate::Refused;
            self.detail = format!("refused with {}", response.status().as_u16());
            return Turn::Done;
        }
        self.returns += 1;
        self.until(deadline, asked.unwrap_or(FIRST_PAUSE).min(MAX_RETRY_AFTER))
    }

    fn until(&mut self, deadline: Instant, pause: Duration) -> Turn {
        if Instant::now() + pause < deadline {
            return Turn::Again(pause);
        }
        self.fate = self.fate_at_end();
        self.detail = format!(
            "gave up after {} sendings; the last: {}",
            self.sendings.len(),
            self.last()
        );
        Turn::Done
    }

    fn fate_at_end(&self) -> Fate {
        let refused = self.sendings.last().is_some_and(|sending| sending.status.is_some());
        match (self.accepted, self.tokens > 0, refused) {
            (true, true, _) => Fate::Cut,
            (true, false, _) => Fate::Lost,
            (false, _, true) => Fate::Refused,
            (false, _, false) => Fate::Unreachable,
        }
    }

    fn last(&self) -> String {
        self.sendings.last().map_or_else(String::new, |sending| {
            let status = sending
                .status
                .map_or("no answer".to_owned(), |status| status.to_string());
            format!("{status} {}", sending.broken.as_deref().unwrap_or_default())
        })
    }
}

/// Returns a header's text.
pub(super) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn outcome(headers: &HeaderMap) -> Option<Outcome> {
    let text = header(headers, "x-bergamotshift-outcome")?;
    [Outcome::NotRun, Outcome::Unknown, Outcome::Ran]
        .into_iter()
        .find(|outcome| outcome.as_str() == text)
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    header(headers, "retry-after")?.parse().ok().map(Duration::from_secs)
}
