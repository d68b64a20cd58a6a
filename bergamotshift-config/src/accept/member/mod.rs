//! Follows the accepted configuration in every entry, and stages proposals for its zone.

use core::time::Duration;
use std::collections::BTreeMap;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_core::table::Change;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;
use rand_pcg::Pcg64Mcg;
use smol_str::SmolStr;
use smol_str::ToSmolStr;

mod event;
mod stage;
mod timer;

pub use event::Action;
pub use event::Announcement;
pub use event::Event;
pub use event::Source;
use stage::Row as StageRow;
use timer::Call;

use super::Timing;
use super::record;
use super::record::Progress;
use super::record::Proposal;
use super::record::Revision;
use super::record::Stage;
use super::record::View;
use crate::config::Config;
use crate::digest::Digest;
use crate::folder::Parser;
use crate::manifest::Manifest;

/// How a member is set up.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Settings {
    /// The entry's availability zone.
    pub zone: name::Zone,
    /// The spans of time.
    pub timing: Timing,
    /// The endpoint adapters that this release has; missing means that any name passes.
    pub adapters: Option<Vec<&'static str>>,
}

/// Follows the accepted configuration for one entry.
///
/// It keeps nothing over a restart: a fresh member takes the highest head of the platform and its peers.
///
/// ```
/// use bergamotshift_config::accept::Head;
/// use bergamotshift_config::accept::Member;
/// use bergamotshift_config::accept::View;
/// use bergamotshift_config::accept::member::Action;
/// use bergamotshift_config::accept::member::Announcement;
/// use bergamotshift_config::accept::member::Event;
/// use bergamotshift_config::accept::member::Settings;
/// use bergamotshift_config::accept::record::Revision;
/// use bergamotshift_config::accept::record::Version;
/// use bergamotshift_config::manifest::Manifest;
/// use bergamotshift_core::prelude::*;
/// use rand::SeedableRng;
///
/// let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
/// let content = Manifest::new(&[("10-zones.toml", "[[zone]]\nname = 'canelones'\nregion = 'uy-sur'")])?;
/// let revision = Revision { version: Version::new(7), digest: content.digest() };
/// let head = Head { accepted: Some(revision), proposed: None };
/// let announcement = Announcement { view: View { row: 21, head }, holds: true };
///
/// // The platform is down. A peer tells of version 7 and gives its content.
/// let mut member = Member::new(Settings::default(), Instant::ZERO);
/// member.handle(Instant::ZERO, Event::Announced { from: "entry-3".into(), announcement }, &mut rng);
/// let actions = member.handle(Instant::ZERO, Event::Fetched(content), &mut rng);
/// assert!(matches!(&actions[0], Action::Switch { revision, .. } if revision.version.get() == 7));
/// # Ok::<(), bergamotshift_config::manifest::Error>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    settings: Settings,
    rank: u16,
    /// The highest head known; its row's version decides which is higher.
    view: View,
    in_force: Option<Revision>,
    /// Content in force, accepted or proposed.
    held: BTreeMap<Digest, Manifest>,
    /// Accepted content that this release can't use.
    rejected: Option<Revision>,
    /// An entry that holds what the view names.
    holder: Option<name::Entry>,
    /// When the view's proposal was first seen.
    proposed_at: Instant,
    stage: StageRow,
    read: Call,
    fetch: Call,
    announced: Option<Announcement>,
    announce_at: Instant,
    /// How often news is still repeated soon.
    repeats: u8,
}

impl Member {
    /// Makes a member that knows nothing yet; its first tick asks the platform.
    pub fn new(settings: Settings, now: Instant) -> Self {
        Self {
            settings,
            rank: 0,
            view: View::default(),
            in_force: None,
            held: BTreeMap::new(),
            rejected: None,
            holder: None,
            proposed_at: now,
            stage: StageRow::default(),
            read: Call::new(now),
            fetch: Call::new(now),
            announced: None,
            announce_at: now,
            repeats: 0,
        }
    }

    /// Returns the version in force at this entry.
    pub const fn in_force(&self) -> Option<Revision> {
        self.in_force
    }

    /// Returns the highest head known.
    pub const fn view(&self) -> View {
        self.view
    }

    /// Returns content that this entry holds, such as a peer asks for.
    pub fn content(&self, digest: &Digest) -> Option<&Manifest> {
        self.held.get(digest)
    }

    /// Returns what to tell others.
    pub fn announcement(&self) -> Announcement {
        let named = [
            self.view.head.accepted,
            self.view.head.proposed.map(|proposal| proposal.revision),
        ];
        Announcement {
            view: self.view,
            holds: named
                .iter()
                .flatten()
                .all(|revision| self.held.contains_key(&revision.digest)),
        }
    }

    /// Returns when the next tick is due.
    pub fn wake(&self, now: Instant) -> Instant {
        let fetch = self.wanted().and_then(|_| self.fetch.wake());
        let stage = match self.duty(now) {
            Some(proposal) if !self.is_tired(now) => self.stage.wake(&proposal),
            Some(_) => None,
            None => self.standby(),
        };
        let others = [self.read.wake(), fetch, stage];
        others.into_iter().flatten().fold(self.announce_at, Instant::min)
    }

    /// Takes an event in and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: Event, rng: &mut Pcg64Mcg) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => {}
            Event::Ranked(rank) => {
                self.rank = rank;
                self.read.hasten(now + self.interval());
            }
            Event::Rows(rows) => self.take_rows(now, &rows, rng),
            Event::ReadFailed => {
                let timing = self.settings.timing;
                self.read.fail(now, self.interval(), timing.max_backoff, rng);
            }
            Event::Published(view) => self.learn(now, view, None),
            Event::Announced { from, announcement } => self.hear(now, from, announcement, &mut actions),
            Event::Fetched(manifest) => self.take_content(now, manifest, rng),
            Event::FetchFailed => self.miss_content(now, rng),
            Event::Ended(ending) => self.end_stage(now, &ending),
        }
        self.switch(&mut actions);
        self.stage(now, &mut actions);
        self.fetch(now, &mut actions);
        self.read(now, &mut actions);
        self.announce(now, &mut actions);
        actions
    }

    /// Takes in a head, when it is higher than the one known.
    ///
    /// The failure: an old head, from a lagging peer or a zone cut off long ago, takes a newer configuration back. Rows
    /// only ever count up, and each accepted version comes with a higher row, so the comparison is enough.
    fn learn(&mut self, now: Instant, view: View, holder: Option<name::Entry>) {
        if view.row <= self.view.row {
            return;
        }
        if view.head.proposed != self.view.head.proposed {
            self.proposed_at = now;
        }
        self.view = view;
        self.holder = holder;
        let patient = self.holder.is_none() && !self.is_poller();
        // Most entries wait for a neighbour that holds the content, so that not all ask the platform at once.
        let due = if patient {
            now + self.settings.timing.standby_delay
        } else {
            now
        };
        self.fetch.restart(due);
        let revisions = [
            self.in_force,
            view.head.accepted,
            view.head.proposed.map(|proposal| proposal.revision),
        ];
        self.held
            .retain(|digest, _| revisions.iter().flatten().any(|revision| revision.digest == *digest));
    }

    fn hear(&mut self, now: Instant, from: name::Entry, heard: Announcement, actions: &mut Vec<Action>) {
        if heard.view.row < self.view.row {
            let announcement = self.announcement();
            actions.push(Action::Reply { to: from, announcement });
            return;
        }
        let holder = heard.holds.then_some(from);
        if heard.view.row > self.view.row {
            self.learn(now, heard.view, holder);
        } else if self.holder.is_none() && holder.is_some() {
            self.holder = holder;
            self.fetch.hasten(now);
        }
    }

    fn take_rows(&mut self, now: Instant, rows: &[Option<Row>], rng: &mut Pcg64Mcg) {
        self.read.succeed(now, self.interval(), rng);
        let Some((head, stage)) = rows.split_first() else {
            return;
        };
        // A head of a newer release can't be read; peers of this release can't help either, so the last one stays.
        if let Ok(view) = View::read(head.as_ref()) {
            self.learn(now, view, None);
        }
        if let Some(row) = stage.first() {
            self.stage.read(row.as_ref());
        }
    }

    fn take_content(&mut self, now: Instant, manifest: Manifest, rng: &mut Pcg64Mcg) {
        let digest = manifest.digest();
        if self.wanted() == Some(digest) {
            self.fetch = Call::new(Instant::ZERO);
            self.held.insert(digest, manifest);
        } else {
            self.miss_content(now, rng);
        }
    }

    fn miss_content(&mut self, now: Instant, rng: &mut Pcg64Mcg) {
        let timing = self.settings.timing;
        self.fetch.fail(now, timing.watch_interval, timing.max_backoff, rng);
    }

    /// Puts the accepted version in force when its content is there.
    fn switch(&mut self, actions: &mut Vec<Action>) {
        let Some(revision) = self.view.head.accepted else {
            return;
        };
        let newer = self.in_force.is_none_or(|in_force| revision.version > in_force.version);
        if !newer || self.rejected == Some(revision) {
            return;
        }
        let Some(manifest) = self.held.get(&revision.digest) else {
            return;
        };
        match self.judge(manifest) {
            Ok(config) => {
                self.in_force = Some(revision);
                let config = Arc::new(config);
                actions.push(Action::Switch { revision, config });
            }
            Err(reason) => {
                self.rejected = Some(revision);
                actions.push(Action::Reject { revision, reason });
            }
        }
    }

    /// Returns the configuration, or why this release can't use the content.
    fn judge(&self, manifest: &Manifest) -> Result<Config, String> {
        let adapters = self.settings.adapters.as_deref();
        manifest
            .config_with(&Parser { adapters })
            .map_err(|error| error.to_string())
    }

    /// Returns the stage that this entry should write for its zone, if it is its turn.
    fn duty(&self, now: Instant) -> Option<Proposal> {
        let due = self.standby().is_none_or(|due| now >= due);
        self.view.head.proposed.filter(|_| self.is_poller() && due)
    }

    /// Returns when it is this entry's turn to write for its zone.
    fn standby(&self) -> Option<Instant> {
        let proposal = self.view.head.proposed.filter(|_| self.is_poller())?;
        let due = self.proposed_at + self.settings.timing.standby_delay.saturating_mul(self.rank.into());
        (!self.stage.has_ended(&proposal)).then_some(due)
    }

    fn stage(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(proposal) = self.duty(now) else { return };
        if self.stage.is_writing() || self.stage.has_ended(&proposal) {
            return;
        }
        let manifest = self.held.get(&proposal.revision.digest);
        if manifest.is_none() && self.is_tired(now) {
            return;
        }
        if !self.stage.is_known() {
            self.read.hasten(now);
            return;
        }
        let progress = match manifest.map(|manifest| self.judge(manifest)) {
            None => Progress::Seen,
            Some(Ok(_)) => Progress::Staged,
            Some(Err(reason)) => Progress::Refused(shorten(&reason)),
        };
        let stage = Stage { proposal, progress };
        if self
            .stage
            .begin(now, self.settings.timing.heartbeat_interval, stage.clone())
        {
            actions.push(Action::Write(vec![Write {
                key: record::stage_key(&self.settings.zone),
                condition: self.stage.condition(),
                change: Change::Put(record::encode(&stage)),
            }]));
        }
    }

    fn end_stage(&mut self, now: Instant, ending: &Ending) {
        if !self.stage.end(*ending == Ending::Applied) {
            let pause = self.settings.timing.watch_interval;
            self.read.hasten(now + pause);
        }
    }

    /// Returns content that is named and not held: first what is accepted, then what is proposed.
    fn wanted(&self) -> Option<Digest> {
        let revisions = [
            self.view.head.accepted,
            self.view.head.proposed.map(|proposal| proposal.revision),
        ];
        let digests = revisions.into_iter().flatten().map(|revision| revision.digest);
        digests.into_iter().find(|digest| !self.held.contains_key(digest))
    }

    fn fetch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(digest) = self.wanted().filter(|_| self.fetch.is_due(now)) else {
            return;
        };
        // Turns between the two, so that neither a dead peer nor the platform's outage is in the way for long.
        let platform_first = self.is_poller();
        let from = match &self.holder {
            Some(holder) if platform_first == self.fetch.is_second_choice() => Source::Peer(holder.clone()),
            _ => Source::Platform,
        };
        self.fetch.begin();
        actions.push(Action::Fetch { digest, from });
    }

    fn read(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.read.is_due(now) {
            return;
        }
        self.read.begin();
        let mut keys = vec![record::head_key()];
        if self.duty(now).is_some() && !self.stage.is_known() {
            keys.push(record::stage_key(&self.settings.zone));
        }
        actions.push(Action::Read(keys));
    }

    /// Tells the neighbours of news at once and soon again, and of what they know already now and then.
    ///
    /// Each entry picks other neighbours each time, so two repeats reach those whom the first round left out.
    fn announce(&mut self, now: Instant, actions: &mut Vec<Action>) {
        const REPEATS: u8 = 2;
        let timing = self.settings.timing;
        let announcement = self.announcement();
        if self.announced != Some(announcement) {
            self.repeats = REPEATS;
        } else if now >= self.announce_at {
            self.repeats = self.repeats.saturating_sub(1);
        } else {
            return;
        }
        let pause = if self.repeats > 0 {
            timing.watch_interval
        } else {
            timing.announce_interval
        };
        self.announced = Some(announcement);
        self.announce_at = now + pause;
        actions.push(Action::Announce(announcement));
    }

    /// Returns whether the proposal has stood for so long that nobody carries it any more.
    fn is_tired(&self, now: Instant) -> bool {
        now >= self.proposed_at + self.settings.timing.takeover_timeout
    }

    const fn is_poller(&self) -> bool {
        self.rank < self.settings.timing.pollers
    }

    const fn interval(&self) -> Duration {
        let timing = &self.settings.timing;
        if self.is_poller() {
            timing.poll_interval
        } else {
            timing.idle_poll_interval
        }
    }
}

/// Keeps the first lines of a long reason: it has to fit into a row.
fn shorten(reason: &str) -> SmolStr {
    const LONGEST: usize = 1_000;
    reason.chars().take(LONGEST).collect::<String>().to_smolstr()
}
