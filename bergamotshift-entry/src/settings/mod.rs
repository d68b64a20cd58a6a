//! What one entry is told when it starts.

pub mod traces;

use core::net::IpAddr;
use core::net::Ipv4Addr;
use core::net::SocketAddr;
use core::time::Duration;
use std::path::PathBuf;
use std::sync::Arc;

use bergamotshift_config::config::Config;
use bergamotshift_core::prelude::*;
use bergamotshift_endpoint::client;
use bergamotshift_limit::quarantine;
use bergamotshift_route::policy;
use slog::Logger;
use slog::o;
use smol_str::SmolStr;

use crate::duties;
use crate::jobs;
use crate::peers;
use crate::tls;

/// Where the platform's services listen; one that is missing is not used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Platform {
    /// The list of VMs and notices.
    pub vms: Option<SocketAddr>,
    /// The transactional table.
    pub table: Option<SocketAddr>,
    /// The object store.
    pub objects: Option<SocketAddr>,
    /// The cloud API; control duties are done only by entries that have it.
    pub cloud: Option<SocketAddr>,
    /// The weight store.
    pub weights: Option<SocketAddr>,
}

impl Platform {
    /// Returns the settings of the adapter that speaks HTTP to these addresses.
    pub fn over_http(&self) -> bergamotshift_platform::Settings {
        let base = |address: Option<SocketAddr>| address.map(|address| smol_str::format_smolstr!("http://{address}"));
        bergamotshift_platform::Settings {
            vms: base(self.vms),
            table: base(self.table),
            objects: base(self.objects),
            cloud: base(self.cloud),
            weights: base(self.weights),
            ..bergamotshift_platform::Settings::default()
        }
    }
}

/// How the entry watches endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watch {
    /// The time between two load reports of one endpoint.
    pub report_interval: Duration,
    /// The time between two readings of the VM list.
    pub list_interval: Duration,
    /// The time between two readings of the notices.
    pub notice_interval: Duration,
}

impl Default for Watch {
    fn default() -> Self {
        // The platform gives about two thousand reads a second: 390 entries take a quarter of them.
        Self {
            report_interval: Duration::from_millis(500),
            list_interval: Duration::from_secs(5),
            notice_interval: Duration::from_secs(1),
        }
    }
}

/// Bounds on what callers may send, before any service is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The largest head of any request, in bytes.
    pub max_head: usize,
    /// How long a caller may take over a request's head, in seconds.
    pub head_timeout: u16,
    /// How long a caller may take over each kilobyte of a body, in seconds.
    pub body_timeout: u16,
    /// Bodies up to this many bytes are held until the answer is there, so that they can be sent again.
    pub max_buffered_body: usize,
    /// Answers up to this many bytes are held until they are whole, so that a broken one can be fetched again.
    pub max_buffered_answer: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            max_head: 64 * 1024,
            head_timeout: 5,
            body_timeout: 5,
            max_buffered_body: 256 * 1024,
            max_buffered_answer: 256 * 1024,
        }
    }
}

/// Everything one entry is told when it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The entry's name.
    pub name: name::Entry,
    /// The availability zone it stands in.
    pub zone: name::Zone,
    /// Where callers reach it; port 0 takes a free one.
    pub callers: SocketAddr,
    /// Where operators reach it; port 0 takes a free one.
    pub operators: SocketAddr,
    /// What it proves itself with towards callers; without it they speak clear text.
    pub tls: Option<tls::Settings>,
    /// Threads that serve callers.
    pub threads: usize,
    /// The operators' folder.
    pub folder: Option<PathBuf>,
    /// A configuration that is already read; it goes before the folder.
    pub config: Option<Arc<Config>>,
    /// Where the platform's services listen.
    pub platform: Platform,
    /// How endpoints are watched.
    pub watch: Watch,
    /// What callers may send.
    pub bounds: Bounds,
    /// How connections to endpoints behave.
    pub endpoints: client::Settings,
    /// The routing policy's name.
    pub policy: SmolStr,
    /// How control duties are done.
    pub duties: duties::Settings,
    /// When requests are suspected of killing endpoints.
    pub quarantine: quarantine::Settings,
    /// How long new requests are still taken after a drain began, while the balancer learns of it.
    pub drain_delay: Duration,
    /// How the entry takes part in the fleet; without it, it stands alone.
    pub peers: Option<peers::Settings>,
    /// Where traces go; without it none are made.
    pub otlp: Option<traces::Settings>,
    /// How deferred jobs are found and run.
    pub jobs: jobs::Settings,
    /// Where log records go.
    pub logger: Logger,
}

impl Default for Settings {
    fn default() -> Self {
        const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        Self {
            name: name::Entry::new_static("entry"),
            zone: name::Zone::new_static("zone"),
            callers: ANY,
            operators: ANY,
            tls: None,
            threads: 4,
            folder: None,
            config: None,
            platform: Platform::default(),
            watch: Watch::default(),
            bounds: Bounds::default(),
            endpoints: client::Settings::default(),
            policy: SmolStr::new_static(policy::DEFAULT),
            duties: duties::Settings::default(),
            quarantine: quarantine::Settings::default(),
            drain_delay: Duration::from_millis(500),
            peers: None,
            otlp: None,
            jobs: jobs::Settings::default(),
            logger: Logger::root(slog::Discard, o!()),
        }
    }
}

impl Settings {
    /// Returns whether the configuration comes from the platform and from peers.
    pub const fn uses_platform_config(&self) -> bool {
        let given = self.config.is_some() || self.folder.is_some();
        !given && self.platform.table.is_some() && self.platform.objects.is_some()
    }
}
