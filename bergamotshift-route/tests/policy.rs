//! Properties of every registered policy, and of the default policy.

use core::time::Duration;

use bergamotshift_core::load::Report;
use bergamotshift_core::prelude::*;
use bergamotshift_route::prelude::*;
use rand_pcg::Pcg64Mcg;

/// Returns a registry of one service with an idle endpoint for each price, and the endpoints' keys.
fn site(prices: &[u64]) -> (Registry, Vec<key::Endpoint>) {
    let mut registry = Registry::default();
    let service = registry.service(&name::Service::new("planner")).unwrap();
    let keys = prices
        .iter()
        .enumerate()
        .map(|(number, &price)| {
            let zone = registry.zone(&name::Zone::new(format!("zone-{}", number % 4))).unwrap();
            let price = Price::from_micros(price);
            let key = registry
                .insert(Endpoint {
                    service,
                    zone,
                    price,
                    ..Endpoint::default()
                })
                .unwrap();
            registry.record_report(key, report(1, 0), Instant::ZERO).unwrap();
            key
        })
        .collect();
    (registry, keys)
}

fn report(sequence: u64, running: u32) -> Report {
    Report {
        sequence,
        running,
        slots: 128,
        ..Report::default()
    }
}

fn request() -> Request<'static> {
    Request {
        prompt_tokens: 800,
        answer_tokens: 200,
        ..Request::default()
    }
}

#[test]
fn every_policy_keeps_to_the_rules() {
    let (mut registry, keys) = site(&[5, 4, 3, 2, 1, 6, 7, 8]);
    registry.mark_leaving(keys[4]).unwrap();
    let view = registry.publish(Instant::ZERO);
    let exclude = [keys[3]];
    let request = Request {
        zones: Set::EMPTY.with(0).with(3),
        exclude: &exclude,
        ..request()
    };
    let allowed = [keys[0], keys[7]];
    assert_eq!(policy::names().len(), 5);
    for name in policy::names() {
        let policy = policy::build(name).unwrap();
        let mut rng = Pcg64Mcg::new(11);
        for _ in 0..200 {
            let choice = policy.choose(&view, &request, &mut rng).unwrap();
            assert!(allowed.contains(&choice.key), "{name} broke a rule");
        }
    }
}

#[test]
fn every_policy_refuses_when_nothing_is_allowed() {
    let (registry, _) = site(&[1, 2]);
    let view = registry.publish(Instant::ZERO);
    let models = Set::EMPTY.with(9);
    for name in policy::names() {
        let policy = policy::build(name).unwrap();
        let refused = policy.choose(&view, &Request { models, ..request() }, &mut Pcg64Mcg::new(1));
        assert_eq!(refused, Err(Refusal::NoEndpoint), "{name}");
    }
}

/// Guards against a panic of a worker thread that looks for the home of a long prompt while there is no endpoint at all.
#[test]
fn every_policy_refuses_a_long_prompt_when_there_is_no_endpoint() {
    let view = Registry::default().publish(Instant::ZERO);
    let request = Request {
        prefix: &[1, 2, 3],
        ..request()
    };
    for name in policy::names() {
        let policy = policy::build(name).expect("it is registered");
        let refused = policy.choose(&view, &request, &mut Pcg64Mcg::new(7));
        assert_eq!(refused.err(), Some(Refusal::NoEndpoint), "{name}");
    }
}

#[test]
fn late_reports_and_updates_do_not_clear_the_leaving_flag() {
    // A report and an update that were sent before a VM's reclaim notice arrive after it and show the VM as live. If
    // they cleared the flag, new requests would be sent to the VM and cut when it is gone.
    let (mut registry, keys) = site(&[1, 2]);
    registry.mark_leaving(keys[0]).unwrap();
    registry
        .record_report(keys[0], report(2, 0), Instant::from_secs(1))
        .unwrap();
    let known = *registry.publish(Instant::ZERO).find(keys[0]).unwrap().endpoint();
    registry.update(keys[0], known).unwrap();
    let view = registry.publish(Instant::from_secs(1));
    assert!(view.find(keys[0]).unwrap().is_leaving());
    let policy = policy::build(policy::DEFAULT).unwrap();
    assert_eq!(
        policy.choose(&view, &request(), &mut Pcg64Mcg::new(1)).unwrap().key,
        keys[1]
    );
}

#[test]
fn the_default_takes_the_cheapest_that_meets_the_target() {
    let (mut registry, keys) = site(&[3_000_000, 1_000_000, 2_000_000]);
    let policy = policy::build(policy::DEFAULT).unwrap();
    let mut rng = Pcg64Mcg::new(3);
    let view = registry.publish(Instant::ZERO);
    assert_eq!(policy.choose(&view, &request(), &mut rng).unwrap().key, keys[1]);

    registry
        .record_report(
            keys[1],
            Report {
                waiting: 400,
                ..report(2, 128)
            },
            Instant::ZERO,
        )
        .unwrap();
    let view = registry.publish(Instant::ZERO);
    assert_eq!(policy.choose(&view, &request(), &mut rng).unwrap().key, keys[2]);
}

#[test]
fn own_sends_count_before_the_next_report() {
    let (registry, keys) = site(&[1_000_000, 1_000_001]);
    let view = registry.publish(Instant::ZERO);
    let policy = policy::build(policy::DEFAULT).unwrap();
    let mut rng = Pcg64Mcg::new(3);
    let in_flight: Vec<_> = (0..60)
        .map(|_| view.record_sent(&policy.choose(&view, &request(), &mut rng).unwrap(), &request()))
        .collect();
    let second = view.find(keys[1]).unwrap().counter().in_flight();
    assert!(
        (20..=40).contains(&second),
        "{second} of 60 went to the second of two equal endpoints"
    );
    drop(in_flight);
    assert_eq!(view.find(keys[1]).unwrap().counter().in_flight(), 0);
}

#[test]
fn requests_go_to_the_endpoint_that_has_their_prefix_cached() {
    let (registry, keys) = site(&[1_000_000; 6]);
    let view = registry.publish(Instant::ZERO);
    let prefix = [0x1111_2222_3333_4444, 0x5555_6666_7777_8888];
    registry.hints().record(&prefix, keys[4], Instant::ZERO);
    let request = Request {
        prefix: &prefix,
        now: Instant::from_secs(1),
        ..request()
    };
    for name in ["prefix-affinity", policy::DEFAULT] {
        let choice = policy::build(name)
            .unwrap()
            .choose(&view, &request, &mut Pcg64Mcg::new(5))
            .unwrap();
        assert_eq!(choice.key, keys[4], "{name}");
        assert!(choice.estimate.prompt_tokens < 300, "{name}");
    }
}

#[test]
fn deferrable_work_waits_for_capacity_until_its_deadline_is_near() {
    let (mut registry, keys) = site(&[1_000_000]);
    registry.record_report(keys[0], report(2, 120), Instant::ZERO).unwrap();
    let view = registry.publish(Instant::ZERO);
    let policy = policy::build(policy::DEFAULT).unwrap();
    let request = Request {
        urgency: Urgency::Deferrable,
        deadline: Instant::from_secs(3_600),
        ..request()
    };
    let refused = policy.choose(&view, &request, &mut Pcg64Mcg::new(1));
    assert!(matches!(refused, Err(Refusal::Deferred { until }) if until < request.deadline));
    let pressed = Request {
        deadline: Instant::ZERO + Duration::from_secs(10),
        ..request
    };
    assert_eq!(
        policy.choose(&view, &pressed, &mut Pcg64Mcg::new(1)).unwrap().key,
        keys[0]
    );
}

#[test]
fn threads_that_share_a_view_lose_no_counts() {
    // Four threads choose endpoints from one view concurrently, as an entry's workers do. A lost count would make an
    // endpoint look empty or full permanently, because nothing corrects the totals later.
    const THREADS: usize = 4;
    const SENDS: usize = 500;
    let (registry, keys) = site(&[1_000_000; 12]);
    let view = registry.publish(Instant::ZERO);
    for name in policy::names() {
        let policy = policy::build(name).unwrap();
        let in_flight: Vec<_> = std::thread::scope(|scope| {
            let send = |seed: usize| {
                let mut rng = Pcg64Mcg::new(seed as u128 | 1);
                let one = |_| view.record_sent(&policy.choose(&view, &request(), &mut rng).unwrap(), &request());
                (0..SENDS).map(one).collect::<Vec<_>>()
            };
            let workers: Vec<_> = (0..THREADS).map(|thread| scope.spawn(move || send(thread))).collect();
            workers.into_iter().flat_map(|worker| worker.join().unwrap()).collect()
        });
        let counted = || {
            keys.iter()
                .map(|&key| view.find(key).unwrap().counter().in_flight())
                .sum::<u32>()
        };
        assert_eq!(counted() as usize, THREADS * SENDS, "{name}");
        drop(in_flight);
        assert_eq!(counted(), 0, "{name}");
    }
}
