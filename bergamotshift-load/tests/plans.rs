//! What a plan and a fault plan take, and what they refuse.

use core::time::Duration;

use bergamotshift_load::fault::Action;
use bergamotshift_load::fault::Place;
use bergamotshift_load::prelude::*;
use quickcheck::QuickCheck;

fn plan() -> Plan {
    Plan {
        callers: vec!["127.0.0.1:1".parse().unwrap()],
        mix: vec![Share::default()],
        ..Default::default()
    }
}

#[test]
fn a_complete_plan_is_taken() {
    plan().validate().unwrap();
}

#[test]
fn addresses_beyond_this_machine_are_refused() {
    let far = "192.0.2.7:80".parse().unwrap();
    let far_endpoint = Endpoint {
        name: "e".into(),
        service: "s".into(),
        zone: "z".into(),
        address: far,
    };
    let plans = [
        Plan {
            callers: vec![far],
            ..plan()
        },
        Plan {
            direct: vec![far],
            ..plan()
        },
        Plan {
            endpoints: vec![far_endpoint],
            ..plan()
        },
        Plan {
            callers: vec!["[::ffff:192.0.2.7]:80".parse().unwrap()],
            ..plan()
        },
    ];
    for plan in plans {
        assert!(
            matches!(plan.validate(), Err(Error::NotLoopback(_))),
            "{plan:?} was taken"
        );
        // A run checks before it opens a socket.
        assert!(matches!(bergamotshift_load::run(plan), Err(Error::NotLoopback(_))));
    }
}

#[test]
fn settings_out_of_bounds_are_named() {
    let share = Share::default;
    let cases: [(&str, Plan); 11] = [
        (
            "callers",
            Plan {
                callers: Vec::new(),
                ..plan()
            },
        ),
        (
            "mix",
            Plan {
                mix: Vec::new(),
                ..plan()
            },
        ),
        (
            "mix",
            Plan {
                mix: vec![Share { weight: 0, ..share() }],
                ..plan()
            },
        ),
        (
            "mix",
            Plan {
                mix: vec![Share {
                    path: "no-slash".into(),
                    ..share()
                }],
                ..plan()
            },
        ),
        (
            "mix",
            Plan {
                mix: vec![Share {
                    kind: Kind::Chat,
                    ..share()
                }],
                ..plan()
            },
        ),
        ("rate", Plan { rate: 0.0, ..plan() }),
        (
            "rate",
            Plan {
                rate: f64::NAN,
                ..plan()
            },
        ),
        (
            "duration",
            Plan {
                duration: Duration::from_hours(2),
                ..plan()
            },
        ),
        (
            "duration",
            Plan {
                rate: 90_000.0,
                duration: Duration::from_mins(10),
                ..plan()
            },
        ),
        (
            "concurrency",
            Plan {
                concurrency: 0,
                ..plan()
            },
        ),
        ("threads", Plan { threads: 0, ..plan() }),
    ];
    for (name, plan) in cases {
        let Err(Error::Setting { setting, .. }) = plan.validate() else {
            panic!("{name} was taken");
        };
        assert_eq!(setting, name);
    }
}

#[test]
fn faults_need_something_that_carries_them_out() {
    let faults: Schedule = "[[fault]]\nat_ms = 0\naction = \"kill\"\nzone = \"a\"".parse().unwrap();
    let plan = Plan { faults, ..plan() };
    assert!(matches!(plan.validate(), Err(Error::Setting { setting: "target", .. })));
}

#[test]
fn every_action_of_a_fault_plan_is_read() {
    let schedule: Schedule = r#"
        [[fault]]
        at_ms = 5000
        action = "reclaim"
        zone = "denhaag-hall"
        span_ms = 4000
        [[fault]]
        at_ms = 1000
        action = "kill"
        endpoint = "llm-3"
        [[fault]]
        at_ms = 2000
        action = "pause"
        entry = "entry-1"
        span_ms = 700
        [[fault]]
        at_ms = 3000
        action = "platform"
        trouble = "losing-answers"
        amount = 3
        span_ms = 100
        [[fault]]
        at_ms = 3500
        action = "platform"
        trouble = "down"
        span_ms = 100
        [[fault]]
        at_ms = 4000
        action = "cut"
        zones = ["utrecht-hall", "denhaag-hall"]
        span_ms = 100
        [[fault]]
        at_ms = 6000
        action = "poison"
        model = "m"
        marker = "boom"
    "#
    .parse()
    .unwrap();
    let times: Vec<_> = schedule.steps().iter().map(|step| step.at.as_millis()).collect();
    assert_eq!(
        times,
        [1000, 2000, 3000, 3500, 4000, 5000, 6000],
        "steps are in the order of their times"
    );
    let reclaim = Action::Reclaim {
        place: Place::Zone("denhaag-hall".into()),
        notice: Duration::from_secs(4),
    };
    assert_eq!(schedule.steps()[5].action, reclaim);
}

#[test]
fn wrong_fault_plans_are_refused_with_their_place() {
    let cases = [
        ("at_ms = 1\naction = \"kill\"", "exactly one of"),
        (
            "at_ms = 1\naction = \"kill\"\nzone = \"a\"\nentry = \"b\"",
            "exactly one of",
        ),
        (
            "at_ms = 1\naction = \"kill\"\nzone = \"a\"\nspan_ms = 4",
            "span_ms has no meaning",
        ),
        ("at_ms = 1\naction = \"reclaim\"\nzone = \"a\"", "span_ms is missing"),
        (
            "at_ms = 1\naction = \"platform\"\ntrouble = \"slow\"\nspan_ms = 4",
            "amount is missing",
        ),
        ("at_ms = 1\naction = \"poison\"", "marker is missing"),
        (
            "at_ms = 3600000\naction = \"pause\"\nzone = \"a\"\nspan_ms = 1",
            "later than an hour",
        ),
        ("at_ms = 1\naction = \"melt\"", "melt"),
        ("at_ms = 1\naction = \"kill\"\nzone = \"a\"\ncolour = 3", "colour"),
        ("action = \"kill\"\nzone = \"a\"", "at_ms"),
    ];
    for (text, reason) in cases {
        let cause = format!("[[fault]]\n{text}")
            .parse::<Schedule>()
            .unwrap_err()
            .to_string();
        assert!(cause.contains(reason), "{text:?} was refused with {cause:?}");
    }
}

#[test]
fn generated_fault_plans_never_panic() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck hands values over")]
    fn property(text: String, at: u64, span: u64) -> bool {
        let wild = text.parse::<Schedule>();
        let near = format!("[[fault]]\nat_ms = {at}\naction = \"pause\"\nzone = {text:?}\nspan_ms = {span}");
        drop(near.parse::<Schedule>());
        wild.is_err() || wild.is_ok_and(|schedule| schedule.is_empty())
    }
    QuickCheck::new().quickcheck(property as fn(String, u64, u64) -> bool);
}
