//! Validation of routes.

use super::Unique;
use super::check_references;
use crate::config::Kind;
use crate::config::Route;
use crate::config::Service;
use crate::folder::draft::Draft;
use crate::folder::draft::Report;
use crate::folder::hint;
use crate::folder::source::Location;

/// HTTP methods that a rule may contain.
const METHODS: [&str; 7] = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"];

/// Prefix of every field in `key_fields`.
const FIELD_PREFIX: &str = "body.";

pub(super) fn check(draft: &Draft, report: &mut Report<'_>) {
    let mut rules = Unique::new("path");
    for item in &draft.routes {
        let route = &item.value;
        let services = draft.services.iter().map(|item| item.value.name.as_str());
        check_references(report, item.location, "service", [route.service.as_str()], &services);
        rules.add(
            report,
            item.location,
            format!("{} {} {}", route.service, route.method, route.path),
        );
        check_syntax(route, item.location, report);
        if let Some(service) = draft.service(&route.service) {
            check_path_prefix(route, service, item.location, report);
        }
    }
}

fn check_syntax(route: &Route, location: Location, report: &mut Report<'_>) {
    if !METHODS.contains(&route.method.as_str()) {
        let hint = hint::nearest(&route.method.to_ascii_uppercase(), METHODS);
        report.add_with_hint(
            location,
            "method",
            format!("there is no method `{}`", route.method),
            hint,
        );
    }
    let stem = route.path.strip_suffix('*').unwrap_or(&route.path);
    if !stem.starts_with('/') || stem.contains(['*', '?', '%']) {
        report.add(
            location,
            "path",
            "a path must start with `/` and contain no `?` or `%`; `*` is allowed only at its end",
        );
    }
    if !route.key_fields.is_empty() && route.repeatable == Some(true) {
        report.add(location, "key_fields", "a repeatable request needs no idempotency key");
    }
    for field in &route.key_fields {
        let name = field.strip_prefix(FIELD_PREFIX).unwrap_or_default();
        if name.is_empty() || name.split('.').any(str::is_empty) {
            report.add(
                location,
                "key_fields",
                format!("`{field}` is not a field: write `body.NAME` or `body.NAME.NAME`"),
            );
        }
    }
}

/// Checks that the rule can match any request. A rule outside the path of its service would silently have no effect,
/// although the operator relies on it.
fn check_path_prefix(route: &Route, service: &Service, location: Location, report: &mut Report<'_>) {
    let Some(prefix) = service.path.as_deref().map(|path| path.trim_end_matches('/')) else {
        return;
    };
    let is_reachable = route
        .path
        .strip_prefix(prefix)
        .is_some_and(|rest| matches!(rest.as_bytes().first(), None | Some(b'/' | b'*')));
    if service.kind == Kind::Plain && !is_reachable {
        report.add(
            location,
            "path",
            format!("service `{}` serves only paths under `{prefix}`", service.name),
        );
    }
}
