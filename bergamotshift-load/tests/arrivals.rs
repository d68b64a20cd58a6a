//! Arrival processes: their rate, their shape and their seed.

use bergamotshift_load::arrival::Arrivals;
use bergamotshift_load::arrival::Process;
use quickcheck::QuickCheck;

const PROCESSES: [Process; 3] = [Process::Constant, Process::Poisson, Process::Bursts { size: 10 }];

#[test]
fn each_process_keeps_its_mean_rate() {
    const COUNT: usize = 20_000;
    for process in PROCESSES {
        let last = Arrivals::new(process, 1_000.0, 7).nth(COUNT).unwrap();
        let rate = COUNT as f64 / last.as_secs_f64();
        assert!((950.0..1_050.0).contains(&rate), "{process:?} came at {rate}/s");
    }
}

#[test]
fn times_never_go_back_and_follow_the_seed() {
    fn property(seed: u64, rate: u16) -> bool {
        PROCESSES.into_iter().all(|process| {
            let arrivals = || Arrivals::new(process, f64::from(rate) + 1.0, seed).take(200);
            let times: Vec<_> = arrivals().collect();
            times.is_sorted() && times == arrivals().collect::<Vec<_>>()
        })
    }
    QuickCheck::new().quickcheck(property as fn(u64, u16) -> bool);
}

#[test]
fn poisson_gaps_vary_and_differ_by_seed() {
    let times = |seed| {
        Arrivals::new(Process::Poisson, 100.0, seed)
            .take(50)
            .collect::<Vec<_>>()
    };
    let gaps: std::collections::BTreeSet<_> = times(1).windows(2).map(|pair| pair[1].abs_diff(pair[0])).collect();
    assert!(gaps.len() > 40, "only {} different gaps", gaps.len());
    assert_ne!(times(1), times(2));
}

#[test]
fn bursts_arrive_together() {
    let times: Vec<_> = Arrivals::new(Process::Bursts { size: 3 }, 30.0, 1).take(6).collect();
    assert_eq!(times[0], times[2]);
    assert_eq!(times[3], times[5]);
    assert_eq!(times[3].abs_diff(times[0]).as_millis(), 100);
}
