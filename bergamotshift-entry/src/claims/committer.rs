//! Access to the platform's table and object store, with the writes of many requests batched into few transactions.

use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_claim::batch;
use bergamotshift_claim::batch::Batch;
use bergamotshift_claim::driver::Reading;
use bergamotshift_claim::driver::Unreachable;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;
use bergamotshift_platform::Platform;
use bergamotshift_platform::objects::Objects;
use bergamotshift_platform::objects::Precondition;
use bergamotshift_platform::table::Table;
use ntex::util::Bytes;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::store::Inbox;
use super::store::Message;
use crate::worker::Shared;

/// Maximum number of rows per query while a partition is listed.
const MAX_PAGE_ROWS: u32 = 100;

/// Batched transaction that has ended, with its ending.
type Completion = (batch::Id, Ending);

/// Task on the control thread that handles the messages of all [`super::Store`]s of the process.
#[derive(Debug)]
pub struct Committer {
    shared: Arc<Shared>,
    table: Option<Rc<dyn Table>>,
    objects: Option<Rc<dyn Objects>>,
    batch: Batch<oneshot::Sender<Ending>>,
    completion_sender: mpsc::UnboundedSender<Completion>,
    completions: mpsc::UnboundedReceiver<Completion>,
}

impl Committer {
    /// Creates a committer that uses the control thread's platform clients.
    pub fn new(shared: Arc<Shared>, platform: &Platform) -> Self {
        let (completion_sender, completions) = mpsc::unbounded_channel();
        Self {
            shared,
            table: platform.table.clone(),
            objects: platform.objects.clone(),
            batch: Batch::new(batch::Settings::default()),
            completion_sender,
            completions,
        }
    }

    /// Handles messages until all stores are dropped.
    pub async fn run(mut self, mut inbox: Inbox) {
        loop {
            self.start_transactions();
            let due = self.batch.due().map(|due| due.since(self.shared.now()));
            tokio::select! {
                message = inbox.0.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                Some((id, ending)) = self.completions.recv() => self.complete(id, &ending),
                () = tokio::time::sleep(due.unwrap_or_default()), if due.is_some() => {}
            }
            // All queued messages are handled first, so that their writes share the next transaction.
            while let Ok(message) = inbox.0.try_recv() {
                self.handle(message);
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Write(write, answer) => self.write(write, answer),
            Message::Transact(writes, answer) => {
                let table = self.table.clone();
                ntex::rt::spawn(async move { answer.send(transact(table, writes).await) }).detach();
            }
            Message::List(partition, answer) => {
                let table = self.table.clone();
                ntex::rt::spawn(async move { answer.send(list_rows(table, partition).await) }).detach();
            }
            Message::Read(key, answer) => {
                let table = self.table.clone();
                ntex::rt::spawn(async move { answer.send(read_row(table, key).await) }).detach();
            }
            Message::PutObject(key, body, answer) => {
                let objects = self.objects.clone();
                ntex::rt::spawn(async move { answer.send(put_object(objects, key, body).await) }).detach();
            }
            Message::GetObject(key, answer) => {
                let objects = self.objects.clone();
                ntex::rt::spawn(async move { answer.send(get_object(objects, key).await) }).detach();
            }
        }
    }

    /// Queues a write for the next batched transaction; refuses it if there is no table or the queue is full.
    fn write(&mut self, write: Write, answer: oneshot::Sender<Ending>) {
        if self.table.is_none() || self.batch.waiting() >= batch::Settings::default().max_queued {
            let _ = answer.send(Ending::Refused);
            return;
        }
        let pushed = self.batch.push(answer, write);
        debug_assert!(pushed.is_ok(), "the queue has space for the write");
    }

    /// Starts all transactions that are due.
    fn start_transactions(&mut self) {
        let Some(table) = &self.table else { return };
        while let Some(transaction) = self.batch.next(self.shared.now()) {
            let table = Rc::clone(table);
            let sender = self.completion_sender.clone();
            let work = async move {
                let ending = table.transact(transaction.writes).await;
                drop(sender.send((transaction.id, ending)));
            };
            ntex::rt::spawn(work).detach();
        }
    }

    /// Handles the ending of a transaction and answers the writes that are final.
    fn complete(&mut self, id: batch::Id, ending: &Ending) {
        for (answer, ending) in self.batch.complete(id, ending) {
            let _ = answer.send(ending);
        }
    }
}

async fn transact(table: Option<Rc<dyn Table>>, writes: Vec<Write>) -> Ending {
    match table {
        Some(table) => table.transact(writes).await,
        None => Ending::Refused,
    }
}

async fn list_rows(table: Option<Rc<dyn Table>>, partition: SmolStr) -> Option<Vec<(SmolStr, Row)>> {
    let table = table?;
    let mut rows = Vec::new();
    let mut after = None;
    loop {
        let page = table.query(partition.clone(), after, MAX_PAGE_ROWS).await.ok()?;
        rows.extend(page.rows);
        if page.next.is_none() {
            return Some(rows);
        }
        after = page.next;
    }
}

async fn read_row(table: Option<Rc<dyn Table>>, key: Key) -> Reading {
    let table = table.ok_or(Unreachable)?;
    let rows = table.get(vec![key]).await;
    rows.ok().and_then(|rows| rows.into_iter().next()).ok_or(Unreachable)
}

async fn put_object(objects: Option<Rc<dyn Objects>>, key: SmolStr, body: Vec<u8>) -> bool {
    let Some(objects) = objects else { return false };
    objects.put(key, body.into(), Precondition::None).await.is_ok()
}

async fn get_object(objects: Option<Rc<dyn Objects>>, key: SmolStr) -> Option<Bytes> {
    let object = objects?.get(key).await.ok()??;
    Some(Bytes::copy_from_slice(&object.body))
}
