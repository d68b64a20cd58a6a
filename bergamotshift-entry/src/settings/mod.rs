//! Settings with which an entry starts.

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

/// Addresses of the platform's services; a service without an address is not used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Platform {
    /// VM list and notices.
    pub vms: Option<SocketAddr>,
    /// Transactional table.
    pub table: Option<SocketAddr>,
    /// Object store.
    pub objects: Option<SocketAddr>,
    /// Cloud API; only entries with this address run control duties.
    pub cloud: Option<SocketAddr>,
    /// Weight store.
    pub weights: Option<SocketAddr>,
}

impl Platform {
    /// Returns the settings of the platform adapter for HTTP at these addresses.
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

/// Intervals at which the entry polls endpoints and the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watch {
    /// Interval between two load reports of one endpoint.
    pub report_interval: Duration,
    /// Interval between two reads of the VM list.
    pub list_interval: Duration,
    /// Interval between two reads of the notices.
    pub notice_interval: Duration,
}

impl Default for Watch {
    fn default() -> Self {
        // The platform answers about 2000 reads per second, of which 390 entries use a quarter.
        Self {
            report_interval: Duration::from_millis(500),
            list_interval: Duration::from_secs(5),
            notice_interval: Duration::from_secs(1),
        }
    }
}

/// Limits on requests of callers that apply before the service is known, and on buffers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum size of a request head, in bytes.
    pub max_head: usize,
    /// Timeout for the head of a request, in seconds.
    pub head_timeout: u16,
    /// Timeout for each kilobyte of a body, in seconds.
    pub body_timeout: u16,
    /// Maximum size of a body that is buffered until its answer arrives, so that it can be sent again, in bytes.
    pub max_buffered_body: usize,
    /// Maximum size of an answer that is buffered until it is complete, so that a broken one can be fetched again, in
    /// bytes.
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

/// Settings of one entry.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the entry.
    pub name: name::Entry,
    /// Availability zone in which it runs.
    pub zone: name::Zone,
    /// Address on which it listens for callers; port 0 selects a free port.
    pub callers: SocketAddr,
    /// Address on which it listens for operators; port 0 selects a free port.
    pub operators: SocketAddr,
    /// Certificate and key for TLS with callers; `None` serves them in clear text.
    pub tls: Option<tls::Settings>,
    /// Number of threads that serve callers.
    pub threads: usize,
    /// Folder with the operators' configuration files.
    pub folder: Option<PathBuf>,
    /// Configuration that is already parsed; takes precedence over the folder.
    pub config: Option<Arc<Config>>,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Intervals at which endpoints and the platform are polled.
    pub watch: Watch,
    /// Limits on requests of callers.
    pub bounds: Bounds,
    /// Settings of connections to endpoints.
    pub endpoints: client::Settings,
    /// Name of the routing policy.
    pub policy: SmolStr,
    /// Settings of control duties.
    pub duties: duties::Settings,
    /// Settings of the quarantine of requests that are suspected of killing endpoints.
    pub quarantine: quarantine::Settings,
    /// Time for which new requests are still accepted after a drain began, so that the load balancer can notice it.
    pub drain_delay: Duration,
    /// Settings of the fleet; `None` runs the entry without peers.
    pub peers: Option<peers::Settings>,
    /// Settings of trace export; `None` disables traces.
    pub otlp: Option<traces::Settings>,
    /// Settings of deferred jobs.
    pub jobs: jobs::Settings,
    /// Destination of log records.
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
    /// Returns whether the configuration comes from the platform and peers rather than from a file or folder.
    pub const fn uses_platform_config(&self) -> bool {
        let is_local = self.config.is_some() || self.folder.is_some();
        !is_local && self.platform.table.is_some() && self.platform.objects.is_some()
    }
}
