//! Tests that the example folders describe the sites of the documentation.

use std::path::Path;

use bergamotshift_config::config::Config;
use bergamotshift_config::folder;
use bergamotshift_core::prelude::*;

fn load_example(name: &str) -> Config {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples").join(name);
    folder::load(&path).unwrap_or_else(|error| panic!("{error}"))
}

/// Example folder with its expected content.
struct Site {
    folder: &'static str,
    region: &'static str,
    zones: [&'static str; 4],
    model: (&'static str, &'static str),
    plain: (&'static str, &'static str),
    at_most_once: (&'static str, &'static str),
}

const SITES: [Site; 2] = [
    Site {
        folder: "oranjehal",
        region: "randstad",
        zones: ["amsterdam-hall", "denhaag-hall", "rotterdam-hall", "utrecht-hall"],
        model: ("planner-llm", "planner"),
        plain: ("staff-app", "/staff/shifts"),
        at_most_once: ("POST", "/staff/shifts/confirm"),
    },
    Site {
        folder: "mapa-limpio",
        region: "uy-sur",
        zones: ["canelones", "maldonado", "montevideo-a", "montevideo-b"],
        model: ("mapa-llm", "mapa"),
        plain: ("mapa-app", "/mapa/status/7"),
        at_most_once: ("POST", "/mapa/zones/split"),
    },
];

#[test]
fn the_sites_have_their_zones_and_sizes() {
    for site in SITES {
        let config = load_example(site.folder);
        let zones: Vec<_> = config.zones.keys().map(name::Zone::as_str).collect();
        assert_eq!(zones, site.zones);
        assert!(config.zones.values().all(|zone| zone.region.as_str() == site.region));
        assert_eq!(config.services[site.model.0].workers, 12);
        assert_eq!(config.services[site.plain.0].workers, 4);
        assert_eq!(config.organisations.len(), 5);
        assert!(config.endpoints.is_empty(), "the addresses come from the VM list");
    }
}

#[test]
fn requests_find_their_service_and_organisation() {
    for site in SITES {
        let config = load_example(site.folder);
        let model = config
            .service_for_model(site.model.1)
            .map(|service| service.name.as_str());
        assert_eq!(model, Some(site.model.0));
        let plain = config.service_for("any.example:8080", site.plain.1);
        assert_eq!(plain.map(|service| service.name.as_str()), Some(site.plain.0));
        for organisation in config.organisations.values() {
            let token = format!("demo-{}", organisation.name);
            assert_eq!(config.organisation_by_token(&token), Some(organisation));
        }
        assert_eq!(config.organisation_by_token("demo-nobody"), None);
    }
}

#[test]
fn confirmations_and_splits_run_at_most_once() {
    for site in SITES {
        let config = load_example(site.folder);
        let service = &config.services[site.plain.0];
        let (method, path) = site.at_most_once;
        let handling = config.handling(service, method, path);
        assert!(!handling.repeatable);
        assert!(!handling.key_fields.is_empty());
        assert!(config.handling(service, "GET", site.plain.1).repeatable);
    }
}
