//! Retries of all entries together.

use bergamotshift_forward::limits::retry_share;
use bergamotshift_limit::retry;
use bergamotshift_limit::retry::Budget;

/// Guards against a fleet about as large as its slack of retries, in which no entry ever retries: the share of each was one,
/// and a budget keeps one.
#[test]
fn entries_of_a_large_fleet_may_retry() {
    for (slack, entries) in [(54.0, 12), (210.0, 85), (1_040.0, 986), (1_040.0, 2_000)] {
        let shares =
            (0..entries).map(|number| retry_share(slack, entries, &format!("entry-{number:04}").as_str().into()));
        let shares: Vec<u32> = shares.collect();
        let sum: u32 = shares.iter().sum();
        assert!(f64::from(sum) <= slack, "{entries} entries: {sum} of {slack}");
        assert!(f64::from(sum) >= slack * 0.8, "{entries} entries: {sum} of {slack}");
        let budgets = shares.iter().map(|share| {
            let burst = share + 1;
            Budget::new(retry::Settings {
                ratio: 0.15,
                reserve: burst,
                burst,
            })
        });
        let able = budgets.filter(Budget::try_withdraw).count();
        assert!(
            able as f64 >= slack.min(entries as f64) * 0.8,
            "{able} of {entries} entries may retry"
        );
    }
}
