//! Checks zones, classes, prices and listed endpoints.

use bergamotshift_core::prelude::*;

use super::Unique;
use super::known;
use super::name;
use crate::folder::draft::Draft;
use crate::folder::draft::Report;

pub(super) fn check(draft: &Draft, report: &mut Report<'_>) {
    zones(draft, report);
    classes(draft, report);
    prices(draft, report);
    endpoints(draft, report);
}

/// Returns the names of all zones.
pub(super) fn zone_names(draft: &Draft) -> impl Iterator<Item = &str> + Clone {
    draft.zones.iter().map(|item| item.value.name.as_str())
}

/// Returns the names of all classes.
pub(super) fn class_names(draft: &Draft) -> impl Iterator<Item = &str> + Clone {
    draft.classes.iter().map(|item| item.value.name.as_str())
}

fn zones(draft: &Draft, report: &mut Report<'_>) {
    let mut names = Unique::new("name");
    for item in &draft.zones {
        name(report, item.place, "name", item.value.name.as_str());
        name(report, item.place, "region", item.value.region.as_str());
        names.add(report, item.place, item.value.name.as_str());
    }
}

fn classes(draft: &Draft, report: &mut Report<'_>) {
    let mut names = Unique::new("name");
    for item in &draft.classes {
        name(report, item.place, "name", item.value.name.as_str());
        names.add(report, item.place, item.value.name.as_str());
    }
}

fn prices(draft: &Draft, report: &mut Report<'_>) {
    let mut pairs = Unique::new("class");
    for item in &draft.prices {
        let price = &item.value;
        known(report, item.place, "zone", [price.zone.as_str()], &zone_names(draft));
        known(report, item.place, "class", [price.class.as_str()], &class_names(draft));
        if price.reclaimable.is_none() && price.on_demand.is_none() {
            report.add(item.place, "reclaimable", "give `reclaimable`, `on_demand` or both");
        }
        pairs.add(report, item.place, format!("{} {}", price.zone, price.class));
    }
}

fn endpoints(draft: &Draft, report: &mut Report<'_>) {
    let mut names = Unique::new("name");
    let mut addresses = Unique::new("address");
    for item in &draft.endpoints {
        let endpoint = &item.value;
        name(report, item.place, "name", endpoint.name.as_str());
        names.add(report, item.place, endpoint.name.as_str());
        addresses.add(report, item.place, endpoint.address.to_string());
        let services = draft.services.iter().map(|item| item.value.name.as_str());
        known(report, item.place, "service", [endpoint.service.as_str()], &services);
        known(report, item.place, "zone", [endpoint.zone.as_str()], &zone_names(draft));
        known(
            report,
            item.place,
            "class",
            [endpoint.class.as_str()],
            &class_names(draft),
        );
        if let Some(service) = draft.service(&endpoint.service) {
            let outside = |list: &[name::Zone]| !list.is_empty() && !list.contains(&endpoint.zone);
            if outside(&service.zones) {
                let message = format!("service `{}` may not run in `{}`", service.name, endpoint.zone);
                report.add(item.place, "zone", message);
            }
            if !service.classes.is_empty() && !service.classes.contains(&endpoint.class) {
                let message = format!("service `{}` may not run on `{}`", service.name, endpoint.class);
                report.add(item.place, "class", message);
            }
        }
    }
}
