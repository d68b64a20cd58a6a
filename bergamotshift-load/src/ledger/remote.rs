//! Ledgers over HTTP, with what was last seen of an endpoint that no longer answers.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;

use super::Book;
use super::Error;
use super::Run;
use super::Source;
use crate::caller::Http;
use crate::plan::Endpoint;

/// Reads `GET /_ledger` of each endpoint.
#[derive(Debug)]
pub struct Remote {
    endpoints: Vec<Endpoint>,
    seen: Mutex<Vec<Book>>,
}

impl Remote {
    /// Makes a reader of these endpoints' ledgers.
    pub fn new(endpoints: Vec<Endpoint>) -> Self {
        let seen = endpoints.iter().map(|endpoint| Book {
            endpoint: endpoint.name.clone(),
            ..Book::default()
        });
        Self {
            seen: Mutex::new(seen.collect()),
            endpoints,
        }
    }
}

impl Source for Remote {
    fn books(&self) -> Result<Vec<Book>, Error> {
        let endpoints = self.endpoints.clone();
        let reading = thread::spawn(move || crate::run::block_on("load-ledger", read(endpoints)));
        let answers = reading
            .join()
            .or(Err(Error::Thread("the reader panicked".to_owned())))?;
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        for (book, runs) in seen.iter_mut().zip(answers) {
            book.complete = runs.is_some();
            if let Some(runs) = runs {
                book.runs = runs;
            }
        }
        Ok(seen.clone())
    }
}

async fn read(endpoints: Vec<Endpoint>) -> Vec<Option<Vec<Run>>> {
    let http = Http::new("").await;
    let mut answers = Vec::with_capacity(endpoints.len());
    for endpoint in endpoints {
        answers.push(ledger(&http, &endpoint).await);
    }
    answers
}

async fn ledger(http: &Http, endpoint: &Endpoint) -> Option<Vec<Run>> {
    let body = http.get(endpoint.address, "/_ledger").await?;
    serde_json::from_slice(&body).ok()
}
