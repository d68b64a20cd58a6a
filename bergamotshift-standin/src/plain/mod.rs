//! A plain service that echoes what it was asked and remembers what it ran.

use core::sync::atomic::AtomicBool;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering;
use std::io;
use std::sync::Arc;

use bergamotshift_core::load::Report;
use ntex::http::Method;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::header::HeaderName;
use ntex::http::header::HeaderValue;
use serde_json::json;
use smol_str::SmolStr;

use crate::fault::Plan;
use crate::host;
use crate::host::Answer;
use crate::host::Call;
use crate::host::Host;
use crate::host::Site;
use crate::ledger::Ledger;
use crate::ledger::Run;
use crate::ledger::State;

/// Tells a caller whether its request ran.
const OUTCOME: &str = "x-bergamotshift-outcome";

/// Settings of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The VM's name, which every answer shows.
    pub name: SmolStr,
    /// The service's name.
    pub service: SmolStr,
    /// The availability zone.
    pub zone: SmolStr,
    /// How long a call takes, in milliseconds.
    pub work_ms: u64,
    /// Calls at a time that its load report gives as its room; more are taken all the same.
    pub slots: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: SmolStr::new_static("plain-1"),
            service: SmolStr::new_static("plain"),
            zone: SmolStr::new_static("zone-a"),
            work_ms: 0,
            slots: 64,
        }
    }
}

/// A running plain service; dropping it stops it.
///
/// It answers any method and path with `{service, vm, method, path, key, digest, run}`, where `run` counts the calls
/// it began, and echoes the attempt id. `GET /health`, `/_load`, `/_ledger` and `POST /_drain` are its own.
#[derive(Debug)]
pub struct Server {
    host: Host,
    place: Arc<Place>,
}

host::handle!(Server);

impl Server {
    /// Starts the service on an ephemeral loopback port.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket calls.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let place = Arc::new(Place {
            settings,
            ledger: Ledger::new(),
            leaving: AtomicBool::new(false),
            reports: AtomicU64::new(0),
        });
        let dying = Arc::clone(&place);
        let site: Arc<dyn Site> = Arc::<Place>::clone(&place);
        let host = Host::start(site, move || dying.die())?;
        Ok(Self { host, place })
    }

    /// Takes no new calls, finishes the running ones and says so in its load report, until a restart.
    pub fn drain(&self) {
        self.place.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns what truly ran.
    pub fn ledger(&self) -> Vec<Run> {
        self.place.ledger.runs()
    }
}

#[derive(Debug)]
struct Place {
    settings: Settings,
    ledger: Ledger,
    leaving: AtomicBool,
    reports: AtomicU64,
}

impl Site for Place {
    fn kind(&self, call: &Call) -> String {
        call.method.to_string()
    }

    fn answer(self: Arc<Self>, call: Call, _plan: Plan) -> Answer {
        Box::pin(async move {
            match (&call.method, call.path.as_str()) {
                (&Method::GET, "/health") => Response::new(StatusCode::OK),
                (&Method::GET, "/_load") => host::json(&self.load()),
                (&Method::POST, "/_drain") => {
                    self.leaving.store(true, Ordering::Relaxed);
                    Response::new(StatusCode::NO_CONTENT)
                }
                (&Method::GET, "/_ledger") => host::json(&self.ledger.runs()),
                _ if self.leaving.load(Ordering::Relaxed) => refused(),
                _ => self.echo(&call).await,
            }
        })
    }
}

/// Refuses a call and proves that it did not run.
fn refused() -> Response {
    let mut response = host::error(
        StatusCode::SERVICE_UNAVAILABLE,
        "draining",
        "the service takes no new calls",
    );
    response
        .headers_mut()
        .insert(HeaderName::from_static(OUTCOME), HeaderValue::from_static("not-run"));
    response
}

impl Place {
    fn die(&self) {
        self.ledger.die();
        self.leaving.store(false, Ordering::Relaxed);
    }

    fn load(&self) -> Report {
        Report {
            sequence: self.reports.fetch_add(1, Ordering::Relaxed) + 1,
            running: self.ledger.running(),
            slots: self.settings.slots,
            leaving: self.leaving.load(Ordering::Relaxed),
            ..Report::default()
        }
    }

    async fn echo(&self, call: &Call) -> Response {
        let run = call.run(&self.settings.service);
        let Some(entry) = call.while_alive(|| self.ledger.begin(run.clone())) else {
            return host::dead();
        };
        let body = json!({
            "service": self.settings.service,
            "vm": self.settings.name,
            "method": call.method.as_str(),
            "path": call.path,
            "query": call.query,
            "key": run.key,
            "digest": run.digest,
            "run": entry.number(),
        });
        if self.settings.work_ms > 0 {
            tokio::time::sleep(core::time::Duration::from_millis(self.settings.work_ms)).await;
        }
        self.ledger.end(entry, State::Finished);
        let mut response = host::json(&body);
        host::echo_attempt(call, &mut response);
        response
    }
}
