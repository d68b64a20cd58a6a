//! Tells other entries which versions began streams, and asks them.

use core::cell::RefCell;
use core::net::SocketAddr;
use core::time::Duration;
use std::collections::BTreeSet;
use std::sync::Arc;

use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::StatusCode;
use slog::info;
use smol_str::SmolStr;
use tokio::time::sleep;
use tokio::time::timeout;

use super::question::read_body;
use crate::exchange;
use crate::exchange::Pool;
use crate::observe::Topic;
use crate::origins::Answer;
use crate::origins::Key;
use crate::origins::Message;
use crate::view::Shared;

/// Path of messages about the versions of streams.
pub const PATH: &str = "/origins";

/// Maximum size of a message, in bytes; some thousand streams.
const MAX_BODY_BYTES: usize = 128 * 1_024;

/// Time for which streams are collected before other entries are told. A stream whose entry ends within this time after the
/// first event cannot go on.
const TELL_DELAY: Duration = Duration::from_millis(10);

/// Timeout for telling another entry.
const TELL_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout for the answers of the entries that are asked for a version.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

/// Cause in the log if an entry has not answered within the timeout.
const NOT_IN_TIME: &str = "no answer in time";

/// Messages of one thread to other entries about the versions of streams.
#[derive(Debug)]
pub struct Origins {
    shared: Arc<Shared>,
    pool: RefCell<Pool>,
}

impl Origins {
    /// Creates the state of the current thread.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            pool: RefCell::default(),
        }
    }

    /// Asks other entries which version began a stream; returns the first answer that names one.
    pub async fn ask(&self, key: Key) -> Option<SmolStr> {
        let origins = &self.shared.origins;
        match self.ask_all(&origins.holders(key), key).await {
            Some(version) => Some(version),
            None => self.ask_all(&origins.others(key), key).await,
        }
    }

    async fn ask_all(&self, entries: &[SocketAddr], key: Key) -> Option<SmolStr> {
        let question = Message::Ask(key);
        let question = &question;
        let ask = async |entry: SocketAddr| (entry, self.send(entry, question).await);
        let mut answers: FuturesUnordered<_> = entries.iter().map(|entry| ask(*entry)).collect();
        let mut unanswered: BTreeSet<SocketAddr> = entries.iter().copied().collect();
        let first = async {
            while let Some((entry, answer)) = answers.next().await {
                unanswered.remove(&entry);
                match answer {
                    Ok(Some(version)) => return Some(version),
                    Ok(None) => {}
                    Err(cause) => self.log_unanswered(entry, &cause),
                }
            }
            None
        };
        if let Ok(version) = timeout(ASK_TIMEOUT, first).await {
            return version;
        }
        for entry in unanswered {
            self.log_unanswered(entry, NOT_IN_TIME);
        }
        None
    }

    /// Logs that another entry did not answer which version began a stream.
    fn log_unanswered(&self, address: SocketAddr, cause: &str) {
        if let Some((logger, left_out)) = self.shared.log.rate_limited(self.shared.clock.now(), Topic::Peers) {
            info!(logger, "version of a stream not answered"; "address" => %address, "cause" => cause,
                "left_out" => left_out);
        }
    }

    /// Tells other entries which versions began streams here, until the process ends.
    pub async fn tell(&self) {
        loop {
            self.shared.origins.untold.notified().await;
            sleep(TELL_DELAY).await;
            let now = self.shared.clock.now();
            self.pool.borrow_mut().sweep(now, |_| true);
            let messages = self.shared.origins.take_messages(now).into_iter();
            join_all(messages.map(|(address, message)| self.tell_one(address, message))).await;
        }
    }

    async fn tell_one(&self, address: SocketAddr, message: Message) {
        let told = timeout(TELL_TIMEOUT, self.send(address, &message)).await;
        let cause = match told {
            Ok(Ok(_)) => return,
            Ok(Err(cause)) => cause,
            Err(_) => NOT_IN_TIME.to_owned(),
        };
        let now = self.shared.clock.now();
        let is_stored_here = matches!(message, Message::Store(_));
        self.shared.origins.handle_unacknowledged(now, message);
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::Peers) {
            info!(logger, "versions of streams not told"; "address" => %address, "cause" => cause,
                "stored_here" => is_stored_here, "left_out" => left_out);
        }
    }

    /// Sends a message to another entry.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no answer.
    async fn send(&self, address: SocketAddr, message: &Message) -> Result<Answer, String> {
        let message = postcard::to_stdvec(message).map_err(|error| error.to_string())?;
        let clock = self.shared.clock;
        let call = exchange::call_pooled(&self.pool, clock, address, ASK_TIMEOUT, PATH, &message);
        let reply = call.await.map_err(|failure| failure.to_string())?;
        if reply.status != StatusCode::OK {
            return Err(format!("status {}", reply.status.as_u16()));
        }
        postcard::from_bytes(&reply.body).map_err(|error| error.to_string())
    }
}

/// Answers another entry's message about the versions of streams.
pub async fn answer_origins(shared: &Shared, mut request: Request) -> Response {
    let message = match read_body::<Message>(&mut request, MAX_BODY_BYTES).await {
        Ok(message) => message,
        Err(status) => return Response::new(status),
    };
    let answer = shared.origins.handle(shared.clock.now(), message);
    match postcard::to_stdvec(&answer) {
        Ok(bytes) => Response::build(StatusCode::OK).body(bytes),
        Err(_) => Response::new(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
