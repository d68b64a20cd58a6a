//! Selection of the entry that grants requests to an endpoint with a rate limit.

use bergamotshift_forward::limits::granter::Candidate;
use bergamotshift_forward::limits::granter::top;

fn candidates(own: u64) -> Vec<Candidate> {
    let candidate = |hash| Candidate {
        hash,
        address: (hash != own).then(|| format!("127.0.0.1:{}", 1_000 + hash).parse().expect("an address")),
    };
    (0..8).map(candidate).collect()
}

fn hashes(candidates: [Option<Candidate>; 2]) -> [Option<u64>; 2] {
    candidates.map(|candidate| candidate.map(|candidate| candidate.hash))
}

/// Guards against entries that each ask a different one, so that an endpoint's budget is granted more than once.
#[test]
fn all_entries_agree_on_the_granter() {
    for endpoint in 0..200 {
        let one = hashes(top(endpoint, &candidates(1)));
        let mut rotated = candidates(5);
        rotated.rotate_left(3);
        assert_eq!(one, hashes(top(endpoint, &rotated)));
    }
}

/// Guards against a budget that moves between two live entries when a third one is gone.
#[test]
fn the_second_follows_the_first_and_nothing_else_moves() {
    for endpoint in 0..200 {
        let all = candidates(1);
        let [first, second] = top(endpoint, &all);
        for gone in &all {
            let left: Vec<_> = all.iter().filter(|candidate| *candidate != gone).copied().collect();
            let [next, _] = top(endpoint, &left);
            let expected = if Some(*gone) == first { second } else { first };
            assert_eq!(next, expected);
        }
    }
}

/// Guards against an entry that grants the budgets of all endpoints.
#[test]
fn endpoints_are_spread_over_the_entries() {
    let all = candidates(1);
    let mut counts = [0; 8];
    for endpoint in 0..800_u64 {
        let [first, _] = hashes(top(endpoint, &all));
        counts[usize::try_from(first.expect("there is one")).expect("it is small")] += 1;
    }
    assert!(counts.iter().all(|count| (60..=140).contains(count)), "{counts:?}");
}
