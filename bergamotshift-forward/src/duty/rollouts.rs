//! Directs the roll-out of new versions.

use bergamotshift_rollout::director::Step;
use bergamotshift_rollout::prelude::*;
use slog::info;

use super::task::Work;
use crate::control::Rollout;

/// How many directives lie between two lines of the log: one line in a second.
const STEPS_LOGGED: u64 = 4;

/// An order that this entry directs.
#[derive(Debug)]
pub(super) struct Directed {
    director: Director,
    /// Counts its directives.
    step: u64,
    /// What the operators were last told.
    told: Option<State>,
}

impl Directed {
    fn new(settings: Settings, rollout: &Rollout) -> Self {
        Self {
            director: Director::new(settings, rollout.order.clone(), rollout.directive.as_ref()),
            step: rollout.directive.map_or(0, |directive| directive.step),
            told: None,
        }
    }

    /// Returns the next directive.
    fn directive(&mut self, number: u64, phase: Phase, share: u16) -> Directive {
        self.step += 1;
        Directive {
            order: self.director.order().number,
            term: number,
            step: self.step,
            phase,
            share,
        }
    }
}

impl Work {
    /// Directs each order that stands, and tells the operators how far it is.
    pub(super) async fn roll_out(&mut self) {
        for rollout in self.control.rollouts() {
            self.direct(&rollout).await;
        }
    }

    async fn direct(&mut self, rollout: &Rollout) {
        let shared = std::sync::Arc::clone(self.control.shared());
        let service = &rollout.order.service;
        let known = self.directors.get(service);
        if known.is_none_or(|known| known.director.order().number != rollout.order.number) {
            let directed = Directed::new(shared.settings.rollout, rollout);
            self.directors.insert(service.clone(), directed);
        }
        let (Some(directed), Some(number)) = (self.directors.get_mut(service), self.number) else {
            return;
        };
        let step = directed.director.observe(shared.clock.now(), &rollout.observation);
        if step.cause.is_some() || directed.step.is_multiple_of(STEPS_LOGGED) {
            note(&shared, rollout, &step);
        }
        let directive = directed.directive(number, step.phase, step.share);
        self.control.apply_directive(service, directive);
        if directed.told == Some(step.state) {
            return;
        }
        let Some(_permit) = self.holder() else { return };
        let told = self
            .lease
            .within(self.operators.report_rollout(rollout.order.clone(), step.state))
            .await;
        self.control.record_call("rollout", told.as_ref().err());
        let Ok(state) = told else { return };
        info!(shared.log.always(), "rollout told"; "service" => service.as_str(),
            "to" => rollout.order.to.as_str(), "order" => rollout.order.number, "state" => ?state,
            "age_ms" => rollout.observation.age.as_millis() as u64);
        let Some(directed) = self.directors.get_mut(service) else {
            return;
        };
        directed.told = Some(state);
        if state.is_final() {
            directed.director.set_final_state(state);
            let directive = directed.directive(number, state.into(), 0);
            self.control.apply_directive(service, directive);
        }
    }
}

/// Logs the evidence by which an order is directed.
fn note(shared: &crate::view::Shared, rollout: &Rollout, step: &Step) {
    let sight = &rollout.observation;
    let (stable, canary) = (sight.evidence.total(false), sight.evidence.total(true));
    info!(shared.log.always(), "rollout directed"; "service" => rollout.order.service.as_str(),
        "to" => rollout.order.to.as_str(), "order" => rollout.order.number,
        "age_ms" => sight.age.as_millis() as u64, "phase" => ?step.phase, "share" => step.share,
        "stable_endpoints" => sight.stable_endpoints, "canary_endpoints" => sight.canary_endpoints,
        "busy" => sight.stable_in_flight,
        "stable_answers" => stable.ended(), "stable_bad" => stable.bad,
        "canary_answers" => canary.ended(), "canary_bad" => canary.bad,
        "stable_paces" => ?stable.latencies, "canary_paces" => ?canary.latencies, "cause" => ?step.cause);
}
