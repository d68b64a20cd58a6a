//! Validation of services.

use bergamotshift_core::prelude::*;

use super::Unique;
use super::check_name;
use super::check_references;
use super::place::class_names;
use super::place::zone_names;
use crate::config::Kind;
use crate::config::Service;
use crate::folder::draft::Draft;
use crate::folder::draft::Report;
use crate::folder::hint;
use crate::folder::source::Location;

/// Maximum size of a body, in bytes. An entry holds it in memory for a retry or a handover.
const MAX_BODY: usize = 64 * 1024 * 1024;

/// Maximum size of a request head, in bytes.
const MAX_HEADER: usize = 1024 * 1024;

/// Maximum number of attempts of one request. It bounds a retry storm whatever the budget.
const MAX_ATTEMPTS: u32 = 10;

pub(super) fn check(draft: &Draft, adapters: Option<&[&str]>, report: &mut Report<'_>) {
    let mut names = Unique::new("name");
    let mut models = Unique::new("models");
    let mut paths = Unique::new("path");
    for item in &draft.services {
        let service = &item.value;
        check_name(report, item.location, "name", service.name.as_str());
        names.add(report, item.location, service.name.as_str());
        check_references(
            report,
            item.location,
            "zones",
            service.zones.iter().map(name::Zone::as_str),
            &zone_names(draft),
        );
        check_references(
            report,
            item.location,
            "classes",
            service.classes.iter().map(name::Class::as_str),
            &class_names(draft),
        );
        check_adapter(service, item.location, adapters, report);
        check_kind(service, item.location, report);
        check_ranges(service, item.location, report);
        for model in &service.models {
            models.add(report, item.location, model.as_str());
        }
        for host_and_path in hosts_and_paths(service) {
            paths.add(report, item.location, host_and_path);
        }
    }
}

/// Returns each combination of host and path that the service serves.
fn hosts_and_paths(service: &Service) -> Vec<String> {
    let path = service.path.as_deref().unwrap_or_default().trim_end_matches('/');
    if service.hosts.is_empty() {
        return service.path.iter().map(|_| path.to_owned()).collect();
    }
    service
        .hosts
        .iter()
        .map(|host| format!("{}{path}", host.to_ascii_lowercase()))
        .collect()
}

fn check_adapter(service: &Service, location: Location, adapters: Option<&[&str]>, report: &mut Report<'_>) {
    let Some(adapters) = adapters else { return };
    if !adapters.contains(&service.adapter.as_str()) {
        let hint = hint::nearest(&service.adapter, adapters.iter().copied());
        report.add_with_hint(
            location,
            "adapter",
            format!("there is no adapter `{}`", service.adapter),
            hint,
        );
    }
}

fn check_kind(service: &Service, location: Location, report: &mut Report<'_>) {
    let target = service.target;
    match service.kind {
        Kind::Model => {
            if service.models.is_empty() {
                report.add(
                    location,
                    "models",
                    "a model service must list the models that it serves",
                );
            }
            if service.path.is_some() {
                report.add(
                    location,
                    "path",
                    "a model service is selected by its models and has no path",
                );
            }
            if target.answer.is_some() {
                report.add(
                    location,
                    "target.answer",
                    "a model service has only the targets `first_token` and `between_tokens`",
                );
            }
        }
        Kind::Plain => {
            if !service.models.is_empty() {
                report.add(location, "models", "a plain service has no models");
            }
            if service.path.is_none() && service.hosts.is_empty() {
                report.add(location, "path", "a plain service needs `path`, `hosts` or both");
            }
            if target.first_token.is_some() || target.between_tokens.is_some() {
                report.add(location, "target", "a plain service has only the target `answer`");
            }
        }
    }
    for model in &service.models {
        let text = model.as_str();
        if text.is_empty() || text.len() > 128 || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            report.add(
                location,
                "models",
                format!("`{text}` is not a valid model name: use 1 to 128 visible ASCII characters"),
            );
        }
    }
    if service
        .path
        .as_ref()
        .is_some_and(|path| !path.starts_with('/') || path.contains(['*', '?', '%']))
    {
        report.add(
            location,
            "path",
            "a path must start with `/` and contain no `*`, `?` or `%`",
        );
    }
    for host in &service.hosts {
        if host.is_empty() || host.contains([':', '/', '*']) {
            report.add(
                location,
                "hosts",
                format!("`{host}` is not a valid host name; omit port and scheme"),
            );
        }
    }
}

fn check_ranges(service: &Service, location: Location, report: &mut Report<'_>) {
    if !(1..=MAX_BODY).contains(&service.max_body) {
        report.add(location, "max_body", format!("must be from 1 to {MAX_BODY} bytes"));
    }
    if !(1..=MAX_HEADER).contains(&service.max_header) {
        report.add(location, "max_header", format!("must be from 1 to {MAX_HEADER} bytes"));
    }
    if !(0.0..=1.0).contains(&service.retry.budget) {
        report.add(location, "retry.budget", "must be from 0 to 1 retries per request");
    }
    if !(1..=MAX_ATTEMPTS).contains(&service.retry.attempts) {
        report.add(
            location,
            "retry.attempts",
            format!("must be from 1 to {MAX_ATTEMPTS} attempts"),
        );
    }
    if service
        .target
        .first_token
        .is_some_and(|target| target > service.deadline)
    {
        report.add(location, "target.first_token", "the target is longer than the deadline");
    }
    if service.target.answer.is_some_and(|target| target > service.deadline) {
        report.add(location, "target.answer", "the target is longer than the deadline");
    }
}
