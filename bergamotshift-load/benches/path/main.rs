//! What an entry adds to a request and to each token, beside a bare hop and a direct call, in one run.
//!
//! `cargo bench -p bergamotshift-load --bench path -- [rate|saturation|streams] [--check] [--control]`
//!
//! The endpoint, the hop and the entry each run as a process of their own, so that their memory and threads are their
//! own. Rounds alternate between the paths, since other work on the machine changes from second to second; a figure
//! is the median of its rounds. With `--check` a bound that is missed makes the exit code 1. With
//! `--control` a second hop stands in the entry's place.

mod closed;
mod figure;
mod rate;
mod role;
mod saturation;
mod streams;
mod upstream;

use std::env;
use std::process::ExitCode;

use figure::Bounds;
use role::Child;
use role::Role;

fn main() -> ExitCode {
    let words: Vec<String> = env::args().skip(1).filter(|word| word != "--bench").collect();
    if words.first().is_some_and(|word| word == role::FLAG) {
        role::serve(&words[1..]);
        return ExitCode::SUCCESS;
    }
    let chosen = |name: &str| {
        let named = words.iter().any(|word| !word.starts_with("--"));
        !named || words.iter().any(|word| word == name)
    };
    let site = Site::start(words.iter().any(|word| word == "--control"));
    let mut bounds = Bounds::default();
    if chosen("rate") {
        rate::measure(&site, &mut bounds);
    }
    if chosen("saturation") {
        saturation::measure(&site, &mut bounds);
    }
    if chosen("streams") {
        streams::measure(&site, &mut bounds);
    }
    println!("\n{bounds}");
    let failed = words.iter().any(|word| word == "--check") && bounds.missed();
    if failed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

/// Threads of the hop and of the entry.
const THREADS: usize = 4;

/// The processes that are measured.
#[derive(Debug)]
struct Site {
    upstream: Child,
    /// The entry's model endpoint; it lives as long as the entry.
    #[expect(dead_code, reason = "the process is held, not asked")]
    model: Child,
    hop: Child,
    entry: Child,
}

impl Site {
    fn start(control: bool) -> Self {
        let upstream = Child::start(Role::Upstream);
        let model = Child::start(Role::Upstream);
        let hop = Child::start(Role::Hop(upstream.address));
        // A second hop in the entry's place shows how far the figures move by themselves.
        let role = if control {
            Role::Hop(upstream.address)
        } else {
            Role::Entry(upstream.address, model.address)
        };
        let entry = Child::start(role);
        Self {
            upstream,
            model,
            hop,
            entry,
        }
    }

    /// Returns the three paths to the endpoint.
    fn paths(&self) -> [(&'static str, &Child); 3] {
        [("direct", &self.upstream), ("hop", &self.hop), ("entry", &self.entry)]
    }
}
