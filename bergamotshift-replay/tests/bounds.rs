//! The committed bounds hold, and a worse measurement would breach them.

use std::sync::Mutex;

use bergamotshift_replay::regression::Bounds;
use bergamotshift_replay::regression::Breach;
use bergamotshift_replay::regression::Measured;
use bergamotshift_route::policy;

fn bounds() -> Bounds {
    toml::from_str(include_str!("../bounds.toml")).unwrap()
}

#[test]
fn every_run_stays_within_its_bounds() {
    const THREADS: usize = 3;
    let bounds = bounds();
    let next = Mutex::new(bounds.run.iter());
    let breaches: Mutex<Vec<Breach>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let run = next.lock().unwrap().next();
                    let Some(run) = run else { return };
                    let now = Measured::from(&run.replay(policy::DEFAULT).unwrap());
                    breaches.lock().unwrap().extend(run.breaches(&now, &bounds.margin));
                }
            });
        }
    });
    let breaches: Vec<String> = breaches.into_inner().unwrap().iter().map(ToString::to_string).collect();
    assert!(breaches.is_empty(), "{}", breaches.join("\n"));
}

#[test]
fn each_figure_that_gets_worse_is_a_breach() {
    let bounds = bounds();
    let run = &bounds.run[0];
    let same = run.measured;
    assert_eq!(run.breaches(&same, &bounds.margin), []);
    let worse = [
        Measured {
            urgent: same.urgent - 0.02,
            ..same
        },
        Measured {
            cost: same.cost * 1.06,
            ..same
        },
        Measured {
            recomputed: same.recomputed * 1.11,
            ..same
        },
        Measured {
            misses: same.misses + 3,
            ..same
        },
        Measured {
            failed: same.failed + 1,
            ..same
        },
    ];
    for worse in worse {
        assert_eq!(run.breaches(&worse, &bounds.margin).len(), 1, "{worse:?}");
    }
}
