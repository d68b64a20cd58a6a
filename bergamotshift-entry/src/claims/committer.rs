//! Carries rows and objects to the platform, with the writes of many requests in few transactions.

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

/// Rows of one read while a partition is listed.
const PAGE: u32 = 100;

/// A transaction that has ended.
type Ended = (batch::Id, Ending);

/// Serves the [`super::Store`]s of one process, on the control thread.
#[derive(Debug)]
pub struct Committer {
    shared: Arc<Shared>,
    table: Option<Rc<dyn Table>>,
    objects: Option<Rc<dyn Objects>>,
    batch: Batch<oneshot::Sender<Ending>>,
    ended: mpsc::UnboundedSender<Ended>,
    endings: mpsc::UnboundedReceiver<Ended>,
}

impl Committer {
    /// Makes a committer over the control thread's clients.
    pub fn new(shared: Arc<Shared>, platform: &Platform) -> Self {
        let (ended, endings) = mpsc::unbounded_channel();
        Self {
            shared,
            table: platform.table.clone(),
            objects: platform.objects.clone(),
            batch: Batch::new(batch::Settings::default()),
            ended,
            endings,
        }
    }

    /// Serves until all stores are gone.
    pub async fn run(mut self, mut inbox: Inbox) {
        loop {
            self.start_transactions();
            let due = self.batch.due().map(|due| due.since(self.shared.now()));
            tokio::select! {
                message = inbox.0.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                Some((id, ending)) = self.endings.recv() => self.end(id, &ending),
                () = tokio::time::sleep(due.unwrap_or_default()), if due.is_some() => {}
            }
            // What waits already shares the next transaction.
            while let Ok(message) = inbox.0.try_recv() {
                self.take(message);
            }
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Write(write, answer) => self.write(write, answer),
            Message::Transact(writes, answer) => {
                let table = self.table.clone();
                ntex::rt::spawn(async move { answer.send(transact(table, writes).await) }).detach();
            }
            Message::List(partition, answer) => {
                let table = self.table.clone();
                ntex::rt::spawn(async move { answer.send(list(table, partition).await) }).detach();
            }
            Message::Read(key, answer) => {
                let table = self.table.clone();
                ntex::rt::spawn(async move { answer.send(read(table, key).await) }).detach();
            }
            Message::PutObject(key, body, answer) => {
                let objects = self.objects.clone();
                ntex::rt::spawn(async move { answer.send(keep(objects, key, body).await) }).detach();
            }
            Message::GetObject(key, answer) => {
                let objects = self.objects.clone();
                ntex::rt::spawn(async move { answer.send(fetch(objects, key).await) }).detach();
            }
        }
    }

    fn write(&mut self, write: Write, answer: oneshot::Sender<Ending>) {
        if self.table.is_none() || self.batch.waiting() >= batch::Settings::default().max_queued {
            let _ = answer.send(Ending::Refused);
            return;
        }
        let pushed = self.batch.push(answer, write);
        debug_assert!(pushed.is_ok(), "there was room");
    }

    fn start_transactions(&mut self) {
        let Some(table) = &self.table else { return };
        while let Some(transaction) = self.batch.next(self.shared.now()) {
            let table = Rc::clone(table);
            let ended = self.ended.clone();
            let work = async move {
                let ending = table.transact(transaction.writes).await;
                drop(ended.send((transaction.id, ending)));
            };
            ntex::rt::spawn(work).detach();
        }
    }

    fn end(&mut self, id: batch::Id, ending: &Ending) {
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

async fn list(table: Option<Rc<dyn Table>>, partition: SmolStr) -> Option<Vec<(SmolStr, Row)>> {
    let table = table?;
    let mut rows = Vec::new();
    let mut after = None;
    loop {
        let page = table.query(partition.clone(), after, PAGE).await.ok()?;
        rows.extend(page.rows);
        if page.next.is_none() {
            return Some(rows);
        }
        after = page.next;
    }
}

async fn read(table: Option<Rc<dyn Table>>, key: Key) -> Reading {
    let table = table.ok_or(Unreachable)?;
    let rows = table.get(vec![key]).await;
    rows.ok().and_then(|rows| rows.into_iter().next()).ok_or(Unreachable)
}

async fn keep(objects: Option<Rc<dyn Objects>>, key: SmolStr, body: Vec<u8>) -> bool {
    let Some(objects) = objects else { return false };
    objects.put(key, body.into(), Precondition::None).await.is_ok()
}

async fn fetch(objects: Option<Rc<dyn Objects>>, key: SmolStr) -> Option<Bytes> {
    let object = objects?.get(key).await.ok()??;
    Some(Bytes::copy_from_slice(&object.body))
}
