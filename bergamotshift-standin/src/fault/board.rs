//! The faults in force and what each call draws from them.

use core::time::Duration;

use super::Fault;

/// How an answer ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Ending {
    /// As it should.
    #[default]
    Whole,
    /// Half of the announced body.
    ShortBody,
    /// A stream without its terminal event.
    MissingEnd,
    /// Half an event, then a cut.
    PartialEvent,
}

/// The faults that one call shows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a fault of its own, independent of the others"
)]
pub(crate) struct Plan {
    /// Cuts the connection before any effect.
    pub(crate) reset: bool,
    /// Takes the whole stand-in down.
    pub(crate) crash: bool,
    /// Waits before the effect.
    pub(crate) before: Duration,
    /// Waits after the effect.
    pub(crate) after: Duration,
    /// Cuts the connection after the effect.
    pub(crate) lose: bool,
    /// Swaps answers with another call.
    pub(crate) crossed: bool,
    /// Refuses before any work.
    pub(crate) refuse: bool,
    /// How the answer ends.
    pub(crate) ending: Ending,
}

/// The faults in force.
#[derive(Debug, Default)]
pub(crate) struct Board {
    reset: bool,
    slow: Duration,
    lose: u32,
    late: Duration,
    late_count: u32,
    crossed: u32,
    marker: Option<String>,
    reset_marker: Option<String>,
    short_body: u32,
    missing_end: u32,
    partial_event: u32,
    refuse: u32,
    refuse_after: u32,
}

impl Board {
    /// Sets or clears a fault; those of the listener (`Down`, `Up`, `Pause`, `Resume`) are the host's.
    pub(crate) fn set(&mut self, fault: &Fault) {
        match fault {
            Fault::Clear => *self = Self::default(),
            Fault::Reset => self.reset = true,
            Fault::Slow { ms } => self.slow = Duration::from_millis(*ms),
            Fault::LoseAnswerAfterWrite { count } => self.lose = *count,
            Fault::Late { ms, count } => {
                self.late = Duration::from_millis(*ms);
                self.late_count = *count;
            }
            // Both calls of a pair draw one.
            Fault::Crossed { count } => self.crossed = count.saturating_mul(2),
            Fault::CrashOn { marker } => self.marker = Some(marker.clone()),
            Fault::ResetOn { marker } => self.reset_marker = Some(marker.clone()),
            Fault::ShortBody { count } => self.short_body = *count,
            Fault::MissingEnd { count } => self.missing_end = *count,
            Fault::PartialEvent { count } => self.partial_event = *count,
            Fault::Refuse { count } => {
                self.refuse = *count;
                self.refuse_after = 0;
            }
            Fault::RefuseAfter { calls, count } => {
                self.refuse = *count;
                self.refuse_after = *calls;
            }
            Fault::Down | Fault::DownFor { .. } | Fault::Up | Fault::Pause | Fault::Resume => {}
        }
    }

    /// Draws the faults of one call with this body; `stream` tells whether the answer is a stream of events.
    pub(crate) fn draw(&mut self, body: &[u8], stream: bool) -> Plan {
        let holds = |marker: &Option<String>| {
            let marker = marker.as_ref();
            marker.is_some_and(|marker| contains(body, marker.as_bytes()))
        };
        let reset = self.reset;
        let ends = !reset && holds(&self.reset_marker);
        self.reset |= ends;
        Plan {
            reset,
            crash: holds(&self.marker),
            before: self.slow,
            after: if draw_one(&mut self.late_count) {
                self.late
            } else {
                Duration::ZERO
            },
            lose: draw_one(&mut self.lose) || ends,
            crossed: draw_one(&mut self.crossed),
            refuse: !draw_one(&mut self.refuse_after) && draw_one(&mut self.refuse),
            ending: self.draw_ending(stream),
        }
    }

    fn draw_ending(&mut self, stream: bool) -> Ending {
        if stream && draw_one(&mut self.missing_end) {
            return Ending::MissingEnd;
        }
        if stream && draw_one(&mut self.partial_event) {
            return Ending::PartialEvent;
        }
        if !stream && draw_one(&mut self.short_body) {
            return Ending::ShortBody;
        }
        Ending::Whole
    }
}

fn draw_one(count: &mut u32) -> bool {
    let left = *count > 0;
    *count = count.saturating_sub(1);
    left
}

fn contains(body: &[u8], marker: &[u8]) -> bool {
    !marker.is_empty() && body.windows(marker.len()).any(|window| window == marker)
}
