//! Answers without a length or chunks, which end with their connection.

use core::time::Duration;
use std::rc::Rc;

use bergamotshift_limit::ending;
use bergamotshift_limit::ending::Check;
use bergamotshift_limit::ending::Close;
use bergamotshift_limit::ending::Decision;
use bergamotshift_limit::ending::Identity;
use ntex::http::HeaderMap;
use ntex::http::StatusCode;
use ntex::http::header::HeaderValue;
use slog::info;
use tokio::time::timeout;

use super::Forwarder;
use super::attempt::Exchange;
use super::job::Job;
use super::witness::Witness;
use crate::endpoint::Endpoint;
use crate::exchange;
use crate::exchange::Connection;
use crate::exchange::Failure;
use crate::exchange::Liveness;
use crate::observe::Topic;
use crate::relay;

/// Time within which an endpoint that lives states its incarnation; a health check waits for a slot like other requests.
const IDENTIFY_TIMEOUT: Duration = Duration::from_secs(1);

/// Time within which an endpoint that lives accepts or refuses a connection.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

impl Forwarder {
    /// Returns a witness of the process that sends an answer; `None` if the answer itself marks its end.
    pub(super) fn witness_of(self: &Rc<Self>, job: &Job, exchange: &Exchange) -> Option<Rc<Witness>> {
        if exchange.head.framing.is_framed() {
            return None;
        }
        let endpoint = exchange.guard.endpoint();
        self.record_unframed(&endpoint.registration.service);
        // A witness that has ended since the request was sent tells more than a new one.
        let early = exchange.witness.clone();
        Some(early.unwrap_or_else(|| self.witness(endpoint, &job.metadata.id, &exchange.connection)))
    }

    /// Checks that an answer without framing did not end because its endpoint did: the end of the connection looks the
    /// same.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Broken`] when the endpoint ended with the answer, or nothing shows that it did not.
    pub(super) async fn check_end(
        &self,
        job: &Job,
        endpoint: &Endpoint,
        ended: &Connection,
        witness: &Witness,
        answer: Kind,
    ) -> Result<(), Failure> {
        let settings = ending::Settings::default();
        let began = self.shared.clock.now();
        let mut check = match ended.close() {
            Close::Orderly => self.check_endpoint(job, endpoint, ended).await,
            Close::Early | Close::Reset => Probe::Unknown,
        };
        let mut identity = None;
        let is_leaving = endpoint.is_leaving();
        let is_urgent = answer == Kind::Whole && !is_leaving;
        let (seen, decided) = loop {
            let seen = ending::Observation {
                close: ended.close(),
                check: check.outcome(),
                witness: witness.state(),
                identity,
                is_urgent,
                is_leaving,
            };
            match ending::decide(&settings, &seen, self.shared.clock.now().since(began)) {
                Decision::Complete => break (seen, Ok(())),
                Decision::Incomplete(cause) => break (seen, Err(cause)),
                Decision::LookAgain(pause) => tokio::time::sleep(pause).await,
                Decision::Identify => identity = Some(self.identify(job, endpoint, &mut check).await),
            }
        };
        if let Probe::Open(connection) = check
            && connection.is_reusable()
        {
            // It serves the next request in place of the one that ended.
            self.keep_connection(endpoint, connection, &HeaderMap::new());
        }
        let now = self.shared.clock.now();
        let renewal = (identity == Some(Identity::Same))
            .then(|| self.witnesses.record_idle_end(&endpoint.registration.service, now));
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::End) {
            info!(logger, "answer without framing ended"; "request" => job.metadata.id.as_str(),
                "endpoint" => endpoint.registration.id.as_str(), "leaving" => endpoint.is_leaving(),
                "tunnel" => ended.is_tunnel(), "close" => seen.close.as_str(), "check" => seen.check.as_str(), "witness" => seen.witness.as_str(),
                "identity" => identity.map(Identity::as_str), "renewal_ms" => renewal.map(|renewal| renewal.as_millis() as u64),
                "complete" => decided.is_ok(), "cause" => decided.err(), "last_event" => answer.last_event(),
                "ms" => now.since(began).as_millis() as u64, "left_out" => left_out);
        }
        decided.map_err(|cause| Failure::Broken(format!("it has no length, and {cause}")))
    }

    /// Asks the process that accepted a connection which incarnation it is. Its health check tells, or its refusal to serve
    /// another incarnation's request.
    async fn identify(&self, job: &Job, endpoint: &Endpoint, check: &mut Probe) -> Identity {
        let view = self.shared.view.load_full();
        let table = view.table.as_ref();
        let path = table.and_then(|table| table.health_path(&endpoint.registration.service));
        // A registration with a start time has an identifier that outlives the process.
        let names_process = endpoint.registration.born == 0;
        let (Some(path), Probe::Open(connection), true) = (path, &mut *check, names_process) else {
            return Identity::Unknown;
        };
        let time_left = job.deadline.since(self.shared.clock.now()).min(IDENTIFY_TIMEOUT);
        let dialect = &self.shared.dialect;
        let Ok(head) = exchange::check_health(connection, dialect, endpoint, path, time_left).await else {
            *check = Probe::Unknown;
            return Identity::Unknown;
        };
        let incarnation = head.headers.get(&dialect.incarnation);
        match incarnation.map(HeaderValue::as_bytes) {
            _ if head.status == StatusCode::MISDIRECTED_REQUEST => Identity::Other,
            Some(id) if id == endpoint.registration.id.as_bytes() => Identity::Same,
            Some(_) => Identity::Other,
            None => Identity::Unknown,
        }
    }

    /// Opens a connection to the endpoint of an answer that ended.
    async fn check_endpoint(&self, job: &Job, endpoint: &Endpoint, ended: &Connection) -> Probe {
        if ended.is_tunnel() {
            if endpoint.is_leaving() {
                // Other entries open no tunnels to it.
                return Probe::Unknown;
            }
            return match relay::open(&self.shared, endpoint, &job.metadata.id, CHECK_TIMEOUT).await {
                Ok(connection) => Probe::Open(connection),
                Err(relay::Error::NoEntry) => Probe::Unknown,
                Err(relay::Error::Unreached) => Probe::Refused,
            };
        }
        self.shared.metrics.connections.inc();
        let opening = Connection::open(endpoint.registration.address, CHECK_TIMEOUT * 2);
        match timeout(CHECK_TIMEOUT, opening).await {
            Ok(Ok(connection)) => Probe::Open(connection),
            Ok(Err(_refused)) => Probe::Refused,
            Err(_silent) => Probe::Unknown,
        }
    }
}

/// Kind of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// Its caller waits for all of it.
    Whole,
    /// Its caller has its events, of which this is the last one that has a number.
    Stream(Option<u64>),
}

impl Kind {
    const fn last_event(self) -> Option<u64> {
        match self {
            Self::Whole => None,
            Self::Stream(last) => last,
        }
    }
}

/// Connection that is opened after the end of an answer.
enum Probe {
    Open(Connection),
    Refused,
    Unknown,
}

impl Probe {
    /// Returns its outcome so far.
    fn outcome(&self) -> Check {
        match self {
            Self::Open(connection) if connection.liveness() == Liveness::Open => Check::Accepted,
            Self::Open(_) | Self::Refused => Check::Refused,
            Self::Unknown => Check::Unknown,
        }
    }
}
