//! Client that does with its streams what the daemons do.

use core::time::Duration;

use bergamotshift_limit::prelude::*;
use bergamotshift_limit::silence::Action;
use bergamotshift_limit::silence::Census;
use bergamotshift_limit::silence::Extent;
use bergamotshift_limit::silence::Path;
use bergamotshift_limit::silence::Settings;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::world::CONNECT_MS;
use crate::world::Endpoint;
use crate::world::Replacement;
use crate::world::SPAN_MS;
use crate::world::Stream;
use crate::world::TICK_MS;
use crate::world::at;
use crate::world::draw_span;
use crate::world::millis;

/// Broken promise to callers and endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The answer of a living, registered endpoint was ended.
    Ended,
    /// A stream stayed too long at an endpoint that is not reached.
    Late,
    /// A request was sent too often.
    Sends,
    /// Two endpoints worked on a stream for too long.
    Overlap,
    /// A stream moved from an endpoint that is reached while most are silent.
    Storm,
}

pub struct Client<'a> {
    rng: Pcg64Mcg,
    budget: &'a Budget,
    pub endpoints: Vec<Endpoint>,
    /// Checks that run: endpoint, begin, end, and whether the endpoint is reached.
    checks: Vec<(usize, u64, u64, bool)>,
    pub faults: Vec<(Fault, String)>,
    pub moves: u32,
    pub given_up: u32,
    pub dropped: u32,
    pub held: u32,
    now: u64,
}

impl<'a> Client<'a> {
    /// Plays streams of one client, and returns it with what it broke.
    pub fn play(seed: u64, endpoints: u8, streams: u8, budget: &'a Budget) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let common = draw_span(&mut rng, 10..401);
        let endpoints = (0..=endpoints % 12)
            .map(|_| Endpoint::draw(&mut rng, &common))
            .collect();
        let mut streams: Vec<_> = (0..=streams % 24).map(|_| Stream::draw(&mut rng)).collect();
        let mut client = Self {
            rng,
            budget,
            endpoints,
            checks: Vec::new(),
            faults: Vec::new(),
            moves: 0,
            given_up: 0,
            dropped: 0,
            held: 0,
            now: 0,
        };
        while client.now < SPAN_MS {
            client.end_checks();
            for stream in &mut streams {
                client.step(stream);
            }
            client.now += TICK_MS;
        }
        client
    }

    fn fault(&mut self, fault: Fault, stream: &Stream<'_>) {
        self.faults.push((fault, format!("{} ms: {stream:?}", self.now)));
    }

    fn end_checks(&mut self) {
        let now = self.now;
        for (endpoint, began, _, is_reached) in self.checks.extract_if(.., |(_, _, end, _)| *end <= now) {
            let endpoint = &self.endpoints[endpoint];
            let path = match (is_reached, endpoint.is_registered(now)) {
                (true, _) => Path::Reached,
                (false, true) => Path::Unreached,
                (false, false) => Path::Gone,
            };
            endpoint.pulse.record_path(at(began), path);
        }
    }

    fn step(&mut self, stream: &mut Stream<'a>) {
        if stream.is_over || self.now < stream.begin {
            return;
        }
        if self.now == stream.begin {
            self.begin(stream);
        }
        self.read(stream);
        self.follow(stream);
        if stream.is_over || stream.replacement.is_some() {
            return;
        }
        match stream.endpoint {
            Some(endpoint) => self.watch(stream, endpoint),
            None => stream.is_over = !self.search(stream, None),
        }
        self.judge(stream);
    }

    fn begin(&mut self, stream: &mut Stream<'a>) {
        self.budget.deposit();
        let first = self.rng.random_range(0..self.endpoints.len());
        let endpoint = &self.endpoints[first];
        stream.is_over = !endpoint.is_registered(self.now) || !endpoint.answers(self.now);
        if !stream.is_over {
            stream.tried.push(first);
            stream.begin_at(first, &endpoint.pulse, self.now);
        }
    }

    /// Reads the events of the attempt.
    fn read(&self, stream: &mut Stream<'a>) {
        let Some(endpoint) = stream.endpoint.map(|index| &self.endpoints[index]) else {
            return;
        };
        if endpoint.resets(self.now) {
            stream.endpoint = None;
        } else if endpoint.answers(self.now) && self.now >= stream.next_event {
            endpoint.pulse.record(at(self.now));
            stream.watch.record(at(self.now));
            stream.wake = at(self.now);
            stream.next_event = self.now + stream.gap;
            stream.replacement = None;
            stream.events -= 1;
            stream.is_over = stream.events == 0;
        }
        if stream.is_over || stream.endpoint.is_none() {
            endpoint.pulse.end();
        }
    }

    /// Follows the replacement until it begins, fails or has to end.
    fn follow(&mut self, stream: &mut Stream<'a>) {
        let now = self.now;
        let Some(replacement) = &stream.replacement else {
            return;
        };
        let (index, sent, overlap) = (replacement.endpoint, replacement.sent, replacement.overlap);
        let has_begun = now >= replacement.begins;
        if let Some((end, _)) = replacement.refused {
            if now >= end {
                stream.replacement = None;
                // The bound is that of the path as it is known now, unless the attempt has ended.
                let silent = stream.endpoint.map(|index| &self.endpoints[index]);
                let overlap = silent.and_then(|silent| {
                    let path = silent.pulse.path(stream.watch.heard());
                    stream.watch.overlap(path)
                });
                if !self.search(stream, overlap) {
                    stream.postpone(now, false);
                }
            }
            return;
        }
        let endpoint = &self.endpoints[index];
        let first = stream.endpoint.map(|first| &self.endpoints[first]);
        if endpoint.resets(now) {
            stream.postpone(now, true);
            stream.late = 0;
        } else if endpoint.answers(now) && has_begun {
            if let Some(first) = first {
                first.pulse.end();
            }
            stream.begin_at(index, &endpoint.pulse, now);
            self.moves += 1;
        } else if first.is_some() && overlap.is_some_and(|overlap| now >= sent + millis(overlap)) {
            if !endpoint.answers(now) {
                stream.late = 0;
            }
            stream.postpone(now, true);
            self.dropped += 1;
        } else if now - sent > millis(Settings::default().max_overlap)
            && first.is_some_and(|first| first.is_surely_reached(sent))
        {
            self.fault(Fault::Overlap, stream);
        }
    }

    /// Does what the watch says.
    fn watch(&mut self, stream: &mut Stream<'a>, index: usize) {
        let now = at(self.now);
        if now < stream.wake {
            return;
        }
        let silences = self.endpoints.iter().filter_map(|endpoint| endpoint.pulse.silence(now));
        let extent = silences
            .map(|silence| silence >= stream.limit / 2)
            .collect::<Census>()
            .extent();
        let endpoint = &self.endpoints[index];
        let since = stream.watch.heard();
        let ttl = stream.watch.settings().check_ttl;
        if now >= stream.watch.check_at() && endpoint.pulse.claim_check(now, since, ttl) {
            let is_reached = endpoint.accepts(self.now);
            let ms = if self.endpoints[index].cut.contains(&self.now) {
                CONNECT_MS
            } else {
                TICK_MS
            };
            self.checks.push((index, self.now, self.now + ms, is_reached));
        }
        match stream.watch.decide(now, endpoint.pulse.path(since), extent) {
            Action::Wait(until) => {
                assert!(until > now, "the client would spin");
                self.held += u32::from(extent == Extent::Common && now >= since + stream.limit);
                stream.wake = until;
            }
            Action::Replace { overlap } => {
                if extent == Extent::Common && endpoint.is_surely_reached(self.now) {
                    self.fault(Fault::Storm, stream);
                }
                if !self.search(stream, overlap) {
                    stream.postpone(self.now, false);
                }
            }
            Action::GiveUp => {
                endpoint.pulse.end();
                if self.now < endpoint.death && endpoint.is_registered(self.now) {
                    self.fault(Fault::Ended, stream);
                }
                self.given_up += 1;
                stream.endpoint = None;
            }
        }
    }

    /// Returns the endpoints at which the stream may go on.
    fn untried(&self, stream: &Stream<'a>) -> Vec<usize> {
        let is_left = |index: &usize| self.endpoints[*index].is_registered(self.now) && !stream.tried.contains(index);
        (0..self.endpoints.len()).filter(is_left).collect()
    }

    /// Sends a replacement, and returns whether there was one.
    fn search(&mut self, stream: &mut Stream<'a>, overlap: Option<Duration>) -> bool {
        let untried = self.untried(stream);
        if untried.is_empty() || stream.sends >= stream.attempts {
            return false;
        }
        let Some(withdrawal) = self.budget.withdraw() else {
            return false;
        };
        let endpoint = untried[self.rng.random_range(0..untried.len())];
        stream.tried.push(endpoint);
        let refused = if self.endpoints[endpoint].accepts(self.now) {
            withdrawal.spend();
            stream.sends += 1;
            None
        } else {
            Some((self.now + CONNECT_MS, withdrawal))
        };
        if stream.sends > stream.attempts {
            self.fault(Fault::Sends, stream);
        }
        stream.replacement = Some(Replacement {
            endpoint,
            overlap,
            sent: self.now,
            begins: self.now + self.rng.random_range(1..150) * TICK_MS,
            refused,
        });
        true
    }

    /// Checks that a stream leaves an endpoint that is not reached in time.
    fn judge(&mut self, stream: &mut Stream<'a>) {
        let Some(endpoint) = stream.endpoint.map(|index| &self.endpoints[index]) else {
            return;
        };
        if endpoint.accepts(self.now) {
            stream.late = 0;
            return;
        }
        let mut untried = self.untried(stream).into_iter();
        let can_move = stream.replacement.is_none()
            && stream.sends < stream.attempts
            && self.budget.available() > 0
            && untried.any(|index| self.endpoints[index].answers(self.now));
        stream.late += if can_move { TICK_MS } else { 0 };
        if stream.late > millis(stream.limit) + CONNECT_MS {
            self.fault(Fault::Late, stream);
        }
    }
}
