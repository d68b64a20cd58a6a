//! One thread's way of a request from its head to its answer.

use core::cell::Cell;
use core::cell::RefCell;
use core::time::Duration;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bytes::BytesMut;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::header;
use ntex::io::IoRef;
use slog::info;
use smol_str::SmolStr;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use super::active::Active;
use super::attempt::History;
use super::callers::Callers;
use super::job::Job;
use super::keeper::Away;
use super::refusal::Reason;
use super::refusal::Refusal;
use super::stream::Flow;
use crate::choice;
use crate::dialect::Metadata;
use crate::document::Bounds;
use crate::document::Organisation;
use crate::document::Route;
use crate::exchange::Failure;
use crate::exchange::Pool;
use crate::limits::Keeper;
use crate::observe::Topic;
use crate::peers::Permits;
use crate::routes::Table;
use crate::view::Shared;
use crate::view::View;

/// How long a caller may take for its body.
const BODY_TIME: Duration = Duration::from_secs(3);

/// The part of its time that a caller waits at the most until an entry that starts has read what it serves by, or one that
/// is behind has got the newest document.
const WAITING_USED: f64 = 0.2;

/// How long a caller waits that does not say.
const USUAL_TIME: Duration = Duration::from_secs(30);

/// A request that is refused before it is a job, with the route that it found.
struct Rejected {
    route: SmolStr,
    refusal: Refusal,
}

impl From<Reason> for Rejected {
    fn from(reason: Reason) -> Self {
        Refusal::from(reason).into()
    }
}

impl From<Refusal> for Rejected {
    fn from(refusal: Refusal) -> Self {
        Self {
            route: SmolStr::new_static("none"),
            refusal,
        }
    }
}

/// Serves callers on one thread.
#[derive(Debug)]
pub struct Forwarder {
    pub(super) shared: Arc<Shared>,
    pub(super) pool: RefCell<Pool>,
    pub(super) weights: choice::Settings,
    pub(super) permits: Permits,
    callers: Callers,
    /// The keeper of the zone that did not answer lately.
    pub(super) away: Cell<Away>,
    /// When the keeper was last told what work is under way.
    pub(super) told: Cell<Instant>,
}

impl Forwarder {
    /// Makes the state of the current thread.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            permits: Permits::new(Arc::clone(&shared)),
            shared,
            pool: RefCell::default(),
            weights: choice::Settings::default(),
            callers: Callers::default(),
            away: Cell::default(),
            told: Cell::default(),
        }
    }

    /// Answers one request.
    pub async fn serve(self: &Rc<Self>, mut request: Request) -> Response {
        let arrived = self.shared.clock.now();
        let busy = request.io().map(|connection| self.callers.enter(connection));
        let active = Active::new(&self.shared, busy);
        let ask = Metadata::read(&self.shared.dialect, request.headers());
        let id = ask.id.clone();
        let caller = request.io().cloned();
        let mut response = match self.job(&mut request, ask, arrived).await {
            Ok(job) => self.answer(Rc::new(job), caller, active).await,
            Err(Rejected { route, refusal }) => {
                self.refused(&route, &id, arrived, refusal);
                refusal.response(&self.shared.dialect, &id)
            }
        };
        if self.shared.is_stopping() || self.shared.is_stranded() || self.shared.is_late() {
            response
                .head_mut()
                .set_connection_type(ntex::http::ConnectionType::Close);
        }
        response
    }

    /// Reads a request whole and matches it to its route, its organisation and a service.
    async fn job(&self, request: &mut Request, ask: Metadata, arrived: Instant) -> Result<Job, Rejected> {
        let view = self.known(&ask).await;
        let bound = view
            .table
            .as_ref()
            .map_or(Bounds::default().body, |table| table.document().bounds.body);
        let body = read_body(request, bound).await?;
        // The document may have changed while the body came.
        let view = if body.is_empty() {
            view
        } else {
            self.shared.view.load_full()
        };
        if self.shared.is_closed() {
            return Err(Reason::Stopping.into());
        }
        let view = self.caught_up(view, request, &ask).await;
        let table = view.table.as_ref().ok_or(Reason::NoDocument)?;
        let (route, organisation) = self.admit(&view, table, request)?;
        let rejected = |refusal: Refusal| Rejected {
            route: route.name.clone(),
            refusal,
        };
        let service = route.service(xxh3_64(ask.id.as_bytes())).cloned();
        let service = service.ok_or_else(|| rejected(Reason::NoEndpoint.into()))?;
        let path = request
            .uri()
            .path_and_query()
            .map_or("/", |path| path.as_str())
            .to_owned();
        let caller = organisation.map_or("", |organisation| organisation.name.as_str());
        let fingerprint = Fingerprint::of(caller, request.method().as_str(), &path, &body);
        if let bergamotshift_limit::quarantine::Verdict::Refused { .. } = view.suspects.verdict(arrived, fingerprint) {
            return Err(rejected(Reason::Suspect.into()));
        }
        let prompt = ask.size.map(|size| size.prompt);
        let picture = view.services.get(&service);
        if let (Some(picture), Some(prompt)) = (picture, prompt) {
            picture.record_prompt(prompt);
        }
        let canary = picture.and_then(|service| service.canary.as_ref());
        let is_canary = canary.is_some_and(|canary| canary.accepts(&ask.id, prompt));
        let admission = self
            .charge(&view, organisation, &service, &ask, is_canary, arrived)
            .await
            .map_err(|refusal| {
                self.over_limit(organisation, &ask, refusal, table.document().version);
                rejected(refusal)
            })?;
        let patience = ask.time_left.unwrap_or(USUAL_TIME).min(route.timeout);
        let urgency = organisation
            .and_then(|organisation| organisation.urgency)
            .unwrap_or(route.urgency);
        Ok(Job {
            method: request.method().clone(),
            path,
            headers: request.headers().clone(),
            body: body.freeze(),
            route: Arc::new(route.clone()),
            service,
            organisation: organisation.map(|organisation| organisation.name.clone()),
            urgency,
            arrived,
            deadline: arrived + patience,
            charge: admission.charge,
            placement: admission.placement,
            is_canary,
            fingerprint,
            ask,
        })
    }

    /// Returns what requests are served from; while the entry starts, it waits for what it has to read first.
    ///
    /// Failure: all entries are killed, and their callers, who came back at once, reach an entry that has started and not
    /// read the document yet. Symptom: they are refused for the second time and do not come again, a quarter of all
    /// callers in the first half second. The document is there some 30 ms after the start, so who waits for it is in
    /// time. An entry that cannot read it refuses at once when the time to start is over. The same holds for the list of
    /// entries, which says what organisations may use at once: until then all bursts count as used up.
    async fn known(&self, ask: &Metadata) -> Arc<View> {
        let wakes = self.shared.view_ready.notified();
        let view = self.shared.view.load_full();
        if view.is_complete() {
            return view;
        }
        let patience = Duration::from_millis(self.shared.settings.start.wait_timeout_ms);
        let left = (self.shared.started + patience).since(self.shared.clock.now());
        let bound = ask.time_left.unwrap_or(USUAL_TIME).mul_f64(WAITING_USED);
        let complete = async {
            wakes.await;
            while !self.shared.view.load().is_complete() {
                self.shared.view_ready.notified().await;
            }
        };
        // Whatever comes first, what is known by then decides.
        let _ = timeout(left.min(bound), complete).await;
        self.shared.view.load_full()
    }

    /// Returns what a request is judged by: where that would be refused for good, and another entry has a newer document, the
    /// newer one if it comes in time.
    ///
    /// Failure: an entry is told of a new route or key a moment later than others. Symptom: its callers are refused for good,
    /// and clients do not come again after that, although every other entry would have served them. A copy takes a tenth of
    /// a second; who waits for it is in time, and once that part of a caller's time is over it may come again elsewhere.
    async fn caught_up(&self, view: Arc<View>, request: &Request, ask: &Metadata) -> Arc<View> {
        let is_refused = |view: &View| {
            let table = view.table.as_ref();
            table.is_some_and(|table| self.is_behind(view, table, request))
        };
        if !is_refused(&view) {
            return view;
        }
        let bound = ask.time_left.unwrap_or(USUAL_TIME).mul_f64(WAITING_USED);
        let newer = async {
            loop {
                let wakes = self.shared.view_ready.notified();
                let view = self.shared.view.load_full();
                if !is_refused(&view) {
                    return view;
                }
                wakes.await;
            }
        };
        timeout(bound, newer)
            .await
            .unwrap_or_else(|_late| self.shared.view.load_full())
    }

    /// Returns whether a request is refused for good by a document that is known not to be the newest.
    fn is_behind(&self, view: &View, table: &Table, request: &Request) -> bool {
        self.shared.is_behind(view) && self.find(table, request).is_err()
    }

    /// Finds a request's route and organisation, in the newest document that this entry could get.
    fn admit<'a>(
        &self,
        view: &View,
        table: &'a Table,
        request: &Request,
    ) -> Result<(&'a Route, Option<&'a Organisation>), Rejected> {
        self.find(table, request).map_err(|rejected| {
            if self.shared.is_behind(view) {
                // What the newest document says of it is not known here.
                Reason::Behind.into()
            } else {
                rejected
            }
        })
    }

    /// Finds a request's route and organisation.
    fn find<'a>(&self, table: &'a Table, request: &Request) -> Result<(&'a Route, Option<&'a Organisation>), Rejected> {
        let host = request.headers().get(header::HOST).and_then(|host| host.to_str().ok());
        let route = table
            .route(host.unwrap_or_default(), request.path())
            .ok_or(Reason::NoRoute)?;
        let organisation = self.organisation(table, request, route.public);
        let organisation = organisation.map_err(|refusal| Rejected {
            route: route.name.clone(),
            refusal,
        })?;
        Ok((route, organisation))
    }

    fn organisation<'a>(
        &self,
        table: &'a Table,
        request: &Request,
        public: bool,
    ) -> Result<Option<&'a Organisation>, Refusal> {
        if !table.requires_keys() {
            return Ok(None);
        }
        let key = self.shared.dialect.key(request.headers());
        let organisation = key.and_then(|key| table.organisation(key));
        match organisation {
            None if !public => Err(Reason::NoKey.into()),
            organisation => Ok(organisation),
        }
    }

    async fn answer(self: &Rc<Self>, job: Rc<Job>, caller: Option<IoRef>, active: Active) -> Response {
        let mut history = History::default();
        if let Some(service) = self.shared.view.load().services.get(&job.service) {
            service.budget.deposit();
        }
        let ended = self.respond(&job, &mut history, caller, active).await;
        ended.unwrap_or_else(|refusal| {
            if !history.may_have_run()
                && let Some(charge) = &job.charge
            {
                charge.refund();
            }
            self.refused(&job.route.name, &job.ask.id, job.arrived, refusal);
            refusal.response(&self.shared.dialect, &job.ask.id)
        })
    }

    async fn respond(
        self: &Rc<Self>,
        job: &Rc<Job>,
        history: &mut History,
        caller: Option<IoRef>,
        active: Active,
    ) -> Result<Response, Refusal> {
        let open = self.open(job, history, job.ask.last_event).await?;
        if open.answer.status.is_success() && open.answer.is_event_stream() {
            let so_far = history.clone();
            let (flow, first) = Flow::begin(Rc::clone(self), Rc::clone(job), so_far, open, active).await?;
            self.began(job);
            return Ok(flow.response(first, caller));
        }
        self.began(job);
        let whole = self.finish(job, history, open).await?;
        self.served(job, history, whole.status());
        Ok(whole.response(&job.method))
    }

    /// Notes that an endpoint began to run a request.
    fn began(&self, job: &Job) {
        let now = self.shared.clock.now();
        self.shared
            .metrics
            .latency
            .observe(now.since(job.arrived).as_secs_f64());
        if let Some(organisation) = &job.organisation {
            self.shared.tally.count(organisation);
        }
    }

    /// Notes a request that its caller got an endpoint's whole answer to.
    pub(super) fn served(&self, job: &Job, history: &History, status: StatusCode) {
        let outcome = if status.is_success() {
            "served"
        } else {
            "endpoint_failed"
        };
        self.shared.metrics.count_request(&job.route.name, outcome);
        let now = self.shared.clock.now();
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::Served) {
            info!(logger, "request ended"; "request" => job.ask.id.as_str(), "route" => job.route.name.as_str(),
                "service" => job.service.as_str(), "status" => status.as_u16(), "outcome" => outcome,
                "sends" => history.sends, "ms" => now.since(job.arrived).as_millis() as u64,
                "first_ms" => history.pace.first_ms(job.arrived), "pause_ms" => history.pace.pause_ms(),
                "endpoint" => history.sent.as_ref().map(|sent| sent.endpoint.as_str()),
                "expected_ms" => history.sent.as_ref().map(|sent| sent.expected_ms),
                "running" => history.sent.as_ref().map(|sent| sent.running),
                "unread" => history.sent.as_ref().map(|sent| sent.unread),
                "to_read" => history.sent.as_ref().map(|sent| sent.to_read),
                "document" => self.version(), "left_out" => left_out);
        }
    }

    /// Notes a stream that its caller did not get whole.
    pub(super) fn broken(&self, job: &Job, history: &History, failure: &Failure) {
        self.shared.metrics.count_request(&job.route.name, "cut");
        let now = self.shared.clock.now();
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::Failed) {
            info!(logger, "request ended"; "request" => job.ask.id.as_str(), "route" => job.route.name.as_str(),
                "service" => job.service.as_str(), "outcome" => "cut", "cause" => %failure,
                "sends" => history.sends, "ms" => now.since(job.arrived).as_millis() as u64,
                "document" => self.version(), "left_out" => left_out);
        }
    }

    /// Notes what decided that an organisation is over this entry's share of its limit.
    fn over_limit(&self, organisation: Option<&Organisation>, ask: &Metadata, refusal: Refusal, version: u64) {
        let now = self.shared.clock.now();
        let limit = organisation.and_then(|organisation| organisation.limit);
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::Limit) {
            info!(logger, "over the limit"; "request" => ask.id.as_str(),
                "organisation" => organisation.map(|organisation| organisation.name.as_str()),
                "units" => limit.map(|limit| limit.units(ask.size.map(crate::dialect::Size::total))),
                "rate" => limit.map(|limit| limit.rate),
                "owed_beyond_share_ms" => refusal.retry_after.map(|after| after.as_millis() as u64),
                "document" => version, "left_out" => left_out);
        }
    }

    fn refused(&self, route: &str, id: &SmolStr, arrived: Instant, refusal: Refusal) {
        self.shared.metrics.count_request(route, refusal.reason.as_str());
        let now = self.shared.clock.now();
        self.shared.metrics.refusal.observe(now.since(arrived).as_secs_f64());
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::Failed) {
            info!(logger, "request ended"; "request" => id.as_str(), "route" => route,
                "status" => refusal.reason.status().as_u16(), "outcome" => refusal.reason.as_str(),
                "retry_after_ms" => refusal.retry_after.map(|after| after.as_millis() as u64),
                "ms" => now.since(arrived).as_millis() as u64, "document" => self.version(), "left_out" => left_out);
        }
    }

    /// Waits for the request to stop.
    pub async fn stopped(&self) {
        self.shared.stop.notified().await;
    }

    /// Closes callers' idle connections.
    pub fn close_idle(&self) {
        self.callers.close_idle();
    }

    /// Closes idle connections, and forgets caches, that are of no more use.
    pub fn sweep(&self) {
        self.callers.forget_closed();
        let view = self.shared.view.load();
        let is_there = |hash| view.endpoint(hash).is_some();
        self.shared.cache_index().expire(self.shared.clock.now(), is_there);
        let endpoints = view.by_hash.values();
        let mut addresses: Vec<_> = endpoints
            .filter(|endpoint| !endpoint.is_leaving())
            .map(|endpoint| endpoint.registration.address)
            .collect();
        addresses.extend(view.keepers.deputy);
        if let Keeper::Other(address) = view.keepers.keeper {
            addresses.push(address);
        }
        let now = self.shared.clock.now();
        self.pool
            .borrow_mut()
            .sweep(now, |address| addresses.contains(&address));
    }
}

async fn read_body(request: &mut Request, bound: usize) -> Result<BytesMut, Refusal> {
    let mut body = BytesMut::new();
    let mut payload = request.take_payload();
    let reading = async {
        while let Some(piece) = payload.recv().await {
            let piece = piece.map_err(|_broken| Reason::BadBody)?;
            if body.len() + piece.len() > bound {
                return Err(Reason::TooLarge);
            }
            body.extend_from_slice(&piece);
        }
        Ok(())
    };
    timeout(BODY_TIME, reading).await.unwrap_or(Err(Reason::BadBody))?;
    Ok(body)
}
