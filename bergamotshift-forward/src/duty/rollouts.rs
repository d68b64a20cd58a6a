//! Directs the rollout of new versions.

use bergamotshift_rollout::director::Step;
use bergamotshift_rollout::prelude::*;
use slog::info;

use super::task::Task;
use crate::control::Rollout;

/// Number of directives per log line: one line per second.
const STEPS_PER_LOG: u64 = 4;

/// Rollout order that this entry directs.
#[derive(Debug)]
pub(super) struct ActiveRollout {
    director: Director,
    /// Number of the last directive.
    step: u64,
    /// State that was last reported to the operators.
    reported: Option<State>,
}

impl ActiveRollout {
    fn new(settings: Settings, rollout: &Rollout) -> Self {
        Self {
            director: Director::new(settings, rollout.order.clone(), rollout.directive.as_ref()),
            step: rollout.directive.map_or(0, |directive| directive.step),
            reported: None,
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

impl Task {
    /// Directs each open rollout order, and reports its state to the operators.
    pub(super) async fn direct_rollouts(&mut self) {
        for rollout in self.control.rollouts() {
            self.direct(&rollout).await;
        }
        for (order, state) in self.control.closed_rollouts() {
            let is_known = self.closed_rollouts.get(&order.service) == Some(&order.number);
            if order.era > 0 && !is_known {
                self.report_closed(order, state).await;
            }
        }
    }

    /// Reports the state of an order that has ended; a restored store may have lost it.
    async fn report_closed(&mut self, order: Order, state: State) {
        let Some(_token) = self.fencing_token() else { return };
        let (service, number) = (order.service.clone(), order.number);
        let reported = self.lease.within(self.operators.report_rollout(order, state)).await;
        self.control.record_call("rollout", reported.as_ref().err());
        let Ok(state) = reported else { return };
        info!(self.control.shared().log.always(), "rollout told"; "service" => service.as_str(), "order" => number,
            "state" => ?state);
        self.closed_rollouts.insert(service, number);
    }

    async fn direct(&mut self, rollout: &Rollout) {
        let shared = std::sync::Arc::clone(self.control.shared());
        let service = &rollout.order.service;
        let known = self.rollouts.get(service);
        if known.is_none_or(|known| known.director.order().number != rollout.order.number) {
            let active = ActiveRollout::new(shared.settings.rollout, rollout);
            self.rollouts.insert(service.clone(), active);
        }
        let (Some(active), Some(number)) = (self.rollouts.get_mut(service), self.number) else {
            return;
        };
        let step = active.director.observe(shared.clock.now(), &rollout.observation);
        if step.cause.is_some() || active.step.is_multiple_of(STEPS_PER_LOG) {
            log_evidence(&shared, rollout, &step);
        }
        let directive = active.directive(number, step.phase, step.share);
        self.control.apply_directive(service, directive);
        if active.reported == Some(step.state) {
            return;
        }
        let Some(_token) = self.fencing_token() else { return };
        let reported = self
            .lease
            .within(self.operators.report_rollout(rollout.order.clone(), step.state))
            .await;
        self.control.record_call("rollout", reported.as_ref().err());
        let Ok(state) = reported else { return };
        info!(shared.log.always(), "rollout told"; "service" => service.as_str(),
            "to" => rollout.order.to.as_str(), "order" => rollout.order.number, "state" => ?state,
            "age_ms" => rollout.observation.age.as_millis() as u64);
        let Some(active) = self.rollouts.get_mut(service) else {
            return;
        };
        active.reported = Some(state);
        if state.is_final() {
            active.director.set_final_state(state);
            let directive = active.directive(number, state.into(), 0);
            self.control.apply_directive(service, directive);
        }
    }
}

/// Logs the evidence that the current step is based on.
fn log_evidence(shared: &crate::view::Shared, rollout: &Rollout, step: &Step) {
    let observation = &rollout.observation;
    let (stable, canary) = (observation.evidence.total(false), observation.evidence.total(true));
    info!(shared.log.always(), "rollout directed"; "service" => rollout.order.service.as_str(),
        "to" => rollout.order.to.as_str(), "order" => rollout.order.number,
        "age_ms" => observation.age.as_millis() as u64, "phase" => ?step.phase, "share" => step.share,
        "stable_endpoints" => observation.stable_endpoints, "canary_endpoints" => observation.canary_endpoints,
        "busy" => observation.stable_in_flight,
        "stable_answers" => stable.ended(), "stable_bad" => stable.bad,
        "canary_answers" => canary.ended(), "canary_bad" => canary.bad,
        "stable_paces" => ?stable.latencies, "canary_paces" => ?canary.latencies, "cause" => ?step.cause);
}
