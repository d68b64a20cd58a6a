//! All files together, each item with its place, before the whole is checked.

use bergamotshift_core::prelude::*;
use smol_str::SmolStr;

use super::error::Problem;
use super::file::File;
use super::source::Place;
use super::source::Source;
use crate::config;
use crate::config::Config;

/// An item and where it stands.
#[derive(Debug)]
pub(super) struct Item<T> {
    pub(super) place: Place,
    pub(super) value: T,
}

/// The items of all files, in the order of the files' names.
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

    /// Drops the places.
    pub(super) fn finish(self) -> Config {
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

    /// Finds a service by its name.
    pub(super) fn service(&self, name: &name::Service) -> Option<&config::Service> {
        self.services
            .iter()
            .map(|item| &item.value)
            .find(|service| service.name == *name)
    }
}

fn append<T>(items: &mut Vec<Item<T>>, file: usize, section: &'static str, values: Vec<T>) {
    items.extend(values.into_iter().enumerate().map(|(item, value)| Item {
        place: Place { file, section, item },
        value,
    }));
}

fn values<T>(items: Vec<Item<T>>) -> impl Iterator<Item = T> {
    items.into_iter().map(|item| item.value)
}

/// Collects problems and finds their lines.
#[derive(Debug)]
pub(super) struct Report<'a> {
    pub(super) sources: &'a [Source<'a>],
    pub(super) problems: Vec<Problem>,
}

impl Report<'_> {
    /// Adds a problem of one key of an item.
    pub(super) fn add(&mut self, place: Place, key: &str, message: impl Into<String>) {
        self.add_hinted(place, key, message, None);
    }

    /// Adds a problem with a guess at what was meant.
    pub(super) fn add_hinted(&mut self, place: Place, key: &str, message: impl Into<String>, hint: Option<String>) {
        let source = self.sources[place.file];
        self.problems.push(Problem {
            file: SmolStr::new(source.name),
            line: source.line_of(place.section, place.item, key),
            key: SmolStr::new(format!("{}.{key}", place.section)),
            message: message.into(),
            hint,
        });
    }

    /// Returns file and line of an item's key, as in messages.
    pub(super) fn locate(&self, place: Place, key: &str) -> String {
        let source = self.sources[place.file];
        format!("{}:{}", source.name, source.line_of(place.section, place.item, key))
    }
}
