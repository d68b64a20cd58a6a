//! State machine that follows the accepted configuration in every entry and stages proposals for the zone.

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
use timer::Schedule;

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

/// Settings of a [`Member`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Availability zone of the entry.
    pub zone: name::Zone,
    /// Intervals and timeouts of the protocol.
    pub timing: Timing,
    /// Names of the endpoint adapters of this release; `None` accepts any name.
    pub adapters: Option<Vec<&'static str>>,
}

/// Follows the accepted configuration for one entry.
///
/// It stores nothing across a restart: a new member adopts the highest head of the platform and its peers.
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
/// // The platform is down. A peer announces version 7 and supplies its content.
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
    /// Highest head known, as ordered by the version of its row.
    view: View,
    in_force: Option<Revision>,
    /// Contents of the versions that are in force, accepted or proposed.
    contents: BTreeMap<Digest, Manifest>,
    /// Accepted version that this release cannot use.
    rejected: Option<Revision>,
    /// Entry that holds all contents that the view refers to.
    content_peer: Option<name::Entry>,
    /// Time at which the view's proposal was first seen.
    proposal_seen_at: Instant,
    stage: StageRow,
    read_schedule: Schedule,
    fetch_schedule: Schedule,
    announced: Option<Announcement>,
    next_announcement: Instant,
    /// Number of repeats left at the short interval for the current announcement.
    repeats_left: u8,
}

impl Member {
    /// Creates a member without any state. Its first tick reads the head from the platform.
    pub fn new(settings: Settings, now: Instant) -> Self {
        Self {
            settings,
            rank: 0,
            view: View::default(),
            in_force: None,
            contents: BTreeMap::new(),
            rejected: None,
            content_peer: None,
            proposal_seen_at: now,
            stage: StageRow::default(),
            read_schedule: Schedule::new(now),
            fetch_schedule: Schedule::new(now),
            announced: None,
            next_announcement: now,
            repeats_left: 0,
        }
    }

    /// Returns the version that is in force at this entry.
    pub const fn in_force(&self) -> Option<Revision> {
        self.in_force
    }

    /// Returns the highest head that this entry knows.
    pub const fn view(&self) -> View {
        self.view
    }

    /// Returns the content with this digest, if this entry holds it.
    pub fn content(&self, digest: &Digest) -> Option<&Manifest> {
        self.contents.get(digest)
    }

    /// Returns the entry's current announcement.
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
                .all(|revision| self.contents.contains_key(&revision.digest)),
        }
    }

    /// Returns the time at which the next [`Event::Tick`] is due.
    pub fn wake(&self, now: Instant) -> Instant {
        let fetch = self.missing_digest().and_then(|_| self.fetch_schedule.due_at());
        let stage = match self.proposal_to_stage(now) {
            Some(proposal) if !self.is_proposal_expired(now) => self.stage.due_at(&proposal),
            Some(_) => None,
            None => self.stage_due_at(),
        };
        let others = [self.read_schedule.due_at(), fetch, stage];
        others.into_iter().flatten().fold(self.next_announcement, Instant::min)
    }

    /// Processes an event and returns the actions to perform.
    pub fn handle(&mut self, now: Instant, event: Event, rng: &mut Pcg64Mcg) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => {}
            Event::Ranked(rank) => {
                self.rank = rank;
                self.read_schedule.bring_forward(now + self.read_interval());
            }
            Event::Rows(rows) => self.receive_rows(now, &rows, rng),
            Event::ReadFailed => {
                let timing = self.settings.timing;
                self.read_schedule
                    .fail(now, self.read_interval(), timing.max_backoff, rng);
            }
            Event::Published(view) => self.adopt(now, view, None),
            Event::Announced { from, announcement } => self.receive_announcement(now, from, announcement, &mut actions),
            Event::Fetched(manifest) => self.receive_content(now, manifest, rng),
            Event::FetchFailed => self.fail_fetch(now, rng),
            Event::Ended(ending) => self.finish_stage(now, &ending),
        }
        self.switch(&mut actions);
        self.write_stage(now, &mut actions);
        self.fetch_content(now, &mut actions);
        self.read_rows(now, &mut actions);
        self.announce(now, &mut actions);
        actions
    }

    /// Adopts a view if it is higher than the one known.
    ///
    /// An old head, from a lagging peer or a zone that was cut off for long, must not revert a newer configuration. The
    /// version of the head row only increases, and does so with each accepted version, so comparing it suffices.
    fn adopt(&mut self, now: Instant, view: View, content_peer: Option<name::Entry>) {
        if view.row <= self.view.row {
            return;
        }
        if view.head.proposed != self.view.head.proposed {
            self.proposal_seen_at = now;
        }
        self.view = view;
        self.content_peer = content_peer;
        let waits_for_peer = self.content_peer.is_none() && !self.is_poller();
        // Most entries wait for a peer that holds the content, so that they do not all fetch from the platform at once.
        let due = if waits_for_peer {
            now + self.settings.timing.standby_delay
        } else {
            now
        };
        self.fetch_schedule.restart(due);
        let revisions = [
            self.in_force,
            view.head.accepted,
            view.head.proposed.map(|proposal| proposal.revision),
        ];
        self.contents
            .retain(|digest, _| revisions.iter().flatten().any(|revision| revision.digest == *digest));
    }

    fn receive_announcement(
        &mut self,
        now: Instant,
        from: name::Entry,
        received: Announcement,
        actions: &mut Vec<Action>,
    ) {
        if received.view.row < self.view.row {
            let announcement = self.announcement();
            actions.push(Action::Reply { to: from, announcement });
            return;
        }
        let content_peer = received.holds.then_some(from);
        if received.view.row > self.view.row {
            self.adopt(now, received.view, content_peer);
        } else if self.content_peer.is_none() && content_peer.is_some() {
            self.content_peer = content_peer;
            self.fetch_schedule.bring_forward(now);
        }
    }

    fn receive_rows(&mut self, now: Instant, rows: &[Option<Row>], rng: &mut Pcg64Mcg) {
        self.read_schedule.succeed(now, self.read_interval(), rng);
        let Some((head, stage)) = rows.split_first() else {
            return;
        };
        // The head of a newer release may not be readable. Peers of this release cannot read it either, so the last known
        // head stays.
        if let Ok(view) = View::read(head.as_ref()) {
            self.adopt(now, view, None);
        }
        if let Some(row) = stage.first() {
            self.stage.update(row.as_ref());
        }
    }

    fn receive_content(&mut self, now: Instant, manifest: Manifest, rng: &mut Pcg64Mcg) {
        let digest = manifest.digest();
        if self.missing_digest() == Some(digest) {
            self.fetch_schedule = Schedule::new(Instant::ZERO);
            self.contents.insert(digest, manifest);
        } else {
            self.fail_fetch(now, rng);
        }
    }

    fn fail_fetch(&mut self, now: Instant, rng: &mut Pcg64Mcg) {
        let timing = self.settings.timing;
        self.fetch_schedule
            .fail(now, timing.watch_interval, timing.max_backoff, rng);
    }

    /// Puts the accepted version in force if its content is held.
    fn switch(&mut self, actions: &mut Vec<Action>) {
        let Some(revision) = self.view.head.accepted else {
            return;
        };
        let newer = self.in_force.is_none_or(|in_force| revision.version > in_force.version);
        if !newer || self.rejected == Some(revision) {
            return;
        }
        let Some(manifest) = self.contents.get(&revision.digest) else {
            return;
        };
        match self.parse(manifest) {
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

    /// Parses the content; the error is the reason for which this release cannot use it.
    fn parse(&self, manifest: &Manifest) -> Result<Config, String> {
        let adapters = self.settings.adapters.as_deref();
        manifest
            .config_with(&Parser { adapters })
            .map_err(|error| error.to_string())
    }

    /// Returns the proposal that this entry should stage for its zone now, if there is one.
    fn proposal_to_stage(&self, now: Instant) -> Option<Proposal> {
        let due = self.stage_due_at().is_none_or(|due| now >= due);
        self.view.head.proposed.filter(|_| self.is_poller() && due)
    }

    /// Returns the time from which this entry stages the proposal for its zone, unless the zone has decided on it.
    fn stage_due_at(&self) -> Option<Instant> {
        let proposal = self.view.head.proposed.filter(|_| self.is_poller())?;
        let due = self.proposal_seen_at + self.settings.timing.standby_delay.saturating_mul(self.rank.into());
        (!self.stage.is_decided(&proposal)).then_some(due)
    }

    fn write_stage(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(proposal) = self.proposal_to_stage(now) else {
            return;
        };
        if self.stage.is_writing() || self.stage.is_decided(&proposal) {
            return;
        }
        let manifest = self.contents.get(&proposal.revision.digest);
        if manifest.is_none() && self.is_proposal_expired(now) {
            return;
        }
        if !self.stage.is_known() {
            self.read_schedule.bring_forward(now);
            return;
        }
        let progress = match manifest.map(|manifest| self.parse(manifest)) {
            None => Progress::Seen,
            Some(Ok(_)) => Progress::Staged,
            Some(Err(reason)) => Progress::Refused(truncate(&reason)),
        };
        let stage = Stage { proposal, progress };
        if self
            .stage
            .begin_write(now, self.settings.timing.heartbeat_interval, stage.clone())
        {
            actions.push(Action::Write(vec![Write {
                key: record::stage_key(&self.settings.zone),
                condition: self.stage.condition(),
                change: Change::Put(record::encode(&stage)),
            }]));
        }
    }

    fn finish_stage(&mut self, now: Instant, ending: &Ending) {
        if !self.stage.finish_write(*ending == Ending::Applied) {
            let pause = self.settings.timing.watch_interval;
            self.read_schedule.bring_forward(now + pause);
        }
    }

    /// Returns the digest of content that is needed and not held: first the accepted, then the proposed one.
    fn missing_digest(&self) -> Option<Digest> {
        let revisions = [
            self.view.head.accepted,
            self.view.head.proposed.map(|proposal| proposal.revision),
        ];
        let digests = revisions.into_iter().flatten().map(|revision| revision.digest);
        digests.into_iter().find(|digest| !self.contents.contains_key(digest))
    }

    fn fetch_content(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(digest) = self.missing_digest().filter(|_| self.fetch_schedule.is_due(now)) else {
            return;
        };
        // Alternates between platform and peer after each failure, so that neither a dead peer nor an outage of the
        // platform blocks the fetch for long.
        let platform_first = self.is_poller();
        let from = match &self.content_peer {
            Some(content_peer) if platform_first == self.fetch_schedule.prefers_fallback() => {
                Source::Peer(content_peer.clone())
            }
            _ => Source::Platform,
        };
        self.fetch_schedule.begin();
        actions.push(Action::Fetch { digest, from });
    }

    fn read_rows(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.read_schedule.is_due(now) {
            return;
        }
        self.read_schedule.begin();
        let mut keys = vec![record::head_key()];
        if self.proposal_to_stage(now).is_some() && !self.stage.is_known() {
            keys.push(record::stage_key(&self.settings.zone));
        }
        actions.push(Action::Read(keys));
    }

    /// Announces a change to the neighbours at once, repeats it at a short interval, and then at a long one.
    ///
    /// Each round goes to other neighbours, so two repeats reach entries that the first round left out.
    fn announce(&mut self, now: Instant, actions: &mut Vec<Action>) {
        const REPEATS: u8 = 2;
        let timing = self.settings.timing;
        let announcement = self.announcement();
        if self.announced != Some(announcement) {
            self.repeats_left = REPEATS;
        } else if now >= self.next_announcement {
            self.repeats_left = self.repeats_left.saturating_sub(1);
        } else {
            return;
        }
        let pause = if self.repeats_left > 0 {
            timing.watch_interval
        } else {
            timing.announce_interval
        };
        self.announced = Some(announcement);
        self.next_announcement = now + pause;
        actions.push(Action::Announce(announcement));
    }

    /// Returns whether the proposal is so old that its proposer has to be considered dead.
    fn is_proposal_expired(&self, now: Instant) -> bool {
        now >= self.proposal_seen_at + self.settings.timing.takeover_timeout
    }

    const fn is_poller(&self) -> bool {
        self.rank < self.settings.timing.pollers
    }

    const fn read_interval(&self) -> Duration {
        let timing = &self.settings.timing;
        if self.is_poller() {
            timing.poll_interval
        } else {
            timing.idle_poll_interval
        }
    }
}

/// Truncates a reason, which has to fit into a row.
fn truncate(reason: &str) -> SmolStr {
    const MAX_CHARS: usize = 1_000;
    reason.chars().take(MAX_CHARS).collect::<String>().to_smolstr()
}
