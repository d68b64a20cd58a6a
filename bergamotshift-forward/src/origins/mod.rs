//! Versions of the endpoints that began streams.
//!
//! What endpoints of two versions write does not fit together, so a stream goes on at the version that began it. A caller may
//! take a stream up at any entry, also after the entry that began it has ended. Each entry records the version of each
//! resumable stream with its first event. While several versions may serve it tells some other entries, of which one stores it.
//! An entry that does not know a stream's version asks those, and reads the store; a version is declared there before
//! a stream begins at it, so a service with a single one leaves no doubt.

mod message;
mod table;

use core::net::SocketAddr;
use core::sync::atomic::AtomicUsize;
use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use arc_swap::ArcSwap;
use bergamotshift_core::clock::Expiry;
use bergamotshift_core::prelude::*;
use futures_util::future::Either;
use futures_util::future::select;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::timeout;

pub use self::message::Answer;
pub use self::message::Message;
pub use self::message::Stream;
pub use self::table::Key;
pub use self::table::Table;
use crate::limits::granter;
use crate::limits::granter::Candidate;

/// Number of other entries that are told the version of a stream, and asked first.
const HOLDERS: usize = 3;

/// Number of other entries that are asked if the holders do not know it; all of them in a small fleet.
const OTHERS: usize = 16;

/// Number of entries of which one stores the versions of streams.
const ENTRIES_BY_WRITER: usize = 16;

/// Number of streams whose versions an entry keeps, of its own and of others.
const CAPACITY: usize = 1 << 16;

/// Timeout for reading the store. A caller that is refused may find an entry that knows the version.
const STORE_TIMEOUT: Duration = Duration::from_millis(400);

/// Source from which the version of a stream is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// This entry recorded it, or was told it.
    Own,
    /// Another entry answered.
    Entry,
    /// The store contains it.
    Store,
    /// The store contains no other version of the service.
    SoleVersion,
}

impl Source {
    /// Returns its name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Entry => "entry",
            Self::Store => "store",
            Self::SoleVersion => "sole_version",
        }
    }
}

/// Stream whose version is sought.
#[derive(Clone, Copy, Debug)]
pub struct Sought<'a> {
    /// Service that its route selects now.
    pub service: &'a name::Service,
    /// The stream; `None` if its caller did not name the attempt that began it.
    pub key: Option<Key>,
}

/// Question to the control thread, which reads the store after it has arrived.
#[derive(Debug)]
pub struct Lookup {
    /// Service of the stream.
    pub service: name::Service,
    /// The stream; `None` if its caller did not name the attempt that began it.
    pub key: Option<Key>,
    /// Whether another service may have begun it, so that the declared versions of this one do not tell.
    pub may_have_moved: bool,
    /// Channel for the version and its source, if it is known.
    pub reply: oneshot::Sender<Option<(SmolStr, Source)>>,
}

/// Versions of streams, with what is needed to find them at other entries.
#[derive(Debug)]
pub struct Origins {
    table: Mutex<Table>,
    /// Other entries that are alive; the control thread replaces them.
    entries: ArcSwap<Vec<Candidate>>,
    /// All entries that are alive, of which some store the versions of streams for all.
    writers: ArcSwap<Vec<Candidate>>,
    /// Time until which the known registrations count as current.
    current: Expiry,
    /// Number of services whose streams that go on now may have begun at several versions.
    mixed: AtomicUsize,
    /// Wakes the task that tells other entries.
    pub untold: Notify,
    /// Wakes the task that stores versions of streams.
    pub unstored: Notify,
    /// Wakes the task that declares versions in the store.
    pub undeclared: Notify,
    /// Channel to the task that reads the store.
    pub lookups: mpsc::UnboundedSender<Lookup>,
    /// Receiver of those questions, until it is taken.
    inbox: Mutex<Option<mpsc::UnboundedReceiver<Lookup>>>,
}

impl Default for Origins {
    fn default() -> Self {
        let (lookups, inbox) = mpsc::unbounded_channel();
        Self {
            table: Mutex::new(Table::new(CAPACITY)),
            entries: ArcSwap::default(),
            writers: ArcSwap::default(),
            current: Expiry::default(),
            mixed: AtomicUsize::new(0),
            untold: Notify::new(),
            unstored: Notify::new(),
            undeclared: Notify::new(),
            lookups,
            inbox: Mutex::new(Some(inbox)),
        }
    }
}

fn addresses(candidates: &[Option<Candidate>]) -> Vec<SocketAddr> {
    let candidates = candidates.iter().flatten();
    candidates.filter_map(|candidate| candidate.address).collect()
}

impl Origins {
    /// Locks the versions that this entry knows.
    pub fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the version of a stream that this entry began; `is_told` is whether other entries have to know it.
    pub fn record(&self, now: Instant, key: Key, version: SmolStr, is_told: bool) {
        self.table().record_own(now, key, version);
        if is_told {
            self.untold.notify_one();
        }
    }

    /// Sets the number of services whose streams that go on now may have begun at several versions. When there are more, what
    /// was recorded before is told.
    pub fn set_mixed(&self, services: usize) {
        if self.mixed.swap(services, Relaxed) < services {
            self.untold.notify_one();
        }
    }

    /// Returns whether streams that go on now may have begun at several versions of a service.
    pub fn is_mixed(&self) -> bool {
        self.mixed.load(Relaxed) > 0
    }

    /// Returns the entry that stores the version of a stream. A single one does so in a small fleet, as each write is billed.
    pub fn writer(&self, key: Key) -> Option<Candidate> {
        let writers = self.writers.load();
        let part = key.get() % self.writer_count() as u64;
        let [writer] = granter::top(part, &writers);
        writer
    }

    /// Returns the number of entries that store versions of streams, at most.
    pub fn writer_count(&self) -> usize {
        self.writers.load().len().div_ceil(ENTRIES_BY_WRITER).max(1)
    }

    /// Returns the receiver of questions to the store; `None` from the second call on.
    pub fn take_lookups(&self) -> Option<mpsc::UnboundedReceiver<Lookup>> {
        self.inbox.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Returns the version that began a stream, if it is known, and where from; `ask` asks other entries, and `may_have_moved` tells
    /// whether another service may have begun it, so that the declared versions of this one do not tell.
    pub async fn find(
        &self,
        now: Instant,
        sought: Sought<'_>,
        may_have_moved: impl Fn() -> bool,
        ask: impl Future<Output = Option<SmolStr>>,
    ) -> Option<(SmolStr, Source)> {
        let key = sought.key;
        if let Some(version) = key.and_then(|key| self.table().get(now, key)) {
            return Some((version, Source::Own));
        }
        if key.is_some_and(|key| self.table().is_ambiguous(now, key)) {
            return None;
        }
        let asked = Box::pin(async { Some((ask.await?, Source::Entry)) });
        let read = Box::pin(async {
            let found = self.read(sought, may_have_moved()).await;
            // What the store contains may have shown that it has.
            found.filter(|(_, source)| *source != Source::SoleVersion || !may_have_moved())
        });
        match select(asked, read).await {
            Either::Left((None, read)) => read.await,
            Either::Right((None, asked)) => asked.await,
            Either::Left((found, _)) | Either::Right((found, _)) => found,
        }
    }

    /// Returns the version that began a stream if it follows from what the store contains now.
    async fn read(&self, sought: Sought<'_>, may_have_moved: bool) -> Option<(SmolStr, Source)> {
        let (reply, found) = oneshot::channel();
        let lookup = Lookup {
            service: sought.service.clone(),
            key: sought.key,
            may_have_moved,
            reply,
        };
        self.lookups.send(lookup).ok()?;
        timeout(STORE_TIMEOUT, found).await.ok()?.ok()?
    }

    /// Replaces the other entries that are alive.
    pub fn set_entries(&self, entries: Vec<Candidate>) {
        if **self.entries.load() != entries {
            self.entries.store(entries.into());
        }
    }

    /// Replaces the entries of which some store the versions of streams; this one has no address.
    pub fn set_writers(&self, writers: Vec<Candidate>) {
        if **self.writers.load() != writers {
            self.writers.store(writers.into());
        }
    }

    /// Returns the addresses of the entries that are told the version of a stream.
    pub fn holders(&self, key: Key) -> Vec<SocketAddr> {
        let holders: [_; HOLDERS] = granter::top(key.get(), &self.entries.load());
        addresses(&holders)
    }

    /// Returns the addresses of the entries that are asked for the version of a stream after its holders: one that knows it may
    /// not reach those.
    pub fn others(&self, key: Key) -> Vec<SocketAddr> {
        let ranked: [_; HOLDERS + OTHERS] = granter::top(key.get(), &self.entries.load());
        addresses(&ranked[HOLDERS..])
    }

    /// Sets the time until which the known registrations count as current.
    pub fn set_current(&self, until: Instant) {
        self.current.set(until);
    }

    /// Returns whether the known registrations are current, so that no unknown version serves.
    pub fn is_current(&self, now: Instant) -> bool {
        self.current.after(now).is_some()
    }

    /// Sets the time for which versions of streams are kept.
    pub fn set_lifetime(&self, lifetime: Duration) {
        self.table().set_lifetime(lifetime);
    }
}
