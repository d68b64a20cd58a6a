//! Migration plans for running streams whose endpoints are reclaimed.
//!
//! A reclaim notice leaves seconds. A plan covers all endpoints that leave together, such as a whole availability zone,
//! and assigns each stream an [`Action`]: finish in place, move its KV cache, resume elsewhere from the tokens
//! received, start over, or stay until it is cut. Link bandwidth is scarce, so it goes to urgent streams first, then to
//! those with the most tokens to recompute.
//!
//! ```
//! use core::time::Duration;
//! use bergamotshift_route::reclaim::{self, Action, Notice, Stream};
//!
//! let notice = Notice { remaining: Duration::from_secs(20), ..Notice::default() };
//! let short = Stream { tokens_left: 50, ..Stream::default() };
//! let long = Stream { id: 1, tokens_left: 5_000, ..Stream::default() };
//! let plan = reclaim::plan(&notice, &[short, long]);
//! assert_eq!(plan[0].action, Action::Finish);
//! assert_eq!(plan[1].action, Action::Resume);
//! ```

use core::cmp::Reverse;
use core::time::Duration;

use bergamotshift_core::prelude::*;

use crate::estimate::Speed;

/// An announced reclaim of one or more endpoints, with the limits on moving their streams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Notice {
    /// Time until the VMs are gone.
    pub remaining: Duration,
    /// Reserve at the end of that time for messages still in transit.
    pub margin: Duration,
    /// Export bandwidth of one leaving endpoint, in bytes per second.
    pub endpoint_link: u64,
    /// Export bandwidth shared by all leaving endpoints, such as a zone's uplink, in bytes per second.
    pub shared_link: u64,
    /// Size of the KV cache per token, in bytes.
    pub token_bytes: u64,
    /// Fixed duration of an import, regardless of its size.
    pub import_time: Duration,
    /// Maximum pause that a move may cause in an urgent stream.
    pub max_pause: Duration,
    /// Speed of the engines that take over the streams.
    pub speed: Speed,
}

impl Default for Notice {
    fn default() -> Self {
        Self {
            remaining: Duration::from_secs(20),
            margin: Duration::from_secs(2),
            endpoint_link: 1_250_000_000,
            shared_link: 5_000_000_000,
            token_bytes: 160_000,
            import_time: Duration::from_millis(50),
            max_pause: Duration::from_secs(2),
            speed: Speed::REFERENCE,
        }
    }
}

/// One running stream on a leaving endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stream {
    /// Id by which the caller of [`plan`] recognises the stream in a [`Step`].
    pub id: u64,
    /// Index of the leaving endpoint among those of the notice.
    pub endpoint: usize,
    /// Urgency of the answer.
    pub urgency: Urgency,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of tokens received so far.
    pub received: u32,
    /// Estimated number of tokens still to come.
    pub tokens_left: u32,
    /// Time between tokens at the leaving endpoint.
    pub between_tokens: Duration,
    /// Estimated number of leading tokens that a destination already has cached.
    pub cached_elsewhere: u32,
    /// Whether the engines can export and import the stream's KV cache.
    pub movable: bool,
    /// Whether an engine can continue from the received tokens.
    pub resumable: bool,
    /// Whether the request may run a second time.
    pub repeatable: bool,
}

impl Default for Stream {
    fn default() -> Self {
        Self {
            id: 0,
            endpoint: 0,
            urgency: Urgency::Normal,
            prompt_tokens: 0,
            received: 0,
            tokens_left: 0,
            between_tokens: Duration::from_millis(40),
            cached_elsewhere: 0,
            movable: false,
            resumable: true,
            repeatable: true,
        }
    }
}

impl Stream {
    /// Returns the number of tokens in the KV cache: the prompt and the tokens received.
    const fn context_tokens(&self) -> u32 {
        self.prompt_tokens + self.received
    }

    /// Returns the number of tokens that another engine has to compute before it can continue the stream.
    const fn recompute_tokens(&self) -> u32 {
        self.context_tokens().saturating_sub(self.cached_elsewhere)
    }

    /// Returns the estimated time until the stream ends at its present endpoint.
    fn remaining_time(&self) -> Duration {
        self.between_tokens.saturating_mul(self.tokens_left)
    }
}

/// The planned handling of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The stream finishes in place before the VM is gone.
    Finish,
    /// The KV cache is transferred to another endpoint, which continues without recomputing.
    Move,
    /// Another endpoint continues from the received tokens and recomputes those that it has not cached.
    Resume,
    /// Another endpoint starts over, because the stream can't be resumed. Tokens already delivered are compared with
    /// the new ones and not sent again.
    StartOver,
    /// The stream stays until it ends or is cut, because it must not run twice. If it is cut, the caller is told that
    /// the outcome is unknown.
    Stay,
}

/// One step of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Id of the stream.
    pub id: u64,
    /// Action to take.
    pub action: Action,
    /// Delay from now until the step starts.
    pub after: Duration,
    /// Duration of a move's transfer and import; zero for other actions.
    pub duration: Duration,
}

/// Plans one step for each stream of a notice, ordered by start time.
pub fn plan(notice: &Notice, streams: &[Stream]) -> Vec<Step> {
    let window = notice.remaining.saturating_sub(notice.margin);
    let mut steps = Vec::with_capacity(streams.len());
    let mut interrupted: Vec<&Stream> = Vec::new();
    for stream in streams {
        if stream.remaining_time() <= window {
            steps.push(Step::immediate(stream, Action::Finish));
        } else {
            interrupted.push(stream);
        }
    }
    interrupted.sort_by_key(|stream| (stream.urgency, Reverse(stream.recompute_tokens()), stream.id));
    let mut links = Links::new(notice, window, streams);
    let mut restarts: Vec<&Stream> = Vec::new();
    for stream in interrupted {
        match links.reserve(stream) {
            Some(step) => steps.push(step),
            None if stream.repeatable => restarts.push(stream),
            None => steps.push(Step::immediate(stream, Action::Stay)),
        }
    }
    schedule_restarts(&mut steps, &restarts, window);
    steps.sort_by_key(|step| (step.after, step.id));
    steps
}

impl Step {
    /// Returns a step that starts now and takes no time.
    const fn immediate(stream: &Stream, action: Action) -> Self {
        Self {
            id: stream.id,
            action,
            after: Duration::ZERO,
            duration: Duration::ZERO,
        }
    }
}

/// Divisor of the planning window: restarts are spread over the last of this many equal parts.
const RESTART_PARTS: u32 = 3;

/// Spreads restarts over the end of the window.
///
/// If all streams restarted when the VMs are gone, their prompts would queue at the remaining endpoints and delay the
/// first tokens of new requests beyond their target. If they restarted too early, the tokens that the leaving endpoint
/// could still generate would be lost. Streams with the longest remaining time restart first, because waiting would not
/// let them finish in place.
fn schedule_restarts(steps: &mut Vec<Step>, restarts: &[&Stream], window: Duration) {
    let mut order = restarts.to_vec();
    order.sort_by_key(|stream| (Reverse(stream.remaining_time()), stream.id));
    let count = order.len().max(1) as u32;
    for (position, stream) in order.iter().enumerate() {
        let action = if stream.resumable {
            Action::Resume
        } else {
            Action::StartOver
        };
        // Starting over discards whatever the leaving endpoint still generates, so it happens at once.
        let after = match action {
            Action::StartOver => Duration::ZERO,
            _ => window * (RESTART_PARTS - 1) / RESTART_PARTS + window / RESTART_PARTS * position as u32 / count,
        };
        steps.push(Step {
            after,
            ..Step::immediate(stream, action)
        });
    }
}

/// Transfer time already reserved on each link.
struct Links<'a> {
    notice: &'a Notice,
    window: Duration,
    endpoints: Vec<Duration>,
    shared: Duration,
}

impl<'a> Links<'a> {
    fn new(notice: &'a Notice, window: Duration, streams: &[Stream]) -> Self {
        let endpoints = streams.iter().map(|stream| stream.endpoint + 1).max().unwrap_or(0);
        Self {
            notice,
            window,
            endpoints: vec![Duration::ZERO; endpoints],
            shared: Duration::ZERO,
        }
    }

    /// Reserves link time to move a stream, if the move fits into the window and saves engine time.
    ///
    /// A transfer may take longer than recomputing and still be worthwhile: the links are otherwise idle, while
    /// recomputing takes engine time from the remaining endpoints when it is scarcest. For urgent streams, the move
    /// must also not exceed the maximum pause.
    fn reserve(&mut self, stream: &Stream) -> Option<Step> {
        let bytes = u64::from(stream.context_tokens()) * self.notice.token_bytes;
        let endpoint_time = transfer(bytes, self.notice.endpoint_link);
        let shared_time = transfer(bytes, self.notice.shared_link);
        let recompute_micros = self.notice.speed.prompt_micros(stream.recompute_tokens() as f32);
        let saves_compute = self.notice.import_time < Duration::from_micros(recompute_micros as u64);
        let within_pause =
            stream.urgency != Urgency::Urgent || endpoint_time + self.notice.import_time <= self.notice.max_pause;
        if !(stream.movable && saves_compute && within_pause) {
            return None;
        }
        let start = self.endpoints[stream.endpoint].max(self.shared);
        let transfer_time = endpoint_time.max(shared_time);
        if start + transfer_time + self.notice.import_time > self.window {
            return None;
        }
        self.endpoints[stream.endpoint] = start + transfer_time;
        self.shared += shared_time;
        Some(Step {
            id: stream.id,
            action: Action::Move,
            // Reservations count back from the end of the window: until then a stream continues in place, where engine
            // time is free.
            after: self
                .window
                .saturating_sub(start + transfer_time + self.notice.import_time),
            duration: transfer_time + self.notice.import_time,
        })
    }
}

/// Returns the time to transfer `bytes` over a link.
fn transfer(bytes: u64, per_second: u64) -> Duration {
    const MICROS: u128 = 1_000_000;
    let micros = u128::from(bytes) * MICROS / u128::from(per_second.max(1));
    Duration::from_micros(micros as u64)
}
