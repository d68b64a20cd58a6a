//! Admission of one service, with the times at which refused callers return.

use core::time::Duration;

use bergamotshift_core::prelude::*;

use super::Decision;
use super::Gate;
use super::Reason;
use super::Request;
use super::Settings;
use crate::returns;
use crate::returns::Book;
use crate::returns::Returned;

/// Least number of engines that is reckoned with. An entry of a small fleet has a part of the engines, which may be less
/// than one.
const LEAST_ENGINES: f64 = 0.01;

/// Properties of a request that determine when its caller may return.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Asked {
    /// Fingerprint of the request, by which a caller that returns is identified.
    pub key: Fingerprint,
    /// Urgency, where 0 comes first.
    pub urgency: u8,
    /// Number of engines of the service that serve the demand that is decided on here.
    pub engines: f64,
    /// Longest time that the caller may be told.
    pub longest: Duration,
}

/// Refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// Time after which the caller may return.
    pub retry_after: Duration,
}

/// Verdict on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request is sent to an endpoint.
    Admitted,
    /// The request is refused.
    Refused(Refusal),
}

/// Verdict on a request, and what it depended on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The verdict.
    pub verdict: Verdict,
    /// Whether the caller was promised capacity before, and returned at that time.
    pub returned: Returned,
    /// Time for the work of returning callers, by which the wait was lengthened.
    pub due: Duration,
    /// Longest wait of the request.
    pub limit: Duration,
    /// Share of the organisation and its admitted work in the window, as engine time; `None` if it is not known.
    pub share: Option<(Duration, Duration)>,
}

/// Admission of one service, with the times at which refused callers return.
#[derive(Debug)]
pub struct Controller {
    gate: Gate,
    book: Book,
}

impl Controller {
    /// Creates a controller without any requests or promises.
    pub fn new(settings: Settings, returns: returns::Settings) -> Self {
        Self {
            gate: Gate::new(settings),
            book: Book::new(returns),
        }
    }

    /// Decides on a request. The fields `due` and `is_return` of `request` are set here.
    pub fn decide(&mut self, now: Instant, request: &Request<'_>, asked: &Asked) -> Outcome {
        let returned = self.book.redeem(now, asked.key);
        // Promises that fall due before the request would be served come first.
        let within = request.wait.saturating_add(request.read);
        let due = self.book.due(now, within, asked.urgency);
        let due = due.div_f64(asked.engines.max(LEAST_ENGINES));
        let request = &Request {
            due,
            is_return: returned == Returned::Kept,
            ..*request
        };
        let verdict = match self.gate.decide(now, request) {
            Decision::Admit => {
                if matches!(returned, Returned::Early { .. }) {
                    self.book.withdraw(asked.key);
                }
                Verdict::Admitted
            }
            Decision::Refuse { reason, excess } => {
                let retry_after = match (reason, returned) {
                    (Reason::Share, Returned::Early { left }) => left.min(asked.longest),
                    (Reason::Wait, _) => self.book.promise(
                        now,
                        &returns::Asked {
                            key: asked.key,
                            urgency: asked.urgency,
                            work: request.read,
                            excess,
                            engines: asked.engines,
                            longest: asked.longest,
                        },
                    ),
                    // A slot for an organisation beyond its share would be taken from the others.
                    (Reason::Share, _) => asked.longest,
                };
                Verdict::Refused(Refusal { reason, retry_after })
            }
        };
        let is_refused = verdict != Verdict::Admitted;
        Outcome {
            verdict,
            returned,
            due,
            limit: self.gate.limit(request),
            share: is_refused.then(|| self.gate.share(request.organisation)).flatten(),
        }
    }

    /// Returns the number of promises that lapsed since the last call.
    pub fn take_lapsed(&mut self) -> u64 {
        self.book.take_lapsed()
    }

    /// Returns the number of promises that stand.
    pub fn promises(&self) -> usize {
        self.book.len()
    }
}
