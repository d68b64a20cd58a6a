//! Two entries of which one has the configuration, in virtual time: the members of the acceptance protocol over fleet
//! kernels, with frames, questions and answers that are late, lost or reordered.

use core::net::SocketAddr;
use core::time::Duration;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use bergamotshift_config::accept::Head;
use bergamotshift_config::accept::Member;
use bergamotshift_config::accept::View;
use bergamotshift_config::accept::member;
use bergamotshift_config::accept::member::Announcement;
use bergamotshift_config::accept::member::Source;
use bergamotshift_config::accept::record::Revision;
use bergamotshift_config::accept::record::Version;
use bergamotshift_config::digest::Digest;
use bergamotshift_config::manifest::Manifest;
use bergamotshift_core::prelude::*;
use bergamotshift_fleet::kernel::Action;
use bergamotshift_fleet::kernel::Event;
use bergamotshift_fleet::kernel::Kernel;
use bergamotshift_fleet::kernel::Transport;
use bergamotshift_fleet::note;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Time for which an entry waits for another one's answer with content.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Time within which the platform refuses or gives up a call while it is down.
const MAX_CALL: Duration = Duration::from_secs(2);

/// Time after the end of all trouble within which the new entry has the configuration: the longest backoff of a fetch, which
/// alternates between platform and peer, and some rounds.
const SETTLED: Duration = Duration::from_secs(40);

#[derive(Clone, Debug, PartialEq, Eq)]
enum Occurrence {
    Start(usize),
    Wake(usize),
    MemberWake(usize),
    Frame {
        to: usize,
        bytes: Vec<u8>,
    },
    Member(usize, member::Event),
    /// A later version comes in force at the first entry.
    Change,
    Question {
        by: usize,
        digest: Digest,
        lasts: bool,
    },
}

struct Entry {
    kernel: Kernel,
    member: Member,
    address: SocketAddr,
    generator: Pcg64Mcg,
    /// Whether the member's task runs; until then, the last head is kept for it.
    is_subscribed: bool,
    latest: Option<member::Event>,
}

/// Trouble until a time.
struct Trouble {
    until: Instant,
    datagram_loss: u32,
    stream_loss: u32,
    delay_ms: u32,
}

struct World {
    now: Instant,
    entries: Vec<Entry>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    occurrences: Vec<Option<Occurrence>>,
    generator: Pcg64Mcg,
    trouble: Trouble,
    /// Whether a later version replaces the first one.
    is_changed: bool,
}

fn entry(number: usize, now: Instant, seed: u64) -> Entry {
    let address: SocketAddr = ([10, 0, 0, number as u8 + 1], 7_100).into();
    let me = bergamotshift_fleet::member::Record {
        name: name::Entry::new(["entry-a", "entry-b"][number]),
        incarnation: Incarnation::new(number as u64 + 1),
        version: 0,
        state: bergamotshift_fleet::member::State::Alive,
        address,
        zone: "zone-a".into(),
    };
    let settings = bergamotshift_fleet::settings::Settings {
        probe_interval: Duration::from_millis(200),
        probe_retry_delay: Duration::from_millis(80),
        zone_probe_interval: Duration::from_millis(200),
        seeds: if number == 0 {
            Vec::new()
        } else {
            vec![([10, 0, 0, 1], 7_100).into()]
        },
        ..Default::default()
    };
    let generator = Pcg64Mcg::seed_from_u64(seed + number as u64);
    let member_settings = member::Settings {
        zone: "zone-a".into(),
        ..member::Settings::default()
    };
    Entry {
        kernel: Kernel::new(now, me, settings, generator.clone()),
        member: Member::new(member_settings, now),
        address,
        generator,
        is_subscribed: false,
        latest: None,
    }
}

fn content(version: u64) -> Manifest {
    let text = format!("[[zone]]\nname = \"zone-a\"\nregion = \"r{version}\"\n");
    Manifest::new(&[("site.toml", text)]).expect("a small folder")
}

impl World {
    fn new(seed: u64) -> Self {
        let mut generator = Pcg64Mcg::seed_from_u64(seed);
        let now = Instant::from_secs(100);
        let mut below = |limit: u32| generator.next_u32() % limit;
        let trouble = Trouble {
            until: now + Duration::from_millis(u64::from(below(20_000))),
            datagram_loss: below(80),
            stream_loss: below(101),
            delay_ms: below(1_500) + 1,
        };
        let start = now + Duration::from_millis(u64::from(below(3_000)));
        let is_changed = below(2) == 1;
        let changed = 1_000 + u64::from(below(6_000));
        let entries = (0..2).map(|number| entry(number, now, seed)).collect();
        let mut world = Self {
            now,
            entries,
            queue: BinaryHeap::new(),
            occurrences: Vec::new(),
            generator,
            trouble,
            is_changed,
        };
        world.schedule(now, Occurrence::Start(0));
        world.schedule(start, Occurrence::Start(1));
        if world.is_changed {
            world.schedule(start + Duration::from_millis(changed), Occurrence::Change);
        }
        world
    }

    fn schedule(&mut self, at: Instant, occurrence: Occurrence) {
        self.queue.push(Reverse((at, self.occurrences.len() as u64)));
        self.occurrences.push(Some(occurrence));
    }

    fn draw(&mut self, limit: u32) -> u32 {
        self.generator.next_u32() % limit
    }

    /// Returns when a message arrives; `None` if it is lost.
    fn arrival(&mut self, loss: u32) -> Option<Instant> {
        if self.now >= self.trouble.until {
            return Some(self.now + Duration::from_millis(1));
        }
        let is_lost = self.draw(100) < loss;
        let delay = self.draw(self.trouble.delay_ms);
        (!is_lost).then(|| self.now + Duration::from_millis(u64::from(delay)))
    }

    fn run(&mut self, until: Instant) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            let occurrence = self.occurrences[number as usize].take().expect("it occurs once");
            self.occur(occurrence);
        }
        self.now = until;
    }

    fn occur(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Start(number) => {
                self.schedule(self.now, Occurrence::Wake(number));
                let subscribed = Duration::from_millis(u64::from(self.draw(1_000)));
                self.schedule(self.now + subscribed, Occurrence::MemberWake(number));
            }
            Occurrence::Wake(number) => {
                self.feed(number, Event::Tick);
                let due = self.entries[number].kernel.due();
                self.schedule(due.max(self.now + Duration::from_millis(1)), Occurrence::Wake(number));
            }
            Occurrence::MemberWake(number) => self.wake_member(number),
            Occurrence::Frame { to, bytes } => {
                let from = self.entries[1 - to].address;
                self.feed(to, Event::Received { from, bytes });
            }
            Occurrence::Member(number, event) => self.tell(number, event),
            Occurrence::Change => self.put_in_force(2),
            Occurrence::Question { by, digest, lasts } => self.answer(by, digest, lasts),
        }
    }

    fn wake_member(&mut self, number: usize) {
        let is_first = !self.entries[number].is_subscribed;
        self.entries[number].is_subscribed = true;
        if is_first {
            let rank = member::Event::Ranked(number as u16);
            self.tell(number, rank);
            if let Some(latest) = self.entries[number].latest.take() {
                self.tell(number, latest);
            }
            if number == 0 {
                self.put_in_force(1);
            }
        } else {
            self.tell(number, member::Event::Tick);
        }
        let wake = self.entries[number].member.wake(self.now);
        let wake = wake.max(self.now + Duration::from_millis(1));
        self.schedule(wake, Occurrence::MemberWake(number));
    }

    /// Lets the first entry have the accepted configuration, as if it had read it before the platform went down.
    fn put_in_force(&mut self, version: u64) {
        let revision = Revision {
            version: Version::new(version),
            digest: content(version).digest(),
        };
        let head = Head {
            accepted: Some(revision),
            proposed: None,
        };
        self.tell(0, member::Event::Published(View { row: 2 * version, head }));
        self.tell(0, member::Event::Fetched(content(version)));
    }

    fn feed(&mut self, number: usize, event: Event) {
        let mut actions = Vec::new();
        self.entries[number].kernel.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { transport, bytes, .. } => {
                    let loss = match transport {
                        Transport::Datagram => self.trouble.datagram_loss,
                        Transport::Stream => self.trouble.stream_loss,
                    };
                    if let Some(at) = self.arrival(loss) {
                        self.schedule(at, Occurrence::Frame { to: 1 - number, bytes });
                    }
                }
                Action::NoteReceived { note, origin } if note.topic == note::Topic::CONFIG => {
                    self.receive_head(number, &note, origin);
                }
                _ => {}
            }
        }
    }

    fn receive_head(&mut self, number: usize, note: &note::Note, from: Option<name::Entry>) {
        let mut announcement: Announcement = postcard::from_bytes(&note.body).expect("it is a head");
        announcement.holds &= from.is_some();
        let from = from.unwrap_or_default();
        let event = member::Event::Announced { from, announcement };
        if self.entries[number].is_subscribed {
            self.schedule(self.now, Occurrence::Member(number, event));
        } else {
            self.entries[number].latest = Some(event);
        }
    }

    fn tell(&mut self, number: usize, event: member::Event) {
        let entry = &mut self.entries[number];
        let actions = entry.member.handle(self.now, event, &mut entry.generator);
        for action in actions {
            self.perform(number, action);
        }
    }

    fn perform(&mut self, number: usize, action: member::Action) {
        match action {
            member::Action::Announce(announcement) | member::Action::Reply { announcement, .. } => {
                let body = postcard::to_stdvec(&announcement).expect("it is small");
                let version = announcement.view.row * 2 + u64::from(announcement.holds);
                let published = Event::NotePublished {
                    topic: note::Topic::CONFIG,
                    key: 0,
                    version,
                    body,
                };
                self.feed(number, published);
            }
            member::Action::Read(_) => self.fail(number, member::Event::ReadFailed),
            member::Action::Fetch {
                from: Source::Platform, ..
            } => self.fail(number, member::Event::FetchFailed),
            member::Action::Fetch {
                digest,
                from: Source::Peer(peer),
            } => self.ask(number, &peer, digest),
            _ => {}
        }
    }

    /// Fails a call of the platform at once, or after it was given up.
    fn fail(&mut self, number: usize, event: member::Event) {
        let delay = self.draw(MAX_CALL.as_millis() as u32);
        self.schedule(
            self.now + Duration::from_millis(u64::from(delay)),
            Occurrence::Member(number, event),
        );
    }

    fn ask(&mut self, number: usize, peer: &name::Entry, digest: Digest) {
        if self.entries[number].kernel.members().find(peer).is_none() {
            return self.schedule(self.now, Occurrence::Member(number, member::Event::FetchFailed));
        }
        let loss = self.trouble.stream_loss;
        let answer_loss = self.arrival(loss);
        match self.arrival(loss) {
            Some(at) => {
                let lasts = answer_loss.is_some();
                self.schedule(
                    at,
                    Occurrence::Question {
                        by: number,
                        digest,
                        lasts,
                    },
                );
            }
            None => self.schedule(
                self.now + FETCH_TIMEOUT,
                Occurrence::Member(number, member::Event::FetchFailed),
            ),
        }
    }

    fn answer(&mut self, by: usize, digest: Digest, lasts: bool) {
        let found = self.entries[1 - by].member.content(&digest).cloned();
        let event = found.map_or(member::Event::FetchFailed, member::Event::Fetched);
        if lasts {
            self.schedule(self.now, Occurrence::Member(by, event));
        } else {
            let failed = Occurrence::Member(by, member::Event::FetchFailed);
            self.schedule(self.now + FETCH_TIMEOUT, failed);
        }
    }
}

/// Guards against a new entry that exchanges probes with one that has the configuration, and never gets it.
#[test]
fn a_new_entry_has_the_configuration_soon_after_frames_and_answers_arrive_again() {
    const SEEDS: u64 = 400;
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        let end = world.trouble.until.max(world.now + Duration::from_secs(10)) + SETTLED;
        world.run(end);
        let in_force = world.entries[1]
            .member
            .in_force()
            .map(|revision| revision.version.get());
        assert_eq!(in_force, Some(1 + u64::from(world.is_changed)), "seed {seed}");
    }
}
