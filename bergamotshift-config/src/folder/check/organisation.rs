//! Checks organisations.

use bergamotshift_core::prelude::*;

use super::Unique;
use super::known;
use super::name;
use super::place::zone_names;
use crate::config::Limits;
use crate::folder::draft::Draft;
use crate::folder::draft::Report;
use crate::folder::source::Place;

/// The largest weight: shares stay well inside the arithmetic's exact range.
const MAX_WEIGHT: u32 = 1_000_000;

pub(super) fn check(draft: &Draft, report: &mut Report<'_>) {
    let mut names = Unique::new("name");
    // A token that two organisations share would let one read the other's requests.
    let mut keys = Unique::new("keys");
    for item in &draft.organisations {
        let organisation = &item.value;
        name(report, item.place, "name", organisation.name.as_str());
        names.add(report, item.place, organisation.name.as_str());
        for key in &organisation.keys {
            keys.add(report, item.place, key.to_string());
        }
        if organisation.keys.is_empty() {
            report.add(item.place, "keys", "an organisation has at least one key");
        }
        if !(1..=MAX_WEIGHT).contains(&organisation.weight) {
            report.add(item.place, "weight", format!("1 to {MAX_WEIGHT}"));
        }
        known(
            report,
            item.place,
            "zones",
            organisation.zones.iter().map(name::Zone::as_str),
            &zone_names(draft),
        );
        let services = draft.services.iter().map(|item| item.value.name.as_str());
        known(
            report,
            item.place,
            "services",
            organisation.services.iter().map(name::Service::as_str),
            &services,
        );
        limits(&organisation.limits, item.place, report);
    }
}

fn limits(limits: &Limits, place: Place, report: &mut Report<'_>) {
    let rates = [
        ("limits.requests_per_second", limits.requests_per_second),
        ("limits.tokens_per_second", limits.tokens_per_second),
    ];
    for (key, rate) in rates {
        if rate.is_some_and(|rate| !rate.is_finite() || rate <= 0.0) {
            report.add(place, key, "a limit is a number above 0; leave it out for no limit");
        }
    }
    if limits.burst == Some(0) {
        report.add(place, "limits.burst", "a burst is at least 1");
    }
}
