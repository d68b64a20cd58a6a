//! Asks the other entries in turn, and answers them.

use core::cell::RefCell;
use core::net::SocketAddr;
use core::time::Duration;
use std::collections::HashMap;

use bergamotshift_core::name;
use futures_util::future::join_all;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::StatusCode;
use slog::info;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::message::Reply;
use super::message::State;
use super::question::question;
use super::rounds::Rounds;
use crate::control::Control;
use crate::control::Query;
use crate::exchange;
use crate::exchange::Connection;
use crate::exchange::Failure;
use crate::limits::Keeper;
use crate::observe::Topic;

/// The most entries asked in a round. Each answer tells both sides, so with seven entries each hears every other one
/// several times a second.
const ASKED: usize = 3;

/// From when on a question that failed met silence: a VM that is reached refuses at once.
const SILENT: Duration = Duration::from_millis(200);

/// The path that entries ask at.
const PATH: &str = "/exchange";

/// The largest question, in bytes.
const LARGEST: usize = 1 << 20;

/// Why another entry's answer cannot be used.
#[derive(Debug)]
#[derive(Error)]
enum Error {
    #[error(transparent)]
    Exchange(#[from] Failure),
    #[error("no whole answer in time: {received} bytes came")]
    Late { received: usize },
    #[error("the answer cannot be decoded: {0}")]
    Decode(#[from] postcard::Error),
    #[error("status {0}")]
    Status(u16),
}

/// Asks other entries for as long as the process lives.
pub async fn run(control: Control) {
    let connections = RefCell::new(HashMap::new());
    let Some(mut inbox) = control.take_queries() else {
        return;
    };
    let answering = control.clone();
    ntex::rt::spawn(async move {
        // Whoever asked may have gone meanwhile.
        while let Some(question) = inbox.recv().await {
            match question {
                Query::Exchange { state, reply } => drop(reply.send(answering.handle_state(*state))),
                Query::Document { version, reply } => drop(reply.send(answering.offer(version))),
            }
        }
    });
    let mut rounds = Rounds::default();
    loop {
        let is_lost = control.keeping().keeper == Keeper::Unknown;
        let round = rounds.next(is_lost || control.is_alone());
        tokio::time::sleep(round.delay).await;
        control.tick();
        let mut due: Vec<(Option<name::Entry>, SocketAddr)> = control
            .due_peers(ASKED)
            .into_iter()
            .map(|(entry, address)| (Some(entry), address))
            .collect();
        if control.is_alone() {
            let settings = &control.shared().settings;
            let others = settings
                .peers
                .seeds
                .iter()
                .filter(|seed| **seed != settings.listen.peers);
            due.extend(others.map(|seed| (None, *seed)));
        }
        let state = control.state();
        let (Ok(question), Ok(brief)) = (postcard::to_stdvec(&state), postcard::to_stdvec(&state.brief())) else {
            continue;
        };
        let asks = due.into_iter().map(|(entry, address)| {
            let is_brief = entry.as_ref().is_some_and(|entry| control.is_brief(entry));
            let question = if is_brief { &brief } else { &question };
            ask(&control, &connections, entry, address, question, round.timeout)
        });
        join_all(asks).await;
    }
}

async fn ask(
    control: &Control,
    connections: &RefCell<HashMap<SocketAddr, Connection>>,
    entry: Option<name::Entry>,
    address: SocketAddr,
    question: &[u8],
    patience: Duration,
) {
    let began = control.shared().clock.now();
    let asked = exchange(connections, address, question, patience).await;
    let now = control.shared().clock.now();
    let took = now.since(began);
    match asked {
        Ok(reply) => control.handle_reply(reply),
        Err(error) => {
            if let Some((logger, left_out)) = control.shared().log.room(now, Topic::Peers) {
                info!(logger, "entry not reached"; "address" => %address, "cause" => %error,
                    "ms" => took.as_millis() as u64, "left_out" => left_out);
            }
            if let Some(entry) = entry {
                control.peer_failed(&entry, took >= SILENT.min(patience));
            }
        }
    }
}

async fn exchange(
    connections: &RefCell<HashMap<SocketAddr, Connection>>,
    address: SocketAddr,
    question: &[u8],
    patience: Duration,
) -> Result<Reply, Error> {
    let deadline = Instant::now() + patience;
    let kept = connections
        .borrow_mut()
        .remove(&address)
        .filter(Connection::is_reusable);
    let mut connection = match kept {
        Some(connection) => connection,
        None => Connection::open(address, patience).await?,
    };
    let before = connection.total();
    let call = timeout_at(deadline, exchange::call(&mut connection, address, PATH, question)).await;
    let answer = call.map_err(|_late| Error::Late {
        received: connection.total() - before,
    })??;
    if answer.status != StatusCode::OK {
        return Err(Error::Status(answer.status.as_u16()));
    }
    connections.borrow_mut().insert(address, connection);
    Ok(postcard::from_bytes(&answer.body)?)
}

/// Answers another entry's question.
pub async fn answer_exchange(control: &mpsc::UnboundedSender<Query>, mut request: Request) -> Response {
    if request.path() != PATH {
        return Response::new(StatusCode::NOT_FOUND);
    }
    let state = match question::<State>(&mut request, LARGEST).await {
        Ok(state) => state,
        Err(status) => return Response::new(status),
    };
    let (reply, answer) = oneshot::channel();
    let state = Box::new(state);
    if control.send(Query::Exchange { state, reply }).is_err() {
        return Response::new(StatusCode::SERVICE_UNAVAILABLE);
    }
    let Some(bytes) = answer.await.ok().and_then(|reply| postcard::to_stdvec(&reply).ok()) else {
        return Response::new(StatusCode::SERVICE_UNAVAILABLE);
    };
    Response::build(StatusCode::OK).body(bytes)
}
