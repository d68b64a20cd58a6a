//! Limits, shares and admission of entries combined.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::admission::Decision;
use bergamotshift_limit::admission::Reason;
use bergamotshift_limit::admission::Request;
use bergamotshift_limit::demand::Origin;
use bergamotshift_limit::limiter::Kernel;
use bergamotshift_limit::limiter::Organisation;
use bergamotshift_limit::limiter::Reading;
use bergamotshift_limit::limiter::Service;
use bergamotshift_limit::limiter::Settings;
use bergamotshift_limit::limiter::Table;
use bergamotshift_limit::quota::Cost;
use bergamotshift_limit::quota::Limits;
use rand_pcg::Pcg64Mcg;

const PLANNER: name::Service = name::Service::new_static("planner-llm");
const STAFF: name::Service = name::Service::new_static("staff-app");
const TARGET: Duration = Duration::from_secs(2);

fn organisation(name: &str, limits: Limits, services: &[name::Service]) -> Organisation {
    let name = name::Organisation::new(name);
    let services = services.to_vec();
    Organisation {
        name,
        weight: 1.0,
        limits,
        services,
    }
}

fn services() -> [Service; 2] {
    [PLANNER, STAFF].map(|name| Service { name, target: TARGET })
}

fn decide(table: &Table, now: Instant, organisation: &str, service: &name::Service) -> Option<Decision> {
    let request = Request {
        urgency: Urgency::Urgent,
        target: TARGET,
        deadline: now + Duration::from_secs(30),
        deferrable: false,
        work: 100,
    };
    let mut rng = Pcg64Mcg::new(1);
    let organisation = name::Organisation::new(organisation);
    table.decide(now, &organisation, service, request, Cost::default(), &mut rng)
}

fn reason(decision: Option<Decision>) -> Option<Reason> {
    match decision {
        Some(Decision::Refuse { reason, .. }) => Some(reason),
        _ => None,
    }
}

fn reading(wait: Duration) -> BTreeMap<name::Service, Reading> {
    let reading = Reading {
        capacity: 1_000.0,
        waits: [wait; 3],
        ..Reading::default()
    };
    BTreeMap::from([(PLANNER, reading)])
}

#[test]
fn organisation_may_use_only_its_services() {
    let mut kernel = Kernel::new(Settings::default(), Vec::new(), 0);
    let organisations = [organisation("hotel", Limits::default(), &[PLANNER])];
    let table = kernel.configure(Instant::ZERO, &organisations, &services());
    assert_eq!(decide(&table, Instant::ZERO, "hotel", &PLANNER), Some(Decision::Admit));
    assert_eq!(decide(&table, Instant::ZERO, "hotel", &STAFF), None);
    assert_eq!(decide(&table, Instant::ZERO, "congress", &PLANNER), None);
}

#[test]
fn long_wait_of_one_service_affects_no_other() {
    let mut kernel = Kernel::new(Settings::default(), Vec::new(), 0);
    let organisations = [organisation("hotel", Limits::default(), &[PLANNER, STAFF])];
    let table = kernel.configure(Instant::ZERO, &organisations, &services());
    let now = Instant::from_secs(1);
    kernel.tick(now, &reading(Duration::from_secs(3)));
    assert_eq!(reason(decide(&table, now, "hotel", &PLANNER)), Some(Reason::Target));
    assert_eq!(decide(&table, now, "hotel", &STAFF), Some(Decision::Admit));
}

#[test]
fn past_use_stays_counted_after_a_configuration_change() {
    // Guards against a new burst with each configuration change: an organisation uses up its limit, then a second
    // organisation is added and the limit stays the same.
    let limits = Limits {
        requests_per_second: Some(1.0),
        burst: 1.0,
        ..Limits::default()
    };
    let mut kernel = Kernel::new(Settings::default(), Vec::new(), 0);
    let mut organisations = vec![organisation("hotel", limits, &[PLANNER])];
    let now = Instant::from_secs(1);
    let before = kernel.configure(now, &organisations, &services());
    assert_eq!(decide(&before, now, "hotel", &PLANNER), Some(Decision::Admit));
    organisations.push(organisation("congress", limits, &[PLANNER]));
    let after = kernel.configure(now, &organisations, &services());
    assert!(matches!(
        reason(decide(&after, now, "hotel", &PLANNER)),
        Some(Reason::Limit(_))
    ));
    assert_eq!(decide(&after, now, "congress", &PLANNER), Some(Decision::Admit));
    let without = kernel.configure(now, &organisations[1..], &services());
    assert_eq!(decide(&without, now, "hotel", &PLANNER), None);
}

#[test]
fn two_entries_enforce_one_limit_by_announcements() {
    // Two entries of a zone each receive ten times the limit for a minute and exchange announcements every half second.
    // Together they admit the limit and one burst each.
    let limits = Limits {
        requests_per_second: Some(10.0),
        burst: 10.0,
        ..Limits::default()
    };
    let mut kernels = [(); 2].map(|()| Kernel::new(Settings::default(), Vec::new(), 1));
    let organisations = [organisation("hotel", limits, &[PLANNER])];
    let tables = kernels
        .each_mut()
        .map(|kernel| kernel.configure(Instant::ZERO, &organisations, &services()));
    let mut admitted = 0;
    for millis in (0..60_000).step_by(10) {
        let now = Instant::from_millis(millis);
        if millis % 500 == 0 {
            for kernel in &mut kernels {
                kernel.tick(now, &reading(Duration::ZERO));
            }
            let announced = kernels.each_mut().map(|kernel| kernel.announce(now).entry);
            for (index, demand) in announced.into_iter().enumerate() {
                let origin = Origin::Entry(name::Entry::new(format!("entry-{index}")));
                kernels[1 - index].observe(now, &origin, Duration::ZERO, demand);
            }
        }
        let decisions = tables.iter().map(|table| decide(table, now, "hotel", &PLANNER));
        admitted += decisions.filter(|decision| *decision == Some(Decision::Admit)).count();
    }
    assert!((600..=622).contains(&admitted), "{admitted} for 600 and two bursts");
}
