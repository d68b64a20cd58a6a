//! Admission in a shortage, by the keeper of a zone or by an entry that decides for itself.

use core::time::Duration;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::admission::shortage;
use bergamotshift_limit::admission::shortage::Bound;
use bergamotshift_limit::admission::shortage::Controller;
use bergamotshift_limit::admission::shortage::Mode;
use bergamotshift_limit::admission::shortage::Outcome;
use bergamotshift_limit::admission::shortage::Verdict;
use bergamotshift_limit::returns;
use bergamotshift_limit::returns::Returned;
use slog::info;

use super::Service;
use super::Shared;
use crate::document::Objective;
use crate::limits::shortage::Judgement;
use crate::limits::shortage::Terms;
use crate::limits::shortage::whole_millis;
use crate::observe::Topic;

/// Part of the time left to a caller that it may be told to wait; callers do not return after a longer time.
const LONGEST_RETURN_DIVISOR: u32 = 3;

/// Part of the service that decisions are made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The demand of the whole zone, by its keeper.
    Zone,
    /// The demand that reaches this entry alone.
    Entry,
}

impl Scope {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Zone => "zone",
            Self::Entry => "entry",
        }
    }
}

/// Estimate for the endpoint that was chosen for a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Expected time for the work ahead of the generation.
    pub wait: Duration,
    /// Expected time for its own work until the first event.
    pub read: Duration,
}

/// Controllers of the services that had a shortage to decide about.
#[derive(Debug, Default)]
pub struct Controllers(Mutex<HashMap<name::Service, Controller>>);

impl Controllers {
    /// Removes those of services that no longer exist.
    pub fn retain(&self, is_known: impl Fn(&name::Service) -> bool) {
        self.lock().retain(|service, _| is_known(service));
    }

    /// Locks the controllers. Threads hold the lock for microseconds.
    fn lock(&self) -> MutexGuard<'_, HashMap<name::Service, Controller>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Shared {
    /// Returns whether generations of a service are admitted by the rules for a shortage.
    pub fn has_shortage_rules(&self, service: &Service) -> bool {
        let applies = || match self.settings.admission.shortage {
            // An estimate that is not learned can be wrong by a factor of two, which supports no decision; routes whose
            // objectives compete need one nevertheless.
            Mode::Auto => service.learns_speeds() || Objective::compete(&service.objectives),
            Mode::Always => true,
            Mode::Never => false,
        };
        service.engine.is_some() && applies()
    }

    /// Decides whether a generation is admitted; returns `None` where the rules for a shortage do not apply.
    pub fn judge(
        &self,
        service: &Service,
        name: &name::Service,
        terms: &Terms,
        estimate: Estimate,
        scope: Scope,
        id: &str,
    ) -> Option<Judgement> {
        if !self.has_shortage_rules(service) {
            return None;
        }
        let now = self.clock.now();
        let millis = |millis: u32| Duration::from_millis(millis.into());
        let routes = service.objectives.iter().map(|one| (one.urgency, one.time));
        let request = shortage::Request {
            organisation: terms.organisation.as_ref(),
            weight: terms.weight,
            bound: Bound::of(routes, terms.urgency),
            wait: estimate.wait,
            due: Duration::ZERO,
            read: estimate.read,
            objective: millis(terms.objective_ms),
            objective_left: millis(terms.objective_left_ms),
            latest: millis(terms.latest_ms),
            is_return: false,
        };
        let asked = shortage::Asked {
            key: terms.key,
            urgency: terms.urgency,
            engines: self.engines_in_reach(service, scope),
            longest: millis(terms.time_left_ms) / LONGEST_RETURN_DIVISOR,
        };
        let (outcome, lapsed) = {
            let mut controllers = self.controllers.lock();
            if !controllers.contains_key(name) {
                let controller = Controller::new(shortage::Settings::default(), returns::Settings::default());
                controllers.insert(name.clone(), controller);
            }
            let controller = controllers.get_mut(name)?;
            (controller.decide(now, &request, &asked), controller.take_lapsed())
        };
        self.metrics.shortage.count_promises("lapsed", lapsed);
        match outcome.returned {
            Returned::Kept => self.metrics.shortage.count_promises("kept", 1),
            Returned::Early { .. } => self.metrics.shortage.count_promises("early", 1),
            Returned::Unknown => {}
        }
        let Verdict::Refused(refusal) = outcome.verdict else {
            self.metrics.shortage.count_decision("admitted");
            return Some(Judgement::Admitted);
        };
        self.metrics.shortage.count_decision(refusal.reason.as_str());
        // A caller that is told less than its time would return before its slot; whole milliseconds are sent.
        let rounded_up = refusal.retry_after + Duration::from_micros(999);
        let retry_after_ms = whole_millis(rounded_up).min(whole_millis(asked.longest));
        self.log_shortage(now, name, terms, estimate, scope, id, &outcome, lapsed, retry_after_ms);
        Some(Judgement::Refused {
            is_share: refusal.reason == shortage::Reason::Share,
            retry_after_ms,
        })
    }

    /// Returns the number of a service's engines that serve the demand which is decided on here.
    ///
    /// Entries that decide for themselves share the engines; a keeper has those of its zone, or if it has none, those
    /// that the zones share.
    fn engines_in_reach(&self, service: &Service, scope: Scope) -> f64 {
        let zone = &self.settings.zone;
        let (mut own, mut all) = (0, 0);
        for endpoint in service.all_endpoints().filter(|endpoint| !endpoint.is_leaving()) {
            all += 1;
            own += u32::from(endpoint.registration.zone == *zone);
        }
        match scope {
            Scope::Entry => f64::from(all) / self.view.load().granters.len().max(1) as f64,
            Scope::Zone if own > 0 => f64::from(own),
            Scope::Zone => f64::from(all),
        }
    }

    /// Logs why a generation is refused in a shortage.
    #[expect(clippy::too_many_arguments, reason = "the line names each input of the decision")]
    fn log_shortage(
        &self,
        now: Instant,
        service: &name::Service,
        terms: &Terms,
        estimate: Estimate,
        scope: Scope,
        id: &str,
        outcome: &Outcome,
        lapsed: u64,
        retry_after_ms: u32,
    ) {
        let Some((logger, left_out)) = self.log.rate_limited(now, Topic::Shortage) else {
            return;
        };
        let Verdict::Refused(refusal) = outcome.verdict else {
            return;
        };
        let millis = |time: Duration| time.as_millis() as u64;
        let (promise, early_ms) = match outcome.returned {
            Returned::Kept => (Some("kept"), None),
            Returned::Early { left } => (Some("early"), Some(millis(left))),
            Returned::Unknown => (None, None),
        };
        let document = view_version(self);
        info!(logger, "refused in a shortage"; "request" => id,
            "fingerprint" => format!("{:032x}", terms.key.get()), "service" => service.as_str(),
            "organisation" => terms.organisation.as_ref().map(name::Organisation::as_str),
            "urgency" => terms.urgency, "reason" => refusal.reason.as_str(), "scope" => scope.as_str(),
            "wait_ms" => millis(estimate.wait), "due_ms" => millis(outcome.due), "read_ms" => millis(estimate.read),
            "limit_ms" => millis(outcome.limit), "share_ms" => outcome.share.map(|(share, _)| millis(share)),
            "admitted_ms" => outcome.share.map(|(_, admitted)| millis(admitted)), "promise" => promise,
            "early_ms" => early_ms, "lapsed" => lapsed, "retry_after_ms" => retry_after_ms,
            "document" => document, "left_out" => left_out);
    }
}

/// Returns the version of the document in force; 0 without a document.
fn view_version(shared: &Shared) -> u64 {
    let view = shared.view.load();
    view.table.as_ref().map_or(0, |table| table.document().version)
}
