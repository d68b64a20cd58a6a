//! Prefix hints: lookup order, expiry, eviction and gaps in cache events.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_route::prefix;
use bergamotshift_route::prelude::*;
use quickcheck::quickcheck;

/// Returns a registry with two endpoints.
fn two_endpoints() -> (Registry, key::Endpoint, key::Endpoint) {
    let mut registry = Registry::default();
    let left = registry.insert(Endpoint::default()).unwrap();
    let right = registry.insert(Endpoint::default()).unwrap();
    (registry, left, right)
}

#[test]
fn the_longest_prefix_comes_first() {
    let (registry, left, right) = two_endpoints();
    let prompt = [1 << 40, 2 << 40, 3 << 40];
    registry.hints().record(&prompt[..1], left, Instant::ZERO);
    registry.hints().record(&prompt, right, Instant::ZERO);
    let found: Vec<u32> = registry
        .hints()
        .lookup(&prompt, Instant::ZERO)
        .iter()
        .map(|found| found.blocks)
        .collect();
    assert_eq!(found, [3, 1]);
}

#[test]
fn hints_age_out() {
    let (registry, left, _) = two_endpoints();
    let prompt = [1 << 40];
    registry.hints().record(&prompt, left, Instant::ZERO);
    let later = Instant::ZERO + prefix::LIFETIME + Duration::from_secs(1);
    assert_eq!(registry.hints().lookup(&prompt, later).iter().count(), 0);
}

#[test]
fn an_eviction_removes_only_its_own_hint() {
    let (registry, left, right) = two_endpoints();
    let prompt = [1 << 40];
    registry.hints().record(&prompt, left, Instant::ZERO);
    registry.hints().record(&prompt, right, Instant::ZERO);
    registry.hints().remove(prompt[0], left);
    assert_eq!(registry.hints().lookup(&prompt, Instant::ZERO).iter().count(), 1);
}

#[test]
fn a_gap_in_cache_events_lowers_the_weight_of_older_hints() {
    let (mut registry, left, right) = two_endpoints();
    let prompt = [1 << 40, 2 << 40];
    let now = Instant::from_secs(10);
    registry.hints().record(&prompt, left, Instant::from_secs(1));
    registry.hints().record(&prompt, right, Instant::from_secs(1));
    registry.record_event_gap(left, Instant::from_secs(5)).unwrap();
    let view = registry.publish(now);
    let request = Request {
        now,
        prefix: &prompt,
        prompt_tokens: 512,
        ..Request::default()
    };
    let policy = policy::build(policy::DEFAULT).unwrap();
    let choice = policy.choose(&view, &request, &mut rand_pcg::Pcg64Mcg::new(1)).unwrap();
    assert_eq!(choice.key, right);
}

quickcheck! {
    fn a_lookup_returns_no_more_blocks_than_were_recorded(prompt: Vec<u64>, kept: usize) -> bool {
        let (registry, left, _) = two_endpoints();
        let kept = kept % (prompt.len() + 1);
        registry.hints().record(&prompt[..kept], left, Instant::ZERO);
        let mut blocks = prompt.clone();
        blocks.sort_unstable();
        blocks.dedup();
        let distinct = blocks.len() == prompt.len();
        let found = registry.hints().lookup(&prompt, Instant::ZERO);
        !distinct || found.iter().all(|found| found.blocks as usize <= kept)
    }
}
