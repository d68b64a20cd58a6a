//! Arithmetic and parsing of the value types at their limits.

use core::time::Duration;

use bergamotshift_core::attempt;
use bergamotshift_core::prelude::*;
use quickcheck::quickcheck;

#[test]
fn time_since_a_later_instant_is_zero() {
    let later = Instant::from_secs(2);
    assert_eq!(Instant::from_secs(1).since(later), Duration::ZERO);
}

#[test]
fn time_saturates_at_its_limits() {
    assert_eq!(Instant::MAX + Duration::from_secs(1), Instant::MAX);
    assert_eq!(Instant::ZERO - Duration::from_secs(1), Instant::ZERO);
}

#[test]
fn an_hour_costs_the_hourly_price() {
    let price = Price::from_micros(1_250_000);
    assert_eq!(price.cost_of(Duration::from_hours(1)), price);
    assert_eq!(price.cost_of(Duration::from_mins(30)), Price::from_micros(625_000));
}

#[test]
fn fingerprints_depend_on_part_boundaries() {
    let left = Fingerprint::of("ab", "c", "", b"");
    let right = Fingerprint::of("a", "bc", "", b"");
    assert_ne!(left, right);
}

#[test]
fn attempt_ids_reject_invalid_text() {
    for text in [
        "",
        "12",
        "+0000000000000000000000000000001",
        "g0000000000000000000000000000000",
    ] {
        assert!(text.parse::<attempt::Id>().is_err(), "{text} parsed");
    }
}

quickcheck! {
    fn attempt_ids_round_trip_through_text(bits: u128) -> bool {
        let id = attempt::Id::new(bits);
        id.to_string().parse() == Ok(id)
    }
}
