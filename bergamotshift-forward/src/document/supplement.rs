//! Parts of a document that entries of earlier versions do not know.

use bergamotshift_core::name;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::Document;

/// Parts of a document that entries of earlier versions do not know. Entries send it behind a document or its differences,
/// where those ignore it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Supplement {
    /// The paths at which endpoints state their health, by service.
    health: Vec<(name::Service, SmolStr)>,
}

impl Supplement {
    /// Returns the supplement of a document.
    pub fn of(document: &Document) -> Self {
        let paths = document.services.iter().filter_map(|service| {
            let path = service.health.as_ref()?;
            Some((service.name.clone(), path.clone()))
        });
        Self {
            health: paths.collect(),
        }
    }

    /// Adds what it contains to the document.
    pub fn complete(self, document: &mut Document) {
        for (name, path) in self.health {
            if let Some(service) = document.services.iter_mut().find(|service| service.name == name) {
                service.health = Some(path);
            }
        }
    }
}
