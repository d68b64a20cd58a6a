//! KV cache that leaves one engine and arrives at another.

use core::net::SocketAddr;
use core::time::Duration;
use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::settings::Settings;

/// What `POST /_kv/export` takes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Export {
    /// The attempt whose KV cache is wanted; it must be in the batch.
    pub attempt: SmolStr,
}

/// KV cache that another engine can take while its owner lives.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Handle {
    /// Names it at its owner.
    pub handle: SmolStr,
    /// Tokens it covers: the prompt and what was generated so far.
    pub tokens: u32,
    /// Its size.
    pub bytes: u64,
}

/// What `POST /_kv/import` takes; it answers once the transfer is done.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Import {
    /// What the export answered.
    #[serde(flatten)]
    pub handle: Handle,
    /// Where the owner listens.
    pub source: SocketAddr,
}

/// Tokens that were imported, by prompt digest.
#[derive(Debug, Default)]
pub(super) struct Imported {
    tokens: BTreeMap<u64, u32>,
}

impl Imported {
    /// Keeps what a handle covers; returns false when the handle is none of an engine's.
    pub(super) fn take(&mut self, handle: &Handle) -> bool {
        let Some(digest) = handle
            .handle
            .strip_prefix("kv-")
            .and_then(|digits| u64::from_str_radix(digits, 16).ok())
        else {
            return false;
        };
        self.tokens.insert(digest, handle.tokens);
        true
    }

    /// Returns and forgets the tokens imported for a prompt.
    pub(super) fn spend(&mut self, digest: u64) -> u32 {
        self.tokens.remove(&digest).unwrap_or(0)
    }
}

/// Makes the handle of a request in the batch.
pub(super) fn export(settings: &Settings, digest: u64, tokens: u32) -> Handle {
    Handle {
        handle: SmolStr::new(format!("kv-{digest:016x}")),
        tokens,
        bytes: u64::from(tokens) * settings.kv_bytes_per_token,
    }
}

/// Returns how long a transfer takes.
pub(super) fn transfer(settings: &Settings, handle: &Handle) -> Duration {
    Duration::from_secs_f64(handle.bytes as f64 / settings.kv_bytes_per_second.max(1) as f64)
}
