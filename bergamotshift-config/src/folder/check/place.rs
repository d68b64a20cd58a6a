//! Validation of zones, classes, prices and listed endpoints.

use bergamotshift_core::prelude::*;

use super::Unique;
use super::check_name;
use super::check_references;
use crate::folder::draft::Draft;
use crate::folder::draft::Report;

pub(super) fn check(draft: &Draft, report: &mut Report<'_>) {
    check_zones(draft, report);
    check_classes(draft, report);
    check_prices(draft, report);
    check_endpoints(draft, report);
}

/// Returns the names of all zones.
pub(super) fn zone_names(draft: &Draft) -> impl Iterator<Item = &str> + Clone {
    draft.zones.iter().map(|item| item.value.name.as_str())
}

/// Returns the names of all classes.
pub(super) fn class_names(draft: &Draft) -> impl Iterator<Item = &str> + Clone {
    draft.classes.iter().map(|item| item.value.name.as_str())
}

fn check_zones(draft: &Draft, report: &mut Report<'_>) {
    let mut names = Unique::new("name");
    for item in &draft.zones {
        check_name(report, item.location, "name", item.value.name.as_str());
        check_name(report, item.location, "region", item.value.region.as_str());
        names.add(report, item.location, item.value.name.as_str());
    }
}

fn check_classes(draft: &Draft, report: &mut Report<'_>) {
    let mut names = Unique::new("name");
    for item in &draft.classes {
        check_name(report, item.location, "name", item.value.name.as_str());
        names.add(report, item.location, item.value.name.as_str());
    }
}

fn check_prices(draft: &Draft, report: &mut Report<'_>) {
    let mut pairs = Unique::new("class");
    for item in &draft.prices {
        let price = &item.value;
        check_references(report, item.location, "zone", [price.zone.as_str()], &zone_names(draft));
        check_references(
            report,
            item.location,
            "class",
            [price.class.as_str()],
            &class_names(draft),
        );
        if price.reclaimable.is_none() && price.on_demand.is_none() {
            report.add(item.location, "reclaimable", "give `reclaimable`, `on_demand` or both");
        }
        pairs.add(report, item.location, format!("{} {}", price.zone, price.class));
    }
}

fn check_endpoints(draft: &Draft, report: &mut Report<'_>) {
    let mut names = Unique::new("name");
    let mut addresses = Unique::new("address");
    for item in &draft.endpoints {
        let endpoint = &item.value;
        check_name(report, item.location, "name", endpoint.name.as_str());
        names.add(report, item.location, endpoint.name.as_str());
        addresses.add(report, item.location, endpoint.address.to_string());
        let services = draft.services.iter().map(|item| item.value.name.as_str());
        check_references(report, item.location, "service", [endpoint.service.as_str()], &services);
        check_references(
            report,
            item.location,
            "zone",
            [endpoint.zone.as_str()],
            &zone_names(draft),
        );
        check_references(
            report,
            item.location,
            "class",
            [endpoint.class.as_str()],
            &class_names(draft),
        );
        if let Some(service) = draft.service(&endpoint.service) {
            let excludes_zone = |list: &[name::Zone]| !list.is_empty() && !list.contains(&endpoint.zone);
            if excludes_zone(&service.zones) {
                let message = format!("service `{}` is not allowed in zone `{}`", service.name, endpoint.zone);
                report.add(item.location, "zone", message);
            }
            if !service.classes.is_empty() && !service.classes.contains(&endpoint.class) {
                let message = format!(
                    "service `{}` is not allowed on class `{}`",
                    service.name, endpoint.class
                );
                report.add(item.location, "class", message);
            }
        }
    }
}
