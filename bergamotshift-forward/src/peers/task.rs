//! Periodic exchange of states with the other entries.

use core::net::SocketAddr;
use core::time::Duration;
use std::collections::HashMap;
use std::rc::Rc;

use bergamotshift_core::name;
use futures_util::future::join_all;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::StatusCode;
use slog::info;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

use super::message::Question;
use super::network::Network;
use super::question::read_body;
use super::rounds::Rounds;
use crate::control::Control;
use crate::control::Query;
use crate::control::Recipient;
use crate::limits::Keeper;
use crate::observe::Topic;

/// Maximum number of entries to contact in a round, without the keepers of other zones and the holder of the duties.
/// Each exchange informs both sides, so among seven entries each receives the state of every other one several times a
/// second.
const MAX_CONTACTS: usize = 3;

/// Duration from which a failed call counts as timed out: a VM that can be reached refuses the connection at once.
const TIMED_OUT_AFTER: Duration = Duration::from_millis(200);

/// Path of requests that exchange states.
pub(super) const PATH: &str = "/exchange";

/// Maximum size of a request's body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Answers the queries of other entries until the process ends.
pub async fn answer_queries(control: Control) {
    let Some(mut queries) = control.take_queries() else {
        return;
    };
    // The requester may have gone meanwhile.
    while let Some(query) = queries.recv().await {
        match query {
            Query::Exchange { question, reply } => drop(reply.send(control.handle_question(*question))),
            Query::Document { version, reply } => drop(reply.send(control.offer(version))),
        }
    }
}

/// Exchanges states with other entries until the process ends.
pub async fn run(control: Control, network: Rc<dyn Network>) {
    let mut rounds = Rounds::default();
    for number in 0.. {
        let is_discovering = control.keepers().keeper == Keeper::Unknown;
        let round = rounds.next(is_discovering || control.is_alone());
        tokio::time::sleep(round.delay).await;
        control.tick();
        let mut targets: Vec<(Option<name::Entry>, SocketAddr)> = control
            .due_peers(MAX_CONTACTS)
            .into_iter()
            .map(|(entry, address)| (Some(entry), address))
            .collect();
        if control.is_alone() {
            targets.extend(seed(&control, number).map(|seed| (None, seed)));
        }
        let questions = Questions::new(&control, targets);
        let exchanges = questions
            .targets
            .iter()
            .filter_map(|target| Some((target, questions.to(&control, target)?)))
            .map(|(target, question)| contact(&control, &*network, target, question, round.timeout));
        join_all(exchanges).await;
    }
}

/// Entry to contact in a round.
struct Target {
    /// The entry; `None` for a seed, which is known by its address only.
    entry: Option<name::Entry>,
    address: SocketAddr,
    recipient: Recipient,
}

/// This entry's state for the targets of a round, encoded once for all that need the same of it.
struct Questions {
    targets: Vec<Target>,
    encoded: HashMap<Recipient, Vec<u8>>,
}

impl Questions {
    /// Encodes the state for these targets. Those that it cannot be encoded for are left out.
    fn new(control: &Control, targets: Vec<(Option<name::Entry>, SocketAddr)>) -> Self {
        let state = control.state();
        let targets = targets.into_iter().map(|(entry, address)| Target {
            recipient: entry.as_ref().map_or(Recipient::SEED, |entry| control.recipient(entry)),
            entry,
            address,
        });
        let mut targets: Vec<_> = targets.collect();
        let mut encoded = HashMap::new();
        for recipient in targets.iter().map(|target| target.recipient) {
            if !encoded.contains_key(&recipient)
                && let Ok(question) = postcard::to_stdvec(&recipient.select(state.clone()))
            {
                encoded.insert(recipient, question);
            }
        }
        targets.retain(|target| encoded.contains_key(&target.recipient));
        Self { targets, encoded }
    }

    /// Returns the encoded question to a target.
    fn to(&self, control: &Control, target: &Target) -> Option<Vec<u8>> {
        let state = self.encoded.get(&target.recipient)?;
        let times = postcard::to_stdvec(&control.times(target.entry.as_ref())).ok()?;
        Some([state.as_slice(), &times].concat())
    }
}

/// Returns the seed to contact in a round. Entries begin with different ones, and contact one at a time: when all entries of
/// a large fleet start, each seed has to reply to hundreds of them.
fn seed(control: &Control, round: usize) -> Option<SocketAddr> {
    let settings = &control.shared().settings;
    let own = settings.peers_address();
    let seeds = settings.peers.seeds.iter().filter(|seed| **seed != own);
    let seeds: Vec<_> = seeds.copied().collect();
    let first = xxh3_64(settings.name.as_str().as_bytes()) as usize;
    seeds.get(first.wrapping_add(round) % seeds.len().max(1)).copied()
}

async fn contact(control: &Control, network: &dyn Network, target: &Target, question: Vec<u8>, timeout: Duration) {
    let Target { entry, address, .. } = target;
    let began = control.shared().clock.now();
    let result = network.exchange(*address, &question, timeout).await;
    let now = control.shared().clock.now();
    let took = now.since(began);
    match result {
        Ok(reply) => control.handle_reply(reply, began),
        Err(error) => {
            if let Some((logger, left_out)) = control.shared().log.rate_limited(now, Topic::Peers) {
                info!(logger, "entry not reached"; "address" => %address, "cause" => %error,
                    "ms" => took.as_millis() as u64, "left_out" => left_out);
            }
            if let Some(entry) = entry {
                control.peer_failed(entry, took >= TIMED_OUT_AFTER.min(timeout));
            }
        }
    }
}

/// Answers another entry's state with this entry's.
pub async fn answer_exchange(control: &mpsc::UnboundedSender<Query>, mut request: Request) -> Response {
    if request.path() != PATH {
        return Response::new(StatusCode::NOT_FOUND);
    }
    let question = match read_body::<Question>(&mut request, MAX_BODY_BYTES).await {
        Ok(question) => Box::new(question),
        Err(status) => return Response::new(status),
    };
    let (reply, answer) = oneshot::channel();
    if control.send(Query::Exchange { question, reply }).is_err() {
        return Response::new(StatusCode::SERVICE_UNAVAILABLE);
    }
    let Some(bytes) = answer.await.ok().and_then(|reply| postcard::to_stdvec(&reply).ok()) else {
        return Response::new(StatusCode::SERVICE_UNAVAILABLE);
    };
    Response::build(StatusCode::OK).body(bytes)
}
