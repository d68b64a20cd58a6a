//! Interface through which the member reaches the other entries.

use core::fmt::Debug;

use bergamotshift_config::accept::Member;
use bergamotshift_config::accept::member::Announcement;
use bergamotshift_config::digest::Digest;
use bergamotshift_config::manifest::Manifest;
use bergamotshift_core::prelude::*;
use futures_util::future::LocalBoxFuture;

/// Reaches the other entries.
pub trait Peers: Debug {
    /// Sends an announcement to the entry's neighbours.
    fn announce(&self, announcement: Announcement);

    /// Sends an announcement to one entry that is behind.
    fn reply(&self, to: &name::Entry, announcement: Announcement);

    /// Makes the member's content available to other entries; called after each of its steps.
    fn update(&self, _member: &Member) {}

    /// Fetches content from an entry, or returns `None` if the entry does not have it or cannot be reached.
    fn fetch(&self, from: &name::Entry, digest: Digest) -> LocalBoxFuture<'static, Option<Manifest>>;
}

/// Implementation without other entries; all content comes from the platform.
#[derive(Clone, Copy, Debug)]
pub struct Standalone;

impl Peers for Standalone {
    fn announce(&self, _announcement: Announcement) {}

    fn reply(&self, _to: &name::Entry, _announcement: Announcement) {}

    fn fetch(&self, _from: &name::Entry, _digest: Digest) -> LocalBoxFuture<'static, Option<Manifest>> {
        Box::pin(async { None })
    }
}
