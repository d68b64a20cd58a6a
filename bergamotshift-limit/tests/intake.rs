//! Tests of the room for bodies in virtual time.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::intake::Growth;
use bergamotshift_limit::intake::Intake;
use bergamotshift_limit::intake::Key;
use bergamotshift_limit::intake::Settings;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

/// Size of an ordinary body, in bytes.
const ORDINARY: usize = 12 << 10;

const SETTINGS: Settings = Settings::for_memory(96 << 20);

/// Step of one client of a crowd.
#[derive(Clone, Copy, Debug)]
enum Step {
    Open { source: u64 },
    Grow { client: usize, bytes: usize },
    Complete { client: usize },
    Close { client: usize },
    Wait { ms: u64 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let client = usize::arbitrary(g) % 64;
        match u8::arbitrary(g) % 16 {
            0..=4 => Self::Open {
                source: u64::arbitrary(g) % 3,
            },
            5..=11 => Self::Grow {
                client,
                bytes: 1 << (usize::arbitrary(g) % 23),
            },
            12 => Self::Complete { client },
            13 => Self::Close { client },
            _ => Self::Wait {
                ms: u64::arbitrary(g) % 600,
            },
        }
    }
}

/// Plays steps, and returns whether `holds` after each of them.
fn play(steps: &[Step], mut holds: impl FnMut(&mut Intake, Instant) -> bool) -> bool {
    let mut intake = Intake::new(SETTINGS);
    let mut now = Instant::from_secs(1);
    let mut clients: Vec<(Key, usize)> = Vec::new();
    for step in steps {
        match *step {
            Step::Open { source } => clients.push((intake.open(now, source, 0), 0)),
            Step::Grow { client, bytes } => {
                let Some((key, held)) = clients.get_mut(client) else {
                    continue;
                };
                if let Growth::Granted(yielded) = intake.grow(now, *key, (*held + bytes).min(4 << 20), *held + bytes) {
                    *held = (*held + bytes).min(4 << 20);
                    clients.retain(|(key, _)| !yielded.contains(key));
                }
            }
            Step::Complete { client } => clients
                .get(client)
                .into_iter()
                .for_each(|(key, _)| intake.complete(*key)),
            Step::Close { client } => {
                if client < clients.len() {
                    intake.close(clients.swap_remove(client).0);
                }
            }
            Step::Wait { ms } => now = now + Duration::from_millis(ms),
        }
        let held: usize = clients.iter().map(|(_, held)| held).sum();
        if intake.held() != held || !holds(&mut intake, now) {
            return false;
        }
    }
    true
}

/// Number of random crowds of a property.
const CROWDS: u64 = 2_000;

/// Guards against bodies that together take more room than there is.
#[test]
fn the_sum_of_all_bodies_never_passes_the_capacity() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn holds(steps: Vec<Step>) -> bool {
        play(&steps, |intake, _| intake.held() <= SETTINGS.capacity)
    }
    QuickCheck::new()
        .tests(CROWDS)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}

/// Guards against ordinary requests that a crowd of large bodies keeps out.
#[test]
fn an_ordinary_body_always_gets_in_beside_large_ones() {
    fn holds(steps: Vec<Step>) -> bool {
        let enlarge = |step| match step {
            Step::Grow { client, .. } => Step::Grow { client, bytes: 1 << 20 },
            step => step,
        };
        let large: Vec<_> = steps.into_iter().map(enlarge).collect();
        play(&large, |intake, now| {
            let key = intake.open(now, 9, 0);
            let growth = intake.grow(now, key, ORDINARY, ORDINARY);
            intake.close(key);
            growth == Growth::Granted(Vec::new())
        })
    }
    QuickCheck::new()
        .tests(CROWDS)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}

/// Fills the room with large bodies of one source, and returns them.
fn fill(intake: &mut Intake, now: Instant, source: u64) -> Vec<Key> {
    const SIZE: usize = 4 << 20;
    let mut keys = Vec::new();
    loop {
        let key = intake.open(now, source, 0);
        if intake.grow(now, key, SIZE, 0) == Growth::Refused {
            intake.close(key);
            return keys;
        }
        keys.push(key);
    }
}

#[test]
fn a_body_that_does_not_go_on_yields_before_one_that_does() {
    let mut intake = Intake::new(SETTINGS);
    let began = Instant::from_secs(1);
    let keys = fill(&mut intake, began, 1);
    let later = began + SETTINGS.min_idle;
    for key in &keys[1..] {
        assert_eq!(intake.grow(later, *key, 4 << 20, 1 << 20), Growth::Granted(Vec::new()));
    }
    let next = intake.open(later, 1, 0);
    assert_eq!(intake.grow(later, next, 4 << 20, 0), Growth::Granted(vec![keys[0]]));
}

/// Guards against clients that hold much and send a byte now and then.
#[test]
fn a_body_that_trickles_yields_as_one_that_stands_still() {
    let mut intake = Intake::new(SETTINGS);
    let mut now = Instant::from_secs(1);
    let keys = fill(&mut intake, now, 1);
    for received in 1..10 {
        now = now + SETTINGS.min_idle / 4;
        for key in &keys {
            assert_eq!(intake.grow(now, *key, 4 << 20, received), Growth::Granted(Vec::new()));
        }
    }
    let next = intake.open(now, 1, 0);
    assert!(matches!(intake.grow(now, next, 4 << 20, 0), Growth::Granted(yielded) if yielded.len() == 1));
}

#[test]
fn a_source_that_holds_more_than_half_yields_to_others() {
    let mut intake = Intake::new(SETTINGS);
    let now = Instant::from_secs(1);
    let keys = fill(&mut intake, now, 1);
    let next = intake.open(now, 2, 0);
    let Growth::Granted(yielded) = intake.grow(now, next, 4 << 20, 0) else {
        panic!("the other source gets room");
    };
    assert!(yielded.len() == 1 && keys.contains(&yielded[0]));
}

#[test]
fn a_body_whose_request_is_under_way_does_not_yield() {
    let mut intake = Intake::new(SETTINGS);
    let now = Instant::from_secs(1);
    for key in fill(&mut intake, now, 1) {
        intake.complete(key);
    }
    let later = now + Duration::from_mins(1);
    let next = intake.open(later, 2, 0);
    assert_eq!(intake.grow(later, next, 4 << 20, 0), Growth::Refused);
}

#[test]
fn a_body_that_lost_its_room_gets_none() {
    let mut intake = Intake::new(SETTINGS);
    let now = Instant::from_secs(1);
    let key = intake.open(now, 1, 0);
    intake.close(key);
    assert_eq!(intake.grow(now, key, 1, 1), Growth::Refused);
    assert!(!intake.is_open(key));
}

/// Guards against memory that reading takes beside the bodies, such as for many tiny chunks, and that nothing bounds.
#[test]
fn what_reading_takes_counts_as_held() {
    const OVERHEAD: usize = 1 << 20;
    let mut intake = Intake::new(SETTINGS);
    let now = Instant::from_secs(1);
    let mut opened = 0;
    loop {
        let key = intake.open(now, opened, OVERHEAD);
        if intake.grow(now, key, 0, 0) == Growth::Refused {
            break;
        }
        opened += 1;
    }
    assert_eq!(opened as usize, SETTINGS.capacity / OVERHEAD);
    assert_eq!(intake.held(), opened as usize * OVERHEAD);
}
