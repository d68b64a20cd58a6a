//! A client in virtual time whose endpoints pause, are cut off, die and leave the registry.

mod client;
mod world;

use bergamotshift_limit::prelude::*;
use quickcheck::TestResult;
use quickcheck::quickcheck;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::client::Client;
use crate::client::Fault;

/// Number of plays of each case that is drawn.
const PLAYS: u64 = 8;

/// Plays a client and checks that it keeps a promise.
fn keeps(promise: Fault, seed: u64, endpoints: u8, streams: u8) -> TestResult {
    for seed in (0..PLAYS).map(|play| seed.wrapping_add(play)) {
        let budget = draw_budget(seed);
        let client = Client::play(seed, endpoints, streams, &budget);
        if let Some((_, text)) = client.faults.iter().find(|(fault, _)| *fault == promise) {
            return TestResult::error(format!("seed {seed}, {text}\n{:#?}", client.endpoints));
        }
    }
    TestResult::passed()
}

fn draw_budget(seed: u64) -> Budget {
    let mut rng = Pcg64Mcg::seed_from_u64(!seed);
    Budget::new(retry::Settings {
        ratio: rng.random_range(0.0..0.5),
        reserve: rng.random_range(0..12),
        burst: 20,
    })
}

quickcheck! {
    /// Guards against answers of sound endpoints that are ended as the endpoints are silent.
    fn no_answer_of_a_living_endpoint_is_ended(seed: u64, endpoints: u8, streams: u8) -> TestResult {
        keeps(Fault::Ended, seed, endpoints, streams)
    }

    /// Guards against callers who wait for an endpoint that is cut off, or lost, while others would answer.
    fn an_answer_leaves_an_endpoint_that_is_not_reached(seed: u64, endpoints: u8, streams: u8) -> TestResult {
        keeps(Fault::Late, seed, endpoints, streams)
    }

    /// Guards against a request that is sent more often than its route allows.
    fn a_request_is_sent_at_most_as_often_as_allowed(seed: u64, endpoints: u8, streams: u8) -> TestResult {
        keeps(Fault::Sends, seed, endpoints, streams)
    }

    /// Guards against two endpoints that work on one answer for long.
    fn two_runs_overlap_for_a_bounded_time(seed: u64, endpoints: u8, streams: u8) -> TestResult {
        keeps(Fault::Overlap, seed, endpoints, streams)
    }

    /// Guards against a storm of replacements while most endpoints are silent.
    fn nothing_moves_from_reached_endpoints_in_a_common_silence(seed: u64, endpoints: u8, streams: u8) -> TestResult {
        keeps(Fault::Storm, seed, endpoints, streams)
    }
}

/// Guards against a model in which nothing is decided.
#[test]
fn the_model_moves_gives_up_drops_and_holds() {
    let mut counts = [0; 4];
    for seed in 0..50 {
        let budget = draw_budget(seed);
        let client = Client::play(seed, 11, 23, &budget);
        let played = [client.moves, client.given_up, client.dropped, client.held];
        counts = core::array::from_fn(|index| counts[index] + played[index]);
    }
    assert!(counts.iter().all(|count| *count > 10), "{counts:?}");
}

/// Guards against a replacement that works for too long beside an attempt whose endpoint is reached again, as connections to
/// others failed since it was decided on.
#[test]
fn a_replacement_that_is_sent_late_has_the_bound_of_that_moment() {
    for (seed, endpoints, streams) in [(13_926_792_326_604_476_070, 33, 130), (11_177, 5, 19)] {
        let budget = draw_budget(seed);
        let client = Client::play(seed, endpoints, streams, &budget);
        let overlap = client.faults.iter().find(|(fault, _)| *fault == Fault::Overlap);
        assert_eq!(overlap, None);
    }
}

/// Guards against a stream that stays at an endpoint which is cut off right after a check, as the next one comes too late.
#[test]
fn an_endpoint_that_is_cut_off_after_a_check_is_left_in_time() {
    for (seed, endpoints, streams) in [(30_509, 5, 22), (51_256, 4, 23), (73_133, 5, 22)] {
        let budget = draw_budget(seed);
        let client = Client::play(seed, endpoints, streams, &budget);
        let late = client.faults.iter().find(|(fault, _)| *fault == Fault::Late);
        assert_eq!(late, None);
    }
}
