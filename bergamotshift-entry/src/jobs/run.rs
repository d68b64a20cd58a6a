//! Runs one job under its lease.

use core::time::Duration;
use std::rc::Rc;

use bergamotshift_claim::answer::Body;
use bergamotshift_claim::driver::Reply;
use bergamotshift_claim::job;
use bergamotshift_claim::job::Action;
use bergamotshift_claim::job::Completion;
use bergamotshift_claim::job::Event;
use bergamotshift_claim::job::Runner;
use bergamotshift_core::prelude::*;
use bergamotshift_core::table::Key;
use ntex::http::HeaderMap;
use ntex::http::Method;
use ntex::http::uri::PathAndQuery;
use ntex::rt::JoinHandle;
use ntex::util::Bytes;
use smol_str::format_smolstr;
use tokio::sync::mpsc;

use super::scan::Running;
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

/// The wait before a job that found no room asks for it again.
const ROOM: Duration = Duration::from_secs(1);

/// Runs a job, from taking its lease to its recorded result.
pub(super) async fn run(worker: Rc<Worker>, candidate: job::Candidate, running: Running) {
    let settings = worker.shared.settings.jobs.runner;
    let holder = worker.shared.settings.name.clone();
    let job::Candidate { id, open, version } = candidate;
    let runner = Runner::new(settings, id, &open, version, holder, worker.draw());
    let (events, happened) = mpsc::unbounded_channel();
    let _recording = Recording::start(&worker.shared);
    let job = Job {
        worker,
        runner,
        events,
        happened,
        work: None,
        due: None,
    };
    job.drive().await;
    running.borrow_mut().remove(&id);
}

struct Job {
    worker: Rc<Worker>,
    runner: Runner,
    events: mpsc::UnboundedSender<Event>,
    happened: mpsc::UnboundedReceiver<Event>,
    work: Option<JoinHandle<()>>,
    due: Option<Instant>,
}

impl Job {
    async fn drive(mut self) {
        self.take(Event::Take);
        let mut leaving = false;
        while !self.runner.is_closed() {
            let now = self.worker.shared.now();
            let wait = self.due.map_or(ROOM, |due| due.since(now).min(ROOM));
            let event = tokio::select! {
                Some(event) = self.happened.recv() => event,
                () = tokio::time::sleep(wait) => Event::Woke,
            };
            self.take(event);
            if self.worker.shared.is_draining() && !leaving {
                leaving = true;
                self.take(Event::Leave);
            }
        }
    }

    fn take(&mut self, event: Event) {
        let now = self.worker.shared.now();
        for action in self.runner.on(now, event) {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        let store = self.worker.shared.store.clone();
        match action {
            Action::Transact(writes) => {
                self.spawn(async move { Event::Written(store.transact(writes).await) })
                    .detach();
            }
            Action::Read(keys) => self
                .spawn(async move { Event::Rows(rows(&store, keys).await) })
                .detach(),
            Action::Start(record) => {
                let worker = Rc::clone(&self.worker);
                let work = self.spawn(async move { Event::Completed(send(&worker, *record).await) });
                self.work = Some(work);
            }
            Action::Stop => {
                if let Some(work) = self.work.take() {
                    work.cancel();
                }
            }
            Action::Wake(at) => self.due = Some(at),
        }
    }

    fn spawn(&self, work: impl Future<Output = Event> + 'static) -> JoinHandle<()> {
        let events = self.events.clone();
        ntex::rt::spawn(async move {
            drop(events.send(work.await));
        })
    }
}

async fn rows(
    store: &Store,
    [record, open]: [Key; 2],
) -> Result<[Option<bergamotshift_core::table::Row>; 2], bergamotshift_claim::driver::Unreachable> {
    // The open row goes first: a job that is closed in between shows an open row that the closing write conflicts with.
    let open = store.read(open).await?;
    let record = store.read(record).await?;
    Ok([record, open])
}

/// Sends a job's request; through a claim under the job's own id when it must not be repeated.
async fn send(worker: &Rc<Worker>, record: job::Record) -> Completion {
    loop {
        let Some(call) = call(worker, &record).await else {
            return Completion::Unsendable;
        };
        let snapshot = worker.snapshot();
        let Admission::Now(ticket) = sharing::weigh(worker, &snapshot, &call, true) else {
            tokio::time::sleep(ROOM).await;
            continue;
        };
        if record.repeatable {
            let mut attempts = Attempts::new(Rc::clone(worker), call, ticket);
            return match whole::fetch(&mut attempts).await {
                Ok(whole) => answered(worker, record.id, &whole).await,
                Err(_) if attempts.outcome() == Outcome::NotRun => Completion::NotRun,
                Err(_) => Completion::Unknown,
            };
        }
        // Under the caller's own key the job and a sending of the same request that is not deferred share one run.
        let key = record
            .key
            .clone()
            .unwrap_or_else(|| format_smolstr!("\u{1f}job/{}", record.id));
        let told = claims::claim(worker, call, ticket, key, &Trace::default()).await;
        match told.reply {
            Reply::Answer(answer) | Reply::Replay(answer) => return Completion::Answered(answer),
            Reply::NotRun { .. } => return Completion::NotRun,
            // An earlier holder of the job sent it and may still be waiting for its answer.
            Reply::InProgress { .. } => tokio::time::sleep(ROOM).await,
            Reply::Unknown | Reply::Mismatch => return Completion::Unknown,
        }
    }
}

/// Keeps a long answer in the object store.
async fn answered(worker: &Rc<Worker>, id: job::Id, whole: &whole::Whole) -> Completion {
    const INLINE: usize = 16 << 10;
    let mut answer = claims::from_whole(whole);
    if whole.body.len() > INLINE {
        let key = format_smolstr!("job/{id}/answer/{}", worker.draw());
        let kept = worker.shared.store.put_object(key.clone(), whole.body.to_vec()).await;
        let length = whole.body.len() as u64;
        // A job whose answer cannot be kept has to run again, or its caller would never get it.
        if !kept {
            return Completion::Unknown;
        }
        answer.body = Body::Object { key, length };
    }
    Completion::Answered(answer)
}

async fn call(worker: &Rc<Worker>, record: &job::Record) -> Option<Rc<Call>> {
    let snapshot = worker.snapshot();
    let service = snapshot.config.services.get(&record.service)?;
    let body = match &record.request.body {
        Body::Inline(bytes) => Bytes::copy_from_slice(bytes),
        Body::Object { key, .. } => worker.shared.store.get_object(key.clone()).await?,
        Body::Dropped => return None,
    };
    let (method, path) = (&record.request.method, &record.request.path);
    let handling = snapshot.config.handling(service, method, path);
    let times = request::times(&HeaderMap::new(), &handling, service, worker.shared.now()).ok()?;
    Some(Rc::new(Call {
        id: worker.draw(),
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
        work: Work::default(),
    }))
}
