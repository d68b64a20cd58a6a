//! Runs a job under its lease.

use core::time::Duration;
use std::rc::Rc;

use bergamotshift_claim::answer::Body;
use bergamotshift_claim::driver::Reply;
use bergamotshift_claim::job;
use bergamotshift_claim::job::Action;
use bergamotshift_claim::job::Completion;
use bergamotshift_claim::job::Event;
use bergamotshift_claim::job::Runner;
use bergamotshift_config::config::Kind;
use bergamotshift_core::prelude::*;
use bergamotshift_core::table::Key;
use ntex::http::HeaderMap;
use ntex::http::Method;
use ntex::http::uri::PathAndQuery;
use ntex::rt::JoinHandle;
use ntex::util::Bytes;
use slog::warn;
use smol_str::format_smolstr;
use tokio::sync::mpsc;

use super::scan::Running;
use crate::api::openai;
use crate::api::request;
use crate::claims;
use crate::claims::Store;
use crate::exchange::Attempts;
use crate::exchange::Call;
use crate::exchange::Work;
use crate::exchange::whole;
use crate::observe::trace::Trace;
use crate::sharing;
use crate::sharing::Admission;
use crate::worker::Recording;
use crate::worker::Worker;

/// Maximum wait for the runner's next event, and the delay before a job that was not admitted or is in progress
/// elsewhere tries again.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a job from the acquisition of its lease to the recorded result.
pub(super) async fn run(worker: Rc<Worker>, candidate: job::Candidate, running: Running) {
    let settings = worker.shared.settings.jobs.runner;
    let holder = worker.shared.settings.name.clone();
    let job::Candidate { id, open, version } = candidate;
    let runner = Runner::new(settings, id, &open, version, holder, worker.generate_id());
    let (events, received) = mpsc::unbounded_channel();
    let _recording = Recording::start(&worker.shared);
    let job = Job {
        worker,
        runner,
        events,
        received,
        task: None,
        due: None,
    };
    job.drive().await;
    running.borrow_mut().remove(&id);
}

/// One job with its runner and the task that sends its request.
struct Job {
    worker: Rc<Worker>,
    runner: Runner,
    events: mpsc::UnboundedSender<Event>,
    received: mpsc::UnboundedReceiver<Event>,
    task: Option<JoinHandle<()>>,
    due: Option<Instant>,
}

impl Job {
    async fn drive(mut self) {
        self.handle(Event::Take);
        let mut is_leaving = false;
        while !self.runner.is_closed() {
            let now = self.worker.shared.now();
            let wait = self
                .due
                .map_or(RETRY_INTERVAL, |due| due.since(now).min(RETRY_INTERVAL));
            let event = tokio::select! {
                Some(event) = self.received.recv() => event,
                () = tokio::time::sleep(wait) => Event::Woke,
            };
            self.handle(event);
            if self.worker.shared.is_draining() && !is_leaving {
                is_leaving = true;
                self.handle(Event::Leave);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.worker.shared.now();
        for action in self.runner.on(now, event) {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        let store = self.worker.shared.store.clone();
        match action {
            Action::Transact(writes) => {
                self.spawn(async move { Event::Written(store.transact(writes).await) })
                    .detach();
            }
            Action::Read(keys) => self
                .spawn(async move { Event::Rows(read_rows(&store, keys).await) })
                .detach(),
            Action::Start(record) => {
                let worker = Rc::clone(&self.worker);
                let task = self.spawn(async move { Event::Completed(send(&worker, *record).await) });
                self.task = Some(task);
            }
            Action::Stop => {
                if let Some(task) = self.task.take() {
                    task.cancel();
                }
            }
            Action::Wake(at) => self.due = Some(at),
        }
    }

    fn spawn(&self, future: impl Future<Output = Event> + 'static) -> JoinHandle<()> {
        let events = self.events.clone();
        ntex::rt::spawn(async move {
            drop(events.send(future.await));
        })
    }
}

async fn read_rows(
    store: &Store,
    [record, open]: [Key; 2],
) -> Result<[Option<bergamotshift_core::table::Row>; 2], bergamotshift_claim::driver::Unreachable> {
    // The open row is read first: if the job is closed between the two reads, a write based on this open row conflicts.
    let open = store.read(open).await?;
    let record = store.read(record).await?;
    Ok([record, open])
}

/// Sends a job's request. A request that must not be repeated is sent through a claim under the caller's idempotency
/// key, or under the job's identifier if there is none.
async fn send(worker: &Rc<Worker>, record: job::Record) -> Completion {
    loop {
        let Some(call) = build_call(worker, &record).await else {
            return Completion::Unsendable;
        };
        let snapshot = worker.snapshot();
        let Admission::Admitted(ticket) = sharing::decide(worker, &snapshot, &call, true) else {
            tokio::time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        if record.repeatable {
            let mut attempts = Attempts::new(Rc::clone(worker), call, ticket);
            return match whole::fetch(&mut attempts).await {
                Ok(whole) => store_answer(worker, record.id, &whole).await,
                Err(_) if attempts.outcome() == Outcome::NotRun => Completion::NotRun,
                Err(_) => Completion::Unknown,
            };
        }
        // With the caller's own key, the job and the same request sent without deferral share one run.
        let key = record
            .key
            .clone()
            .unwrap_or_else(|| format_smolstr!("\u{1f}job/{}", record.id));
        let response = claims::claim(worker, call, ticket, key, &Trace::default()).await;
        match response.reply {
            Reply::Answer(answer) | Reply::Replay(answer) => return Completion::Answered(answer),
            Reply::NotRun { .. } => return Completion::NotRun,
            // An earlier holder of the job's lease sent the request and may still be waiting for the answer.
            Reply::InProgress { .. } => tokio::time::sleep(RETRY_INTERVAL).await,
            Reply::Unknown | Reply::Mismatch => return Completion::Unknown,
        }
    }
}

/// Stores a long answer in the object store and returns the job's completion.
async fn store_answer(worker: &Rc<Worker>, id: job::Id, whole: &whole::Whole) -> Completion {
    const MAX_INLINE_BODY: usize = 16 << 10;
    let mut answer = claims::from_whole(whole);
    if whole.body.len() > MAX_INLINE_BODY {
        let key = format_smolstr!("job/{id}/answer/{}", worker.generate_id());
        let is_stored = worker.shared.store.put_object(key.clone(), whole.body.to_vec()).await;
        let length = whole.body.len() as u64;
        // A job whose answer cannot be stored has to run again, or its caller would never get the answer.
        if !is_stored {
            return Completion::Unknown;
        }
        answer.body = Body::Object { key, length };
    }
    Completion::Answered(answer)
}

/// Rebuilds the call from the job's record.
///
/// Returns `None` if the service is not configured or the request cannot be restored.
async fn build_call(worker: &Rc<Worker>, record: &job::Record) -> Option<Rc<Call>> {
    let snapshot = worker.snapshot();
    let service = snapshot.config.services.get(&record.service)?;
    let body = match &record.request.body {
        Body::Inline(bytes) => Bytes::copy_from_slice(bytes),
        Body::Object { key, .. } => worker.shared.store.get_object(key.clone()).await?,
        Body::Dropped => return None,
    };
    let (method, path) = (&record.request.method, &record.request.path);
    let handling = snapshot.config.handling(service, method, path);
    let prefix = match service.kind {
        Kind::Model => hash_prompt(worker, record.id, &body),
        Kind::Plain => Vec::new(),
    };
    let times = request::times(&HeaderMap::new(), &handling, service, worker.shared.now()).ok()?;
    Some(Rc::new(Call {
        id: worker.generate_id(),
        organisation: record.organisation.clone(),
        service: record.service.clone(),
        method: Method::from_bytes(method.as_bytes()).ok()?,
        path: path.parse::<PathAndQuery>().ok()?,
        headers: claims::to_headers(&record.request.headers),
        fingerprint: Fingerprint::of(record.service.as_str(), method, path, &body),
        body,
        key: record.key.clone(),
        repeatable: record.repeatable,
        urgency: handling.urgency,
        times,
        work: Work {
            prefix,
            ..Work::default()
        },
    }))
}

/// Returns the cumulative hashes of the blocks of a job's prompt, by which its parts are known.
fn hash_prompt(worker: &Worker, id: job::Id, body: &[u8]) -> Vec<u64> {
    openai::hash_prompt(body).unwrap_or_else(|error| {
        warn!(worker.shared.settings.logger, "the prompt of a job cannot be read"; "job" => %id, "error" => %error);
        Vec::new()
    })
}
