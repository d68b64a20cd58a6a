//! Limits of organisations with figures at the ends of their ranges.

use bergamotshift_forward::limits::Account;
use bergamotshift_forward::limits::INITIAL_DEBT_CALM;
use bergamotshift_limit::precedence::Kind;

use crate::limits::quota;
use crate::support::at;

/// Guards against a process that ends as an operator's limit is out of range.
#[test]
fn odd_limits_are_borne() {
    let figures = [0.0, f64::MIN_POSITIVE, 1e-300, 1.0, 1e300, f64::MAX];
    for (rate, burst) in figures.iter().flat_map(|rate| figures.map(|burst| (*rate, burst))) {
        let account = Account::default();
        account.set(at(0), Some(quota(rate, burst)));
        for millis in [0, 10, 1_000, 1_000_000] {
            let _ = account.take(at(millis), 1, Kind::New);
            account.charge(at(millis), u64::MAX);
            account.refund(1);
        }
        account.cap_debt(at(1_000_000), quota(rate, burst), INITIAL_DEBT_CALM);
    }
}
