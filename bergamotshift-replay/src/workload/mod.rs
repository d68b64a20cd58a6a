//! Seeded workloads: who asks for what, and when.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use rand::Rng as _;
use rand_pcg::Pcg64Mcg;

mod sites;

pub use sites::mapa_night;
pub use sites::oranjehal_day;
pub use sites::target_size;

/// Where the blocks of a prompt come from: a template that many requests share, then what the session adds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Chain {
    /// The template.
    pub template: u64,
    /// Blocks of the template at the start of the prompt.
    pub template_blocks: u32,
    /// The session, unique to its requests.
    pub session: u64,
}

impl Chain {
    /// Returns the hashes of the whole blocks in the first `tokens` tokens.
    pub fn blocks(self, tokens: u32, block_tokens: u32) -> impl Iterator<Item = u64> {
        (0..tokens / block_tokens).map(move |number| {
            let source = if number < self.template_blocks {
                self.template
            } else {
                self.session
            };
            mix(source ^ (u64::from(number) << 40))
        })
    }
}

/// Scrambles bits, so that neighbouring numbers give unrelated hashes (the finaliser of `SplitMix64`).
pub(crate) const fn mix(bits: u64) -> u64 {
    let bits = bits.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    bits ^ (bits >> 31)
}

/// Which kind of service a request goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Service {
    /// A language model.
    Model,
    /// A plain service with short answers.
    Plain,
}

/// One request of a workload.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// When it arrives.
    pub at: Instant,
    /// The service.
    pub service: Service,
    /// The organisation's number.
    pub organisation: u8,
    /// How soon the answer is needed.
    pub urgency: Urgency,
    /// Prompt tokens.
    pub prompt: u32,
    /// Tokens of the answer, which no policy knows beforehand.
    pub answer: u32,
    /// Tokens of the answer as the service's rules expect them.
    pub answer_expected: u32,
    /// The blocks of prompt and answer.
    pub chain: Chain,
    /// Target for the first token, or for the whole answer of a plain service.
    pub first_token: Duration,
    /// Target for the time between tokens.
    pub between_tokens: Duration,
    /// The last moment at which the answer is of use.
    pub deadline: Instant,
    /// Whether it crashes whatever runs it.
    pub poison: bool,
}

/// One kind of request in a workload.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// The service.
    pub service: Service,
    /// How soon answers are needed.
    pub urgency: Urgency,
    /// Sessions begun per second at a load factor of 1.
    pub rate: f64,
    /// Requests of a session, the first included; each adds to the prompt of the last.
    pub turns: u32,
    /// Mean time between the answer's expected end and the session's next request.
    pub pause: Duration,
    /// Templates of each organisation.
    pub templates: u64,
    /// Blocks of a template.
    pub template_blocks: u32,
    /// Least and most prompt tokens that a request adds.
    pub prompt: (u32, u32),
    /// Least and most tokens of an answer.
    pub answer: (u32, u32),
    /// Target for the first token, or for the whole answer of a plain service.
    pub first_token: Duration,
    /// Time from arrival to deadline.
    pub deadline: Duration,
}

/// A workload: kinds of requests, organisations with their shares, and the load over time.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The kinds.
    pub mixes: Vec<Mix>,
    /// The share of each organisation; they sum to 1.
    pub organisations: Vec<f64>,
    /// The load factor at equally spaced points of the span, with straight lines between them.
    pub shape: Vec<f64>,
    /// How long requests arrive.
    pub span: Duration,
    /// Tokens per block.
    pub block_tokens: u32,
}

/// The target for the time between tokens.
pub const BETWEEN_TOKENS: Duration = Duration::from_millis(77);

impl Workload {
    /// Returns the load factor at a moment.
    pub fn factor(&self, at: Instant) -> f64 {
        let last = self.shape.len().saturating_sub(1);
        let place = at.as_micros() as f64 / self.span.as_micros().max(1) as f64 * last as f64;
        let left = (place as usize).min(last);
        let right = (left + 1).min(last);
        let share = place - left as f64;
        self.shape[left] * (1.0 - share) + self.shape[right] * share
    }

    /// Draws the requests in the order of their arrival.
    pub fn draw(&self, seed: u64) -> Vec<Request> {
        let mut requests = Vec::new();
        for (number, mix) in self.mixes.iter().enumerate() {
            // A generator of its own for each kind: a change of one leaves the others as they were.
            let mut rng = Pcg64Mcg::new(u128::from(self::mix(seed ^ (number as u64) << 32)) | 1);
            self.draw_mix(mix, number as u64, &mut rng, &mut requests);
        }
        requests.sort_by_key(|request| request.at);
        requests
    }

    fn draw_mix(&self, mix: &Mix, number: u64, rng: &mut Pcg64Mcg, requests: &mut Vec<Request>) {
        let peak = self.shape.iter().copied().fold(0.0, f64::max);
        let mut at = 0.0;
        let mut sessions = 0;
        loop {
            at += exponential(rng) / (mix.rate * peak);
            if at >= self.span.as_secs_f64() {
                return;
            }
            let start = Instant::from_micros((at * 1e6) as u64);
            // Thinning: a candidate at the peak rate stays with the share that the load has now.
            if unit(rng) * peak <= self.factor(start) {
                sessions += 1;
                self.draw_session(mix, number << 32 | sessions, start, rng, requests);
            }
        }
    }

    fn draw_session(&self, mix: &Mix, session: u64, start: Instant, rng: &mut Pcg64Mcg, out: &mut Vec<Request>) {
        let organisation = self.draw_organisation(rng);
        let template = self::mix(u64::from(organisation) << 48 | draw_below(rng, mix.templates.max(1)));
        let chain = Chain {
            template,
            template_blocks: mix.template_blocks,
            session: self::mix(session | 1 << 63),
        };
        let mut at = start;
        let mut history = mix.template_blocks * self.block_tokens;
        for _ in 0..mix.turns {
            let prompt = history + draw_between(rng, mix.prompt);
            let answer = draw_between(rng, mix.answer).max(1);
            out.push(Request {
                at,
                service: mix.service,
                organisation,
                urgency: mix.urgency,
                prompt,
                answer,
                answer_expected: u32::midpoint(mix.answer.0, mix.answer.1).max(1),
                chain,
                first_token: mix.first_token,
                between_tokens: BETWEEN_TOKENS,
                deadline: at + mix.deadline,
                poison: false,
            });
            history = prompt + answer;
            at = at + BETWEEN_TOKENS * answer + mix.pause.mul_f64(0.5 + unit(rng));
            if at.as_micros() >= self.span.as_micros() as u64 {
                return;
            }
        }
    }

    fn draw_organisation(&self, rng: &mut Pcg64Mcg) -> u8 {
        let mut left = unit(rng);
        for (number, share) in self.organisations.iter().enumerate() {
            left -= share;
            if left < 0.0 {
                return number as u8;
            }
        }
        self.organisations.len().saturating_sub(1) as u8
    }
}

/// Returns a number from 0 up to, not including, 1.
pub(crate) fn unit(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

fn exponential(rng: &mut Pcg64Mcg) -> f64 {
    -(1.0 - unit(rng)).ln()
}

pub(crate) fn draw_below(rng: &mut Pcg64Mcg, bound: u64) -> u64 {
    (unit(rng) * bound as f64) as u64
}

fn draw_between(rng: &mut Pcg64Mcg, (least, most): (u32, u32)) -> u32 {
    least + draw_below(rng, u64::from(most.saturating_sub(least)) + 1) as u32
}
