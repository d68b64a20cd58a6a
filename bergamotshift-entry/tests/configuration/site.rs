//! Entries without a local configuration, and the platform from which they fetch it.

use core::cell::Cell;
use core::net::SocketAddr;
use core::time::Duration;
use std::rc::Rc;

use bergamotshift_config::accept::Timing;
use bergamotshift_config::accept::proposer::Outcome;
use bergamotshift_config::accept::proposer::Request;
use bergamotshift_config::accept::record::Id;
use bergamotshift_config::accept::record::VERSIONS;
use bergamotshift_config::manifest::Manifest;
use bergamotshift_core::prelude::*;
use bergamotshift_entry::Daemon;
use bergamotshift_entry::Handle;
use bergamotshift_entry::Settings;
use bergamotshift_entry::configuration;
use bergamotshift_entry::settings::Platform;
use bergamotshift_platform::Kind;
use bergamotshift_standin::objects;
use bergamotshift_standin::table;
use ntex::client::Client;
use serde_json::Value;

/// Interval between two polls of an entry's status.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Folders with up to two zones, one organisation and an optional class.
pub mod folder {
    use bergamotshift_config::digest::Digest;
    use bergamotshift_config::manifest::Manifest;

    const ZONES: &str = "[[zone]]\nname = \"zone-a\"\nregion = \"r\"\n[[zone]]\nname = \"zone-b\"\nregion = \"r\"\n";
    const ONE_ZONE: &str = "[[zone]]\nname = \"zone-a\"\nregion = \"r\"\n";
    const CLASS: &str = "[[class]]\nname = \"gpu\"\nprice_reclaimable = 1.0\nprice_on_demand = 2.0\n";

    pub fn empty() -> Manifest {
        Manifest::default()
    }

    pub fn with_key(token: &str) -> Manifest {
        make(token, &[])
    }

    pub fn with_class(token: &str) -> Manifest {
        make(token, &[("30-classes.toml", CLASS)])
    }

    /// Adds one or two zones to a folder that is not empty.
    pub fn with_zones(count: usize, manifest: &Manifest) -> Manifest {
        let zones = if count == 1 { ONE_ZONE } else { ZONES };
        let mut files: Vec<_> = manifest
            .files()
            .map(|(name, text)| (name.to_string(), text.to_string()))
            .collect();
        if !files.is_empty() {
            files.push(("10-zones.toml".to_owned(), zones.to_owned()));
        }
        Manifest::new(&files).expect("the folder is small")
    }

    fn make(token: &str, more: &[(&str, &str)]) -> Manifest {
        let digest = Digest::of(token);
        let organisation = format!("[[organisation]]\nname = \"acme\"\nkeys = [\"{digest}\"]\n");
        let mut files = vec![("20-organisations.toml", organisation.as_str())];
        files.extend_from_slice(more);
        Manifest::new(&files).expect("the folder is small")
    }
}

pub struct Site {
    pub table: table::Server,
    objects: objects::Server,
    entries: Vec<Handle>,
    client: Client,
    changes: Cell<u128>,
}

impl Site {
    /// Starts one entry in each zone.
    pub async fn start(zones: &[&'static str]) -> Self {
        let table = table::Server::start(table::Settings::default()).expect("the stand-in listens");
        let objects = objects::Server::start(objects::Settings::default()).expect("the stand-in listens");
        let platform = Platform {
            table: Some(table.address()),
            objects: Some(objects.address()),
            ..Platform::default()
        };
        let start = |zone: &&'static str| {
            let settings = Settings {
                name: name::Entry::new(format!("entry-{zone}")),
                zone: name::Zone::new(zone),
                platform,
                threads: 1,
                ..Settings::default()
            };
            Daemon::start(settings).expect("the entry starts")
        };
        let entries = zones.iter().map(start).collect();
        Self {
            table,
            objects,
            entries,
            client: Client::new().await,
            changes: Cell::new(1),
        }
    }

    /// Applies an operator's change with the default timeout.
    pub async fn apply(&self, base: &Manifest, ours: &Manifest) -> Outcome {
        self.apply_within(base, ours, Timing::default().turn_timeout).await
    }

    /// Applies an operator's change with a timeout; zero also disables the backoff.
    pub async fn apply_within(&self, base: &Manifest, ours: &Manifest, timeout: Duration) -> Outcome {
        let kind = bergamotshift_core::plugin::find::<Kind>("http").expect("it registers itself");
        let addresses = Platform {
            table: Some(self.table.address()),
            objects: Some(self.objects.address()),
            ..Platform::default()
        };
        let platform = (kind.connect)(addresses.over_http())
            .await
            .expect("clients can be made");
        let (table, objects) = (platform.table.expect("it is set"), platform.objects.expect("it is set"));
        let count = self.entries.len();
        let request = Request {
            id: Id::new(self.changes.replace(self.changes.get() + 1)),
            author: "test".into(),
            at: 0,
            base: folder::with_zones(count, base),
            ours: folder::with_zones(count, ours),
        };
        let backoff = if timeout.is_zero() {
            Duration::ZERO
        } else {
            Timing::default().max_backoff
        };
        let timing = Timing {
            turn_timeout: timeout,
            max_backoff: backoff,
            ..Timing::default()
        };
        configuration::propose::run(&Rc::clone(&table), &configuration::Store::new(objects), request, timing).await
    }

    /// Waits until every entry reports that the version is in force.
    pub async fn wait_in_force(&self, version: u64) {
        for entry in &self.entries {
            while self.status(entry.operators()).await["config"] != version {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    async fn status(&self, operators: SocketAddr) -> Value {
        let request = self.client.get(format!("http://{operators}/status"));
        let answer = request.send().await.expect("the entry answers");
        let body = answer.body().await.expect("the answer is whole");
        serde_json::from_slice(&body).expect("it is JSON")
    }

    /// Returns the status code of each entry's readiness check.
    pub async fn ready(&self) -> Vec<u16> {
        let mut codes = Vec::new();
        for entry in &self.entries {
            codes.push(self.code(entry.callers(), "/readyz", "").await);
        }
        codes
    }

    /// Asserts that every entry accepts one token and refuses the other.
    pub async fn assert_keys(&self, valid: &str, invalid: &str) {
        for entry in &self.entries {
            assert_eq!(self.code(entry.callers(), "/v1/models", valid).await, 200);
            assert_eq!(self.code(entry.callers(), "/v1/models", invalid).await, 401);
        }
    }

    async fn code(&self, address: SocketAddr, path: &str, token: &str) -> u16 {
        let request = self.client.get(format!("http://{address}{path}")).bearer_auth(token);
        request.send().await.expect("the entry answers").status().as_u16()
    }

    /// Returns the number of versions in the table.
    pub fn version_count(&self) -> usize {
        self.table
            .rows()
            .iter()
            .filter(|(key, _)| key.partition == VERSIONS)
            .count()
    }
}
