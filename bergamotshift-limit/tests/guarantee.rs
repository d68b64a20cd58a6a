//! Tests of the statuses that guarantee that a request has not run.

use bergamotshift_core::prelude::*;
use bergamotshift_limit::guarantee;
use quickcheck::quickcheck;

quickcheck! {
    /// Guards against a request that must not run twice and is sent again by its caller, as a status said that it had not run.
    fn no_status_denies_a_run(status: u16, runs: Vec<bool>) -> bool {
        let has_run = runs.contains(&true);
        let outcome = if has_run { Outcome::Ran } else { Outcome::NotRun };
        let denies_run = [408, 421, 429, 503].contains(&status);
        guarantee::may_state(status, outcome, false) != (denies_run && has_run)
    }

    /// Guards against failures of endpoints that are hidden from callers who may repeat their requests anyway.
    fn callers_of_repeatable_requests_get_every_status(status: u16) -> bool {
        [Outcome::NotRun, Outcome::Unknown, Outcome::Ran]
            .iter()
            .all(|outcome| guarantee::may_state(status, *outcome, true))
    }
}

#[test]
fn a_request_that_may_have_run_counts_as_run() {
    for status in [408, 421, 429, 503] {
        assert!(!guarantee::may_state(status, Outcome::Unknown, false), "{status}");
        assert!(guarantee::may_state(status, Outcome::NotRun, false), "{status}");
    }
}
