//! What becomes of running streams when their endpoints are reclaimed.
//!
//! A notice leaves seconds. The plan covers all endpoints that leave together, such as a whole availability zone, and
//! gives each stream one of four ways: finish in place, move its KV cache, resume elsewhere from the tokens received,
//! or start over. Links are scarce, so moves go first to urgent streams, then to those that recomputing would cost most.
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

/// One announced reclaim, of one endpoint or of many at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Notice {
    /// What is left until the VMs are gone.
    pub remaining: Duration,
    /// Kept back at the end for messages still under way.
    pub margin: Duration,
    /// Bytes per second that one leaving endpoint exports.
    pub endpoint_link: u64,
    /// Bytes per second that all of them export together, such as a zone's way out.
    pub shared_link: u64,
    /// Bytes of KV cache per token.
    pub token_bytes: u64,
    /// Fixed time of an import, whatever its size.
    pub import_time: Duration,
    /// The longest pause that a move may put into an urgent stream.
    pub max_pause: Duration,
    /// How fast the engines are that take the streams over.
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
    /// Tells the caller of [`plan`] which stream a step is about.
    pub id: u64,
    /// The leaving endpoint, as a number among those of this notice.
    pub endpoint: usize,
    /// How soon the answer is needed.
    pub urgency: Urgency,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Tokens received so far.
    pub received: u32,
    /// Tokens still to come, as estimated.
    pub tokens_left: u32,
    /// Time between tokens at the leaving endpoint.
    pub between_tokens: Duration,
    /// Leading tokens that a destination is believed to hold already.
    pub cached_elsewhere: u32,
    /// Whether engines can export and import its KV cache.
    pub movable: bool,
    /// Whether an engine can continue from received tokens.
    pub resumable: bool,
    /// Whether it may run a second time.
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
    const fn context(&self) -> u32 {
        self.prompt_tokens + self.received
    }

    /// Returns the tokens that another engine has to compute before it can go on.
    const fn recompute(&self) -> u32 {
        self.context().saturating_sub(self.cached_elsewhere)
    }

    fn finishes_in(&self) -> Duration {
        self.between_tokens.saturating_mul(self.tokens_left)
    }
}

/// What becomes of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// It ends before the VM is gone.
    Finish,
    /// Its KV cache goes to another endpoint, which continues without recomputing.
    Move,
    /// Another endpoint continues from the tokens received, recomputing what its cache lacks.
    Resume,
    /// Another endpoint starts over, because no engine can continue it; tokens already delivered are checked, not sent.
    StartOver,
    /// It stays until it ends or is cut: it may not run twice, and its caller is told the outcome is unknown.
    Stay,
}

/// One step of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// The stream.
    pub id: u64,
    /// What becomes of it.
    pub action: Action,
    /// When the step starts, from now.
    pub after: Duration,
    /// How long a move's transfer takes; zero for the others.
    pub duration: Duration,
}

/// Plans all streams of one notice, in the order in which the steps start.
pub fn plan(notice: &Notice, streams: &[Stream]) -> Vec<Step> {
    let window = notice.remaining.saturating_sub(notice.margin);
    let mut steps = Vec::with_capacity(streams.len());
    let mut cut: Vec<&Stream> = Vec::new();
    for stream in streams {
        if stream.finishes_in() <= window {
            steps.push(Step::at_once(stream, Action::Finish));
        } else {
            cut.push(stream);
        }
    }
    cut.sort_by_key(|stream| (stream.urgency, Reverse(stream.recompute()), stream.id));
    let mut links = Links::new(notice, window, streams);
    let mut again: Vec<&Stream> = Vec::new();
    for stream in cut {
        match links.reserve(stream) {
            Some(step) => steps.push(step),
            None if stream.repeatable => again.push(stream),
            None => steps.push(Step::at_once(stream, Action::Stay)),
        }
    }
    spread(&mut steps, &again, window);
    steps.sort_by_key(|step| (step.after, step.id));
    steps
}

impl Step {
    const fn at_once(stream: &Stream, action: Action) -> Self {
        Self {
            id: stream.id,
            action,
            after: Duration::ZERO,
            duration: Duration::ZERO,
        }
    }
}

/// Restarts take the last one of this many parts of the window.
const RESTARTS: u32 = 3;

/// Spreads restarts over the end of the window.
///
/// All of them at the cut would queue their prompts at the endpoints that are left and push first tokens of new
/// requests past their target. Earlier than needed, they would give away what the leaving endpoint still generates.
/// Those with most tokens left go first: waiting would not let them finish in place.
fn spread(steps: &mut Vec<Step>, again: &[&Stream], window: Duration) {
    let mut order = again.to_vec();
    order.sort_by_key(|stream| (Reverse(stream.finishes_in()), stream.id));
    let turns = order.len().max(1) as u32;
    for (turn, stream) in order.iter().enumerate() {
        let action = if stream.resumable {
            Action::Resume
        } else {
            Action::StartOver
        };
        // A restart throws away what the leaving endpoint would still compute, so it goes at once.
        let after = match action {
            Action::StartOver => Duration::ZERO,
            _ => window * (RESTARTS - 1) / RESTARTS + window / RESTARTS * turn as u32 / turns,
        };
        steps.push(Step {
            after,
            ..Step::at_once(stream, action)
        });
    }
}

/// The time already promised on each link.
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

    /// Reserves link time for a move, when it fits into the notice and saves engine time.
    ///
    /// A transfer may take longer than recomputing and is still worth it: links are idle otherwise, while recomputing
    /// takes engine time from the endpoints that are left just when they have least. Urgent streams bound the pause.
    fn reserve(&mut self, stream: &Stream) -> Option<Step> {
        let bytes = u64::from(stream.context()) * self.notice.token_bytes;
        let own = transfer(bytes, self.notice.endpoint_link);
        let shared = transfer(bytes, self.notice.shared_link);
        let recompute = self.notice.speed.prompt_micros(stream.recompute() as f32);
        let saves = self.notice.import_time < Duration::from_micros(recompute as u64);
        let short = stream.urgency != Urgency::Urgent || own + self.notice.import_time <= self.notice.max_pause;
        if !(stream.movable && saves && short) {
            return None;
        }
        let start = self.endpoints[stream.endpoint].max(self.shared);
        let takes = own.max(shared);
        if start + takes + self.notice.import_time > self.window {
            return None;
        }
        self.endpoints[stream.endpoint] = start + takes;
        self.shared += shared;
        Some(Step {
            id: stream.id,
            action: Action::Move,
            // Reservations count back from the end: until its turn a stream goes on in place, where engine time is free.
            after: self.window.saturating_sub(start + takes + self.notice.import_time),
            duration: takes + self.notice.import_time,
        })
    }
}

fn transfer(bytes: u64, per_second: u64) -> Duration {
    const MICROS: u128 = 1_000_000;
    let micros = u128::from(bytes) * MICROS / u128::from(per_second.max(1));
    Duration::from_micros(micros as u64)
}
