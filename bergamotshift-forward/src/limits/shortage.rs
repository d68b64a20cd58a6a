//! What an entry and its zone's keeper tell each other for admission in a shortage.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// Properties of a generation's first send on which its admission in a shortage depends.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Terms {
    /// Organisation of the caller; `None` if it was not authenticated.
    pub organisation: Option<name::Organisation>,
    /// Rate of the organisation's limit; 1 without a limit.
    pub weight: f64,
    /// Urgency, where 0 comes first.
    pub urgency: u8,
    /// Objective for the first event, in milliseconds.
    pub objective_ms: u32,
    /// Part of the objective that is left, in milliseconds.
    pub objective_left_ms: u32,
    /// Time until the caller leaves unless the response begins, in milliseconds.
    pub latest_ms: u32,
    /// Time until the caller's deadline, in milliseconds.
    pub time_left_ms: u32,
    /// Fingerprint of the request, by which a caller that returns is identified.
    pub key: Fingerprint,
}

impl Terms {
    /// Returns the terms after a further time has passed.
    #[must_use]
    pub fn after(&self, elapsed: Duration) -> Self {
        let elapsed = whole_millis(elapsed);
        Self {
            objective_left_ms: self.objective_left_ms.saturating_sub(elapsed),
            latest_ms: self.latest_ms.saturating_sub(elapsed),
            time_left_ms: self.time_left_ms.saturating_sub(elapsed),
            ..self.clone()
        }
    }
}

/// Judgement of an entry or its zone's keeper on a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Judgement {
    /// The generation is admitted, and is not judged again.
    Admitted,
    /// The generation is refused and has not run.
    Refused {
        /// Whether its organisation had more than its share; otherwise the wait is too long.
        is_share: bool,
        /// Time after which its caller may return, in milliseconds.
        retry_after_ms: u32,
    },
}

impl Judgement {
    /// Returns the time after which the caller of a refused generation may return; `None` if it is admitted.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Admitted => None,
            Self::Refused { retry_after_ms, .. } => Some(Duration::from_millis(retry_after_ms.into())),
        }
    }
}

/// Returns a duration in whole milliseconds, rounded down.
pub fn whole_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
