//! Finds the route of a request and the organisation of a key.
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

use std::collections::HashMap;
use std::sync::Arc;

use smol_str::SmolStr;

use crate::document::Document;
use crate::document::Organisation;
use crate::document::Route;

/// A document with indexes over its routes and keys.
#[derive(Debug, Default)]
pub struct Table {
    document: Arc<Document>,
    hosts: HashMap<SmolStr, HashMap<SmolStr, usize>>,
    keys: HashMap<SmolStr, usize>,
}

impl Table {
    /// Makes the indexes of a document.
    pub fn new(document: Arc<Document>) -> Self {
        let mut hosts: HashMap<SmolStr, HashMap<SmolStr, usize>> = HashMap::new();
        for (place, route) in document.routes.iter().enumerate() {
            let host = SmolStr::new(route.host.to_ascii_lowercase());
            hosts.entry(host).or_default().insert(route.prefix.clone(), place);
        }
        let mut keys = HashMap::new();
        for (place, organisation) in document.organisations.iter().enumerate() {
            keys.extend(organisation.keys.iter().map(|key| (key.clone(), place)));
        }
        Self { document, hosts, keys }
    }

    /// Returns the document.
    pub const fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Returns the route with the longest prefix that begins the path, among those of the host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let prefixes = match self.hosts.get(name) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        // Every prefix ends with a slash, so only the path up to each slash can be one.
        let mut slashes = path.rmatch_indices('/').map(|(place, _)| place);
        let place = slashes.find_map(|slash| prefixes.get(&path[..=slash]))?;
        Some(&self.document.routes[*place])
    }

    /// Returns the organisation that holds a key.
    pub fn organisation(&self, key: &str) -> Option<&Organisation> {
        let place = self.keys.get(key)?;
        Some(&self.document.organisations[*place])
    }

    /// Returns whether callers need keys at all.
    pub fn requires_keys(&self) -> bool {
        !self.document.organisations.is_empty()
    }
}
