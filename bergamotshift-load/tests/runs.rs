//! Whole runs against stand-ins without an entry between: what works passes, and what nobody guards is found.

use core::time::Duration;
use std::sync::Arc;

use bergamotshift_core::name;
use bergamotshift_load::check::Promise;
use bergamotshift_load::fault;
use bergamotshift_load::hop;
use bergamotshift_load::ledger::Remote;
use bergamotshift_load::prelude::*;
use bergamotshift_standin::engine;
use bergamotshift_standin::fault::Fault;
use bergamotshift_standin::plain;

fn engine(name: &str) -> engine::Server {
    engine::Server::start(engine::Settings {
        name: name.into(),
        ..Default::default()
    })
    .unwrap()
}

fn plain(name: &str) -> plain::Server {
    plain::Server::start(plain::Settings {
        name: name.into(),
        ..Default::default()
    })
    .unwrap()
}

fn endpoint(name: &str, address: core::net::SocketAddr) -> Endpoint {
    Endpoint {
        name: name.into(),
        service: "s".into(),
        zone: "zone-a".into(),
        address,
    }
}

fn share(kind: Kind) -> Share {
    Share {
        kind,
        model: "m".into(),
        path: "/status".into(),
        max_tokens: 6,
        words: 4,
        ..Default::default()
    }
}

fn plan(callers: Vec<core::net::SocketAddr>, kinds: &[Kind]) -> Plan {
    Plan {
        callers,
        mix: kinds.iter().copied().map(share).collect(),
        rate: 200.0,
        arrival: Process::Poisson,
        duration: Duration::from_millis(300),
        seed: 5,
        ..Default::default()
    }
}

#[test]
fn a_model_engine_alone_passes() {
    let engine = engine("e");
    let kinds = [Kind::Chat, Kind::ChatStream, Kind::Completion, Kind::CompletionStream];
    let plan = Plan {
        endpoints: vec![endpoint("e", engine.address())],
        ..plan(vec![engine.address()], &kinds)
    };
    let report = bergamotshift_load::run(plan).unwrap();
    assert!(report.passed(), "{}", report.to_text());
    assert!(report.totals.whole > 20, "{}", report.to_text());
    assert_eq!(report.totals.whole, report.totals.sent);
    assert_eq!(report.kinds.len(), kinds.len());
    assert_eq!(report.totals.tokens, report.totals.whole * 6);
    assert_eq!(report.unproved, [""; 0]);
    assert!(report.between_tokens.count > 0 && report.first_token.count > 0);
}

#[test]
fn a_plain_service_behind_the_bare_hop_passes() {
    let service = plain("p");
    let hop = hop::Server::start(service.address(), 2).unwrap();
    let plan = Plan {
        endpoints: vec![endpoint("p", service.address())],
        direct: vec![service.address()],
        direct_rate: 50.0,
        ..plan(vec![hop.address()], &[Kind::Get, Kind::Post])
    };
    let report = bergamotshift_load::run(plan).unwrap();
    assert!(report.passed(), "{}", report.to_text());
    assert_eq!(report.totals.whole, report.totals.sent);
    assert!(report.added.is_some_and(|added| added.direct_failed == 0));
}

#[test]
fn a_stream_passes_the_bare_hop() {
    let engine = engine("e");
    let hop = hop::Server::start(engine.address(), 1).unwrap();
    let report = bergamotshift_load::run(plan(vec![hop.address()], &[Kind::ChatStream])).unwrap();
    assert!(report.passed(), "{}", report.to_text());
    assert_eq!(report.totals.whole, report.totals.sent);
    // Without ledgers the report says what it cannot know.
    assert_eq!(report.unproved.len(), 1);
}

#[test]
fn repeated_sends_that_nobody_guards_run_twice() {
    // Each caller sends its confirmation to two plain services at once, with no claim between them. Both run it, and
    // the run must say so.
    let (left, right) = (plain("left"), plain("right"));
    let plan = Plan {
        endpoints: vec![endpoint("left", left.address()), endpoint("right", right.address())],
        mix: vec![Share {
            sends: 2,
            ..share(Kind::Once)
        }],
        ..plan(vec![left.address(), right.address()], &[])
    };
    let report = bergamotshift_load::run(plan).unwrap();
    assert!(!report.passed());
    assert_eq!(report.totals.run_twice, report.totals.sent);
    let twice = report
        .violations
        .iter()
        .find(|violation| violation.promise == Promise::AtMostOnce)
        .unwrap();
    let mut endpoints: Vec<_> = twice.endpoints.iter().map(name::Vm::as_str).collect();
    endpoints.sort_unstable();
    assert_eq!(endpoints, ["left", "right"]);
}

#[test]
fn crossed_answers_are_found() {
    // The service swaps the answers of two calls in flight. Each caller gets a sound answer, which is another's.
    let service = plain("p");
    service.fault(Fault::Crossed { count: 3 });
    let report = bergamotshift_load::run(plan(vec![service.address()], &[Kind::Post])).unwrap();
    assert_eq!(report.totals.wrong, 6, "{}", report.to_text());
    assert!(
        report
            .violations
            .iter()
            .all(|violation| violation.promise == Promise::Own)
    );
}

#[test]
fn work_for_a_leaving_endpoint_is_found() {
    // The endpoint is given notice in the middle of the run and nobody stops sending to it. Its ledger grows after the
    // time for it is over, which a run has to show.
    let service = plain("p");
    let endpoints = vec![endpoint("p", service.address())];
    let target = Leaving { name: "p".into() };
    let schedule = "[[fault]]\nat_ms = 50\naction = \"reclaim\"\nendpoint = \"p\"\nspan_ms = 20";
    let plan = Plan {
        ledgers: Some(Arc::new(Remote::new(endpoints))),
        target: Some(Arc::new(target)),
        faults: schedule.parse().unwrap(),
        ..plan(vec![service.address()], &[Kind::Get])
    };
    let report = bergamotshift_load::run(plan).unwrap();
    assert!(!report.passed());
    assert!(
        report
            .violations
            .iter()
            .all(|violation| violation.promise == Promise::Leaving)
    );
    assert_eq!(report.events.len(), 3, "{}", report.to_text());
}

/// Announces a reclaim that never comes.
#[derive(Debug)]
struct Leaving {
    name: name::Vm,
}

impl fault::Target for Leaving {
    fn begin(&self, _action: &fault::Action) -> Result<Vec<name::Vm>, fault::Error> {
        Ok(vec![self.name.clone()])
    }

    fn end(&self, _action: &fault::Action) -> Result<(), fault::Error> {
        Ok(())
    }
}

#[test]
fn a_killed_endpoint_is_seen_and_its_ledger_named_as_unread() {
    // Both endpoints serve; one is killed over HTTP and its callers go to the other. What the dead one ran after its
    // last reading cannot be known, and the report says so.
    let (left, right) = (plain("left"), plain("right"));
    let endpoints = vec![endpoint("left", left.address()), endpoint("right", right.address())];
    let plan = Plan {
        target: Some(Arc::new(fault::Remote::new(endpoints.clone(), Vec::new()))),
        faults: "[[fault]]\nat_ms = 100\naction = \"kill\"\nendpoint = \"left\""
            .parse()
            .unwrap(),
        endpoints,
        ..plan(vec![left.address(), right.address()], &[Kind::Get])
    };
    let report = bergamotshift_load::run(plan).unwrap();
    assert!(report.passed(), "{}", report.to_text());
    assert_eq!(report.totals.whole, report.totals.sent);
    assert!(report.totals.resent > 0, "{}", report.to_text());
    assert!(report.unproved[0].contains("left"), "{:?}", report.unproved);
}

#[test]
fn a_fault_that_cannot_be_carried_out_fails_the_run() {
    let service = plain("p");
    let plan = Plan {
        target: Some(Arc::new(fault::Remote::new(
            vec![endpoint("p", service.address())],
            Vec::new(),
        ))),
        faults: "[[fault]]\nat_ms = 10\naction = \"cut\"\nzones = [\"a\", \"b\"]\nspan_ms = 20"
            .parse()
            .unwrap(),
        ..plan(vec![service.address()], &[Kind::Get])
    };
    let report = bergamotshift_load::run(plan).unwrap();
    assert!(!report.passed());
    assert!(report.violations.is_empty());
}

#[test]
fn reports_are_written_in_all_three_forms() {
    let service = plain("p");
    let report = bergamotshift_load::run(plan(vec![service.address()], &[Kind::Get])).unwrap();
    let json: Report = serde_json::from_str(&report.to_json().unwrap()).unwrap();
    assert_eq!(json.totals, report.totals);
    let page = report.to_html().unwrap();
    assert_eq!(page.matches("<svg").count(), 3);
    assert!(!page.contains("http://") || page.matches("http://").count() == page.matches("http://www.w3.org").count());
    assert!(report.to_text().contains("direct") == report.added.is_some());
    assert!(report.to_brief().contains("finished whole"));
}
