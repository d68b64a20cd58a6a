//! Tests of the load estimate with delayed reports.

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

use super::Load;
use super::Throughput;

const REPORTED: Instant = Instant::from_secs(1);
const NOW: Instant = Instant::from_millis(1_400);

struct Engine {
    registry: Registry,
    service: view::Service,
    key: key::Endpoint,
    reports: u64,
    throughputs: SecondaryMap<key::Endpoint, Throughput>,
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
        let throughputs = SecondaryMap::new();
        Self {
            registry,
            service,
            key,
            reports: 0,
            throughputs,
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
        let request = Request {
            service: self.service,
            zones: Set::ALL,
            classes: Set::ALL,
            ..Request::default()
        };
        let policy = policy::build("least")
            .or_else(|| policy::build(policy::DEFAULT))
            .unwrap();
        let mut generator = Pcg64Mcg::new(1);
        let mut choose = || policy.choose(&view, &request, &mut generator).unwrap();
        (0..count).map(|_| view.record_sent(&choose(), &request)).collect()
    }

    fn ahead(&mut self) -> f64 {
        let view = self.view();
        let load = Load::of(NOW, Kind::Model, &view, self.service, &mut self.throughputs);
        load.ahead[Urgency::Deferrable as usize]
    }
}

#[test]
fn requests_that_ended_after_the_report_are_not_counted() {
    // Four reported requests end and four others replace them before the next report. If the report were used
    // unchanged, eight requests would be counted and the next caller refused.
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
fn requests_that_ended_before_the_report_arrived_are_not_counted() {
    // Four requests run when the report is made and end before it arrives. If the report were taken for the state at
    // its arrival, the next four requests would make eight and be refused although the engine is idle.
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
fn requests_of_other_entries_stay_counted() {
    // The report counts six requests, two of them of this entry. These two end before the next report arrives.
    let mut engine = Engine::new(2);
    let own = engine.send(2);
    engine.report(4, 2);
    assert!((engine.ahead() - 6.0).abs() < 1e-9);
    drop(own);
    engine.report(4, 2);
    assert!((engine.ahead() - 4.0).abs() < 1e-9);
}

#[test]
fn changes_are_extrapolated_to_other_entries() {
    // Two entries have two requests each at an engine. This entry sends two more, so the other is assumed to as well.
    let mut engine = Engine::new(2);
    let _first = engine.send(2);
    engine.report(4, 0);
    assert!((engine.ahead() - 4.0).abs() < 1e-9);
    let _second = engine.send(2);
    assert!((engine.ahead() - 8.0).abs() < 1e-9);
}

#[test]
fn a_service_without_reports_has_no_reading() {
    let mut engine = Engine::new(1);
    let view = engine.view();
    let load = Load::of(NOW, Kind::Model, &view, engine.service, &mut engine.throughputs);
    assert!(load.reading(1.0).is_none());
}
