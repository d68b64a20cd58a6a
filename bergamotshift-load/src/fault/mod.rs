//! Faults that fall into a run, from a small plan file.

mod remote;
mod schedule;

use core::fmt::Debug;
use core::time::Duration;

use bergamotshift_core::name;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use thiserror::Error;

pub use remote::Remote;
pub use schedule::Schedule;
pub use schedule::Step;

/// What a fault strikes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Place {
    /// One endpoint.
    Endpoint(name::Vm),
    /// One entry.
    Entry(name::Entry),
    /// Everything in an availability zone, entries and endpoints.
    Zone(name::Zone),
}

/// What ails the platform's services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Trouble {
    /// They refuse connections.
    Down,
    /// They wait before each call takes effect.
    Slow,
    /// They cut the connection after a call took effect, in place of an answer.
    LosingAnswers,
}

/// One fault.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// The platform announces that it takes VMs back and does so when the notice is over.
    Reclaim {
        /// What it takes.
        place: Place,
        /// How long before.
        notice: Duration,
    },
    /// A process ends without a word.
    Kill {
        /// Which.
        place: Place,
    },
    /// A process stands still and goes on later.
    Pause {
        /// Which.
        place: Place,
        /// For how long.
        span: Duration,
    },
    /// The platform's services are ill.
    Platform {
        /// How.
        trouble: Trouble,
        /// The wait of `Slow`, or the number of lost answers.
        amount: u32,
        /// For how long.
        span: Duration,
    },
    /// Two availability zones cannot reach each other.
    Cut {
        /// The two.
        zones: [name::Zone; 2],
        /// For how long.
        span: Duration,
    },
    /// A request crashes each endpoint that runs it, and its caller sends it again.
    Poison {
        /// The path that it is sent to; the API's own path for a model.
        path: SmolStr,
        /// The model that it asks, or empty for a plain service.
        model: name::Model,
        /// The text that crashes endpoints.
        marker: SmolStr,
        /// How often its caller sends it.
        sends: u32,
    },
}

impl Action {
    /// Returns how long the fault lasts, when it has an end of its own.
    pub const fn span(&self) -> Option<Duration> {
        match self {
            Self::Reclaim { notice, .. } => Some(*notice),
            Self::Pause { span, .. } | Self::Platform { span, .. } | Self::Cut { span, .. } => Some(*span),
            Self::Kill { .. } | Self::Poison { .. } => None,
        }
    }
}

/// A fault plan is wrong, or a fault could not be carried out.
#[derive(Debug)]
#[derive(Error)]
pub enum Error {
    /// The plan is no TOML of the expected shape.
    #[error("fault plan: {0}")]
    Syntax(#[from] toml::de::Error),
    /// A fault lacks a field, has one too many or one out of bounds.
    #[error("fault {number} of the plan: {reason}")]
    Field {
        /// Its place in the plan, from 1.
        number: usize,
        /// What is wrong.
        reason: String,
    },
    /// The target knows no such place.
    #[error("nothing is known by the name {0}")]
    Unknown(String),
    /// The target cannot bring this fault about.
    #[error("{0}")]
    Unsupported(String),
    /// The target tried and failed.
    #[error("the fault could not be carried out: {0}")]
    Failed(String),
}

/// Carries faults out; the calls block the thread of the fault plan alone.
pub trait Target: Debug + Send + Sync {
    /// Begins a fault, and returns the endpoints that leave because of it.
    ///
    /// # Errors
    ///
    /// Returns why the fault could not be begun.
    fn begin(&self, action: &Action) -> Result<Vec<name::Vm>, Error>;

    /// Ends a fault whose span is over: a notice ends with the VM gone, a pause with the process going on.
    ///
    /// # Errors
    ///
    /// Returns why the fault could not be ended.
    fn end(&self, action: &Action) -> Result<(), Error>;
}
