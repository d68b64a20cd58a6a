//! Hands open requests over to their keepers and retrieves those whose callers reconnect.

use core::net::SocketAddr;
use core::pin::Pin;
use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_fleet::handover;
use bergamotshift_fleet::handover::Answer;
use bergamotshift_fleet::handover::Key;
use bergamotshift_fleet::handover::Parcel;
use bergamotshift_fleet::handover::Question;
use bergamotshift_fleet::handover::Retrieval;
use bergamotshift_link::node::Node;
use tokio::sync::oneshot;

use super::driver::Driver;

/// Timeout for a keeper's answer, short so that a dead keeper does not delay the caller.
const KEEPER_TIMEOUT: Duration = Duration::from_millis(500);

/// Pending answer of another entry; `None` if it does not arrive in time or is invalid.
pub(super) type Reply = Pin<Box<dyn Future<Output = Option<Answer>>>>;

/// Outcome of the lookup of a request that was handed over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The request; this entry continues it.
    Parcel(Box<Parcel>),
    /// Another entry, which continues the request.
    Elsewhere(name::Entry),
    /// No entry that was asked keeps the request.
    Missing,
}

impl Driver {
    /// Hands a request over to its keepers and sends back how many of them keep it.
    pub(super) fn hand_over(&self, parcel: &Parcel, answer: oneshot::Sender<usize>) {
        let replies = self.put(parcel);
        ntex::rt::spawn(async move {
            let answers = futures_util::future::join_all(replies).await;
            let kept = answers.iter().filter(|answer| **answer == Some(Answer::Kept)).count();
            let _ = answer.send(kept);
        })
        .detach();
    }

    /// Asks the keepers of a request to keep it.
    pub(super) fn put(&self, parcel: &Parcel) -> Vec<Reply> {
        let me = self.kernel.me();
        let members = self.kernel.members();
        let keepers = handover::keepers(&parcel.key, members, &me.zone, &me.name);
        let addresses = keepers.into_iter().filter_map(|keeper| members.get(keeper));
        addresses
            .map(|record| ask(&self.node, record.address, Question::Put(Box::new(parcel.clone()))))
            .collect()
    }

    /// Looks the request up in this entry's own keeper, then asks the candidates one after the other.
    pub(super) fn find(&mut self, key: Key, answer: oneshot::Sender<Lookup>) {
        let me = self.kernel.me().name.clone();
        match self.keeper.take(self.shared.now(), &key, &me) {
            Retrieval::Parcel(parcel) => return drop(answer.send(Lookup::Parcel(parcel))),
            Retrieval::Elsewhere(entry) => return drop(answer.send(Lookup::Elsewhere(entry))),
            Retrieval::Missing => {}
        }
        let addresses = self.candidates(&key);
        let node = self.node.clone();
        ntex::rt::spawn(async move {
            let found = search(&node, addresses, key, me).await;
            drop(answer.send(found));
        })
        .detach();
    }

    /// Removes a finished request from this entry's keeper and asks the first candidates to remove it.
    pub(super) fn finish(&mut self, key: &Key) {
        self.keeper.finish(key);
        let replies: Vec<Reply> = self
            .candidates(key)
            .into_iter()
            .take(handover::CANDIDATE_COUNT)
            .map(|address| ask(&self.node, address, Question::Finish(key.clone())))
            .collect();
        ntex::rt::spawn(async move {
            futures_util::future::join_all(replies).await;
        })
        .detach();
    }

    /// Returns the addresses of the other entries that may keep a request, in the order to ask them.
    fn candidates(&self, key: &Key) -> Vec<SocketAddr> {
        let members = self.kernel.members();
        let own_address = self.kernel.me().address;
        handover::candidates(key, members)
            .into_iter()
            .filter_map(|candidate| members.get(candidate))
            .map(|record| record.address)
            .filter(|address| *address != own_address)
            .collect()
    }
}

/// Sends a question to a keeper.
fn ask(node: &Node, to: SocketAddr, question: Question) -> Reply {
    ask_with_timeout(node, to, question, KEEPER_TIMEOUT)
}

/// Sends a question to an entry and waits for the answer up to the timeout.
pub(super) fn ask_with_timeout(node: &Node, to: SocketAddr, question: Question, timeout: Duration) -> Reply {
    let node = node.clone();
    Box::pin(async move {
        let bytes = node.ask(to, &question.encode(), timeout).await.ok()?;
        Answer::decode(&bytes).ok()
    })
}

/// Delivers a frame, or gives up after the timeout for a keeper.
pub(super) async fn deliver(node: Node, to: SocketAddr, bytes: Vec<u8>) {
    // An entry that does not receive the frame detects the departure by probing.
    drop(node.deliver(to, &bytes, KEEPER_TIMEOUT).await);
}

/// Asks the entries one after the other until one has the request or knows which entry continues it.
async fn search(node: &Node, addresses: Vec<SocketAddr>, key: Key, by: name::Entry) -> Lookup {
    for address in addresses {
        let question = Question::Take {
            key: key.clone(),
            by: by.clone(),
        };
        match ask(node, address, question).await {
            Some(Answer::Parcel(parcel)) => return Lookup::Parcel(parcel),
            Some(Answer::Elsewhere(entry)) => return Lookup::Elsewhere(entry),
            _ => {}
        }
    }
    Lookup::Missing
}
