//! The worker threads' way to the platform's table and object store.

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

/// What the committer is asked.
#[derive(Debug)]
pub(super) enum Message {
    /// Carry out a write.
    Write(Write, oneshot::Sender<Ending>),
    /// Carry out a transaction as it is.
    Transact(Vec<Write>, oneshot::Sender<Ending>),
    /// Read a row.
    Read(Key, oneshot::Sender<Reading>),
    /// List a partition.
    List(SmolStr, oneshot::Sender<Option<Vec<(SmolStr, Row)>>>),
    /// Keep an object.
    PutObject(SmolStr, Vec<u8>, oneshot::Sender<bool>),
    /// Fetch an object.
    GetObject(SmolStr, oneshot::Sender<Option<Bytes>>),
}

/// Reaches the committer from any thread.
#[derive(Clone, Debug)]
pub struct Store(mpsc::UnboundedSender<Message>);

/// Where the committer gets its messages from.
#[derive(Debug)]
pub struct Inbox(pub(super) mpsc::UnboundedReceiver<Message>);

impl Store {
    /// Makes a way to a committer.
    pub fn channel() -> (Self, Inbox) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self(sender), Inbox(receiver))
    }

    /// Carries out a write.
    pub async fn write(&self, write: Write) -> Ending {
        let (answer, ending) = oneshot::channel();
        if self.0.send(Message::Write(write, answer)).is_err() {
            return Ending::Refused;
        }
        // The committer ended with the write somewhere on its way.
        ending.await.unwrap_or(Ending::Unknown)
    }

    /// Carries out a transaction that must not be split or joined with others.
    pub async fn transact(&self, writes: Vec<Write>) -> Ending {
        let (answer, ending) = oneshot::channel();
        if self.0.send(Message::Transact(writes, answer)).is_err() {
            return Ending::Refused;
        }
        ending.await.unwrap_or(Ending::Unknown)
    }

    /// Lists all rows of a partition, if that can be had.
    pub async fn list(&self, partition: SmolStr) -> Option<Vec<(SmolStr, Row)>> {
        let (answer, rows) = oneshot::channel();
        drop(self.0.send(Message::List(partition, answer)));
        rows.await.unwrap_or(None)
    }

    /// Reads a row consistently.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform did not answer.
    pub async fn read(&self, key: Key) -> Reading {
        let (answer, row) = oneshot::channel();
        drop(self.0.send(Message::Read(key, answer)));
        row.await.unwrap_or(Err(Unreachable))
    }

    /// Keeps an object; returns whether it is known to be kept.
    pub async fn put_object(&self, key: SmolStr, body: Vec<u8>) -> bool {
        let (answer, kept) = oneshot::channel();
        drop(self.0.send(Message::PutObject(key, body, answer)));
        kept.await.unwrap_or(false)
    }

    /// Fetches an object, if it can be had.
    pub async fn get_object(&self, key: SmolStr) -> Option<Bytes> {
        let (answer, body) = oneshot::channel();
        drop(self.0.send(Message::GetObject(key, answer)));
        body.await.unwrap_or(None)
    }
}
