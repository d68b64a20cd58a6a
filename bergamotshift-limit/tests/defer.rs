//! Deferred jobs use spare capacity and still start in time.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::defer::Job;
use bergamotshift_limit::defer::Release;
use bergamotshift_limit::defer::Settings;
use bergamotshift_limit::defer::release;
use bergamotshift_limit::prelude::*;
use quickcheck::quickcheck;

/// Creates a gate with these waits of normal and of deferrable work, in seconds.
fn gate(now: Instant, normal: u64, deferred: u64) -> Gate {
    let gate = Gate::new(admission::Settings::default());
    let waits = [0, normal, deferred].map(Duration::from_secs);
    gate.set(now, 1_000.0, waits, 1.0);
    gate
}

#[test]
fn jobs_wait_for_spare_capacity_until_their_slack_is_used_up() {
    let now = Instant::from_secs(1_000);
    let job = |left: u64| Job {
        deadline: now + Duration::from_secs(left),
        span: Duration::from_secs(100),
    };
    let wait = |seconds| Release::Wait(Duration::from_secs(seconds));
    let table = [
        (job(3_600), 0, 0, Release::Start(Urgency::Deferrable)),
        (job(3_600), 0, 3_000, wait(30)),
        (job(160), 0, 3_000, wait(10)),
        (job(150), 0, 3_000, Release::Start(Urgency::Normal)),
        (job(160), 10, 3_000, Release::Start(Urgency::Normal)),
        (job(50), 0, 0, Release::Start(Urgency::Normal)),
    ];
    for (job, normal, deferred, expected) in table {
        let gate = gate(now, normal, deferred);
        assert_eq!(
            release(now, job, &gate, Settings::default()),
            expected,
            "{job:?} {normal} {deferred}"
        );
    }
}

quickcheck! {
    fn job_starts_in_time_without_spare_capacity(span: u16, left: u16, normal: u8) -> bool {
        // The service never has spare capacity; the job is checked again after each requested wait.
        let span = Duration::from_secs(u64::from(span));
        let deadline = Instant::ZERO + span * 2 + Duration::from_secs(u64::from(left) + 600);
        let mut now = Instant::ZERO;
        for _ in 0..100_000 {
            match release(now, Job { deadline, span }, &gate(now, u64::from(normal), 9_000), Settings::default()) {
                Release::Start(urgency) => {
                    let done = now + Duration::from_secs(u64::from(normal)) + span;
                    return urgency == Urgency::Normal && done <= deadline;
                }
                Release::Wait(pause) => now = now + pause,
            }
        }
        false
    }
}
