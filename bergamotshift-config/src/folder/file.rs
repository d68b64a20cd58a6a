//! One file of the folder, before it is merged.

use serde::Deserialize;
use smol_str::SmolStr;
use toml::Spanned;

use super::error::Problem;
use crate::config;
use crate::config::Config;

/// The sections of one file.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct File {
    zone: Vec<Spanned<config::Zone>>,
    class: Vec<Spanned<config::Class>>,
    price: Vec<Spanned<config::ZonePrice>>,
    service: Vec<Spanned<config::Service>>,
    route: Vec<Spanned<config::Route>>,
    organisation: Vec<Spanned<config::Organisation>>,
    endpoint: Vec<Spanned<config::Endpoint>>,
}

impl File {
    pub(super) fn parse(name: &str, text: &str) -> Result<Self, Box<Problem>> {
        toml::from_str(text).map_err(|error| {
            let start = error.span().map_or(0, |span| span.start);
            Box::new(Problem {
                file: SmolStr::new(name),
                line: line(text, start),
                key: SmolStr::default(),
                message: error.message().to_owned(),
                hint: None,
            })
        })
    }

    pub(super) fn merge(self, config: &mut Config) {
        for zone in self.zone.into_iter().map(Spanned::into_inner) {
            config.zones.insert(zone.name.clone(), zone);
        }
        for class in self.class.into_iter().map(Spanned::into_inner) {
            config.classes.insert(class.name.clone(), class);
        }
        for service in self.service.into_iter().map(Spanned::into_inner) {
            config.services.insert(service.name.clone(), service);
        }
        for organisation in self.organisation.into_iter().map(Spanned::into_inner) {
            config.organisations.insert(organisation.name.clone(), organisation);
        }
        config.prices.extend(self.price.into_iter().map(Spanned::into_inner));
        config.routes.extend(self.route.into_iter().map(Spanned::into_inner));
        config
            .endpoints
            .extend(self.endpoint.into_iter().map(Spanned::into_inner));
    }
}

/// Returns the line, counted from 1, of a byte's place in a text.
fn line(text: &str, place: usize) -> usize {
    let before = text.as_bytes().iter().take(place);
    before.filter(|byte| **byte == b'\n').count() + 1
}
