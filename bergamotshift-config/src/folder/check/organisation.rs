//! Validation of organisations.

use bergamotshift_core::prelude::*;

use super::Unique;
use super::check_name;
use super::check_references;
use super::place::zone_names;
use crate::config::Limits;
use crate::folder::draft::Draft;
use crate::folder::draft::Report;
use crate::folder::source::Location;

/// Maximum weight. It keeps the computation of shares within the range of exact arithmetic.
const MAX_WEIGHT: u32 = 1_000_000;

pub(super) fn check(draft: &Draft, report: &mut Report<'_>) {
    let mut names = Unique::new("name");
    // With a token in two organisations, one could read the other's requests.
    let mut keys = Unique::new("keys");
    for item in &draft.organisations {
        let organisation = &item.value;
        check_name(report, item.location, "name", organisation.name.as_str());
        names.add(report, item.location, organisation.name.as_str());
        for key in &organisation.keys {
            keys.add(report, item.location, key.to_string());
        }
        if organisation.keys.is_empty() {
            report.add(item.location, "keys", "an organisation needs at least one key");
        }
        if !(1..=MAX_WEIGHT).contains(&organisation.weight) {
            report.add(item.location, "weight", format!("must be from 1 to {MAX_WEIGHT}"));
        }
        check_references(
            report,
            item.location,
            "zones",
            organisation.zones.iter().map(name::Zone::as_str),
            &zone_names(draft),
        );
        let services = draft.services.iter().map(|item| item.value.name.as_str());
        check_references(
            report,
            item.location,
            "services",
            organisation.services.iter().map(name::Service::as_str),
            &services,
        );
        check_limits(&organisation.limits, item.location, report);
    }
}

fn check_limits(limits: &Limits, location: Location, report: &mut Report<'_>) {
    let rates = [
        ("limits.requests_per_second", limits.requests_per_second),
        ("limits.tokens_per_second", limits.tokens_per_second),
    ];
    for (key, rate) in rates {
        if rate.is_some_and(|rate| !rate.is_finite() || rate <= 0.0) {
            report.add(location, key, "a limit must be a number above 0; omit it for no limit");
        }
    }
    if limits.burst == Some(0) {
        report.add(location, "limits.burst", "a burst must be at least 1");
    }
}
