//! Calls to other entries.

use core::cell::RefCell;
use core::fmt::Debug;
use core::net::SocketAddr;
use core::time::Duration;
use std::collections::HashMap;

use bergamotshift_core::throughput::Throughput;
use bergamotshift_platform::Future;
use ntex::http::StatusCode;
use thiserror::Error as ThisError;

use super::message::Reply;
use super::task::PATH;
use super::update;
use super::update::Download;
use crate::exchange;
use crate::exchange::Connection;
use crate::exchange::Failure;

/// Number of bytes of a reply that must arrive within each timeout while it is incomplete.
const MIN_PROGRESS_BYTES: usize = 16 * 1_024;

/// Error of an exchange of states with another entry.
#[derive(Debug)]
#[derive(ThisError)]
pub enum Error {
    /// The connection failed.
    #[error(transparent)]
    Exchange(#[from] Failure),
    /// The reply is malformed.
    #[error("the answer cannot be decoded: {0}")]
    Decode(#[from] postcard::Error),
    /// The entry refused the state.
    #[error("the entry answered with status {0}")]
    Status(u16),
}

/// Network to the other entries.
pub trait Network: Debug {
    /// Sends an encoded [`Question`](super::Question) to an entry, and returns its reply.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the entry does not reply, or stalls for `timeout`. A reply with many registrations may take
    /// longer than that while it makes progress.
    fn exchange<'a>(
        &'a self,
        address: SocketAddr,
        state: &'a [u8],
        timeout: Duration,
    ) -> Future<'a, Result<Reply, Error>>;

    /// Downloads the changes of the document since `version` from an entry.
    ///
    /// # Errors
    ///
    /// Returns an error when the entry refuses, the connection fails or stalls, or the response is malformed.
    fn download(&self, address: SocketAddr, version: u64) -> Future<'_, Result<Download, update::Error>>;
}

/// Network of TCP connections, of which one to each entry is kept between exchanges.
#[derive(Debug, Default)]
pub struct Tcp {
    connections: RefCell<HashMap<SocketAddr, Connection>>,
}

impl Tcp {
    async fn exchange(&self, address: SocketAddr, state: &[u8], timeout: Duration) -> Result<Reply, Error> {
        let idle = self
            .connections
            .borrow_mut()
            .remove(&address)
            .filter(Connection::is_reusable);
        let mut connection = match idle {
            Some(connection) => connection,
            None => Connection::open(address, timeout).await?,
        };
        let throughput = Throughput {
            bytes: MIN_PROGRESS_BYTES,
            within: timeout,
        };
        let answer = exchange::download(&mut connection, address, PATH, state, throughput).await?;
        if answer.status != StatusCode::OK {
            return Err(Error::Status(answer.status.as_u16()));
        }
        self.connections.borrow_mut().insert(address, connection);
        Ok(postcard::from_bytes(&answer.body)?)
    }
}

impl Network for Tcp {
    fn exchange<'a>(
        &'a self,
        address: SocketAddr,
        state: &'a [u8],
        timeout: Duration,
    ) -> Future<'a, Result<Reply, Error>> {
        Box::pin(self.exchange(address, state, timeout))
    }

    fn download(&self, address: SocketAddr, version: u64) -> Future<'_, Result<Download, update::Error>> {
        Box::pin(update::fetch(address, version))
    }
}
