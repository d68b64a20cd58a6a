//! Endpoints that pause, are cut off, die and leave the registry, and streams at them; times are in milliseconds.

use core::ops::Range;
use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::retry::Withdrawal;
use bergamotshift_limit::silence::Pulse;
use bergamotshift_limit::silence::Settings;
use bergamotshift_limit::silence::Watch;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

pub const TICK_MS: u64 = 10;
pub const SPAN_MS: u64 = 20_000;

/// Time after which a connection that is not accepted fails.
pub const CONNECT_MS: u64 = 250;

/// Age up to which a check may tell that an endpoint is not reached.
const EVIDENCE_MS: u64 = 1_000 + CONNECT_MS + TICK_MS;

pub fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

pub fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

/// Endpoint and its troubles.
#[derive(Debug)]
pub struct Endpoint {
    pub pauses: Vec<Range<u64>>,
    pub cut: Range<u64>,
    pub death: u64,
    pub removal: u64,
    pub pulse: Pulse,
}

impl Endpoint {
    pub fn draw(rng: &mut Pcg64Mcg, common: &Range<u64>) -> Self {
        let mut pauses: Vec<_> = (0..rng.random_range(0..4)).map(|_| draw_span(rng, 10..401)).collect();
        if rng.random_bool(0.7) {
            pauses.push(common.clone());
        }
        let mut cut = SPAN_MS..SPAN_MS;
        if rng.random_bool(0.4) {
            cut = draw_span(rng, 50..800);
            if rng.random_bool(0.5) {
                cut.end = u64::MAX;
            }
        }
        let mut draw_end = |from: u64| {
            if rng.random_bool(0.3) {
                from + rng.random_range(0..300) * TICK_MS
            } else {
                u64::MAX
            }
        };
        let (death, removal) = (draw_end(cut.start / 2), draw_end(cut.start));
        Self {
            pauses,
            cut,
            death,
            removal,
            pulse: Pulse::default(),
        }
    }

    pub fn accepts(&self, now: u64) -> bool {
        now < self.death && !self.cut.contains(&now)
    }

    pub fn answers(&self, now: u64) -> bool {
        self.accepts(now) && !self.pauses.iter().any(|pause| pause.contains(&now))
    }

    pub fn resets(&self, now: u64) -> bool {
        now >= self.death && !self.cut.contains(&now)
    }

    pub fn is_registered(&self, now: u64) -> bool {
        now < self.removal
    }

    /// Returns whether no check that is believed can tell that it is not reached.
    pub fn is_surely_reached(&self, now: u64) -> bool {
        self.accepts(now) && (now < self.cut.start || now >= self.cut.end.saturating_add(EVIDENCE_MS))
    }
}

pub fn draw_span(rng: &mut Pcg64Mcg, ticks: Range<u64>) -> Range<u64> {
    let start = rng.random_range(0..1_500) * TICK_MS;
    start..start + rng.random_range(ticks) * TICK_MS
}

/// Replacement that was sent, or whose connection is not accepted.
#[derive(Debug)]
pub struct Replacement<'a> {
    pub endpoint: usize,
    pub overlap: Option<Duration>,
    pub sent: u64,
    pub begins: u64,
    /// Time at which its connection fails, and what is given back then.
    pub refused: Option<(u64, Withdrawal<'a>)>,
}

#[derive(Debug)]
pub struct Stream<'a> {
    pub begin: u64,
    pub gap: u64,
    pub events: u64,
    pub limit: Duration,
    pub attempts: usize,
    pub sends: usize,
    pub tried: Vec<usize>,
    pub endpoint: Option<usize>,
    pub watch: Watch,
    pub wake: Instant,
    pub next_event: u64,
    pub replacement: Option<Replacement<'a>>,
    /// Time for which it could have gone on elsewhere, in milliseconds.
    pub late: u64,
    pub is_over: bool,
}

impl Stream<'_> {
    pub fn draw(rng: &mut Pcg64Mcg) -> Self {
        let limit = Duration::from_millis(rng.random_range(20..151) * 20);
        Self {
            begin: rng.random_range(0..800) * TICK_MS,
            gap: rng.random_range(1..20) * TICK_MS,
            events: rng.random_range(1..200),
            limit,
            attempts: rng.random_range(1..6),
            sends: 1,
            tried: Vec::new(),
            endpoint: None,
            watch: Watch::new(Settings::default(), limit, Instant::ZERO),
            wake: Instant::ZERO,
            next_event: 0,
            replacement: None,
            late: 0,
            is_over: false,
        }
    }

    pub fn begin_at(&mut self, endpoint: usize, pulse: &Pulse, now: u64) {
        pulse.begin(at(now));
        self.endpoint = Some(endpoint);
        self.watch = Watch::new(Settings::default(), self.limit, at(now));
        self.wake = at(now);
        self.next_event = now + self.gap;
        self.replacement = None;
        self.late = 0;
    }

    pub fn postpone(&mut self, now: u64, was_sent: bool) {
        self.replacement = None;
        self.watch.postpone(at(now), was_sent);
        self.wake = at(now);
        if !was_sent {
            // What is left only between two searches may go to other streams.
            self.late = self.late.min(millis(self.limit));
        }
    }
}
