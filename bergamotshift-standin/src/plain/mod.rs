//! A plain service that echoes what it was asked and remembers what it ran.

use std::io;
use std::sync::Arc;

use ntex::http::Method;
use ntex::http::Response;
use ntex::http::StatusCode;
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
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: SmolStr::new_static("plain-1"),
            service: SmolStr::new_static("plain"),
            zone: SmolStr::new_static("zone-a"),
            work_ms: 0,
        }
    }
}

/// A running plain service; dropping it stops it.
///
/// It answers any method and path with `{service, vm, method, path, key, digest, run}`, where `run` counts the calls
/// it began, and echoes the attempt id. `GET /health`, `/_load` and `/_ledger` are its own.
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
        });
        let dying = Arc::clone(&place);
        let site: Arc<dyn Site> = Arc::<Place>::clone(&place);
        let host = Host::start(site, move || dying.ledger.die())?;
        Ok(Self { host, place })
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
}

impl Site for Place {
    fn kind(&self, call: &Call) -> String {
        call.method.to_string()
    }

    fn answer(self: Arc<Self>, call: Call, _plan: Plan) -> Answer {
        Box::pin(async move {
            match (&call.method, call.path.as_str()) {
                (&Method::GET, "/health") => Response::new(StatusCode::OK),
                (&Method::GET, "/_load") => host::json(&bergamotshift_core::load::Report::default()),
                (&Method::GET, "/_ledger") => host::json(&self.ledger.runs()),
                _ => self.echo(&call).await,
            }
        })
    }
}

impl Place {
    async fn echo(&self, call: &Call) -> Response {
        let run = call.run(&self.settings.service);
        let number = self.ledger.runs().len() + 1;
        let body = json!({
            "service": self.settings.service,
            "vm": self.settings.name,
            "method": call.method.as_str(),
            "path": call.path,
            "query": call.query,
            "key": run.key,
            "digest": run.digest,
            "run": number,
        });
        let entry = self.ledger.begin(run);
        if self.settings.work_ms > 0 {
            tokio::time::sleep(core::time::Duration::from_millis(self.settings.work_ms)).await;
        }
        self.ledger.end(entry, State::Finished);
        let mut response = host::json(&body);
        host::echo_attempt(call, &mut response);
        response
    }
}
