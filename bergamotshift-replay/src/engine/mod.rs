//! A small model of an engine that batches continuously.
//!
//! The engine computes in steps. A step gives each running sequence one token; while prompts wait, it also computes one
//! chunk of the first of them. Between two changes of the batch all steps take equally long, so the model jumps from
//! change to change instead of counting steps. Prompts are served by urgency, then in the order of arrival; an urgent
//! prompt that finds no slot pushes a deferrable sequence back into the queue.

mod cache;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bergamotshift_core::load::Report;
use bergamotshift_core::prelude::*;
use bergamotshift_route::estimate::Speed;

pub use cache::Cache;
pub use cache::Change;

use crate::workload::Chain;

/// Names a job of the replay.
pub type Job = u32;

/// What an engine is asked to run.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// The job.
    pub job: Job,
    /// Its precedence.
    pub urgency: Urgency,
    /// The blocks of its prompt and answer.
    pub chain: Chain,
    /// Tokens that must be computed before the next token: the prompt and what was generated elsewhere.
    pub context: u32,
    /// Tokens to generate.
    pub left: u32,
    /// Whether its KV cache came along, so that nothing needs computing.
    pub imported: bool,
}

/// What an engine did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// It began to compute a prompt, of which the cache held this many tokens.
    Prefill {
        /// The job.
        job: Job,
        /// Tokens found in the cache.
        cached: u32,
        /// Tokens of the prompt and of what was generated before.
        context: u32,
    },
    /// A job's first token after a prefill came out.
    Token {
        /// The job.
        job: Job,
    },
    /// A job's last token came out.
    Done {
        /// The job.
        job: Job,
    },
}

/// One token, in the units of the engine's token clock.
const TOKEN: u64 = 1_000_000;
const NANOS_PER_MICRO: u128 = 1_000;

#[derive(Clone, Copy, Debug)]
struct Prompt {
    work: Work,
    /// What is left to compute, in millionths of a token, once begun.
    left: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Sequence {
    work: Work,
    /// The token clock when it began.
    begun: u64,
}

type Place = (Urgency, u64);

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    speed: Speed,
    block_tokens: u32,
    clock: Instant,
    /// Millionths of tokens that each sequence would have got since the engine started.
    tokens: u64,
    running: BTreeMap<(u64, Job), Sequence>,
    deferrable: BTreeSet<(u64, Job)>,
    queue: BTreeMap<Place, Prompt>,
    arrivals: u64,
    cache: Cache,
    reports: u64,
    reported: (Instant, u64),
    /// Counts changes of the batch: an event planned before the last one is void.
    pub generation: u64,
}

impl Engine {
    /// Makes an idle engine.
    pub fn new(speed: Speed, cache_blocks: usize, block_tokens: u32, now: Instant) -> Self {
        Self {
            speed,
            block_tokens,
            clock: now,
            tokens: 0,
            running: BTreeMap::new(),
            deferrable: BTreeSet::new(),
            queue: BTreeMap::new(),
            arrivals: 0,
            cache: Cache::new(cache_blocks),
            reports: 0,
            reported: (now, 0),
            generation: 0,
        }
    }

    /// Returns how many jobs run or wait.
    pub fn len(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Returns the work that waits.
    pub fn queued(&self) -> impl Iterator<Item = &Work> {
        self.queue.values().map(|prompt| &prompt.work)
    }

    /// Returns whether nothing runs or waits.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    /// Returns the jobs that run or wait with what they have generated here.
    pub fn jobs(&self) -> Vec<(Work, u32)> {
        let waiting = self.queue.values().map(|prompt| (prompt.work, 0));
        let running = self
            .running
            .values()
            .map(|sequence| (sequence.work, self.generated(sequence)));
        running.chain(waiting).collect()
    }

    /// Returns the time between tokens at the moment, in microseconds.
    pub fn step_micros(&self) -> u64 {
        self.step_nanos() / NANOS_PER_MICRO as u64
    }

    /// Takes cache changes that were not published yet.
    pub fn take_change(&mut self) -> Change {
        self.cache.take_change()
    }

    /// Adds a job.
    pub fn add(&mut self, work: Work) {
        self.arrivals += 1;
        self.queue
            .insert((work.urgency, self.arrivals), Prompt { work, left: None });
    }

    /// Takes a job out and returns it with what it has generated here.
    pub fn remove(&mut self, job: Job) -> Option<(Work, u32)> {
        if let Some(key) = self.running.keys().find(|key| key.1 == job).copied() {
            let sequence = self.running.remove(&key)?;
            self.deferrable.remove(&key);
            return Some((sequence.work, self.generated(&sequence)));
        }
        let place = self
            .queue
            .iter()
            .find(|(_, prompt)| prompt.work.job == job)
            .map(|(place, _)| *place)?;
        self.queue.remove(&place).map(|prompt| (prompt.work, 0))
    }

    /// Moves the model on to `now` and collects what happened at this moment.
    pub fn run(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.advance(now);
        self.finish(out);
        self.admit(out);
        self.generation += 1;
    }

    /// Returns when the batch changes next by itself.
    pub fn next_change(&self) -> Option<Instant> {
        let finish = self.running.keys().next().map(|key| key.0.saturating_sub(self.tokens));
        let steps = self.head().map(|prompt| {
            let left = prompt.left.unwrap_or(0);
            left.div_ceil(u64::from(self.speed.chunk_tokens.max(1)))
        });
        let tokens = finish.into_iter().chain(steps).min()?;
        let nanos = u128::from(tokens) * u128::from(self.step_nanos());
        let micros = nanos.div_ceil(u128::from(TOKEN) * NANOS_PER_MICRO) as u64;
        Some(Instant::from_micros(self.clock.as_micros() + micros))
    }

    /// Returns a load report.
    pub fn report(&mut self, now: Instant) -> Report {
        let (since, before) = self.reported;
        let micros = now.since(since).as_micros().max(1) as u64;
        let steps_milli = (self.tokens - before) * 1_000 / micros;
        self.reported = (now, self.tokens);
        self.reports += 1;
        let backlog: u64 = self
            .queue
            .values()
            .map(|prompt| prompt.left.map_or(u64::from(prompt.work.context), |left| left / TOKEN))
            .sum();
        Report {
            sequence: self.reports,
            running: self.running.len() as u32,
            waiting: self.queue.len() as u32,
            slots: self.speed.slots,
            prefill_backlog: backlog as u32,
            decode_rate: (self.running.len() as u64 * steps_milli / 1_000) as u32,
            ..Report::default()
        }
    }

    fn generated(&self, sequence: &Sequence) -> u32 {
        (((self.tokens - sequence.begun) / TOKEN) as u32).min(sequence.work.left)
    }

    fn head(&self) -> Option<&Prompt> {
        let free = self.running.len() < self.speed.slots as usize;
        self.queue.values().next().filter(|_| free)
    }

    fn step_nanos(&self) -> u64 {
        let speed = &self.speed;
        let decode = u64::from(speed.step_nanos) + u64::from(speed.sequence_nanos) * self.running.len() as u64;
        let chunk = u64::from(speed.prompt_token_nanos) * u64::from(speed.chunk_tokens);
        if self.head().is_some() { decode + chunk } else { decode }
    }

    fn advance(&mut self, now: Instant) {
        let nanos = now.since(self.clock).as_nanos();
        self.clock = self.clock.max(now);
        if self.is_empty() {
            return;
        }
        let tokens = (nanos * u128::from(TOKEN) / u128::from(self.step_nanos())) as u64;
        let chunk = u64::from(self.speed.chunk_tokens);
        if self.head().is_some()
            && let Some(prompt) = self.queue.values_mut().next()
        {
            prompt.left = prompt.left.map(|left| left.saturating_sub(tokens * chunk));
        }
        self.tokens += tokens;
    }

    /// Ends sequences and prompts that are complete.
    fn finish(&mut self, out: &mut Vec<Output>) {
        while let Some((&key, sequence)) = self.running.first_key_value()
            && key.0 <= self.tokens
        {
            out.push(Output::Done { job: key.1 });
            let work = sequence.work;
            self.running.remove(&key);
            self.deferrable.remove(&key);
            let whole = work.context + work.left;
            self.cache.insert(work.chain.blocks(whole, self.block_tokens));
        }
        while let Some((&place, prompt)) = self.queue.first_key_value()
            && prompt.left == Some(0)
            && self.running.len() < self.speed.slots as usize
        {
            let work = prompt.work;
            self.queue.remove(&place);
            self.cache.insert(work.chain.blocks(work.context, self.block_tokens));
            out.push(Output::Token { job: work.job });
            self.start(work, out);
        }
    }

    fn start(&mut self, work: Work, out: &mut Vec<Output>) {
        // The step that ends the prompt gives the first token.
        let more = u64::from(work.left.saturating_sub(1));
        if more == 0 {
            out.push(Output::Done { job: work.job });
            return;
        }
        let key = (self.tokens + more * TOKEN, work.job);
        let begun = self.tokens.saturating_sub(TOKEN);
        if work.urgency == Urgency::Deferrable {
            self.deferrable.insert(key);
        }
        self.running.insert(key, Sequence { work, begun });
    }

    /// Makes room for an urgent prompt and begins the first one that is not begun.
    fn admit(&mut self, out: &mut Vec<Output>) {
        let urgent = self.queue.keys().next().is_some_and(|place| place.0 == Urgency::Urgent);
        if urgent
            && self.running.len() >= self.speed.slots as usize
            && let Some(key) = self.deferrable.pop_last()
            && let Some(sequence) = self.running.remove(&key)
        {
            let generated = self.generated(&sequence);
            self.add(Work {
                context: sequence.work.context + generated,
                left: (sequence.work.left - generated).max(1),
                imported: false,
                ..sequence.work
            });
        }
        if self.head().is_none() {
            return;
        }
        let Some(prompt) = self.queue.values_mut().next() else {
            return;
        };
        if prompt.left.is_some() {
            return;
        }
        let work = prompt.work;
        let held = self.cache.hit(work.chain.blocks(work.context, self.block_tokens)) * self.block_tokens;
        let cached = if work.imported {
            work.context
        } else {
            held.min(work.context)
        };
        prompt.left = Some(u64::from(work.context - cached).max(1) * TOKEN);
        out.push(Output::Prefill {
            job: work.job,
            cached,
            context: work.context,
        });
    }
}
