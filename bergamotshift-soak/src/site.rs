//! The routes, services and organisations of a run.

use core::time::Duration;

use bergamotshift_forward::document::Document;
use bergamotshift_forward::document::Engine;
use bergamotshift_forward::document::Kind as Repeat;
use bergamotshift_forward::document::Limit;
use bergamotshift_forward::document::Organisation;
use bergamotshift_forward::document::Route;
use bergamotshift_forward::document::Service;
use bergamotshift_forward::document::Split;
use bergamotshift_forward::document::Unit;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::endpoint::SLOTS;

/// The host that all routes answer for.
pub const HOST: &str = "staff.example";

/// How many events a whole stream has.
pub const EVENTS: u64 = 12;

/// How many events a whole schedule has.
const SCHEDULE_EVENTS: u64 = 100;

/// The services; the moving route goes from one to the next.
pub const SERVICES: [&str; 3] = ["alpha", "beta", "gamma"];

/// The service of model engines.
pub const ENGINES: &str = "engines";

/// The organisations whose callers ask model engines, with their keys.
pub const TEAMS: [(&str, &str); 4] = [
    ("kitchen", "key-kitchen"),
    ("floor", "key-floor"),
    ("bar", "key-bar"),
    ("banquets", "key-banquets"),
];

/// How many versions of endpoints' software serve side by side with `--versions`; the events of two do not fit together.
pub const VERSIONS: u64 = 2;

/// The longest time that a caller waits.
pub const PATIENCE: Duration = Duration::from_secs(4);

/// The longest time that a caller waits for a schedule; no limit of its route is shorter.
const SCHEDULE_PATIENCE: Duration = Duration::from_secs(6);

/// The target time for an answer.
const OBJECTIVE: Duration = Duration::from_millis(500);

/// The longest pause of engines' streams that is on time; with a longer one, entries would admit streams that are expected to
/// begin when most of a caller's patience is over.
const ENGINE_PAUSE: Duration = Duration::from_millis(250);

/// The requests a second that the limited organisation may send, over all entries together.
pub const RATE: f64 = 30.0;

/// What it may send beyond that at once.
pub const BURST: f64 = 15.0;

/// The path of the requests that crash endpoints.
const CRASH_PATH: &str = "/checkin/crash";

/// The part of prompts that all requests of the organisation without a limit share.
pub const SHARED_PART: &str = "aa:100";

/// The part of prompts that crashes endpoints.
pub const CRASHING_PART: &str = "bad:50";

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run any number of times.
    Checkin,
    /// Runs once at most.
    Confirm,
    /// A stream that may go on elsewhere.
    Draft,
    /// As a checkin, on the route that the operators move.
    Moving,
    /// A stream of a model engine.
    Generate,
    /// A stream of some seconds that may go on elsewhere, on a route whose limits the operators change.
    Schedule,
    /// As a checkin, with the same content each time; it crashes each endpoint that runs it.
    Crash,
    /// As a checkin, no two alike; a part of its prompt crashes each endpoint that runs it.
    Part,
}

impl Kind {
    /// Returns whether it crashes endpoints.
    pub const fn is_crashing(self) -> bool {
        matches!(self, Self::Crash | Self::Part)
    }

    /// All kinds that a route of its own leads to in every run.
    pub const ALL: [Self; 4] = [Self::Checkin, Self::Confirm, Self::Draft, Self::Moving];

    /// Returns what the paths of its route begin with.
    pub const fn prefix(self) -> &'static str {
        match self {
            Self::Checkin => "/checkin/",
            Self::Confirm => "/confirm/",
            Self::Draft => "/draft/",
            Self::Moving => "/moving/",
            Self::Generate => "/generate/",
            Self::Schedule => "/schedule/",
            Self::Crash => CRASH_PATH,
            Self::Part => "/checkin/part-",
        }
    }

    /// Returns whether callers may take up its streams.
    pub const fn is_resumable(self) -> bool {
        matches!(self, Self::Draft | Self::Schedule)
    }

    /// Returns how long a caller waits.
    pub const fn patience(self) -> Duration {
        match self {
            Self::Schedule => SCHEDULE_PATIENCE,
            _ => PATIENCE,
        }
    }

    /// Returns how many events a whole stream has.
    pub const fn events(self) -> u64 {
        match self {
            Self::Schedule => SCHEDULE_EVENTS,
            _ => EVENTS,
        }
    }
}

/// The limits of the route of schedules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The longest time that a caller waits.
    pub timeout: Duration,
    /// The longest pause of a stream that is on time.
    pub pause: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(12),
            pause: Duration::from_millis(250),
        }
    }
}

/// Whose request it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tenant {
    /// An organisation without a limit.
    Free,
    /// An organisation with a limit that its callers exceed.
    Limited,
    /// One of the organisations whose callers ask model engines; none has a limit.
    Team(usize),
    /// Nobody: its key is unknown.
    Stranger,
}

impl Tenant {
    /// Returns the organisation's name.
    pub const fn name(self) -> Option<&'static str> {
        match self {
            Self::Free => Some("horeca"),
            Self::Limited => Some("events"),
            Self::Team(number) => Some(TEAMS[number].0),
            Self::Stranger => None,
        }
    }

    /// Returns the key that its callers show.
    pub const fn key(self) -> &'static str {
        match self {
            Self::Free => "key-horeca",
            Self::Limited => "key-events",
            Self::Team(number) => TEAMS[number].1,
            Self::Stranger => "key-nobody",
        }
    }
}

/// Returns the identifier of a caller's request, which no other run has.
pub fn request_id(seed: u64, caller: u64, number: u64) -> SmolStr {
    format_smolstr!("s{seed}-c{caller}-{number}")
}

/// Returns the name of an endpoint, which no other run has.
pub fn endpoint_id(seed: u64, service: &str, number: u64) -> SmolStr {
    format_smolstr!("{service}-s{seed}-{number}")
}

/// Returns what the paths of a service's schedules begin with.
pub fn schedule_prefix(service: &str) -> SmolStr {
    format_smolstr!("{}{service}/", Kind::Schedule.prefix())
}

/// Returns the name of a version of endpoints' software.
pub fn version(number: u64) -> SmolStr {
    format_smolstr!("v{number}")
}

/// Returns the operators' document under a version, in which the moving route goes to `service` and that of schedules has
/// these limits; without limits it has no such route.
pub fn document(version: u64, service: &str, has_engines: bool, limits: Option<Limits>) -> Document {
    let teams = if has_engines { TEAMS.len() } else { 0 };
    let teams = (0..teams).map(|number| organisation(Tenant::Team(number), None));
    let tenants = [
        organisation(Tenant::Free, None),
        organisation(Tenant::Limited, Some(LIMIT)),
    ];
    let mut document = Document {
        version,
        routes: Kind::ALL.map(|kind| route(kind, service)).to_vec(),
        services: SERVICES.map(self::service).to_vec(),
        organisations: tenants.into_iter().chain(teams).collect(),
        ..Document::default()
    };
    if let Some(Limits { timeout, pause }) = limits {
        let schedules = SERVICES.into_iter().map(|service| Route {
            name: schedule_prefix(service),
            prefix: schedule_prefix(service),
            timeout,
            pause,
            splits: split(service),
            attempts: 2,
            ..route(Kind::Schedule, service)
        });
        document.routes.extend(schedules);
    }
    if has_engines {
        document.routes.push(route(Kind::Generate, service));
        document.services.push(Service {
            engine: Some(ENGINE),
            ..self::service(ENGINES)
        });
    }
    document
}

const ENGINE: Engine = Engine {
    slots: SLOTS,
    memory: 4_000_000,
    transfer: None,
};

const LIMIT: Limit = Limit {
    rate: RATE,
    burst: BURST,
    unit: Unit::Requests,
};

/// Path at which endpoints state their health.
pub const HEALTH: &str = "/health";

fn service(name: &str) -> Service {
    Service {
        name: name.into(),
        connections: 200,
        engine: None,
        scale: None,
        health: Some(HEALTH.into()),
    }
}

fn organisation(tenant: Tenant, limit: Option<Limit>) -> Organisation {
    Organisation {
        name: tenant.name().unwrap_or_default().into(),
        keys: vec![tenant.key().into()],
        urgency: None,
        limit,
    }
}

fn split(service: &str) -> Vec<Split> {
    vec![Split {
        service: service.into(),
        weight: 1,
    }]
}

fn route(kind: Kind, moving: &str) -> Route {
    let (repeat, resumable) = match kind {
        Kind::Checkin | Kind::Moving | Kind::Crash | Kind::Part => (Repeat::Idempotent, false),
        Kind::Confirm => (Repeat::Once, false),
        Kind::Draft | Kind::Generate | Kind::Schedule => (Repeat::Stream, true),
    };
    let service = match kind {
        Kind::Moving => moving,
        Kind::Generate => ENGINES,
        _ => SERVICES[0],
    };
    let pause = if kind == Kind::Generate {
        ENGINE_PAUSE
    } else {
        OBJECTIVE
    };
    Route {
        name: kind.prefix().into(),
        host: HOST.into(),
        prefix: kind.prefix().into(),
        kind: repeat,
        timeout: PATIENCE,
        objective: OBJECTIVE,
        pause,
        urgency: 2,
        splits: split(service),
        attempts: 3,
        public: false,
        resumable,
    }
}
