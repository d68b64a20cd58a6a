//! Lookup of the route of a request and of the organisation of a key.
//!
//! ```
//! use bergamotshift_forward::document::{Document, Kind, Route, Split};
//! use bergamotshift_forward::routes::Table;
//! use core::time::Duration;
//! use std::sync::Arc;
//!
//! let route = Route {
//!     name: "drafts".into(),
//!     host: "roster.example".into(),
//!     prefix: "/drafts/".into(),
//!     kind: Kind::Stream,
//!     timeout: Duration::from_secs(6),
//!     objective: Duration::from_millis(800),
//!     pause: Duration::from_millis(250),
//!     urgency: 0,
//!     splits: vec![Split { service: "planner".into(), weight: 1 }],
//!     attempts: 2,
//!     public: false,
//!     resumable: true,
//! };
//! let document = Document { version: 7, routes: vec![route], ..Document::default() };
//! let table = Table::new(Arc::new(document));
//! assert_eq!(table.route("roster.example:80", "/drafts/week/9").expect("it matches").name, "drafts");
//! assert!(table.route("roster.example", "/drafts").is_none());
//! ```

mod history;

use std::collections::HashMap;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use smol_str::SmolStr;

pub use self::history::History;
pub use self::history::Streams;
use crate::document::Document;
use crate::document::Kind;
use crate::document::Organisation;
use crate::document::Route;

/// A document with indexes of its routes and keys.
#[derive(Debug, Default)]
pub struct Table {
    document: Arc<Document>,
    hosts: HashMap<SmolStr, HashMap<SmolStr, usize>>,
    keys: HashMap<SmolStr, usize>,
}

impl Table {
    /// Builds the indexes of a document.
    pub fn new(document: Arc<Document>) -> Self {
        let mut hosts: HashMap<SmolStr, HashMap<SmolStr, usize>> = HashMap::new();
        for (index, route) in document.routes.iter().enumerate() {
            let host = SmolStr::new(route.host.to_ascii_lowercase());
            hosts.entry(host).or_default().insert(route.prefix.clone(), index);
        }
        let mut keys = HashMap::new();
        for (index, organisation) in document.organisations.iter().enumerate() {
            keys.extend(organisation.keys.iter().map(|key| (key.clone(), index)));
        }
        Self { document, hosts, keys }
    }

    /// Returns the document.
    pub const fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Returns the route of a host with the longest prefix of a path. A port after the host is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let prefixes = match self.hosts.get(name) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        // Prefixes end with a slash, so only the parts of the path up to each slash are candidates.
        let mut slashes = path.rmatch_indices('/').map(|(index, _)| index);
        let index = slashes.find_map(|slash| prefixes.get(&path[..=slash]))?;
        Some(&self.document.routes[*index])
    }

    /// Returns the services that may begin a stream, by the hash of its attempt's identifier; `None` stands for any attempt.
    pub fn stream_services(&self, host: &str, path: &str, attempt: Option<u64>) -> Vec<&name::Service> {
        let Some(route) = self.route(host, path).filter(|route| route.kind == Kind::Stream) else {
            return Vec::new();
        };
        if let Some(attempt) = attempt {
            return route.service(attempt).into_iter().collect();
        }
        let splits = route.splits.iter().filter(|split| split.weight > 0);
        splits.map(|split| &split.service).collect()
    }

    /// Returns the organisation of a key.
    pub fn organisation(&self, key: &str) -> Option<&Organisation> {
        let index = self.keys.get(key)?;
        Some(&self.document.organisations[*index])
    }

    /// Returns the path at which endpoints of a service state their health; `None` if it is not known.
    pub fn health_path(&self, service: &name::Service) -> Option<&str> {
        let mut services = self.document.services.iter();
        services.find(|known| known.name == *service)?.health.as_deref()
    }

    /// Returns whether callers need a key, which is so when the document lists organisations, be it none.
    pub fn requires_keys(&self) -> bool {
        self.document.organisations.require_keys()
    }
}
