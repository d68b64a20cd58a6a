//! Faults that a stand-in shows on order, and the bookkeeping of which call shows which.

mod board;

use serde::Deserialize;
use serde::Serialize;

pub(crate) use board::Board;
pub(crate) use board::Ending;
pub(crate) use board::Plan;

/// A fault to show, or its end.
///
/// As JSON it is an object with the field `fault`, such as `{"fault":"slow","ms":50}`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// Ends all faults but `Down`.
    Clear,
    /// Refuses connections and cuts the open ones.
    Down,
    /// Does as `Down`, then as `Up` after a time, for those who order faults over HTTP.
    DownFor {
        /// How long, in milliseconds.
        ms: u64,
    },
    /// Listens again at the same address, as the next incarnation.
    Up,
    /// Accepts connections and cuts each at its first request, before it takes effect.
    Reset,
    /// Waits before each call takes effect.
    Slow {
        /// The wait, in milliseconds.
        ms: u64,
    },
    /// Cuts the connection after the call took effect, in place of an answer.
    LoseAnswerAfterWrite {
        /// How many calls.
        count: u32,
    },
    /// Holds the answer back after the call took effect.
    Late {
        /// How long, in milliseconds.
        ms: u64,
        /// How many calls.
        count: u32,
    },
    /// Swaps the answers of two calls in flight: the first waits for the second.
    Crossed {
        /// How many pairs.
        count: u32,
    },
    /// Goes down for good (until `Up`) at each call whose body holds the marker, before it answers.
    CrashOn {
        /// The text looked for.
        marker: String,
    },
    /// Cuts each connection, as `Reset` does, from the first call on whose body holds the marker; that call takes effect.
    ResetOn {
        /// The text looked for.
        marker: String,
    },
    /// Accepts connections and requests and lets nothing happen until `Resume`.
    Pause,
    /// Ends `Pause`.
    Resume,
    /// Announces a whole body and sends half of it, then closes.
    ShortBody {
        /// How many calls.
        count: u32,
    },
    /// Ends a stream cleanly at the HTTP level, without its terminal event.
    MissingEnd {
        /// How many streams.
        count: u32,
    },
    /// Sends half of an event of a stream, then cuts the connection.
    PartialEvent {
        /// How many streams.
        count: u32,
    },
    /// Refuses calls before any work, in the stand-in's own words (throttled, no capacity, overloaded).
    Refuse {
        /// How many calls.
        count: u32,
    },
    /// Refuses calls before any work, once some calls went through.
    RefuseAfter {
        /// How many calls go through first.
        calls: u32,
        /// How many calls are refused then.
        count: u32,
    },
}
