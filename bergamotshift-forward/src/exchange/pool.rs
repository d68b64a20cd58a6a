//! Pool of the idle connections of one thread.

use core::net::SocketAddr;
use core::time::Duration;
use std::collections::HashMap;

use bergamotshift_core::prelude::*;
use ntex::http::HeaderMap;

use super::connection::Connection;

/// Time for which an idle connection is kept when the endpoint states none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Maximum time for which an idle connection is kept. Nothing shows whether its peer can still be reached, and a
/// request that is sent without getting a response may have run.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Time subtracted from an endpoint's keep-alive timeout, so that it does not close a connection that is just being
/// reused.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);

/// Maximum number of idle connections to one endpoint; endpoints accept a few hundred from all entries together.
const MAX_IDLE_PER_ADDRESS: usize = 24;

/// Idle connection, and the time until which it may be reused.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// Pool of idle connections by address, the most recently used one first.
#[derive(Debug, Default)]
pub struct Pool {
    idle: HashMap<SocketAddr, Vec<Idle>>,
}

impl Pool {
    /// Takes a connection that can carry another exchange.
    pub fn take(&mut self, now: Instant, address: SocketAddr) -> Option<Connection> {
        let idle = self.idle.get_mut(&address)?;
        while let Some(pooled) = idle.pop() {
            if pooled.until > now && pooled.connection.is_reusable() {
                return Some(pooled.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after an exchange; `headers` are those of the last response.
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

    /// Closes connections that were idle for too long, and those to addresses that are no longer in use.
    pub fn sweep(&mut self, now: Instant, is_in_use: impl Fn(SocketAddr) -> bool) {
        self.idle.retain(|address, idle| {
            idle.retain(|pooled| pooled.until > now);
            !idle.is_empty() && is_in_use(*address)
        });
    }
}

/// Returns the time for which the endpoint keeps an idle connection.
fn keep_alive(headers: &HeaderMap) -> Duration {
    let text = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = text.and_then(|text| {
        let mut fields = text.split(',').map(str::trim);
        fields.find_map(|field| field.strip_prefix("timeout="))?.parse().ok()
    });
    seconds.map_or(DEFAULT_KEEP_ALIVE, Duration::from_secs)
}
