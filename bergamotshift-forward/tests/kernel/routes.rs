//! Lookup of a request's route, service and organisation.

use std::sync::Arc;

use bergamotshift_forward::document::Document;
use bergamotshift_forward::document::Organisation;
use bergamotshift_forward::document::Split;
use bergamotshift_forward::routes::Streams;
use bergamotshift_forward::routes::Table;
use quickcheck::quickcheck;

use crate::support::route;

/// Returns a document whose routes lead to these services, each as the numbers of its prefix, of its service and of a second one
/// with its weight.
fn routed(routes: &[(u8, u8, u8, u8)]) -> Document {
    const PREFIXES: [&str; 4] = ["/", "/drafts/", "/drafts/week/", "/plans/"];
    let split = |service: u8, weight| Split {
        service: format!("service-{}", service % 3).as_str().into(),
        weight,
    };
    let mut document = Document::default();
    for (prefix, one, other, weight) in routes {
        let mut added = route(PREFIXES[usize::from(prefix % 4)]);
        added.splits = vec![split(*one, 2), split(*other, u32::from(weight % 3))];
        document.routes.retain(|known| known.prefix != added.prefix);
        document.routes.push(added);
    }
    document
}

quickcheck! {
    /// Guards against streams that begin at a service before another entry can learn that they do.
    fn a_service_that_gets_streams_of_another_one_counts_as_moved(now: Vec<(u8, u8, u8, u8)>, before: Vec<(u8, u8, u8, u8)>) -> bool {
        let document = routed(&now);
        let (now, before) = (Streams::of(&document), Streams::of(&routed(&before)));
        let table = Table::new(Arc::new(document));
        let moved = now.moved(&before);
        let paths = ["/x", "/drafts/x", "/drafts/week/x", "/plans/x", "/plans/week/x"];
        let mut attempts = (0..12).map(Some).chain([None]);
        let is_same = attempts.all(|attempt| paths.iter().all(|path| {
            let services = now.services("roster.example:80", path, attempt);
            let is_unmoved = services == before.services("roster.example", path, attempt);
            services == table.stream_services("roster.example", path, attempt)
                && (is_unmoved || services.into_iter().all(|service| moved.contains(service)))
        }));
        is_same && now.moved(&now).is_empty()
    }
}

fn table() -> Table {
    let document = Document {
        version: 3,
        routes: vec![route("/"), route("/drafts/"), route("/drafts/week/")],
        organisations: vec![Organisation {
            name: "horeca".into(),
            keys: vec!["secret".into()],
            urgency: None,
            limit: None,
        }]
        .into(),
        ..Document::default()
    };
    Table::new(Arc::new(document))
}

#[test]
fn the_longest_prefix_wins() {
    let table = table();
    let name = |path| table.route("roster.example", path).map(|route| route.name.as_str());
    assert_eq!(name("/drafts/week/7"), Some("/drafts/week/"));
    assert_eq!(name("/drafts/weeks"), Some("/drafts/"));
    assert_eq!(name("/drafts"), Some("/"));
}

#[test]
fn a_host_is_found_in_any_case_and_with_its_port() {
    let table = table();
    assert!(table.route("Roster.Example:8080", "/drafts/").is_some());
    assert!(table.route("other.example", "/drafts/").is_none());
}

#[test]
fn a_key_finds_its_organisation_and_no_other_does() {
    let table = table();
    assert_eq!(
        table.organisation("secret").map(|found| found.name.as_str()),
        Some("horeca")
    );
    assert!(table.organisation("Secret").is_none());
}

#[test]
fn requests_are_split_by_weight() {
    let mut route = route("/");
    route.splits = vec![
        Split {
            service: "old".into(),
            weight: 90,
        },
        Split {
            service: "new".into(),
            weight: 10,
        },
    ];
    let to_new = (0..1_000).filter(|hash| route.service(*hash).is_some_and(|service| service.as_str() == "new"));
    assert_eq!(to_new.count(), 100);
}

#[test]
fn a_route_without_weight_has_no_service() {
    let mut route = route("/");
    route.splits[0].weight = 0;
    assert!(route.service(7).is_none());
}
