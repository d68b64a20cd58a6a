//! Hands open requests to their keepers, and finds those whose callers came back.

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

/// A keeper has to answer within this: a dead one must not hold a caller up.
const PATIENCE: Duration = Duration::from_millis(500);

/// An answer that is waited for.
pub(super) type Asking = Pin<Box<dyn Future<Output = Option<Answer>>>>;

/// What became of the search for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// It is here, to go on with.
    Parcel(Box<Parcel>),
    /// Another entry goes on with it.
    Elsewhere(name::Entry),
    /// None of those that could keep it does.
    Missing,
}

impl Driver {
    /// Hands a request to its keepers and tells how many keep it.
    pub(super) fn keep(&self, parcel: &Parcel, answer: oneshot::Sender<usize>) {
        let asking = self.put(parcel);
        ntex::rt::spawn(async move {
            let answers = futures_util::future::join_all(asking).await;
            let kept = answers.iter().filter(|said| **said == Some(Answer::Kept)).count();
            let _ = answer.send(kept);
        })
        .detach();
    }

    /// Asks the keepers of a request to keep it.
    pub(super) fn put(&self, parcel: &Parcel) -> Vec<Asking> {
        let me = self.kernel.me();
        let members = self.kernel.members();
        let keepers = handover::keepers(&parcel.key, members, &me.zone, &me.name);
        let addresses = keepers.into_iter().filter_map(|keeper| members.get(keeper));
        addresses
            .map(|record| ask(&self.node, record.address, Question::Put(Box::new(parcel.clone()))))
            .collect()
    }

    /// Looks here and then asks the candidates one after the other.
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

    /// Tells all that may keep a request to forget it.
    pub(super) fn finish(&mut self, key: &Key) {
        self.keeper.finish(key);
        let asking: Vec<Asking> = self
            .candidates(key)
            .into_iter()
            .take(handover::CANDIDATE_COUNT)
            .map(|address| ask(&self.node, address, Question::Finish(key.clone())))
            .collect();
        ntex::rt::spawn(async move {
            futures_util::future::join_all(asking).await;
        })
        .detach();
    }

    fn candidates(&self, key: &Key) -> Vec<SocketAddr> {
        let members = self.kernel.members();
        let own = self.kernel.me().address;
        handover::candidates(key, members)
            .into_iter()
            .filter_map(|candidate| members.get(candidate))
            .map(|record| record.address)
            .filter(|address| *address != own)
            .collect()
    }
}

fn ask(node: &Node, to: SocketAddr, question: Question) -> Asking {
    ask_within(node, to, question, PATIENCE)
}

/// Asks an entry and waits for so long.
pub(super) fn ask_within(node: &Node, to: SocketAddr, question: Question, patience: Duration) -> Asking {
    let node = node.clone();
    Box::pin(async move {
        let bytes = node.ask(to, &question.encode(), patience).await.ok()?;
        Answer::decode(&bytes).ok()
    })
}

/// Delivers a frame, or gives up after the patience for a keeper.
pub(super) async fn deliver(node: Node, to: SocketAddr, bytes: Vec<u8>) {
    // Whoever does not get it finds out by probing.
    drop(node.deliver(to, &bytes, PATIENCE).await);
}

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
