//! Idle connections of one thread.

use core::net::SocketAddr;
use core::time::Duration;
use std::collections::HashMap;

use bergamotshift_core::prelude::*;
use ntex::http::HeaderMap;

use super::connection::Connection;

/// How long an idle connection is kept when the endpoint does not say.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// The longest time that an idle connection is kept. Nothing tells whether its peer is still reached, and a request that is
/// sent into silence may have run.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(1);

/// What is taken off an endpoint's own figure, so that it does not close a connection just as it is used again.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);

/// The most idle connections to one endpoint; endpoints take a few hundred from all entries together.
const MAX_IDLE_PER_ADDRESS: usize = 24;

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// Idle connections by endpoint, the one used last first.
#[derive(Debug, Default)]
pub struct Pool {
    idle: HashMap<SocketAddr, Vec<Idle>>,
}

impl Pool {
    /// Takes a connection that may carry another exchange.
    pub fn take(&mut self, now: Instant, address: SocketAddr) -> Option<Connection> {
        let idle = self.idle.get_mut(&address)?;
        while let Some(entry) = idle.pop() {
            if entry.until > now && entry.connection.is_reusable() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Takes back a connection whose exchange ended; `answer` are the headers of its last answer.
    pub fn put(&mut self, now: Instant, address: SocketAddr, connection: Connection, headers: &HeaderMap) {
        if !connection.is_reusable() {
            return;
        }
        let keep_alive = keep_alive(headers)
            .saturating_sub(KEEP_ALIVE_MARGIN)
            .min(MAX_KEEP_ALIVE);
        if keep_alive.is_zero() {
            return;
        }
        let idle = self.idle.entry(address).or_default();
        if idle.len() < MAX_IDLE_PER_ADDRESS {
            let until = now + keep_alive;
            idle.push(Idle { connection, until });
        }
    }

    /// Closes what was idle for too long, and all connections to an address that is no endpoint any more.
    pub fn sweep(&mut self, now: Instant, is_endpoint: impl Fn(SocketAddr) -> bool) {
        self.idle.retain(|address, idle| {
            idle.retain(|entry| entry.until > now);
            !idle.is_empty() && is_endpoint(*address)
        });
    }
}

/// Returns how long the endpoint keeps the connection.
fn keep_alive(headers: &HeaderMap) -> Duration {
    let text = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = text.and_then(|text| {
        let mut fields = text.split(',').map(str::trim);
        fields.find_map(|field| field.strip_prefix("timeout="))?.parse().ok()
    });
    seconds.map_or(DEFAULT_KEEP_ALIVE, Duration::from_secs)
}
