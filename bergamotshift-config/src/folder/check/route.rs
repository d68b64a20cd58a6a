//! Checks the rules for single requests.

use super::Unique;
use super::known;
use crate::config::Kind;
use crate::config::Route;
use crate::config::Service;
use crate::folder::draft::Draft;
use crate::folder::draft::Report;
use crate::folder::hint;
use crate::folder::source::Place;

/// The methods that a rule may name.
const METHODS: [&str; 7] = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"];

/// Starts the name of every field that makes up a key.
const FIELD: &str = "body.";

pub(super) fn check(draft: &Draft, report: &mut Report<'_>) {
    let mut rules = Unique::new("path");
    for item in &draft.routes {
        let route = &item.value;
        let services = draft.services.iter().map(|item| item.value.name.as_str());
        known(report, item.place, "service", [route.service.as_str()], &services);
        rules.add(
            report,
            item.place,
            format!("{} {} {}", route.service, route.method, route.path),
        );
        shape(route, item.place, report);
        if let Some(service) = draft.service(&route.service) {
            reach(route, service, item.place, report);
        }
    }
}

fn shape(route: &Route, place: Place, report: &mut Report<'_>) {
    if !METHODS.contains(&route.method.as_str()) {
        let hint = hint::nearest(&route.method.to_ascii_uppercase(), METHODS);
        report.add_hinted(place, "method", format!("there is no method `{}`", route.method), hint);
    }
    let stem = route.path.strip_suffix('*').unwrap_or(&route.path);
    if !stem.starts_with('/') || stem.contains(['*', '?', '%']) {
        report.add(
            place,
            "path",
            "a path starts with `/` and holds no `?` or `%`; `*` stands at its end only",
        );
    }
    if !route.key_fields.is_empty() && route.repeatable == Some(true) {
        report.add(place, "key_fields", "a repeatable request needs no key");
    }
    for field in &route.key_fields {
        let name = field.strip_prefix(FIELD).unwrap_or_default();
        if name.is_empty() || name.split('.').any(str::is_empty) {
            report.add(
                place,
                "key_fields",
                format!("`{field}` is no field: write `body.NAME` or `body.NAME.NAME`"),
            );
        }
    }
}

/// Checks that the rule can ever apply: a rule outside of its service's path would silently protect nothing.
fn reach(route: &Route, service: &Service, place: Place, report: &mut Report<'_>) {
    let Some(prefix) = service.path.as_deref().map(|path| path.trim_end_matches('/')) else {
        return;
    };
    let inside = route
        .path
        .strip_prefix(prefix)
        .is_some_and(|rest| matches!(rest.as_bytes().first(), None | Some(b'/' | b'*')));
    if service.kind == Kind::Plain && !inside {
        report.add(
            place,
            "path",
            format!("service `{}` answers under `{prefix}` only", service.name),
        );
    }
}
