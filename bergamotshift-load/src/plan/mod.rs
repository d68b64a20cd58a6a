//! What a run does: where the load goes, how much of what, and which faults fall into it.

mod validate;

use core::fmt;
use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;

use bergamotshift_core::name;
use smol_str::SmolStr;

use crate::arrival::Process;
use crate::fault;
use crate::ledger;
use crate::work::Kind;

/// One kind of request and its part of the mix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The kind.
    pub kind: Kind,
    /// Its part, relative to the other shares' weights.
    pub weight: u32,
    /// The model that is asked; unused by plain kinds.
    pub model: name::Model,
    /// The path of plain kinds and of jobs to a plain service; model kinds know theirs.
    pub path: SmolStr,
    /// Tokens asked for.
    pub max_tokens: u32,
    /// Words in a prompt, or in the body of a plain request.
    pub words: u32,
    /// How many entries get the same request at once, under one key; only `Kind::Once` sends more than one.
    pub sends: u32,
}

impl Default for Share {
    fn default() -> Self {
        Self {
            kind: Kind::Get,
            weight: 1,
            model: name::Model::default(),
            path: SmolStr::new_static("/"),
            max_tokens: 32,
            words: 24,
            sends: 1,
        }
    }
}

/// An endpoint whose ledger tells what truly ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The VM's name, as fault plans name it.
    pub name: name::Vm,
    /// The service.
    pub service: name::Service,
    /// The availability zone.
    pub zone: name::Zone,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Settings of a run.
#[derive(Clone)]
pub struct Plan {
    /// The entries' addresses for callers; loopback only.
    pub callers: Vec<SocketAddr>,
    /// The bearer key that goes with each request.
    pub key: SmolStr,
    /// What is asked; empty is refused.
    pub mix: Vec<Share>,
    /// Mean requests per second.
    pub rate: f64,
    /// How the arrivals are spread.
    pub arrival: Process,
    /// How long requests are started.
    pub duration: Duration,
    /// How long a caller keeps coming back for one request before it gives up.
    pub patience: Duration,
    /// How long a stream or an answer may stay silent before its caller tries elsewhere.
    pub silence: Duration,
    /// How often a caller follows the `Retry-After` of a refusal.
    pub returns: u32,
    /// Requests in flight at most; one that is due waits, and its latency counts from when it was due.
    pub concurrency: usize,
    /// Threads that send.
    pub threads: usize,
    /// Seeds arrivals, mix and prompts; the same seed asks the same.
    pub seed: u64,
    /// Starts every idempotency key, so that two runs never share one; empty takes the time of day.
    pub label: SmolStr,
    /// The endpoints whose ledgers are read over HTTP.
    pub endpoints: Vec<Endpoint>,
    /// Where ledgers come from; absent reads them from `endpoints` over HTTP.
    pub ledgers: Option<Arc<dyn ledger::Source>>,
    /// Plain endpoints that are also called directly, for the latency that the system adds.
    pub direct: Vec<SocketAddr>,
    /// Direct calls per second over all of `direct`.
    pub direct_rate: f64,
    /// The faults and their times.
    pub faults: fault::Schedule,
    /// What carries the faults out; a plan with faults needs one.
    pub target: Option<Arc<dyn fault::Target>>,
    /// Whether a line per second goes to the standard error stream.
    pub progress: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            callers: Vec::new(),
            key: SmolStr::default(),
            mix: Vec::new(),
            rate: 50.0,
            arrival: Process::Constant,
            duration: Duration::from_secs(10),
            patience: Duration::from_secs(30),
            silence: Duration::from_secs(10),
            returns: 3,
            concurrency: 2_000,
            threads: 2,
            seed: 1,
            label: SmolStr::default(),
            endpoints: Vec::new(),
            ledgers: None,
            direct: Vec::new(),
            direct_rate: 20.0,
            faults: fault::Schedule::default(),
            target: None,
            progress: false,
        }
    }
}

impl fmt::Debug for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The bearer key stays out of logs.
        f.debug_struct("Plan")
            .field("callers", &self.callers)
            .field("mix", &self.mix)
            .field("rate", &self.rate)
            .field("arrival", &self.arrival)
            .field("duration", &self.duration)
            .field("seed", &self.seed)
            .field("faults", &self.faults)
            .finish_non_exhaustive()
    }
}
