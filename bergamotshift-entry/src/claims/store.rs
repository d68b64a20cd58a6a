//! Access from the worker threads to the platform's table and object store, through the committer.

use bergamotshift_claim::driver::Reading;
use bergamotshift_claim::driver::Unreachable;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;
use ntex::util::Bytes;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Message to the committer, with the sender of its result.
#[derive(Debug)]
pub(super) enum Message {
    /// Write to the table, batched with others.
    Write(Write, oneshot::Sender<Ending>),
    /// Transaction that is neither split nor batched with others.
    Transact(Vec<Write>, oneshot::Sender<Ending>),
    /// Read of a row.
    Read(Key, oneshot::Sender<Reading>),
    /// List of a partition's rows.
    List(SmolStr, oneshot::Sender<Option<Vec<(SmolStr, Row)>>>),
    /// Write of an object.
    PutObject(SmolStr, Vec<u8>, oneshot::Sender<bool>),
    /// Read of an object.
    GetObject(SmolStr, oneshot::Sender<Option<Bytes>>),
}

/// Handle to the committer, for any thread.
#[derive(Clone, Debug)]
pub struct Store(mpsc::UnboundedSender<Message>);

/// Receiver of the committer's messages.
#[derive(Debug)]
pub struct Inbox(pub(super) mpsc::UnboundedReceiver<Message>);

impl Store {
    /// Creates a channel to a committer.
    pub fn channel() -> (Self, Inbox) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self(sender), Inbox(receiver))
    }

    /// Writes to the table.
    pub async fn write(&self, write: Write) -> Ending {
        let (answer, ending) = oneshot::channel();
        if self.0.send(Message::Write(write, answer)).is_err() {
            return Ending::Refused;
        }
        // The committer ended, so the write may or may not have taken effect.
        ending.await.unwrap_or(Ending::Unknown)
    }

    /// Executes a transaction without splitting it or batching it with others.
    pub async fn transact(&self, writes: Vec<Write>) -> Ending {
        let (answer, ending) = oneshot::channel();
        if self.0.send(Message::Transact(writes, answer)).is_err() {
            return Ending::Refused;
        }
        ending.await.unwrap_or(Ending::Unknown)
    }

    /// Lists all rows of a partition; returns `None` if they could not all be read.
    pub async fn list(&self, partition: SmolStr) -> Option<Vec<(SmolStr, Row)>> {
        let (answer, rows) = oneshot::channel();
        drop(self.0.send(Message::List(partition, answer)));
        rows.await.unwrap_or(None)
    }

    /// Reads a row as of its last write.
    ///
    /// # Errors
    ///
    /// Returns [`Unreachable`] if the row could not be read.
    pub async fn read(&self, key: Key) -> Reading {
        let (answer, row) = oneshot::channel();
        drop(self.0.send(Message::Read(key, answer)));
        row.await.unwrap_or(Err(Unreachable))
    }

    /// Writes an object; returns whether it was certainly written.
    pub async fn put_object(&self, key: SmolStr, body: Vec<u8>) -> bool {
        let (answer, stored) = oneshot::channel();
        drop(self.0.send(Message::PutObject(key, body, answer)));
        stored.await.unwrap_or(false)
    }

    /// Returns the body of an object; `None` if it does not exist or could not be read.
    pub async fn get_object(&self, key: SmolStr) -> Option<Bytes> {
        let (answer, body) = oneshot::channel();
        drop(self.0.send(Message::GetObject(key, answer)));
        body.await.unwrap_or(None)
    }
}
