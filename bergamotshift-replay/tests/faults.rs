//! Under every fault, every request that was accepted ends with its whole answer, whatever the policy.

use core::time::Duration;

use bergamotshift_replay::Fault;
use bergamotshift_replay::Load;
use bergamotshift_replay::Scenario;
use bergamotshift_route::policy;

fn scenario(fault: Fault, policy: &str) -> Scenario {
    Scenario {
        load: Load::MapaNight,
        fault,
        policy: policy.to_owned(),
        heat: 0.5,
        span: Some(Duration::from_mins(2)),
        ..Scenario::default()
    }
}

#[test]
fn no_request_is_lost_to_a_reclaim() {
    // All VMs of one zone, then of a second, get notice and are gone 20 s later; replacements are refused. Callers see
    // streams that pause and go on: each is moved or resumed elsewhere with the tokens received, before or at the cut.
    for fault in [Fault::Zone, Fault::TwoWaves] {
        for name in policy::names() {
            let report = bergamotshift_replay::run(&scenario(fault, name)).unwrap();
            assert_eq!(report.failed, 0, "{name}, {}", fault.name());
        }
    }
}

#[test]
fn a_poisonous_request_kills_two_endpoints_and_harms_nobody_else() {
    // A request crashes its endpoint at the first token and its caller sends it again, twelve times in all. The first
    // crash makes suspects of all that ran beside it, the second convicts the one that was there both times. Others are
    // resumed and never refused.
    let report = bergamotshift_replay::run(&scenario(Fault::Poison, policy::DEFAULT)).unwrap();
    assert_eq!((report.crashes, report.failed), (2, 0));
}

#[test]
fn an_unknown_policy_is_an_error() {
    let unknown = bergamotshift_replay::run(&scenario(Fault::Calm, "none"));
    assert_eq!(unknown, Err(bergamotshift_replay::Error::Policy("none".to_owned())));
}

#[test]
fn the_bound_costs_less_than_any_policy() {
    for name in policy::names() {
        let scenario = scenario(Fault::Calm, name);
        let bound = bergamotshift_replay::Bound::of(&scenario);
        let report = bergamotshift_replay::run(&scenario).unwrap();
        assert!(report.cost > bound.cost, "{name}");
    }
}
