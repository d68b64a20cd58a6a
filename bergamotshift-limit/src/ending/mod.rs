//! Ends of answers that are marked by nothing but the end of their connection.
//!
//! A process that ends closes its connections as one that has sent a complete answer does. Two observations tell them
//! apart. A *witness* is a second connection to the same process, opened before the answer ended: the end of the process
//! ends it too, also if another process takes over the address at once. A *check* is a connection that is opened after the
//! end: it shows whether a process listens on the address. The system closes the sockets of a process one after the other
//! and in any order, so both are looked at again after a moment. Where nothing tells, the answer does not count as complete.
//!
//! Neither signal is certain. Endpoints close connections that are idle, a witness too, after a time that they need not
//! state; and the end of a process may arrive late, as its packets are lost and sent again. So the end of a witness decides
//! nothing if the address still accepts connections: the endpoint is asked there which incarnation it is, and the end of an
//! idle connection shortens the time after which witnesses are renewed ([`Renewal`]). If the address accepts none although the
//! endpoint has not announced that it leaves, the witness is waited for until a lost packet must have come.
//!
//! The connection of the answer tells too: an endpoint that closes it before it has read the request resets it, and its end
//! arrives before the reset does.
//!
//! ```
//! use core::time::Duration;
//! use bergamotshift_limit::ending::{Check, Close, Decision, Observation, Settings, Witness, decide};
//!
//! let settings = Settings::default();
//! let seen = Observation {
//!     close: Close::Orderly,
//!     check: Check::Accepted,
//!     witness: Witness::Open,
//!     identity: None,
//!     is_urgent: false,
//!     is_leaving: false,
//! };
//! assert!(matches!(decide(&settings, &seen, Duration::ZERO), Decision::LookAgain(_)));
//! assert_eq!(decide(&settings, &seen, settings.settle), Decision::Complete);
//! let seen = Observation { witness: Witness::Ended, ..seen };
//! assert_eq!(decide(&settings, &seen, Duration::ZERO), Decision::Identify);
//! let seen = Observation { check: Check::Refused, ..seen };
//! assert!(matches!(decide(&settings, &seen, Duration::ZERO), Decision::Incomplete(_)));
//! ```

mod renewal;

use core::time::Duration;

pub use self::renewal::Renewal;

/// Settings of [`decide`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time after the end of an answer within which the other connections of its process end too, if the process ended.
    pub settle: Duration,
    /// The same for an urgent answer whose endpoint still accepts connections.
    pub urgent_settle: Duration,
    /// The same if its endpoint is not known to accept connections and has not announced that it leaves, so that it probably
    /// ended. The end of a connection may be lost, and lost again when it is sent the second time.
    pub unreached_settle: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            settle: Duration::from_millis(100),
            urgent_settle: Duration::from_millis(20),
            unreached_settle: Duration::from_millis(700),
        }
    }
}

/// Way in which the connection of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Close {
    /// In order, after the whole request was written.
    Orderly,
    /// In order, before the whole request was written.
    Early,
    /// By a reset, which may follow an end in order.
    Reset,
}

impl Close {
    /// Returns the name of the way in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Orderly => "orderly",
            Self::Early => "early",
            Self::Reset => "reset",
        }
    }
}

/// Outcome of a connection that was opened to the endpoint's address after the end of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// A process accepted it, and it stands.
    Accepted,
    /// No process listens on the address, or the one that accepted it has closed it.
    Refused,
    /// It was not opened, or nothing came of it in time.
    Unknown,
}

impl Check {
    /// Returns the name of the outcome in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}

/// State of a connection that was opened to the endpoint's process before the end of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Witness {
    /// It stands.
    Open,
    /// The endpoint's side closed it in order, as the end of a process does.
    Ended,
    /// There is none, or it was reset, which says nothing of the process: endpoints and relays reset connections too.
    Missing,
}

impl Witness {
    /// Returns the name of the state in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Ended => "ended",
            Self::Missing => "missing",
        }
    }
}

/// Process that answered when the endpoint was asked, after the end of its answer, which incarnation it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Identity {
    /// The one that sent the answer.
    Same,
    /// Another one.
    Other,
    /// None answered in time, the answer does not tell, or the endpoint cannot be asked.
    Unknown,
}

impl Identity {
    /// Returns the name of the process in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Same => "same",
            Self::Other => "other",
            Self::Unknown => "unknown",
        }
    }
}

/// Decision on an answer whose connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The process lived on, so it ended the answer itself.
    Complete,
    /// The answer may lack its end, for this reason.
    Incomplete(&'static str),
    /// Look at the witness once more after this time.
    LookAgain(Duration),
    /// Ask the endpoint which incarnation it is, on the connection that was opened after the end.
    Identify,
}

/// What is known of the endpoint of an answer whose connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// End of the answer's connection.
    pub close: Close,
    /// Connection that was opened after the end.
    pub check: Check,
    /// Connection that was opened before it.
    pub witness: Witness,
    /// Process that answered on the connection that was opened after the end; `None` if it was not asked.
    pub identity: Option<Identity>,
    /// Whether a caller waits for the whole answer, and its endpoint has not announced that it leaves.
    pub is_urgent: bool,
    /// Whether its endpoint has announced that it leaves.
    pub is_leaving: bool,
}

/// Decides whether an answer is complete. `waited` is the time since its end.
///
/// An endpoint that is about to end may listen no more and still complete its answers, so a refused connection decides only
/// where no witness does.
pub fn decide(settings: &Settings, seen: &Observation, waited: Duration) -> Decision {
    match seen.close {
        Close::Reset => return Decision::Incomplete("its connection was reset"),
        Close::Early => return Decision::Incomplete("it ended before the request was written"),
        Close::Orderly => {}
    }
    match (seen.witness, seen.check) {
        (Witness::Ended, Check::Accepted) => {
            return match seen.identity {
                None => Decision::Identify,
                Some(Identity::Same) => Decision::Complete,
                Some(Identity::Other) => Decision::Incomplete("another process has the endpoint's address"),
                Some(Identity::Unknown) => Decision::Incomplete("nothing shows that the endpoint lived on"),
            };
        }
        (Witness::Ended, _) => return Decision::Incomplete("the endpoint ended with it"),
        (Witness::Missing, Check::Refused) => {
            return Decision::Incomplete("the endpoint accepts no connection any more");
        }
        (Witness::Missing, Check::Unknown) => {
            return Decision::Incomplete("nothing shows that the endpoint lived on");
        }
        (Witness::Open, _) | (Witness::Missing, Check::Accepted) => {}
    }
    let settle = match seen.check {
        Check::Accepted if seen.is_urgent => settings.urgent_settle,
        Check::Refused | Check::Unknown if !seen.is_leaving => settings.unreached_settle,
        _ => settings.settle,
    };
    if waited < settle {
        return Decision::LookAgain(settle.saturating_sub(waited));
    }
    Decision::Complete
}
