//! Checks services.

use bergamotshift_core::prelude::*;

use super::Unique;
use super::known;
use super::name;
use super::place::class_names;
use super::place::zone_names;
use crate::config::Kind;
use crate::config::Service;
use crate::folder::draft::Draft;
use crate::folder::draft::Report;
use crate::folder::hint;
use crate::folder::source::Place;

/// The largest body that an entry holds in memory for a retry or a handover, in bytes.
const MAX_BODY: usize = 64 * 1024 * 1024;

/// The largest head that an entry reads, in bytes.
const MAX_HEADER: usize = 1024 * 1024;

/// The most attempts of one request: a retry storm stays bounded whatever the budget.
const MAX_ATTEMPTS: u32 = 10;

pub(super) fn check(draft: &Draft, adapters: Option<&[&str]>, report: &mut Report<'_>) {
    let mut names = Unique::new("name");
    let mut models = Unique::new("models");
    let mut paths = Unique::new("path");
    for item in &draft.services {
        let service = &item.value;
        name(report, item.place, "name", service.name.as_str());
        names.add(report, item.place, service.name.as_str());
        known(
            report,
            item.place,
            "zones",
            service.zones.iter().map(name::Zone::as_str),
            &zone_names(draft),
        );
        known(
            report,
            item.place,
            "classes",
            service.classes.iter().map(name::Class::as_str),
            &class_names(draft),
        );
        adapter(service, item.place, adapters, report);
        kind(service, item.place, report);
        ranges(service, item.place, report);
        for model in &service.models {
            models.add(report, item.place, model.as_str());
        }
        for route in reached_by(service) {
            paths.add(report, item.place, route);
        }
    }
}

/// Returns each host and path that the service answers for.
fn reached_by(service: &Service) -> Vec<String> {
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

fn adapter(service: &Service, place: Place, adapters: Option<&[&str]>, report: &mut Report<'_>) {
    let Some(adapters) = adapters else { return };
    if !adapters.contains(&service.adapter.as_str()) {
        let hint = hint::nearest(&service.adapter, adapters.iter().copied());
        report.add_hinted(
            place,
            "adapter",
            format!("there is no adapter `{}`", service.adapter),
            hint,
        );
    }
}

fn kind(service: &Service, place: Place, report: &mut Report<'_>) {
    let target = service.target;
    match service.kind {
        Kind::Model => {
            if service.models.is_empty() {
                report.add(place, "models", "a model service names the models it serves");
            }
            if service.path.is_some() {
                report.add(place, "path", "a model service is found by its models, not by a path");
            }
            if target.answer.is_some() {
                report.add(
                    place,
                    "target.answer",
                    "a model service has `first_token` and `between_tokens`",
                );
            }
        }
        Kind::Plain => {
            if !service.models.is_empty() {
                report.add(place, "models", "a plain service serves no models");
            }
            if service.path.is_none() && service.hosts.is_empty() {
                report.add(place, "path", "a plain service is found by `path`, `hosts` or both");
            }
            if target.first_token.is_some() || target.between_tokens.is_some() {
                report.add(place, "target", "a plain service has `answer` as its target");
            }
        }
    }
    for model in &service.models {
        let text = model.as_str();
        if text.is_empty() || text.len() > 128 || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            report.add(
                place,
                "models",
                format!("`{text}` is no model name: 1 to 128 visible ASCII characters"),
            );
        }
    }
    if service
        .path
        .as_ref()
        .is_some_and(|path| !path.starts_with('/') || path.contains(['*', '?', '%']))
    {
        report.add(place, "path", "a path starts with `/` and holds no `*`, `?` or `%`");
    }
    for host in &service.hosts {
        if host.is_empty() || host.contains([':', '/', '*']) {
            report.add(
                place,
                "hosts",
                format!("`{host}` is no host name; leave out port and scheme"),
            );
        }
    }
}

fn ranges(service: &Service, place: Place, report: &mut Report<'_>) {
    if !(1..=MAX_BODY).contains(&service.max_body) {
        report.add(place, "max_body", format!("1 to {MAX_BODY} bytes"));
    }
    if !(1..=MAX_HEADER).contains(&service.max_header) {
        report.add(place, "max_header", format!("1 to {MAX_HEADER} bytes"));
    }
    if !(0.0..=1.0).contains(&service.retry.budget) {
        report.add(place, "retry.budget", "0 to 1 retries for each request");
    }
    if !(1..=MAX_ATTEMPTS).contains(&service.retry.attempts) {
        report.add(place, "retry.attempts", format!("1 to {MAX_ATTEMPTS} attempts"));
    }
    if service
        .target
        .first_token
        .is_some_and(|target| target > service.deadline)
    {
        report.add(place, "target.first_token", "the target lies beyond the deadline");
    }
    if service.target.answer.is_some_and(|target| target > service.deadline) {
        report.add(place, "target.answer", "the target lies beyond the deadline");
    }
}
