//! Reclaim plans: the choice of actions, and the limits of links and notice.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_route::reclaim;
use bergamotshift_route::reclaim::Action;
use bergamotshift_route::reclaim::Notice;
use bergamotshift_route::reclaim::Stream;
use quickcheck::quickcheck;

const LONG: Stream = Stream {
    id: 0,
    endpoint: 0,
    urgency: Urgency::Urgent,
    prompt_tokens: 6_000,
    received: 500,
    tokens_left: 5_000,
    between_tokens: Duration::from_millis(40),
    cached_elsewhere: 0,
    movable: false,
    resumable: true,
    repeatable: true,
};

fn notice() -> Notice {
    Notice {
        // 6,500 tokens take 0.104 s on an endpoint's link.
        token_bytes: 20_000,
        ..Notice::default()
    }
}

#[test]
fn each_action_is_chosen_where_it_fits() {
    let cases = [
        (
            "short",
            Stream {
                tokens_left: 100,
                ..LONG
            },
            Action::Finish,
        ),
        ("movable", Stream { movable: true, ..LONG }, Action::Move),
        (
            "cached elsewhere",
            Stream {
                movable: true,
                cached_elsewhere: 6_000,
                ..LONG
            },
            Action::Resume,
        ),
        (
            "too long a pause",
            Stream {
                movable: true,
                prompt_tokens: 200_000,
                ..LONG
            },
            Action::Resume,
        ),
        ("not movable", LONG, Action::Resume),
        (
            "not resumable",
            Stream {
                resumable: false,
                ..LONG
            },
            Action::StartOver,
        ),
        (
            "not repeatable",
            Stream {
                repeatable: false,
                ..LONG
            },
            Action::Stay,
        ),
        (
            "not repeatable but movable",
            Stream {
                repeatable: false,
                movable: true,
                ..LONG
            },
            Action::Move,
        ),
    ];
    for (name, stream, action) in cases {
        assert_eq!(reclaim::plan(&notice(), &[stream])[0].action, action, "{name}");
    }
}

#[test]
fn a_slow_link_goes_to_urgent_streams_first() {
    // A zone is reclaimed and its link has capacity for only a few of its streams. If deferrable streams took the link,
    // the answers of waiting callers would stall, so urgent streams reserve it first.
    let notice = Notice {
        remaining: Duration::from_secs(3),
        ..notice()
    };
    let streams: Vec<Stream> = (0..40)
        .map(|id| Stream {
            id,
            movable: true,
            urgency: if id % 2 == 0 {
                Urgency::Deferrable
            } else {
                Urgency::Urgent
            },
            ..LONG
        })
        .collect();
    let plan = reclaim::plan(&notice, &streams);
    let moved: Vec<u64> = plan
        .iter()
        .filter(|step| step.action == Action::Move)
        .map(|step| step.id)
        .collect();
    assert!(!moved.is_empty() && moved.len() < 20);
    assert!(moved.iter().all(|id| id % 2 == 1));
}

#[test]
fn restarts_spread_over_the_end_of_the_notice() {
    // The window is 18 s. Ten restarts are spread evenly over its last third.
    let streams: Vec<Stream> = (0..10).map(|id| Stream { id, ..LONG }).collect();
    let plan = reclaim::plan(&notice(), &streams);
    assert_eq!(plan[0].after, Duration::from_secs(12));
    let turn = Duration::from_millis(600);
    assert!(plan.windows(2).all(|pair| pair[0].after + turn == pair[1].after));
}

#[test]
fn a_move_ends_with_the_window() {
    // A stream that moves early wastes free engine time at the leaving endpoint and takes scarce time elsewhere.
    let plan = reclaim::plan(&notice(), &[Stream { movable: true, ..LONG }]);
    assert_eq!(plan[0].after + plan[0].duration, Duration::from_secs(18));
}

quickcheck! {
    fn every_stream_has_one_step_and_no_link_is_overdrawn(seeds: Vec<(u8, u16, u16, bool)>, left_ms: u16) -> bool {
        let notice = Notice { remaining: Duration::from_millis(left_ms.into()), ..notice() };
        let streams: Vec<Stream> = seeds
            .iter()
            .enumerate()
            .map(|(id, &(endpoint, prompt, left, movable))| Stream {
                id: id as u64,
                endpoint: usize::from(endpoint % 5),
                prompt_tokens: prompt.into(),
                tokens_left: left.into(),
                movable,
                ..LONG
            })
            .collect();
        let plan = reclaim::plan(&notice, &streams);
        let mut ids: Vec<u64> = plan.iter().map(|step| step.id).collect();
        ids.sort_unstable();
        let whole = ids == (0..streams.len() as u64).collect::<Vec<_>>();
        let window = notice.remaining.saturating_sub(notice.margin);
        let bytes: u64 = plan
            .iter()
            .filter(|step| step.action == Action::Move)
            .map(|step| {
                let stream = &streams[step.id as usize];
                u64::from(stream.prompt_tokens + stream.received) * notice.token_bytes
            })
            .sum();
        let carried = notice.shared_link as f64 * window.as_secs_f64();
        whole
            && bytes as f64 <= carried
            && plan.iter().all(|step| step.after + step.duration <= window.max(step.duration))
    }
}
