//! A model engine that speaks the OpenAI API and generates deterministic tokens by continuous batching.

mod batch;
mod cache;
mod completion;
pub mod event;
pub mod kv;
mod load;
pub mod order;
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
/// `/_load` and `/_ledger`. `POST /_drain` makes it take no new requests. `GET /_events?since=N` tells what its prefix
/// cache did, `POST /_kv/export` and `/_kv/import` move KV cache, `POST /_orders` takes an [`order::Order`] and
/// `GET /_orders` shows the [`order::Duty`]. Token `i` of an answer is a function of the prompt and `i`, so a stream that was resumed
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

    /// Takes no new requests, finishes the running ones and says so in its load report, until a restart.
    pub fn drain(&self) {
        self.place.drain();
    }

    /// Loses the next events of the prefix cache, which leaves a gap in their numbers.
    pub fn lose_events(&self, count: u32) {
        self.place.lose_events(count);
    }

    /// Returns what the engine serves, and the orders it carried out.
    pub fn duty(&self) -> order::Duty {
        self.place.duty()
    }

    /// Returns what truly ran.
    pub fn ledger(&self) -> Vec<Run> {
        self.place.ledger()
    }
}
