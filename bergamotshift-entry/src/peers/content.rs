//! Exchange of the configuration between entries: the head is gossiped as a note, and content is fetched from an entry
//! that holds it.

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
use slog::Logger;
use slog::warn;
use tokio::sync::oneshot;

use super::Request;
use super::Sender;
use crate::configuration::Peers;
use crate::configuration::follow;

/// Timeout for a peer's answer with configuration content.
pub(super) const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Key of the note that carries the configuration's head.
const HEAD_KEY: u128 = 0;

/// Configuration state shared by the tasks of the control thread.
#[derive(Debug, Default)]
pub struct Content {
    subscriber: RefCell<Option<follow::Sender>>,
    held: RefCell<BTreeMap<Vec<u8>, Vec<u8>>>,
    latest: RefCell<Option<member::Event>>,
    rank: RefCell<Option<u16>>,
}

impl Content {
    /// Forwards heads and ranks to the member from now on, beginning with the latest rank and head received so far.
    pub fn subscribe(&self, subscriber: follow::Sender) {
        let latest = self.latest.borrow_mut().take();
        let rank = self.rank.borrow().map(member::Event::Ranked);
        for event in rank.into_iter().chain(latest) {
            drop(subscriber.send(event));
        }
        *self.subscriber.borrow_mut() = Some(subscriber);
    }

    /// Forwards a head that another entry announced to the member.
    ///
    /// An entry that is not a known member yet cannot be asked for content, so its head counts as announced without
    /// content. The note is reported again once the entry is known.
    pub(super) fn receive_head(&self, note: &note::Note, from: Option<name::Entry>, logger: &Logger) {
        let mut announcement = match postcard::from_bytes::<Announcement>(&note.body) {
            Ok(announcement) => announcement,
            Err(error) => {
                warn!(logger, "a configuration's head cannot be decoded"; "error" => %error);
                return;
            }
        };
        announcement.holds &= from.is_some();
        let from = from.unwrap_or_default();
        let event = member::Event::Announced { from, announcement };
        match &*self.subscriber.borrow() {
            Some(subscriber) => drop(subscriber.send(event)),
            None => *self.latest.borrow_mut() = Some(event),
        }
    }

    /// Forwards this entry's rank among the live entries of its zone to the member, if it changed.
    pub(super) fn set_rank(&self, rank: u16) {
        if self.rank.replace(Some(rank)) == Some(rank) {
            return;
        }
        if let Some(subscriber) = &*self.subscriber.borrow() {
            drop(subscriber.send(member::Event::Ranked(rank)));
        }
    }

    /// Returns the content with this digest, to answer another entry.
    pub(super) fn get(&self, digest: &[u8]) -> Option<Vec<u8>> {
        self.held.borrow().get(digest).cloned()
    }

    /// Keeps the encoded content of the member's current revisions (in force, accepted and proposed) and drops the rest.
    fn hold(&self, member: &Member) {
        let latest = member.view().head;
        let revisions = [
            member.in_force(),
            latest.accepted,
            latest.proposed.map(|proposal| proposal.revision),
        ];
        let mut held = self.held.borrow_mut();
        let mut kept = BTreeMap::new();
        for digest in revisions.into_iter().flatten().map(|revision| revision.digest) {
            let Some(key) = encode_digest(digest) else { continue };
            let content = held.remove(&key).or_else(|| member.content(&digest).and_then(encode));
            if let Some(content) = content {
                kept.insert(key, content);
            }
        }
        *held = kept;
    }
}

/// Connection of the configuration's member to the other entries, by gossip.
#[derive(Clone, Debug)]
pub struct Gossip {
    sender: Sender,
    content: Rc<Content>,
}

impl Gossip {
    /// Creates the connection from the sender of requests and the shared content.
    pub const fn new(sender: Sender, content: Rc<Content>) -> Self {
        Self { sender, content }
    }
}

impl Peers for Gossip {
    fn announce(&self, announcement: Announcement) {
        let Ok(body) = postcard::to_stdvec(&announcement) else {
            return;
        };
        // The content can be fetched from an announcer that holds it, so its note supersedes one without content.
        let version = announcement.view.row * 2 + u64::from(announcement.holds);
        self.sender.send(Request::NotePublished {
            topic: note::Topic::CONFIG,
            key: HEAD_KEY,
            version,
            body,
        });
    }

    fn reply(&self, _to: &name::Entry, announcement: Announcement) {
        // Probes carry digests of the notes, so the neighbours of an entry that is behind detect it and send the note.
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
            // Content with another digest would come into force as a version that was never accepted.
            (manifest.digest() == digest).then_some(manifest)
        })
    }

    fn update(&self, member: &Member) {
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
