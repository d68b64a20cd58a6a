//! The fleet's decisions without sockets or a clock.
//!
//! Events and the time go in through [`Kernel::handle`]; actions come out in a sink. The shell calls again at
//! [`Kernel::due`] at the latest.

mod action;
mod event;
mod news;
mod probe;
mod publish;
mod receive;
mod schedule;
mod speak;
mod status;
mod sync;
mod watch;

use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bergamotshift_core::clock::Instant;
use bergamotshift_core::key;
use bergamotshift_core::load::Report;
use bergamotshift_core::name;
use rand_pcg::Pcg64Mcg;

use crate::endpoint;
use crate::gossip;
use crate::load;
use crate::mark;
use crate::member;
use crate::note;
use crate::settings::Settings;
use crate::tag;
use crate::usage;
use crate::wire;
use crate::zone;
pub use action::Action;
pub use action::Transport;
pub use event::Event;
pub use status::Status;

/// One entry's view of the fleet and its part in it.
#[derive(Debug)]
pub struct Kernel {
    settings: Settings,
    me: member::Record,
    tag: tag::Long,
    random: Pcg64Mcg,
    last: Instant,
    schedule: schedule::Schedule,

    members: member::Table,
    gone: BTreeMap<key::Entry, Instant>,
    suspects: BTreeMap<key::Entry, Instant>,
    listed: Vec<core::net::SocketAddr>,
    /// Live members that the last VM lists did not show, and how many lists in a row.
    unlisted: BTreeMap<key::Entry, u8>,

    probes: BTreeMap<u32, probe::Probe>,
    relayed: BTreeMap<u32, probe::Relayed>,
    sequence: u32,
    ring: Vec<key::Entry>,
    pings: u32,

    queue: gossip::Queue,
    urgent: Vec<news::Urgent>,
    synced: BTreeMap<tag::Long, Instant>,

    zones: BTreeMap<name::Zone, zone::View>,
    speakers: speak::Speakers,
    summaries: BTreeMap<(tag::Short, tag::Short), zone::Summary>,

    directory: endpoint::Directory,
    marks: mark::Table,
    loads: BTreeMap<tag::Short, Heard>,
    watches: watch::Watches,
    usage: usage::Book,
    published: publish::Published,
    notes: note::Table,
    /// Tellers of notes that are no known members yet.
    untold: BTreeSet<tag::Long>,
    unreadable: u64,
    pauses: u64,
}

/// The last load heard of an endpoint.
#[derive(Clone, Copy, Debug)]
struct Heard {
    sequence: u64,
    level: load::Level,
    at: Instant,
}

impl Kernel {
    /// Starts an entry that knows itself, its seeds and nothing else.
    ///
    /// `me` is this life's record; `random` decides whom it probes and tells, and is seeded by the shell.
    pub fn new(now: Instant, me: member::Record, settings: Settings, random: Pcg64Mcg) -> Self {
        let mut kernel = Self {
            tag: me.tag(),
            schedule: schedule::Schedule::new(now),
            last: now,
            members: member::Table::default(),
            gone: BTreeMap::new(),
            suspects: BTreeMap::new(),
            listed: Vec::new(),
            unlisted: BTreeMap::new(),
            probes: BTreeMap::new(),
            relayed: BTreeMap::new(),
            sequence: 0,
            ring: Vec::new(),
            pings: 0,
            queue: gossip::Queue::default(),
            urgent: Vec::new(),
            synced: BTreeMap::new(),
            zones: BTreeMap::new(),
            speakers: speak::Speakers::default(),
            summaries: BTreeMap::new(),
            directory: endpoint::Directory::default(),
            marks: mark::Table::default(),
            loads: BTreeMap::new(),
            watches: watch::Watches::default(),
            usage: usage::Book::default(),
            published: publish::Published::default(),
            notes: note::Table::default(),
            untold: BTreeSet::new(),
            unreadable: 0,
            pauses: 0,
            settings,
            me,
            random,
        };
        kernel.zones.insert(kernel.me.zone.clone(), zone::View::new(now));
        kernel.members.merge(kernel.me.clone());
        kernel.spread_phases(now);
        kernel
    }

    /// Takes an event in and appends what has to be done.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        self.notice_pause(now, out);
        match event {
            Event::Tick => {}
            Event::Received { from, bytes } => self.receive(now, from, &bytes, out),
            Event::VmsListed(list) => self.listed(now, &list, out),
            Event::EndpointLeaving {
                endpoint,
                source,
                notice_ms,
            } => self.mark(now, endpoint, source, notice_ms, out),
            Event::LoadReported { endpoint, report } => self.loaded(now, &endpoint, &report, out),
            Event::NotePublished {
                topic,
                key,
                version,
                body,
            } => self.announce(now, topic, key, version, body),
            Event::UsageMeasured { organisation, rate } => self.usage.set_own(organisation, rate),
            Event::Leave => self.leave(now, out),
        }
        self.run_due(now, out);
    }

    /// Notices a gap in this entry's own clock before anything else is acted on.
    ///
    /// While it was paused its leases lapsed and others took its duties over. Acting on what it held would give two
    /// holders; so it drops that first. Probes that the pause left unanswered prove nothing about their targets and
    /// go too.
    fn notice_pause(&mut self, now: Instant, out: &mut Vec<Action>) {
        let gap = now.since(self.last);
        self.last = self.last.max(now);
        if gap <= self.settings.pause {
            return;
        }
        self.pauses += 1;
        out.push(Action::Paused { gap });
        self.probes.clear();
        self.relayed.clear();
        self.loads.clear();
        self.usage.retain_entries(|_| false);
        self.usage.retain_zones(|_| false);
        for deadline in self.suspects.values_mut() {
            *deadline = now + self.settings.suspicion;
        }
        for view in self.zones.values_mut() {
            view.failures = 0;
            view.news = now;
        }
        self.schedule.restart(now);
    }

    /// Returns this entry's own record.
    pub const fn me(&self) -> &member::Record {
        &self.me
    }

    /// Returns the members.
    pub const fn members(&self) -> &member::Table {
        &self.members
    }

    /// Returns the endpoints by the VM list.
    pub const fn directory(&self) -> &endpoint::Directory {
        &self.directory
    }

    /// Returns the leaving marks.
    pub const fn marks(&self) -> &mark::Table {
        &self.marks
    }

    /// Returns the organisations' use.
    pub const fn usage(&self) -> &usage::Book {
        &self.usage
    }

    /// Returns the notes.
    pub const fn notes(&self) -> &note::Table {
        &self.notes
    }

    /// Returns whether an endpoint takes no new work.
    pub fn is_leaving(&self, endpoint: &endpoint::Id) -> bool {
        self.marks.contains(endpoint)
    }

    /// Returns the last load heard of an endpoint and when it was true.
    pub fn load(&self, endpoint: &endpoint::Id) -> Option<(Report, Instant)> {
        let heard = self.loads.get(&endpoint.tag())?;
        Some((heard.level.report(heard.sequence), heard.at))
    }

    /// Returns the last summary heard of a service in a zone.
    pub fn summary(&self, zone: &name::Zone, service: &name::Service) -> Option<&zone::Summary> {
        self.summaries.get(&(tag::Short::of(zone), tag::Short::of(service)))
    }

    /// Returns the endpoints that this entry watches.
    pub fn watched(&self) -> impl Iterator<Item = &endpoint::Id> {
        self.watches.endpoints()
    }

    /// Returns how many pieces of news wait to be told.
    pub fn pending_news(&self) -> usize {
        self.queue.len()
    }

    /// Returns how a zone is reached from this entry's zone.
    pub fn reach(&self, now: Instant, zone: &name::Zone) -> zone::Reach {
        if *zone == self.me.zone {
            return zone::Reach::Direct;
        }
        let Some(view) = self.zones.get(zone) else {
            return zone::Reach::Lost;
        };
        let own = &self.zones[&self.me.zone];
        view.reach(now, own.all_lost(tag::Short::of(zone)), self.settings.silence)
    }

    /// Returns the bytes of state that grow with the fleet, from the sizes of the entries held.
    pub fn state_bytes(&self) -> usize {
        /// What a sorted map adds per entry, on average: its nodes are two thirds full.
        const OVERHEAD: usize = 16;
        fn rows<K, V>(count: usize) -> usize {
            count * (size_of::<K>() + size_of::<V>() + OVERHEAD)
        }
        let member = size_of::<member::Record>() + 2 * size_of::<key::Entry>() + size_of::<name::Entry>() + 64;
        size_of::<Self>()
            + self.members.len() * member
            + rows::<name::Vm, endpoint::Known>(self.directory.len())
            + rows::<tag::Short, Option<name::Vm>>(self.directory.len())
            + rows::<endpoint::Id, (mark::Mark, Instant)>(self.marks.len())
            + rows::<tag::Short, Heard>(self.loads.len())
            + rows::<(tag::Short, tag::Short), (u16, u8)>(self.usage.len())
            + rows::<(tag::Short, tag::Short), zone::Summary>(self.summaries.len())
            + rows::<u128, (note::Note, Instant)>(self.notes.len())
            + rows::<wire::Key, wire::Item>(self.queue.len())
            + self.watches.state_bytes()
    }

    /// Returns the time between publications so that `count` publishers together stay at `per_second`.
    fn pace(count: usize, per_second: u32, least: Duration) -> Duration {
        let seconds = count as f64 / f64::from(per_second.max(1));
        least.max(Duration::from_secs_f64(seconds))
    }

    /// Returns the short tags of the live members of the own zone.
    fn near_tags(&self) -> BTreeSet<tag::Short> {
        self.members
            .live_in(&self.me.zone)
            .map(|(_, record)| record.tag().short())
            .collect()
    }
}
