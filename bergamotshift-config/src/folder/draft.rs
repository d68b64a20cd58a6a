//! Items of all files with their locations, before they are validated.

use bergamotshift_core::prelude::*;
use smol_str::SmolStr;

use super::error::Problem;
use super::file::File;
use super::source::Location;
use super::source::Source;
use crate::config;
use crate::config::Config;

/// Item with its location.
#[derive(Debug)]
pub(super) struct Item<T> {
    pub(super) location: Location,
    pub(super) value: T,
}

/// Items of all files, in the order of the file names.
#[derive(Debug, Default)]
pub(super) struct Draft {
    pub(super) zones: Vec<Item<config::Zone>>,
    pub(super) classes: Vec<Item<config::Class>>,
    pub(super) prices: Vec<Item<config::ZonePrice>>,
    pub(super) services: Vec<Item<config::Service>>,
    pub(super) routes: Vec<Item<config::Route>>,
    pub(super) organisations: Vec<Item<config::Organisation>>,
    pub(super) endpoints: Vec<Item<config::Endpoint>>,
}

impl Draft {
    /// Adds the items of one file.
    pub(super) fn add(&mut self, file: usize, content: File) {
        append(&mut self.zones, file, "zone", content.zone);
        append(&mut self.classes, file, "class", content.class);
        append(&mut self.prices, file, "price", content.price);
        append(&mut self.services, file, "service", content.service);
        append(&mut self.routes, file, "route", content.route);
        append(&mut self.organisations, file, "organisation", content.organisation);
        append(&mut self.endpoints, file, "endpoint", content.endpoint);
    }

    /// Converts the items into a configuration without locations.
    pub(super) fn into_config(self) -> Config {
        Config {
            zones: values(self.zones).map(|zone| (zone.name.clone(), zone)).collect(),
            classes: values(self.classes).map(|class| (class.name.clone(), class)).collect(),
            prices: values(self.prices).collect(),
            services: values(self.services)
                .map(|service| (service.name.clone(), service))
                .collect(),
            routes: values(self.routes).collect(),
            organisations: values(self.organisations)
                .map(|organisation| (organisation.name.clone(), organisation))
                .collect(),
            endpoints: values(self.endpoints).collect(),
        }
    }

    /// Returns the service with a name.
    pub(super) fn service(&self, name: &name::Service) -> Option<&config::Service> {
        self.services
            .iter()
            .map(|item| &item.value)
            .find(|service| service.name == *name)
    }
}

fn append<T>(items: &mut Vec<Item<T>>, file: usize, section: &'static str, values: Vec<T>) {
    items.extend(values.into_iter().enumerate().map(|(item, value)| Item {
        location: Location { file, section, item },
        value,
    }));
}

fn values<T>(items: Vec<Item<T>>) -> impl Iterator<Item = T> {
    items.into_iter().map(|item| item.value)
}

/// Report that collects problems and determines their lines.
#[derive(Debug)]
pub(super) struct Report<'a> {
    pub(super) sources: &'a [Source<'a>],
    pub(super) problems: Vec<Problem>,
}

impl Report<'_> {
    /// Adds a problem with a key of an item.
    pub(super) fn add(&mut self, location: Location, key: &str, message: impl Into<String>) {
        self.add_with_hint(location, key, message, None);
    }

    /// Adds a problem with a key of an item, with a hint.
    pub(super) fn add_with_hint(
        &mut self,
        location: Location,
        key: &str,
        message: impl Into<String>,
        hint: Option<String>,
    ) {
        let source = self.sources[location.file];
        self.problems.push(Problem {
            file: SmolStr::new(source.name),
            line: source.line_of(location.section, location.item, key),
            key: SmolStr::new(format!("{}.{key}", location.section)),
            message: message.into(),
            hint,
        });
    }

    /// Formats file and line of a key of an item as `file:line`.
    pub(super) fn locate(&self, location: Location, key: &str) -> String {
        let source = self.sources[location.file];
        format!(
            "{}:{}",
            source.name,
            source.line_of(location.section, location.item, key)
        )
    }
}
