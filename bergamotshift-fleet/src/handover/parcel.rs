//! One open request on its way to a keeper.

use bergamotshift_core::attempt;
use bergamotshift_core::urgency::Urgency;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::Key;

/// How far a request is.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Progress {
    /// No byte of it went towards an endpoint.
    Waiting,
    /// An endpoint has it. A repeatable request may run again from the tokens so far.
    Running {
        /// What the endpoint answered so far, from the first byte on.
        answer: Vec<u8>,
        /// The number of the last event that went to the caller.
        delivered: u64,
    },
    /// It must not be repeated and its bytes went towards an endpoint. It may have run and is never sent again.
    Sent,
    /// It is finished, and the caller may not have the whole answer.
    Done {
        /// The HTTP status.
        status: u16,
        /// The answer's headers.
        headers: Vec<(SmolStr, Vec<u8>)>,
        /// The whole answer.
        answer: Vec<u8>,
        /// The number of the last event that went to the caller.
        delivered: u64,
    },
}

/// One open request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Parcel {
    /// What the caller comes back with.
    pub key: Key,
    /// The last attempt.
    pub attempt: attempt::Id,
    /// Counts the entries that the request was handed on by.
    pub hops: u32,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// How soon its answer is needed.
    pub urgency: Urgency,
    /// What is left until its deadline, in milliseconds: clocks of entries are not compared.
    pub left_ms: u64,
    /// The HTTP method.
    pub method: SmolStr,
    /// The path with its query.
    pub path: SmolStr,
    /// The headers that endpoints get.
    pub headers: Vec<(SmolStr, Vec<u8>)>,
    /// The body; empty once the request may not be sent again.
    pub body: Vec<u8>,
    /// How far it is.
    pub progress: Progress,
}

impl Parcel {
    /// Returns whether a parcel takes the place of `known`, which has the same key.
    ///
    /// Copies of one attempt cross each other: the one that is further counts. Of two attempts the one that was handed
    /// on more often is the later. A request that must not be repeated never goes back from sent to waiting, whatever
    /// the attempt: that would run it a second time.
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

    /// Returns whether the request may be sent to an endpoint by whoever takes the parcel.
    ///
    /// One that must not be repeated needs the claim of its own attempt besides.
    pub const fn may_send(&self) -> bool {
        match self.progress {
            Progress::Waiting => true,
            Progress::Running { .. } => self.repeatable,
            Progress::Sent | Progress::Done { .. } => false,
        }
    }

    /// Returns about how many bytes the parcel takes.
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
