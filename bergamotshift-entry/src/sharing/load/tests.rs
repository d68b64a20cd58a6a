//! Loads from reports that are late.

use bergamotshift_config::config::Kind;
use bergamotshift_core::load::Report;
use bergamotshift_core::prelude::*;
use bergamotshift_route::Request;
use bergamotshift_route::View;
use bergamotshift_route::flight::Guard;
use bergamotshift_route::policy;
use bergamotshift_route::registry::Registry;
use bergamotshift_route::set::Set;
use bergamotshift_route::view;
use rand_pcg::Pcg64Mcg;
use slotmap::SecondaryMap;

use super::Flow;
use super::Load;

const REPORTED: Instant = Instant::from_secs(1);
const NOW: Instant = Instant::from_millis(1_400);

struct Engine {
    registry: Registry,
    service: view::Service,
    key: key::Endpoint,
    reports: u64,
    flows: SecondaryMap<key::Endpoint, Flow>,
}

impl Engine {
    fn new(entries: u32) -> Self {
        let mut registry = Registry::default();
        registry.set_entries(entries);
        let service = registry.service(&name::Service::from("planner-llm")).unwrap();
        let endpoint = view::Endpoint {
            service,
            ..view::Endpoint::default()
        };
        let key = registry.insert(endpoint).unwrap();
        let flows = SecondaryMap::new();
        Self {
            registry,
            service,
            key,
            reports: 0,
            flows,
        }
    }

    fn report(&mut self, running: u32, waiting: u32) {
        self.reports += 1;
        let report = Report {
            sequence: self.reports,
            running,
            waiting,
            slots: 4,
            decode_rate: 1_000,
            ..Report::default()
        };
        self.registry.record_report(self.key, report, REPORTED).unwrap();
    }

    fn view(&mut self) -> View {
        self.registry.publish(NOW)
    }

    fn send(&mut self, count: usize) -> Vec<Guard> {
        let view = self.view();
        let ask = Request {
            service: self.service,
            zones: Set::ALL,
            classes: Set::ALL,
            ..Request::default()
        };
        let policy = policy::build("least")
            .or_else(|| policy::build(policy::DEFAULT))
            .unwrap();
        let mut generator = Pcg64Mcg::new(1);
        let mut choose = || policy.choose(&view, &ask, &mut generator).unwrap();
        (0..count).map(|_| view.record_sent(&choose(), &ask)).collect()
    }

    fn ahead(&mut self) -> f64 {
        let view = self.view();
        let load = Load::of(NOW, Kind::Model, &view, self.service, &mut self.flows);
        load.ahead[Urgency::Deferrable as usize]
    }
}

#[test]
fn what_ended_since_the_report_counts_no_longer() {
    // Four requests run when the report is made, end, and four others take their place before the next report. Were
    // the report taken as it is, eight would be seen, and whoever comes next be refused.
    let mut engine = Engine::new(1);
    let first = engine.send(4);
    engine.report(4, 0);
    assert!((engine.ahead() - 4.0).abs() < 1e-9);
    drop(first);
    assert!(engine.ahead().abs() < 1e-9);
    let _second = engine.send(4);
    assert!((engine.ahead() - 4.0).abs() < 1e-9);
}

#[test]
fn what_ended_while_the_report_came_counts_no_longer() {
    // Four requests run when the report is made and end while it is on its way, so it is first seen after their end.
    // Were it taken for the state at that time, the next four would make eight, and be refused before idle engines.
    let mut engine = Engine::new(1);
    let first = engine.send(4);
    engine.report(4, 0);
    assert!((engine.ahead() - 4.0).abs() < 1e-9);
    drop(first);
    engine.report(4, 0);
    assert!(engine.ahead().abs() < 1e-9);
    let _second = engine.send(4);
    assert!((engine.ahead() - 4.0).abs() < 1e-9);
}

#[test]
fn what_others_have_there_stays_counted() {
    // Another entry's four requests run and two wait. This entry's own two ended while the report came.
    let mut engine = Engine::new(2);
    let own = engine.send(2);
    engine.report(4, 2);
    assert!((engine.ahead() - 6.0).abs() < 1e-9);
    drop(own);
    engine.report(4, 2);
    assert!((engine.ahead() - 4.0).abs() < 1e-9);
}

#[test]
fn other_entries_are_taken_to_do_alike() {
    // Two entries have two requests each at an engine. This one sends two more, so the other one has too.
    let mut engine = Engine::new(2);
    let _first = engine.send(2);
    engine.report(4, 0);
    assert!((engine.ahead() - 4.0).abs() < 1e-9);
    let _second = engine.send(2);
    assert!((engine.ahead() - 8.0).abs() < 1e-9);
}

#[test]
fn a_service_that_reports_nothing_has_no_reading() {
    let mut engine = Engine::new(1);
    let view = engine.view();
    let load = Load::of(NOW, Kind::Model, &view, engine.service, &mut engine.flows);
    assert!(load.reading(1.0).is_none());
}
