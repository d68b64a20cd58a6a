//! Handles the requests of one thread, from the request head to the response.

use core::cell::Cell;
use core::cell::RefCell;
use core::time::Duration;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::header;
use ntex::io::IoRef;
use smol_str::SmolStr;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use super::active::Active;
use super::attempt::History;
use super::body;
use super::body::Body;
use super::callers;
use super::callers::Callers;
use super::charge::Applicant;
use super::job::Job;
use super::keeper::Backoff;
use super::refusal::Reason;
use super::refusal::Refusal;
use super::speed::Samples;
use super::stream::Relay;
use super::suspect::Content;
use super::witness::Witnesses;
use crate::choice;
use crate::dialect::Metadata;
use crate::document::Bounds;
use crate::document::Kind;
use crate::document::Organisation;
use crate::document::Route;
use crate::exchange::Pool;
use crate::limits::Keeper;
use crate::peers::Origins;
use crate::peers::Permits;
use crate::routes::Table;
use crate::view::Shared;
use crate::view::View;

/// Maximum share of its time that a caller waits until an entry that is starting has a complete view, or one that is
/// behind has the newest document.
const MAX_WAIT_SHARE: f64 = 0.2;

/// Time for which a caller waits if its request does not state one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Refusal of a request that has not become a job, with the name of the route that was found.
struct Rejection {
    route: SmolStr,
    refusal: Refusal,
    /// Whether part of the body is left on the connection.
    is_unread: bool,
}

impl From<Reason> for Rejection {
    fn from(reason: Reason) -> Self {
        Refusal::from(reason).into()
    }
}

impl From<Refusal> for Rejection {
    fn from(refusal: Refusal) -> Self {
        Self {
            route: SmolStr::new_static("none"),
            refusal,
            is_unread: false,
        }
    }
}

/// Forwarder of the requests that arrive on one thread.
#[derive(Debug)]
pub struct Forwarder {
    pub(super) shared: Arc<Shared>,
    pub(super) pool: RefCell<Pool>,
    /// Connections to endpoints through other entries, by the address of the endpoint.
    pub(super) tunnels: RefCell<Pool>,
    pub(super) witnesses: Witnesses,
    pub(super) choice_settings: choice::Settings,
    pub(super) permits: Permits,
    pub(super) origins: Origins,
    pub(super) callers: Callers,
    /// Keeper of the zone that recently did not answer.
    pub(super) keeper_backoff: Cell<Backoff>,
    /// Time of the last report of in-flight requests to the keeper.
    pub(super) last_report: Cell<Instant>,
    /// Measurements for the keeper of the zone.
    pub(super) samples: Samples,
}

impl Forwarder {
    /// Creates the forwarder of the current thread.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            permits: Permits::new(Arc::clone(&shared)),
            origins: Origins::new(Arc::clone(&shared)),
            shared,
            pool: RefCell::default(),
            tunnels: RefCell::default(),
            witnesses: Witnesses::default(),
            choice_settings: choice::Settings::default(),
            callers: Callers::default(),
            keeper_backoff: Cell::default(),
            last_report: Cell::default(),
            samples: Samples::default(),
        }
    }

    /// Handles one request.
    pub async fn serve(self: &Rc<Self>, mut request: Request) -> Response {
        let arrived = self.shared.clock.now();
        let connection = request.io().map(|connection| self.callers.track(connection));
        let is_closing = connection.as_ref().is_some_and(callers::Guard::is_closing);
        let active = Active::new(&self.shared, connection);
        let metadata = Metadata::read(&self.shared.dialect, request.headers());
        let id = metadata.id.clone();
        let caller = request.io().cloned();
        let read = if is_closing {
            // Its caller expects no answer on this connection, so it must not run.
            Err(Reason::Stopping.into())
        } else {
            let reading = self.read_job(&mut request, metadata, arrived);
            let read = self.shared.drain.until_over(reading).await;
            read.unwrap_or_else(|| Err(Reason::Stopping.into()))
        };
        let mut is_last = is_closing;
        let mut response = match read {
            Ok(job) => self.respond(Rc::new(job), caller, active).await,
            Err(Rejection {
                route,
                refusal,
                is_unread,
            }) => {
                self.record_refusal(&route, &id, arrived, refusal);
                is_last |= is_unread;
                refusal.response(&self.shared.dialect, &id)
            }
        };
        if is_last || self.shared.is_stopping() || self.shared.is_stranded() || self.shared.is_late() {
            response
                .head_mut()
                .set_connection_type(ntex::http::ConnectionType::Close);
            if let Some(connection) = request.io() {
                self.callers.end(connection);
            }
        }
        response
    }

    /// Reads a complete request and matches it to its route, its organisation and a service.
    async fn read_job(&self, request: &mut Request, metadata: Metadata, arrived: Instant) -> Result<Job, Rejection> {
        let view = self.wait_for_view(&metadata).await;
        let max_body = view
            .table
            .as_ref()
            .map_or(Bounds::default().body, |table| table.document().bounds.body);
        let body = self.read_body(&view, request, &metadata, max_body).await?;
        // The document may have changed while the body arrived.
        let view = if body.bytes.is_empty() {
            view
        } else {
            self.shared.view.load_full()
        };
        if self.shared.is_closed() {
            return Err(Reason::Stopping.into());
        }
        let view = self.wait_for_newer_view(view, request, &metadata).await;
        let table = view.table.as_ref().ok_or(Reason::NoDocument)?;
        let (route, organisation) = self.admit(&view, table, request)?;
        let max_wait = metadata.time_left.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
        let deadline = arrived + max_wait;
        let reject = |refusal: Refusal| Rejection {
            route: route.name.clone(),
            refusal,
            is_unread: false,
        };
        self.admit_while_stopping(route, &metadata.id, deadline)
            .map_err(reject)?;
        // A stream that is taken up goes to the service that began it.
        let attempt = metadata.resumes.as_ref().unwrap_or(&metadata.id);
        let service = route.service(xxh3_64(attempt.as_bytes())).cloned();
        let service = service.ok_or_else(|| reject(Reason::NoEndpoint.into()))?;
        let path = request
            .uri()
            .path_and_query()
            .map_or("/", |path| path.as_str())
            .to_owned();
        let caller = organisation.map_or("", |organisation| organisation.name.as_str());
        let fingerprint = Fingerprint::of(caller, request.method().as_str(), &path, &body.bytes);
        let mut content = Content::new(&service, fingerprint, &metadata);
        self.admit_suspect(&view, &mut content, &metadata).map_err(reject)?;
        let prompt = metadata.size.map(|size| size.prompt);
        let service_view = view.services.get(&service);
        if let (Some(service_view), Some(prompt)) = (service_view, prompt) {
            service_view.record_prompt(prompt);
        }
        let canary = service_view.and_then(|service| service.canary.as_ref());
        let is_canary = canary.is_some_and(|canary| canary.accepts(&metadata.id, prompt));
        let urgency = organisation
            .and_then(|organisation| organisation.urgency)
            .unwrap_or(route.urgency);
        let applicant = Applicant {
            organisation,
            route,
            service: &service,
            metadata: &metadata,
            fingerprint,
            urgency,
            is_canary,
            arrived,
            deadline,
        };
        let admission = self.charge(&view, &applicant).await.map_err(|refusal| {
            if refusal.reason == Reason::OverLimit {
                self.log_over_limit(organisation, &metadata, refusal, table.document().version);
            }
            reject(refusal)
        })?;
        Ok(Job {
            method: request.method().clone(),
            path,
            headers: request.headers().clone(),
            body,
            route: Arc::new(route.clone()),
            service,
            organisation: organisation.map(|organisation| organisation.name.clone()),
            urgency,
            arrived,
            deadline,
            charge: admission.charge,
            placement: admission.placement,
            terms: admission.terms,
            is_admitted: Cell::new(admission.is_admitted),
            is_canary,
            content,
            metadata,
        })
    }

    /// Reads the body of a request, unless its head suffices to refuse it.
    async fn read_body(
        &self,
        view: &View,
        request: &mut Request,
        metadata: &Metadata,
        max: usize,
    ) -> Result<Body, Rejection> {
        let reader = body::Reader::new(&self.shared, request, max);
        let found = view.table.as_ref().map(|table| self.find_route(table, request));
        let source = match found {
            // A small body costs less than the connection that would be closed, and a newer document may allow the request.
            Some(Err(rejection)) if !reader.is_small() && !self.shared.is_behind(view) => {
                reader.skip();
                return Err(Rejection {
                    is_unread: true,
                    ..rejection
                });
            }
            Some(Ok((_, Some(organisation)))) => xxh3_64(organisation.name.as_str().as_bytes()),
            _ => 0,
        };
        let time_left = metadata.time_left.unwrap_or(DEFAULT_TIMEOUT).min(DEFAULT_TIMEOUT);
        reader.read(source, time_left).await.map_err(|reason| Rejection {
            is_unread: true,
            ..reason.into()
        })
    }

    /// Returns the view that a request is served from. While the entry starts, waits until the view is complete.
    ///
    /// If all entries are killed, their callers retry at once and reach an entry that has started but not read the
    /// document yet. Without the wait, they are refused for the second time and do not retry again: a quarter of all
    /// callers in the first half second. The document is read some 30 ms after the start, so a caller that waits is
    /// served in time. An entry that cannot read it refuses at once when its time to start is over. The same holds for
    /// the list of entries, which determines what organisations may use at once: until it is read, all bursts count as
    /// used up.
    async fn wait_for_view(&self, metadata: &Metadata) -> Arc<View> {
        let notified = self.shared.view_ready.notified();
        let view = self.shared.view.load_full();
        if view.is_complete() {
            return view;
        }
        let start_timeout = Duration::from_millis(self.shared.settings.start.wait_timeout_ms);
        let time_left = (self.shared.started + start_timeout).since(self.shared.clock.now());
        let max_wait = metadata.time_left.unwrap_or(DEFAULT_TIMEOUT).mul_f64(MAX_WAIT_SHARE);
        let complete = async {
            notified.await;
            while !self.shared.view.load().is_complete() {
                self.shared.view_ready.notified().await;
            }
        };
        // After the timeout, the request is handled by the view as it is.
        let _ = timeout(time_left.min(max_wait), complete).await;
        self.shared.view.load_full()
    }

    /// Returns the view that a request is matched by. If the current view would refuse it permanently and another entry
    /// has a newer document, waits for that document.
    ///
    /// An entry may learn of a new route or key a moment later than others. Without the wait, its callers are refused
    /// permanently and do not retry, although every other entry would serve them. Fetching a document takes a tenth of
    /// a second, so a caller that waits is served in time. After the timeout, the caller may retry at another entry.
    async fn wait_for_newer_view(&self, view: Arc<View>, request: &Request, metadata: &Metadata) -> Arc<View> {
        let is_refused = |view: &View| {
            let table = view.table.as_ref();
            table.is_some_and(|table| self.is_refused_by_outdated(view, table, request))
        };
        if !is_refused(&view) {
            return view;
        }
        let max_wait = metadata.time_left.unwrap_or(DEFAULT_TIMEOUT).mul_f64(MAX_WAIT_SHARE);
        let newer = async {
            loop {
                let notified = self.shared.view_ready.notified();
                let view = self.shared.view.load_full();
                if !is_refused(&view) {
                    return view;
                }
                notified.await;
            }
        };
        timeout(max_wait, newer)
            .await
            .unwrap_or_else(|_late| self.shared.view.load_full())
    }

    /// Returns whether a request is refused permanently by a document that is known to be outdated.
    fn is_refused_by_outdated(&self, view: &View, table: &Table, request: &Request) -> bool {
        self.shared.is_behind(view) && self.find_route(table, request).is_err()
    }

    /// Finds the route and the organisation of a request in the newest document that this entry could get.
    fn admit<'a>(
        &self,
        view: &View,
        table: &'a Table,
        request: &Request,
    ) -> Result<(&'a Route, Option<&'a Organisation>), Rejection> {
        self.find_route(table, request).map_err(|rejected| {
            if self.shared.is_behind(view) {
                // The newest document, which this entry does not have, may allow the request.
                Reason::Behind.into()
            } else {
                rejected
            }
        })
    }

    /// Finds the route and the organisation of a request.
    fn find_route<'a>(
        &self,
        table: &'a Table,
        request: &Request,
    ) -> Result<(&'a Route, Option<&'a Organisation>), Rejection> {
        let host = request.headers().get(header::HOST).and_then(|host| host.to_str().ok());
        let route = table
            .route(host.unwrap_or_default(), request.path())
            .ok_or(Reason::NoRoute)?;
        let organisation = self.authenticate(table, request, route.public);
        let organisation = organisation.map_err(|refusal| Rejection {
            route: route.name.clone(),
            refusal,
            is_unread: false,
        })?;
        Ok((route, organisation))
    }

    /// Returns the organisation of a request's key; `None` without one on a public route, or if the document requires
    /// no keys.
    fn authenticate<'a>(
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

    /// Forwards a request and returns the response to its caller.
    async fn respond(self: &Rc<Self>, job: Rc<Job>, caller: Option<IoRef>, active: Active) -> Response {
        let mut history = History::default();
        if let Some(service) = self.shared.view.load().services.get(&job.service) {
            service.budget.deposit();
        }
        let forwarding = self.forward(&job, &mut history, caller, active);
        let result = self.shared.drain.until_over(forwarding).await;
        let result = result.unwrap_or_else(|| {
            if history.may_have_run() {
                self.shared.drain.record_cut();
            }
            Err(history.refusal_at_end())
        });
        result.unwrap_or_else(|refusal| {
            let refusal = self.guaranteed(&job, &history, refusal);
            if history.may_have_run() {
                let lasted = self.shared.clock.now().since(job.arrived);
                self.shared.drain.record(&job.route.name, lasted);
            }
            if !history.may_have_run()
                && let Some(charge) = &job.charge
            {
                charge.refund();
            }
            self.record_refusal(&job.route.name, &job.metadata.id, job.arrived, refusal);
            refusal.response(&self.shared.dialect, &job.metadata.id)
        })
    }

    /// Forwards a request to endpoints until one responds.
    async fn forward(
        self: &Rc<Self>,
        job: &Rc<Job>,
        history: &mut History,
        caller: Option<IoRef>,
        mut active: Active,
    ) -> Result<Response, Refusal> {
        history.version = self.find_origin(job).await?;
        history.begins_stream = job.route.kind == Kind::Stream;
        let exchange = self.send_with_retries(job, history, job.metadata.last_event).await?;
        if exchange.head.status.is_success() && exchange.head.is_event_stream() {
            let attempts = history.clone();
            let (relay, first) = Relay::start(Rc::clone(self), Rc::clone(job), attempts, exchange, active).await?;
            self.record_start(job);
            return Ok(relay.response(first, caller));
        }
        self.record_start(job);
        let reply = self.read_with_retries(job, history, exchange).await?;
        if !history.may_state(job, reply.status()) {
            self.log_withheld(job, history, reply.status());
            return Err(Reason::FailedRun.into());
        }
        self.record_served(job, history, reply.status());
        active.measure(job);
        Ok(reply.response(&job.method, caller, active, self.shared.is_stopping()))
    }

    /// Closes callers' idle connections once the entry stops, so that the callers connect to another entry.
    pub async fn close_idle(&self) {
        self.callers.follow(&self.shared.drain).await;
    }

    /// Closes idle connections and removes cache entries that are no longer of use.
    pub fn sweep(&self) {
        self.callers.forget_closed();
        let view = self.shared.view.load();
        let is_known = |hash| view.endpoint(hash).is_some();
        self.shared.cache_index().expire(self.shared.clock.now(), is_known);
        self.shared
            .controllers
            .retain(|service| view.services.contains_key(service));
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
        for pool in [&self.pool, &self.tunnels] {
            pool.borrow_mut().sweep(now, |address| addresses.contains(&address));
        }
    }
}
