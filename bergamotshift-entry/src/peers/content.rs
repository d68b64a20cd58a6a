//! The configuration's part of the gossip: heads are told as notes, and content is fetched from whoever holds it.

use core::cell::RefCell;
use core::time::Duration;
use std::collections::BTreeMap;
use std::rc::Rc;

use bergamotshift_config::accept::Member;
use bergamotshift_config::accept::member;
use bergamotshift_config::accept::member::Announcement;
use bergamotshift_config::digest::Digest;
use bergamotshift_config::manifest::Manifest;
use bergamotshift_core::prelude::*;
use bergamotshift_fleet::note;
use futures_util::future::LocalBoxFuture;
use tokio::sync::oneshot;

use super::Request;
use super::Sender;
use crate::configuration::Peers;
use crate::configuration::follow;

/// How long a peer may take over a configuration's content.
pub(super) const PATIENCE: Duration = Duration::from_secs(2);

/// The configuration's head is one note.
const HEAD: u128 = 0;

/// What the control thread's tasks share of the configuration.
#[derive(Debug, Default)]
pub struct Content {
    listener: RefCell<Option<follow::Sender>>,
    held: RefCell<BTreeMap<Vec<u8>, Vec<u8>>>,
    latest: RefCell<Option<member::Event>>,
    rank: RefCell<Option<u16>>,
}

impl Content {
    /// Has heads and ranks told to the member from now on, and first those that came before.
    pub fn subscribe(&self, listener: follow::Sender) {
        let earlier = self.latest.borrow_mut().take();
        let rank = self.rank.borrow().map(member::Event::Ranked);
        for event in rank.into_iter().chain(earlier) {
            drop(listener.send(event));
        }
        *self.listener.borrow_mut() = Some(listener);
    }

    /// Tells the member a head that another entry announced. Who is not known yet cannot be asked for content; the note
    /// comes again once it is.
    pub(super) fn heard(&self, note: &note::Note, from: Option<name::Entry>) {
        let Ok(mut announcement) = postcard::from_bytes::<Announcement>(&note.body) else {
            return;
        };
        announcement.holds &= from.is_some();
        let from = from.unwrap_or_default();
        let event = member::Event::Announced { from, announcement };
        match &*self.listener.borrow() {
            Some(listener) => drop(listener.send(event)),
            None => *self.latest.borrow_mut() = Some(event),
        }
    }

    /// Tells the member its entry's place among the live entries of its zone.
    pub(super) fn ranked(&self, rank: u16) {
        if self.rank.replace(Some(rank)) == Some(rank) {
            return;
        }
        if let Some(listener) = &*self.listener.borrow() {
            drop(listener.send(member::Event::Ranked(rank)));
        }
    }

    /// Returns the content with this digest, for another entry.
    pub(super) fn get(&self, digest: &[u8]) -> Option<Vec<u8>> {
        self.held.borrow().get(digest).cloned()
    }

    /// Keeps what the member holds ready for others.
    fn hold(&self, member: &Member) {
        let known = member.view().head;
        let named = [
            member.in_force(),
            known.accepted,
            known.proposed.map(|proposal| proposal.revision),
        ];
        let mut held = self.held.borrow_mut();
        let mut kept = BTreeMap::new();
        for digest in named.into_iter().flatten().map(|mark| mark.digest) {
            let Some(key) = encode_digest(digest) else { continue };
            let content = held.remove(&key).or_else(|| member.content(&digest).and_then(encode));
            if let Some(content) = content {
                kept.insert(key, content);
            }
        }
        *held = kept;
    }
}

/// Reaches the other entries for the configuration's member.
#[derive(Clone, Debug)]
pub struct Gossip {
    sender: Sender,
    content: Rc<Content>,
}

impl Gossip {
    /// Makes the member's way to the others.
    pub const fn new(sender: Sender, content: Rc<Content>) -> Self {
        Self { sender, content }
    }
}

impl Peers for Gossip {
    fn announce(&self, announcement: Announcement) {
        let Ok(body) = postcard::to_stdvec(&announcement) else {
            return;
        };
        // An announcer that holds the content can be asked for it, so it goes before one that does not.
        let version = announcement.view.row * 2 + u64::from(announcement.holds);
        self.sender.send(Request::NotePublished {
            topic: note::Topic::CONFIG,
            key: HEAD,
            version,
            body,
        });
    }

    fn tell(&self, _to: &name::Entry, announcement: Announcement) {
        // Digests of notes go along with probes: an entry that is behind is found and told by its neighbours.
        self.announce(announcement);
    }

    fn fetch(&self, from: &name::Entry, digest: Digest) -> LocalBoxFuture<'static, Option<Manifest>> {
        let (answer, fetched) = oneshot::channel();
        if let Some(key) = encode_digest(digest) {
            let from = from.clone();
            self.sender.send(Request::Fetch { from, key, answer });
        }
        Box::pin(async move {
            let content = fetched.await.ok().flatten();
            let content = content?;
            let files: Vec<(String, String)> = postcard::from_bytes(&content).ok()?;
            let manifest = Manifest::new(&files).ok()?;
            // Content under a wrong digest would come into force as a version that nobody accepted.
            (manifest.digest() == digest).then_some(manifest)
        })
    }

    fn hold(&self, member: &Member) {
        self.content.hold(member);
    }
}

fn encode_digest(digest: Digest) -> Option<Vec<u8>> {
    postcard::to_stdvec(&digest).ok()
}

fn encode(manifest: &Manifest) -> Option<Vec<u8>> {
    let files: Vec<(&str, &str)> = manifest.files().map(|(name, text)| (name.as_str(), &**text)).collect();
    postcard::to_stdvec(&files).ok()
}
