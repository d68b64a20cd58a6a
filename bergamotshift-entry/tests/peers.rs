//! Tests of entries that form a fleet over real sockets.

use core::time::Duration;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use bergamotshift_config::accept::Timing;
use bergamotshift_config::accept::proposer;
use bergamotshift_config::accept::record::Id;
use bergamotshift_config::accept::record::Version;
use bergamotshift_config::folder;
use bergamotshift_config::manifest::Manifest;
use bergamotshift_core::attempt;
use bergamotshift_core::prelude::*;
use bergamotshift_core::vm;
use bergamotshift_core::vm::Listing;
use bergamotshift_entry::Daemon;
use bergamotshift_entry::Handle;
use bergamotshift_entry::Settings;
use bergamotshift_entry::admin::status;
use bergamotshift_entry::configuration;
use bergamotshift_entry::peers;
use bergamotshift_entry::peers::Credentials;
use bergamotshift_entry::peers::Lookup;
use bergamotshift_entry::peers::Request;
use bergamotshift_entry::settings::Platform;
use bergamotshift_entry::settings::Watch;
use bergamotshift_fleet::handover::Key;
use bergamotshift_fleet::handover::Parcel;
use bergamotshift_fleet::handover::Progress;
use bergamotshift_fleet::kernel::Status;
use bergamotshift_fleet::member::State;
use bergamotshift_fleet::note::Topic;
use bergamotshift_link::identity::SERVER_NAME;
use bergamotshift_standin::fault::Fault;
use bergamotshift_standin::objects;
use bergamotshift_standin::table;
use bergamotshift_standin::vms;
use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::CertifiedIssuer;
use rcgen::IsCa;
use rcgen::KeyPair;
use slog::Drain;
use slog::KV;
use slog::Logger;
use slog::OwnedKVList;
use slog::Record;
use slog::o;
use tokio::sync::oneshot;

const CONFIG: &str = r#"
[[zone]]
name = "zone-a"
region = "region"
[[zone]]
name = "zone-b"
region = "region"
[[zone]]
name = "zone-c"
region = "region"
[[class]]
name = "small"
price_reclaimable = 1
price_on_demand = 3
[[service]]
name = "app"
kind = "plain"
adapter = "http"
path = "/app"
workers = 1
classes = ["small"]
"#;

/// Private certificate authority that issues the entries' credentials.
struct Authority(CertifiedIssuer<'static, KeyPair>);

impl Authority {
    fn new() -> Self {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        Self(CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap())
    }

    fn issue(&self) -> Credentials {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new([SERVER_NAME.to_owned()]).unwrap();
        let certificate = params.signed_by(&key, &self.0).unwrap();
        Credentials {
            chain: certificate.pem().into_bytes().into(),
            key: key.serialize_pem().into_bytes().into(),
            authority: self.0.pem().into_bytes().into(),
        }
    }
}

/// Starts an entry `entry-{letter}` in the zone `zone-{letter}`.
fn start(letter: &str, credentials: Credentials, seed: Option<&Handle>, platform: Option<&vms::Server>) -> Handle {
    let settings = settings(letter, credentials, seed);
    let platform = Platform {
        vms: platform.map(vms::Server::address),
        ..Platform::default()
    };
    Daemon::start(Settings { platform, ..settings }).unwrap()
}

/// Returns the settings of an entry with short probe intervals.
fn settings(letter: &str, credentials: Credentials, seed: Option<&Handle>) -> Settings {
    let seeds = seed.and_then(Handle::peers).map(peers::Sender::address);
    let fleet = bergamotshift_fleet::settings::Settings {
        probe_interval: Duration::from_millis(200),
        probe_retry_delay: Duration::from_millis(80),
        zone_probe_interval: Duration::from_millis(200),
        ..Default::default()
    };
    Settings {
        name: name::Entry::new(format!("entry-{letter}")),
        zone: name::Zone::new(format!("zone-{letter}")),
        threads: 1,
        config: Some(Arc::new(folder::parse(&[("site.toml", CONFIG)]).unwrap())),
        watch: Watch {
            list_interval: Duration::from_millis(50),
            notice_interval: Duration::from_millis(10),
            ..Watch::default()
        },
        peers: Some(peers::Settings {
            seeds: seeds.into_iter().collect(),
            credentials,
            fleet,
            ..peers::Settings::default()
        }),
        drain_delay: Duration::ZERO,
        ..Settings::default()
    }
}

async fn fleet(entry: &Handle) -> Status {
    let (answer, status) = oneshot::channel();
    entry.peers().unwrap().send(Request::Status(answer));
    status.await.unwrap()
}

/// Waits until the entry lists exactly `count` members as alive.
async fn until_alive(entry: &Handle, count: usize) {
    loop {
        let members = fleet(entry).await.members;
        if members.iter().filter(|member| member.state == State::Alive).count() == count {
            return;
        }
        tokio::task::yield_now().await;
    }
}

/// Waits until each entry lists all of them as alive.
async fn until_formed(entries: &[&Handle]) {
    for entry in entries {
        until_alive(entry, entries.len()).await;
    }
}

async fn endpoint(entry: &Handle, vm: &str) -> Option<status::Endpoint> {
    let status = entry.status().await?;
    status.endpoints.into_iter().find(|endpoint| endpoint.vm.as_str() == vm)
}

async fn find(entry: &Handle, key: &Key) -> Lookup {
    let (answer, found) = oneshot::channel();
    let key = key.clone();
    entry.peers().unwrap().send(Request::Find { key, answer });
    found.await.unwrap()
}

fn parcel() -> Parcel {
    Parcel {
        key: Key {
            organisation: "acme".into(),
            service: "app".into(),
            text: "shift-7".into(),
        },
        attempt: attempt::Id::new(7),
        hops: 0,
        repeatable: false,
        urgency: Urgency::Urgent,
        left_ms: 60_000,
        method: "POST".into(),
        path: "/app/shifts".into(),
        headers: Vec::new(),
        body: Vec::new(),
        progress: Progress::Sent,
    }
}

#[ntex::test]
async fn entries_form_a_fleet_without_an_entry_of_another_authority() {
    // Guards against admitting an entry whose certificate was issued by another authority. It knows a seed's address
    // and keeps trying while the other three form a fleet; neither side may list the other.
    let authority = Authority::new();
    let first = start("a", authority.issue(), None, None);
    let outsider = start("x", Authority::new().issue(), Some(&first), None);
    let second = start("b", authority.issue(), Some(&first), None);
    let third = start("c", authority.issue(), Some(&first), None);
    until_formed(&[&first, &second, &third]).await;
    assert_eq!(fleet(&outsider).await.members.len(), 1);
    for entry in [&first, &second, &third] {
        let members = fleet(entry).await.members;
        assert!(members.iter().all(|member| member.name.as_str() != "entry-x"));
    }
}

#[ntex::test]
async fn a_notice_read_by_one_entry_reaches_an_entry_with_a_stale_list() {
    // Guards against sending work to a leaving endpoint because the entry's own VM list is stale. Two entries read two
    // copies of the list. Only the first copy gets the notice; the second keeps showing the endpoint as live.
    let listing = Listing {
        name: "vm-1".into(),
        incarnation: Incarnation::new(5),
        address: ([127, 0, 0, 1], 9).into(),
        zone: "zone-c".into(),
        class: "small".into(),
        market: Market::Reclaimable,
        role: vm::Role::Endpoint("app".into()),
        state: vm::State::Live,
    };
    let authority = Authority::new();
    let fresh = vms::Server::start(vms::Settings::default()).unwrap();
    let lagging = vms::Server::start(vms::Settings::default()).unwrap();
    fresh.put(listing.clone());
    lagging.put(listing.clone());
    let first = start("a", authority.issue(), None, Some(&fresh));
    let second = start("b", authority.issue(), Some(&first), Some(&lagging));
    until_formed(&[&first, &second]).await;
    while endpoint(&second, "vm-1").await.is_none() {}
    assert!(
        endpoint(&second, "vm-1")
            .await
            .is_some_and(|endpoint| !endpoint.leaving)
    );

    fresh.notice(Listing {
        state: vm::State::Leaving { notice_ms: 5_000 },
        ..listing
    });
    while endpoint(&second, "vm-1")
        .await
        .is_some_and(|endpoint| !endpoint.leaving)
    {}
    assert!(endpoint(&second, "vm-1").await.is_some_and(|endpoint| endpoint.leaving));
}

#[ntex::test]
async fn a_request_that_was_handed_over_is_found_from_every_entry_once() {
    // Guards against losing a sent, non-repeatable request, or sending it again, when its entry leaves. Entry a hands
    // the request over. Its caller reconnects twice to d, which did not know the request; both lookups return the
    // parcel, which is still marked as sent. Another organisation's key finds nothing.
    let authority = Authority::new();
    let leaving = start("a", authority.issue(), None, None);
    let others: Vec<Handle> = ["b", "c", "d"]
        .iter()
        .map(|letter| start(letter, authority.issue(), Some(&leaving), None))
        .collect();
    until_formed(&[&leaving, &others[0], &others[1], &others[2]]).await;

    let (answer, kept) = oneshot::channel();
    leaving.peers().unwrap().send(Request::Keep {
        parcel: Box::new(parcel()),
        answer,
    });
    assert_eq!(kept.await, Ok(2));
    let (leaving, drained) = drain(leaving).await;
    assert_eq!(drained.cut, 0);
    drop(leaving);
    for entry in &others {
        until_alive(entry, 3).await;
    }

    let key = parcel().key;
    let Lookup::Parcel(found) = find(&others[2], &key).await else {
        panic!("the request is lost");
    };
    assert_eq!(found.progress, Progress::Sent);
    assert!(!found.may_send());
    let again = find(&others[2], &key).await;
    assert!(matches!(again, Lookup::Parcel(_)), "{again:?}");
    let missing = Key {
        organisation: "other".into(),
        ..key
    };
    assert_eq!(find(&others[0], &missing).await, Lookup::Missing);
}

#[ntex::test]
async fn a_leaving_keeper_hands_over_its_parcels() {
    // Guards against losing a request when its keepers leave too. After the request's own entry, the keepers leave one
    // after the other, each handing its parcels over, until the caller reconnects to the only entry left.
    let authority = Authority::new();
    let first = start("a", authority.issue(), None, None);
    let mut entries: Vec<Handle> = ["b", "c", "d"]
        .iter()
        .map(|letter| start(letter, authority.issue(), Some(&first), None))
        .collect();
    until_formed(&[&first, &entries[0], &entries[1], &entries[2]]).await;
    let (answer, kept) = oneshot::channel();
    first.peers().unwrap().send(Request::Keep {
        parcel: Box::new(parcel()),
        answer,
    });
    assert_eq!(kept.await, Ok(2));
    drop(drain(first).await);
    while entries.len() > 1 {
        for entry in &entries {
            until_alive(entry, entries.len()).await;
        }
        drop(drain(entries.remove(0)).await);
    }
    let found = find(&entries[0], &parcel().key).await;
    assert!(matches!(found, Lookup::Parcel(_)), "{found:?}");
}

/// Starts an entry in `zone-a` that has no configuration and receives it from the platform or its peers.
fn start_unconfigured(letter: &str, credentials: Credentials, seed: Option<&Handle>, platform: Platform) -> Handle {
    let settings = Settings {
        zone: "zone-a".into(),
        config: None,
        platform,
        ..settings(letter, credentials, seed)
    };
    Daemon::start(settings).unwrap()
}

/// Waits until the entry uses this version of the configuration.
async fn until_config(entry: &Handle, version: u64) {
    while entry.status().await.and_then(|status| status.config).map(Version::get) != Some(version) {
        tokio::task::yield_now().await;
    }
}

#[ntex::test]
async fn a_new_entry_receives_the_configuration_from_its_peers_while_the_platform_is_down() {
    // Guards against an entry that refuses callers because it starts during a platform outage. A version is in force
    // when the platform's table and object store go down; the new entry has to get head and content from a peer.
    let table = table::Server::start(table::Settings::default()).unwrap();
    let objects = objects::Server::start(objects::Settings::default()).unwrap();
    let platform = Platform {
        table: Some(table.address()),
        objects: Some(objects.address()),
        ..Platform::default()
    };
    let authority = Authority::new();
    let first = start_unconfigured("a", authority.issue(), None, platform);
    let kind = bergamotshift_core::plugin::find::<bergamotshift_platform::Kind>("http").unwrap();
    let clients = (kind.connect)(platform.over_http()).await.unwrap();
    let change = proposer::Request {
        id: Id::new(1),
        author: "test".into(),
        at: 0,
        base: Manifest::default(),
        ours: Manifest::new(&[("site.toml", "[[zone]]\nname = \"zone-a\"\nregion = \"r\"\n")]).unwrap(),
    };
    let store = configuration::Store::new(clients.objects.unwrap());
    let outcome = configuration::propose::run(&clients.table.unwrap(), &store, change, Timing::default()).await;
    assert!(matches!(outcome, proposer::Outcome::Accepted { .. }), "{outcome:?}");
    until_config(&first, 1).await;

    table.fault(Fault::Down);
    objects.fault(Fault::Down);
    let fresh = start_unconfigured("b", authority.issue(), Some(&first), platform);
    until_config(&fresh, 1).await;
    assert!(fresh.status().await.is_some_and(|status| status.ready));
}

/// Keeps the messages of log lines that have the pair `error`.
#[derive(Clone, Debug, Default)]
struct Journal(Arc<Mutex<BTreeSet<String>>>);

/// Whether a line has the pair `error`.
struct HasError(bool);

impl slog::Serializer for HasError {
    fn emit_arguments(&mut self, key: slog::Key, _val: &core::fmt::Arguments<'_>) -> slog::Result {
        self.0 |= key == "error";
        Ok(())
    }
}

impl Drain for Journal {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _values: &OwnedKVList) -> Result<(), slog::Never> {
        let mut pairs = HasError(false);
        record.kv().serialize(record, &mut pairs).unwrap();
        if pairs.0 {
            self.0.lock().unwrap().insert(record.msg().to_string());
        }
        Ok(())
    }
}

/// Guards against notes of other entries that are dropped without a line in the log, as they cannot be decoded.
#[ntex::test]
async fn notes_that_cannot_be_decoded_are_logged() {
    /// Time after which the test gives up waiting for a line.
    const LONGEST_WAIT: Duration = Duration::from_secs(20);
    const LINES: [&str; 3] = [
        "a configuration's head cannot be decoded",
        "a suspicion cannot be decoded",
        "evidence on a part cannot be decoded",
    ];
    let journal = Journal::default();
    let authority = Authority::new();
    let first = start("a", authority.issue(), None, None);
    let second = Daemon::start(Settings {
        logger: Logger::root(journal.clone(), o!()),
        ..settings("b", authority.issue(), Some(&first))
    });
    let second = second.unwrap();
    until_formed(&[&first, &second]).await;
    for topic in [Topic::CONFIG, Topic::QUARANTINE, Topic::PARTS] {
        first.peers().unwrap().send(Request::NotePublished {
            topic,
            key: 0,
            version: u64::MAX,
            body: vec![0xff],
        });
    }
    let lines = || journal.0.lock().unwrap().clone();
    let began = Instant::now();
    while !LINES.iter().all(|line| lines().contains(*line)) && began.elapsed() < LONGEST_WAIT {
        tokio::task::yield_now().await;
    }
    assert!(LINES.iter().all(|line| lines().contains(*line)), "{:?}", lines());
}

/// Drains an entry on a separate thread, because draining blocks.
async fn drain(entry: Handle) -> (Handle, bergamotshift_entry::daemon::Drained) {
    let (done, drained) = oneshot::channel();
    std::thread::spawn(move || {
        let outcome = entry.drain(Duration::from_secs(5));
        drop(done.send((entry, outcome)));
    });
    drained.await.unwrap()
}
