//! The engine model does what its page says: steps, order, cache and loss.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_replay::engine::Engine;
use bergamotshift_replay::engine::Output;
use bergamotshift_replay::engine::Work;
use bergamotshift_replay::workload::Chain;
use bergamotshift_route::estimate::Speed;

const BLOCK: u32 = 256;

fn engine(slots: u32) -> Engine {
    let speed = Speed {
        slots,
        ..Speed::REFERENCE
    };
    Engine::new(speed, 100, BLOCK, Instant::ZERO)
}

fn work(job: u32, urgency: Urgency, context: u32, left: u32) -> Work {
    Work {
        job,
        urgency,
        chain: Chain {
            session: u64::from(job) + 1,
            ..Chain::default()
        },
        context,
        left,
        imported: false,
    }
}

/// Runs the engine to its end and returns when each job's first token and end came.
fn run(engine: &mut Engine, from: Instant) -> Vec<(Instant, Output)> {
    let mut seen = Vec::new();
    let mut now = from;
    loop {
        let mut out = Vec::new();
        engine.run(now, &mut out);
        seen.extend(out.into_iter().map(|output| (now, output)));
        let Some(next) = engine.next_change() else { return seen };
        now = next;
    }
}

fn when(seen: &[(Instant, Output)], wanted: Output) -> Instant {
    seen.iter()
        .find(|(_, output)| *output == wanted)
        .map(|(at, _)| *at)
        .unwrap()
}

#[test]
fn one_request_takes_its_steps() {
    let mut engine = engine(8);
    engine.add(work(0, Urgency::Urgent, 1_024, 101));
    let seen = run(&mut engine, Instant::ZERO);
    // Two chunks, each a step of 12 ms and 512 tokens at 0.05 ms; then 100 steps of 12.25 ms.
    let first = when(&seen, Output::Token { job: 0 });
    assert_eq!(first, Instant::from_micros(75_200));
    assert_eq!(
        when(&seen, Output::Done { job: 0 }),
        first + Duration::from_millis(1_225)
    );
}

#[test]
fn a_second_turn_computes_only_what_is_new() {
    let mut engine = engine(8);
    let first = work(0, Urgency::Urgent, 1_024, 256);
    engine.add(first);
    let seen = run(&mut engine, Instant::ZERO);
    let end = seen.last().unwrap().0;
    let second = Work {
        job: 1,
        context: 1_500,
        ..first
    };
    engine.add(second);
    let seen = run(&mut engine, end);
    let prefill = Output::Prefill {
        job: 1,
        cached: 1_280,
        context: 1_500,
    };
    assert!(seen.iter().any(|(_, output)| *output == prefill), "{seen:?}");
}

#[test]
fn an_urgent_request_overtakes_and_pushes_out() {
    let mut engine = engine(1);
    engine.add(work(0, Urgency::Deferrable, 512, 1_000));
    let mut out = Vec::new();
    engine.run(Instant::ZERO, &mut out);
    let started = engine.next_change().unwrap();
    engine.run(started, &mut out);
    engine.add(work(1, Urgency::Urgent, 512, 10));
    let seen = run(&mut engine, started + Duration::from_secs(1));
    let urgent = when(&seen, Output::Done { job: 1 });
    assert!(urgent < when(&seen, Output::Done { job: 0 }));
}

#[test]
fn a_removed_job_keeps_what_it_generated() {
    let mut engine = engine(8);
    engine.add(work(0, Urgency::Normal, 512, 1_000));
    let mut out = Vec::new();
    engine.run(Instant::ZERO, &mut out);
    let started = engine.next_change().unwrap();
    engine.run(started, &mut out);
    // 100 steps of 12.25 ms after the first token.
    engine.run(started + Duration::from_millis(1_225), &mut out);
    let (_, generated) = engine.remove(0).unwrap();
    assert_eq!(generated, 101);
    assert!(engine.is_empty());
}
