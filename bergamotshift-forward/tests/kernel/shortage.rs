//! Admission in a shortage by a keeper, without a network.

use core::time::Duration;
use std::sync::Arc;

use bergamotshift_forward::endpoint::Guard;
use bergamotshift_forward::limits::Account;
use bergamotshift_forward::limits::Quota;
use bergamotshift_forward::limits::keeper::Answer;
use bergamotshift_forward::limits::keeper::Context;
use bergamotshift_forward::limits::keeper::Generation;
use bergamotshift_forward::limits::keeper::Question;
use bergamotshift_forward::limits::keeper::Units;
use bergamotshift_forward::limits::shortage::Judgement;
use bergamotshift_forward::limits::shortage::Terms;
use bergamotshift_forward::peers::Permits;
use bergamotshift_forward::peers::keep;
use bergamotshift_forward::settings::Learn;
use bergamotshift_forward::view::Accounts;
use bergamotshift_forward::view::View;
use futures_util::FutureExt;

use crate::choice::endpoints;
use crate::frames::terms;
use crate::speeds::service;
use crate::speeds::shared;

/// Units of one request; the burst holds a little more.
const SIZE: u64 = 900;

fn question(terms: Option<Terms>) -> Question {
    let units = Units {
        organisation: "horeca".into(),
        count: SIZE,
        unreported: 0,
    };
    let generation = Generation {
        service: "planner".into(),
        prompt: 1_000,
        parts: Vec::new(),
        is_canary: false,
        avoided: Vec::new(),
    };
    Question {
        entry: "entry-2".into(),
        deputy: false,
        units: Some(units),
        generation: Some(generation),
        in_flight: Vec::new(),
        context: Context {
            terms,
            ..Context::default()
        },
    }
}

/// Guards against units of a limit that are spent for generations which a keeper refuses, and against terms that are
/// judged where they are not sent.
#[test]
fn a_keeper_refunds_the_units_of_a_generation_that_it_refuses() {
    let endpoints = endpoints(1);
    let zone = Account::default();
    let quota = Quota {
        rate: 0.001,
        burst: SIZE as f64 + 100.0,
        share_burst: SIZE as f64 + 100.0,
        initial_debt: 0.0,
    };
    let permits = Permits::new(Arc::new(shared()));
    zone.set(permits.shared().clock.now(), Some(quota));
    let accounts = Accounts {
        own: Arc::default(),
        zone: zone.into(),
    };
    let objectives = [(0, 800), (2, 2_500)];
    let view = View {
        services: [("planner".into(), service(&endpoints, Learn::Auto, &objectives))].into(),
        accounts: [("horeca".into(), accounts)].into(),
        ..View::default()
    };
    let ask = |terms| -> Answer {
        let question = question(terms);
        let decided = keep::decide(&permits, &view, &question).now_or_never();
        decided.expect("no endpoint has a rate")
    };
    let ahead = Guard::take(Arc::clone(&endpoints[0]), 200_000);
    for _ in 0..5 {
        let answer = ask(Some(terms()));
        assert_eq!((answer.retry_after_ms, answer.placement), (None, None));
        let after = answer.detail.judgement.and_then(Judgement::retry_after);
        assert!(
            after.is_some_and(|after| after <= Duration::from_millis(terms().time_left_ms.into()) / 3),
            "{after:?}"
        );
    }
    drop(ahead);
    let answer = ask(Some(terms()));
    assert_eq!(answer.detail.judgement, Some(Judgement::Admitted));
    assert!(answer.placement.is_some());
    let answer = ask(None);
    assert_eq!((answer.retry_after_ms, answer.detail.judgement), (None, None));
    assert!(ask(None).retry_after_ms.is_some(), "admitted generations use units");
}
