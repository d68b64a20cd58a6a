//! Settings of a model engine.

use core::time::Duration;

use smol_str::SmolStr;

/// Settings of a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The VM's name.
    pub name: SmolStr,
    /// The service's name.
    pub service: SmolStr,
    /// The availability zone.
    pub zone: SmolStr,
    /// The models it serves; empty means any.
    pub models: Vec<SmolStr>,
    /// The version that its answers state in `system_fingerprint`; empty if they state none.
    pub version: SmolStr,
    /// Requests in a full batch.
    pub slots: u32,
    /// Time between tokens of a request that runs alone.
    pub token_interval: Duration,
    /// What each further request in the batch adds to the time between tokens.
    pub interval_per_request: Duration,
    /// Time to the first token of an empty prompt.
    pub first_token: Duration,
    /// What each prompt token that is not cached adds to the time to the first token.
    pub prefill_per_token: Duration,
    /// Prompt tokens that the prefix cache keeps.
    pub cache_tokens: u32,
    /// Tokens of a block of the prefix cache.
    pub block_tokens: u32,
    /// How many of the newest cache events are held back.
    pub event_lag: u64,
    /// How many reports the load report is behind.
    pub load_lag: usize,
    /// Bytes of KV cache that a token takes.
    pub kv_bytes_per_token: u64,
    /// How fast KV cache is imported.
    pub kv_bytes_per_second: u64,
    /// How long a model or adapter takes to load.
    pub load_time: Duration,
    /// Whether orders with an old fencing number, or none, are refused.
    pub checks_fencing: bool,
    /// Tokens of an answer whose request sets no maximum.
    pub answer_tokens: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: SmolStr::new_static("engine-1"),
            service: SmolStr::new_static("llm"),
            zone: SmolStr::new_static("zone-a"),
            models: Vec::new(),
            version: SmolStr::default(),
            slots: 16,
            token_interval: Duration::from_millis(1),
            interval_per_request: Duration::ZERO,
            first_token: Duration::from_millis(1),
            prefill_per_token: Duration::ZERO,
            cache_tokens: 4096,
            block_tokens: 16,
            event_lag: 0,
            load_lag: 0,
            kv_bytes_per_token: 1 << 17,
            kv_bytes_per_second: 10 << 30,
            load_time: Duration::ZERO,
            checks_fencing: true,
            answer_tokens: 16,
        }
    }
}
