//! Difference between two configurations, by item and by key.
//!
//! ```
//! use bergamotshift_config::diff::Diff;
//! use bergamotshift_config::folder;
//!
//! let old = folder::parse(&[("a.toml", "[[class]]\nname = 'a10'\nprice_reclaimable = 0.3\nprice_on_demand = 1")])?;
//! let new = folder::parse(&[("a.toml", "[[class]]\nname = 'a10'\nprice_reclaimable = 0.4\nprice_on_demand = 1")])?;
//! let diff = Diff::between(&old, &new);
//! assert_eq!(diff.to_string(), "~ class a10\n    price_reclaimable: 0.3 -> 0.4\n");
//! # Ok::<(), folder::Error>(())
//! ```

use core::fmt;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use toml::Table;
use toml::Value;

use crate::config::Config;

/// Difference between two configurations.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Diff {
    /// Changed items, ordered by section and name.
    pub changes: Vec<Change>,
}

/// Change of one item.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Section of the item, such as `service`.
    pub section: &'static str,
    /// Name of the item, which is unique within its section.
    pub name: SmolStr,
    /// Kind of the change.
    pub kind: Kind,
}

/// Kind of a change of an item.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// The item is new.
    Added,
    /// The item was removed.
    Removed,
    /// The values of these keys changed.
    Changed(Vec<Field>),
}

/// Change of the value of one key.
#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    /// Name of the key.
    pub key: SmolStr,
    /// Previous value, if the key was set.
    pub old: Option<Value>,
    /// New value, if the key is set.
    pub new: Option<Value>,
}

impl Diff {
    /// Computes the changes from one configuration to another.
    pub fn between(old: &Config, new: &Config) -> Self {
        let (old, new) = (items(old), items(new));
        let keys: BTreeSet<_> = old.keys().chain(new.keys()).collect();
        let changes = keys.into_iter().filter_map(|key| {
            let kind = match (old.get(key), new.get(key)) {
                (None, _) => Kind::Added,
                (_, None) => Kind::Removed,
                (Some(old), Some(new)) if old == new => return None,
                (Some(old), Some(new)) => Kind::Changed(changed_fields(old, new)),
            };
            let (section, name) = key.clone();
            Some(Change { section, name, kind })
        });
        Self {
            changes: changes.collect(),
        }
    }

    /// Returns whether the configurations are equal.
    pub const fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for change in &self.changes {
            let sign = match change.kind {
                Kind::Added => '+',
                Kind::Removed => '-',
                Kind::Changed(_) => '~',
            };
            writeln!(f, "{sign} {} {}", change.section, change.name)?;
            let Kind::Changed(fields) = &change.kind else { continue };
            for field in fields {
                let (old, new) = (Rendered(field.old.as_ref()), Rendered(field.new.as_ref()));
                writeln!(f, "    {}: {old} -> {new}", field.key)?;
            }
        }
        Ok(())
    }
}

struct Rendered<'a>(Option<&'a Value>);

impl fmt::Display for Rendered<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(value) => write!(f, "{value}"),
            None => f.write_str("(none)"),
        }
    }
}

type Items = BTreeMap<(&'static str, SmolStr), Table>;

/// Returns all items of a configuration by section and name.
fn items(config: &Config) -> Items {
    let mut items = Items::new();
    let mut add = |section, name: SmolStr, table| items.insert((section, name), table);
    for (name, zone) in &config.zones {
        add("zone", name.as_str().into(), to_table(zone));
    }
    for (name, class) in &config.classes {
        add("class", name.as_str().into(), to_table(class));
    }
    for price in &config.prices {
        add(
            "price",
            format_smolstr!("{} {}", price.zone, price.class),
            to_table(price),
        );
    }
    for (name, service) in &config.services {
        add("service", name.as_str().into(), to_table(service));
    }
    for route in &config.routes {
        let name = format_smolstr!("{} {} {}", route.service, route.method, route.path);
        add("route", name, to_table(route));
    }
    for (name, organisation) in &config.organisations {
        add("organisation", name.as_str().into(), to_table(organisation));
    }
    for endpoint in &config.endpoints {
        add("endpoint", endpoint.name.as_str().into(), to_table(endpoint));
    }
    items
}

fn to_table(item: &impl Serialize) -> Table {
    Table::try_from(item).expect("every item of a configuration is a TOML table")
}

fn changed_fields(old: &Table, new: &Table) -> Vec<Field> {
    let keys: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    let changed = keys.into_iter().filter(|key| old.get(*key) != new.get(*key));
    changed
        .map(|key| Field {
            key: SmolStr::new(key),
            old: old.get(key).cloned(),
            new: new.get(key).cloned(),
        })
        .collect()
}
