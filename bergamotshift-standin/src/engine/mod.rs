//! A model engine that speaks the OpenAI API and generates deterministic tokens by continuous batching.

mod batch;
mod completion;
mod place;
mod reply;
mod request;
mod settings;
pub mod text;

use std::io;
use std::sync::Arc;

pub use settings::Settings;

use crate::host;
use crate::host::Host;
use crate::host::Site;
use crate::ledger::Run;
use place::Place;

/// A running model engine; dropping it stops it.
///
/// It serves `POST /v1/chat/completions` and `/v1/completions` (streaming and not), `GET /v1/models`, `/health`,
/// `/_load` and `/_ledger`. Token `i` of an answer is a function of the prompt and `i`, so a stream that was resumed
/// elsewhere can be checked exactly: see [`text::expected`].
#[derive(Debug)]
pub struct Server {
    host: Host,
    place: Arc<Place>,
}

host::handle!(Server);

impl Server {
    /// Starts the engine on an ephemeral loopback port.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket calls.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let place = Arc::new(Place::new(settings));
        let dying = Arc::clone(&place);
        let site: Arc<dyn Site> = Arc::<Place>::clone(&place);
        let host = Host::start(site, move || dying.die())?;
        Ok(Self { host, place })
    }

    /// Returns what truly ran.
    pub fn ledger(&self) -> Vec<Run> {
        self.place.ledger()
    }
}
