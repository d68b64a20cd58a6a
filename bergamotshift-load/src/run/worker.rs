//! One sending thread: its runtime, its connections and what it wrote down.

use core::cell::RefCell;
use core::time::Duration;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Instant;

use bergamotshift_core::name;
use bytes::Bytes;
use serde_json::json;
use smol_str::SmolStr;
use tokio::sync::Semaphore;
use tokio::sync::mpsc::UnboundedReceiver;

use super::block_on;
use super::direct_share;
use super::thread;
use crate::Error;
use crate::Plan;
use crate::caller::Caller;
use crate::caller::Http;
use crate::caller::Manners;
use crate::caller::Timing;
use crate::latency::Recorder;
use crate::ledger::Fate;
use crate::ledger::Record;
use crate::progress::Counters;
use crate::work::Kind;
use crate::work::Request;

/// Tokens asked for by a poisonous request.
const POISON_TOKENS: u32 = 4;

/// What a worker is to do, and when it was due.
#[derive(Clone, Debug)]
pub(super) struct Item {
    pub(super) index: u64,
    pub(super) due: Instant,
    pub(super) task: Task,
}

/// What a worker is to do.
#[derive(Clone, Debug)]
pub(super) enum Task {
    /// Sends the request of the mix at the item's index.
    Load,
    /// Calls an endpoint directly.
    Direct,
    /// Sends a poisonous request, again and again under new keys.
    Poison(Poison),
}

/// A request that crashes endpoints.
#[derive(Clone, Debug)]
pub(super) struct Poison {
    pub(super) path: SmolStr,
    pub(super) model: name::Model,
    pub(super) marker: SmolStr,
    pub(super) sends: u32,
}

/// What a worker wrote down.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    pub(crate) records: Vec<Record>,
    /// Times between two tokens.
    pub(crate) between: Recorder,
    /// Latencies of direct calls.
    pub(crate) direct: Recorder,
    pub(crate) direct_failed: u64,
}

impl Tally {
    pub(super) fn merge(&mut self, other: Self) {
        self.records.extend(other.records);
        self.between.merge(&other.between);
        self.direct.merge(&other.direct);
        self.direct_failed += other.direct_failed;
    }
}

/// Starts a worker; it ends once `items` is closed and all requests have ended.
pub(super) fn spawn(
    number: usize,
    plan: &Arc<Plan>,
    counters: &Arc<Counters>,
    start: Instant,
    items: UnboundedReceiver<Item>,
) -> Result<JoinHandle<Tally>, Error> {
    let plan = Arc::clone(plan);
    let counters = Arc::clone(counters);
    let name = format!("load-{number}");
    thread(name.clone(), move || {
        block_on(&name, work(plan, counters, start, items))
    })
}

async fn work(plan: Arc<Plan>, counters: Arc<Counters>, start: Instant, mut items: UnboundedReceiver<Item>) -> Tally {
    let permits = (plan.concurrency / plan.threads).max(1);
    let free = Arc::new(Semaphore::new(permits));
    let worker = Rc::new(Worker::new(plan, counters, start).await);
    while let Some(item) = items.recv().await {
        // Beyond the bound a due request waits here, and its latency goes on counting.
        let permit = Arc::clone(&free)
            .acquire_owned()
            .await
            .expect("the semaphore is never closed");
        let worker = Rc::clone(&worker);
        ntex::rt::spawn(async move {
            worker.perform(item).await;
            drop(permit);
        });
    }
    drop(free.acquire_many(permits as u32).await);
    worker.tally.take()
}

struct Worker {
    plan: Arc<Plan>,
    counters: Arc<Counters>,
    start: Instant,
    caller: Caller,
    direct: Option<Caller>,
    tally: RefCell<Tally>,
}

impl Worker {
    async fn new(plan: Arc<Plan>, counters: Arc<Counters>, start: Instant) -> Self {
        let manners = Manners {
            patience: plan.patience,
            silence: plan.silence,
            returns: plan.returns,
        };
        let caller = Caller::new(Http::new(&plan.key).await, plan.callers.as_slice().into(), manners);
        let direct = if plan.direct.is_empty() {
            None
        } else {
            Some(Caller::new(Http::new("").await, plan.direct.as_slice().into(), manners))
        };
        Self {
            plan,
            counters,
            start,
            caller,
            direct,
            tally: RefCell::default(),
        }
    }

    async fn perform(&self, item: Item) {
        match item.task {
            Task::Load => {
                let request = Request::draw(&self.plan.mix, self.plan.seed, &self.plan.label, item.index);
                self.send(&request, item.due, false).await;
            }
            Task::Direct => self.call_directly(item.index).await,
            Task::Poison(poison) => {
                for send in 0..poison.sends {
                    let request = poison.request(&self.plan.label, item.index, send);
                    self.send(&request, Instant::now(), true).await;
                }
            }
        }
    }

    async fn send(&self, request: &Request, due: Instant, poisonous: bool) {
        self.counters.sent();
        let timing = Timing { start: self.start, due };
        let gap = |gap: Duration| self.tally.borrow_mut().between.record(gap);
        let record = self.caller.perform(request, timing, &gap).await;
        self.counters.ended(&record);
        self.tally.borrow_mut().records.push(Record { poisonous, ..record });
    }

    async fn call_directly(&self, index: u64) {
        let (Some(caller), Some(share)) = (&self.direct, direct_share(&self.plan)) else {
            return;
        };
        let label = format!("{}-direct", self.plan.label);
        let request = Request::draw(core::slice::from_ref(share), self.plan.seed, &label, index);
        let now = Instant::now();
        let record = caller
            .perform(
                &request,
                Timing {
                    start: self.start,
                    due: now,
                },
                &|_| {},
            )
            .await;
        let mut tally = self.tally.borrow_mut();
        if record.fate == Fate::Whole && record.sendings.len() == 1 {
            tally.direct.record(Duration::from_micros(record.latency_us));
        } else {
            tally.direct_failed += 1;
        }
    }
}

impl Poison {
    /// Returns the same request under another key.
    fn request(&self, label: &str, index: u64, send: u32) -> Request {
        let plain = self.model.as_str().is_empty();
        let text = format!("poison {}", self.marker);
        let body = if plain {
            json!({"text": text})
        } else {
            json!({
                "model": self.model.as_str(),
                "messages": [{"role": "user", "content": text}],
                "max_tokens": POISON_TOKENS,
            })
        };
        let path = if plain {
            self.path.clone()
        } else {
            SmolStr::new_static("/v1/chat/completions")
        };
        Request {
            index: index + u64::from(send),
            kind: if plain { Kind::Post } else { Kind::Chat },
            key: SmolStr::new(format!("{label}-poison-{index}-{send}")),
            path,
            body: Bytes::from(body.to_string()),
            prompt: text,
            max_tokens: POISON_TOKENS,
            sends: 1,
        }
    }
}
