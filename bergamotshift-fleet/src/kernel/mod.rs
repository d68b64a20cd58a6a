//! State machine of the fleet, without sockets or a clock.
//!
//! [`Kernel::handle`] takes an event and the time and appends the resulting actions. The driver calls it again no later
//! than [`Kernel::due`].

mod action;
mod event;
mod probe;
mod publish;
mod receive;
mod schedule;
mod speaker;
mod status;
mod sync;
mod update;
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

/// One entry's view of the fleet and its membership in it.
#[derive(Debug)]
pub struct Kernel {
    settings: Settings,
    me: member::Record,
    tag: tag::Long,
    random: Pcg64Mcg,
    last_event: Instant,
    schedule: schedule::Schedule,

    members: member::Table,
    departed: BTreeMap<key::Entry, Instant>,
    suspects: BTreeMap<key::Entry, Instant>,
    listed_addresses: Vec<core::net::SocketAddr>,
    /// Live members missing from the last VM lists, with the number of consecutive lists.
    unlisted_counts: BTreeMap<key::Entry, u8>,

    probes: BTreeMap<u32, probe::Probe>,
    relayed_probes: BTreeMap<u32, probe::Relayed>,
    sequence: u32,
    probe_queue: Vec<key::Entry>,
    probe_count: u32,

    queue: gossip::Queue,
    urgent: Vec<update::Update>,
    last_syncs: BTreeMap<tag::Long, Instant>,

    zones: BTreeMap<name::Zone, zone::View>,
    speakers: speaker::Speakers,
    summaries: BTreeMap<(tag::Short, tag::Short), zone::Summary>,

    directory: endpoint::Directory,
    marks: mark::Table,
    loads: BTreeMap<tag::Short, Sample>,
    watches: watch::Watches,
    usage: usage::Table,
    published: publish::Published,
    notes: note::Table,
    /// Tags of entries that published notes and are not known members yet.
    unresolved_origins: BTreeSet<tag::Long>,
    unreadable: u64,
    pauses: u64,
}

/// Last load received for an endpoint.
#[derive(Clone, Copy, Debug)]
struct Sample {
    sequence: u64,
    level: load::Level,
    at: Instant,
}

impl Kernel {
    /// Creates the kernel of an entry that knows only itself and its seeds.
    ///
    /// `me` is the record of this incarnation. `random` selects the members that are probed and gossiped to; the driver
    /// seeds it.
    pub fn new(now: Instant, me: member::Record, settings: Settings, random: Pcg64Mcg) -> Self {
        let mut kernel = Self {
            tag: me.tag(),
            schedule: schedule::Schedule::new(now),
            last_event: now,
            members: member::Table::default(),
            departed: BTreeMap::new(),
            suspects: BTreeMap::new(),
            listed_addresses: Vec::new(),
            unlisted_counts: BTreeMap::new(),
            probes: BTreeMap::new(),
            relayed_probes: BTreeMap::new(),
            sequence: 0,
            probe_queue: Vec::new(),
            probe_count: 0,
            queue: gossip::Queue::default(),
            urgent: Vec::new(),
            last_syncs: BTreeMap::new(),
            zones: BTreeMap::new(),
            speakers: speaker::Speakers::default(),
            summaries: BTreeMap::new(),
            directory: endpoint::Directory::default(),
            marks: mark::Table::default(),
            loads: BTreeMap::new(),
            watches: watch::Watches::default(),
            usage: usage::Table::default(),
            published: publish::Published::default(),
            notes: note::Table::default(),
            unresolved_origins: BTreeSet::new(),
            unreadable: 0,
            pauses: 0,
            settings,
            me,
            random,
        };
        kernel.zones.insert(kernel.me.zone.clone(), zone::View::new(now));
        kernel.members.merge(kernel.me.clone());
        kernel.randomise_phases(now);
        kernel
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        self.detect_pause(now, out);
        match event {
            Event::Tick => {}
            Event::Received { from, bytes } => self.receive(now, from, &bytes, out),
            Event::VmsListed(list) => self.handle_listing(now, &list, out),
            Event::EndpointLeaving {
                endpoint,
                source,
                notice_ms,
            } => self.mark_leaving(now, endpoint, source, notice_ms, out),
            Event::LoadReported { endpoint, report } => self.handle_load_report(now, &endpoint, &report, out),
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

    /// Detects a gap in this entry's own clock before the event is handled.
    ///
    /// During a pause this entry's leases expired and others took over its roles. Acting on the old state would lead to
    /// two holders, so that state is dropped first. Probes that went unanswered because of the pause prove nothing
    /// about their targets and are dropped too.
    fn detect_pause(&mut self, now: Instant, out: &mut Vec<Action>) {
        let gap = now.since(self.last_event);
        self.last_event = self.last_event.max(now);
        if gap <= self.settings.pause_threshold {
            return;
        }
        self.pauses += 1;
        out.push(Action::Paused { gap });
        self.probes.clear();
        self.relayed_probes.clear();
        self.loads.clear();
        self.usage.retain_entries(|_| false);
        self.usage.retain_zones(|_| false);
        for deadline in self.suspects.values_mut() {
            *deadline = now + self.settings.suspicion_timeout;
        }
        for view in self.zones.values_mut() {
            view.probe_failures = 0;
            view.last_update = now;
        }
        self.schedule.restart(now);
    }

    /// Returns this entry's own record.
    pub const fn me(&self) -> &member::Record {
        &self.me
    }

    /// Returns the table of members.
    pub const fn members(&self) -> &member::Table {
        &self.members
    }

    /// Returns the endpoints that the VM list shows.
    pub const fn directory(&self) -> &endpoint::Directory {
        &self.directory
    }

    /// Returns the leaving marks.
    pub const fn marks(&self) -> &mark::Table {
        &self.marks
    }

    /// Returns the rates at which organisations are served.
    pub const fn usage(&self) -> &usage::Table {
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

    /// Returns the last load received for an endpoint and the time at which it was reported.
    pub fn load(&self, endpoint: &endpoint::Id) -> Option<(Report, Instant)> {
        let sample = self.loads.get(&endpoint.tag())?;
        Some((sample.level.report(sample.sequence), sample.at))
    }

    /// Returns the last summary received for a service in a zone.
    pub fn summary(&self, zone: &name::Zone, service: &name::Service) -> Option<&zone::Summary> {
        self.summaries.get(&(tag::Short::of(zone), tag::Short::of(service)))
    }

    /// Returns the endpoints that this entry watches.
    pub fn watched(&self) -> impl Iterator<Item = &endpoint::Id> {
        self.watches.endpoints()
    }

    /// Returns the number of updates that are queued for gossip.
    pub fn pending_updates(&self) -> usize {
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
        view.reach(
            now,
            own.all_report_lost(tag::Short::of(zone)),
            self.settings.zone_silence_timeout,
        )
    }

    /// Returns the approximate size in bytes of the state that grows with the fleet.
    pub fn state_bytes(&self) -> usize {
        /// Average overhead of a `BTreeMap` per element in bytes, with nodes two thirds full.
        const OVERHEAD: usize = 16;
        fn rows<K, V>(count: usize) -> usize {
            count * (size_of::<K>() + size_of::<V>() + OVERHEAD)
        }
        let member = size_of::<member::Record>() + 2 * size_of::<key::Entry>() + size_of::<name::Entry>() + 64;
        size_of::<Self>()
            + self.members.len() * member
            + rows::<name::Vm, endpoint::Record>(self.directory.len())
            + rows::<tag::Short, Option<name::Vm>>(self.directory.len())
            + rows::<endpoint::Id, (mark::Mark, Instant)>(self.marks.len())
            + rows::<tag::Short, Sample>(self.loads.len())
            + rows::<(tag::Short, tag::Short), (u16, u8)>(self.usage.len())
            + rows::<(tag::Short, tag::Short), zone::Summary>(self.summaries.len())
            + rows::<u128, (note::Note, Instant)>(self.notes.len())
            + rows::<wire::Key, wire::Item>(self.queue.len())
            + self.watches.state_bytes()
    }

    /// Returns the interval at which `count` publishers together publish `per_second` updates, but at least `least`.
    fn publish_interval(count: usize, per_second: u32, least: Duration) -> Duration {
        let seconds = count as f64 / f64::from(per_second.max(1));
        least.max(Duration::from_secs_f64(seconds))
    }

    /// Returns the short tags of the live members of the own zone.
    fn zone_tags(&self) -> BTreeSet<tag::Short> {
        self.members
            .live_in(&self.me.zone)
            .map(|(_, record)| record.tag().short())
            .collect()
    }
}
