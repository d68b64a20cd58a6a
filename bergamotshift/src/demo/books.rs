//! What the demo's endpoints truly ran, read from their handles, which outlive a kill.

use crate::demo::Site;
use crate::demo::worker::Server;
use crate::load::ledger::Book;
use crate::load::ledger::Error;
use crate::load::ledger::Run;
use crate::load::ledger::Source;
use crate::standin::ledger;

impl Server {
    /// Returns what it truly ran.
    pub fn ledger(&self) -> Vec<ledger::Run> {
        match self {
            Self::Engine(server) => server.ledger(),
            Self::Plain(server) => server.ledger(),
        }
    }
}

impl Source for Site {
    fn books(&self) -> Result<Vec<Book>, Error> {
        let book = |worker: &crate::demo::worker::Worker| Book {
            endpoint: worker.listing.name.clone(),
            runs: worker.server.ledger().into_iter().map(run).collect(),
            complete: true,
        };
        Ok(self.workers().iter().map(book).collect())
    }
}

fn run(run: ledger::Run) -> Run {
    Run {
        attempt: run.attempt,
        key: run.key,
        target: run.target,
        tokens: run.tokens,
        prefilled: run.prefilled,
        finished: run.finished,
    }
}
