//! Open requests in the form in which they are handed to a keeper.

use bergamotshift_core::attempt;
use bergamotshift_core::urgency::Urgency;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::Key;

/// Progress of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Progress {
    /// No byte was sent to an endpoint.
    Waiting,
    /// An endpoint is processing the request. A repeatable request may be resumed from the tokens received so far.
    Running {
        /// Bytes of the endpoint's answer so far, from the first byte on.
        answer: Vec<u8>,
        /// Number of the last event that was sent to the caller.
        delivered: u64,
    },
    /// The request must not be repeated and some of it was sent to an endpoint. It may have run and is never sent
    /// again.
    Sent,
    /// The request is finished, but the caller may not have received the whole answer.
    Done {
        /// HTTP status of the answer.
        status: u16,
        /// Headers of the answer.
        headers: Vec<(SmolStr, Vec<u8>)>,
        /// Whole body of the answer.
        answer: Vec<u8>,
        /// Number of the last event that was sent to the caller.
        delivered: u64,
    },
}

/// Open request of a leaving entry, with all that another entry needs to continue it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Parcel {
    /// Key by which the caller finds the request again.
    pub key: Key,
    /// ID of the last attempt.
    pub attempt: attempt::Id,
    /// Number of entries that have handed the request over.
    pub hops: u32,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Urgency of the request.
    pub urgency: Urgency,
    /// Time left until the deadline, in milliseconds; relative, because the entries' clocks are not synchronised.
    pub left_ms: u64,
    /// HTTP method.
    pub method: SmolStr,
    /// Path with its query.
    pub path: SmolStr,
    /// Headers that are sent to endpoints.
    pub headers: Vec<(SmolStr, Vec<u8>)>,
    /// Request body; empty once the request may not be sent again.
    pub body: Vec<u8>,
    /// Progress of the request.
    pub progress: Progress,
}

impl Parcel {
    /// Returns whether this parcel replaces `known`, which has the same key.
    ///
    /// Copies of one attempt may arrive out of order, and the one with more progress wins. Of two attempts the one with
    /// more hops is the later. A request that must not be repeated never goes back from sent to waiting, whatever the
    /// attempt, because it would then run a second time.
    pub fn supersedes(&self, known: &Self) -> bool {
        let is_sent = |parcel: &Self| matches!(parcel.progress, Progress::Sent | Progress::Done { .. });
        if !known.repeatable && is_sent(known) && !is_sent(self) {
            return false;
        }
        if self.attempt == known.attempt {
            return self.progress.rank() > known.progress.rank();
        }
        (self.progress.is_done(), self.hops) > (known.progress.is_done(), known.hops)
    }

    /// Returns whether the entry that takes the parcel may send the request to an endpoint.
    ///
    /// A request that must not be repeated also needs the claim for its attempt.
    pub const fn may_send(&self) -> bool {
        match self.progress {
            Progress::Waiting => true,
            Progress::Running { .. } => self.repeatable,
            Progress::Sent | Progress::Done { .. } => false,
        }
    }

    /// Returns the approximate size of the parcel in bytes.
    pub fn size(&self) -> usize {
        let headers: usize = self.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        let answer = match &self.progress {
            Progress::Waiting | Progress::Sent => 0,
            Progress::Running { answer, .. } | Progress::Done { answer, .. } => answer.len(),
        };
        size_of::<Self>() + self.body.len() + headers + answer
    }
}

impl Progress {
    const fn is_done(&self) -> bool {
        matches!(self, Self::Done { .. })
    }

    const fn rank(&self) -> (u8, usize, u64) {
        match self {
            Self::Waiting => (0, 0, 0),
            Self::Running { answer, delivered } => (1, answer.len(), *delivered),
            Self::Sent => (2, 0, 0),
            Self::Done { answer, delivered, .. } => (3, answer.len(), *delivered),
        }
    }
}
