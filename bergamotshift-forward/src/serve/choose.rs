//! Chooses the endpoint of the next attempt, and refuses at once requests that cannot be answered in time.

use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use slog::info;

use super::Forwarder;
use super::attempt::History;
use super::charge::overloaded;
use super::job::Job;
use super::refusal::Reason;
use super::refusal::Refusal;
use crate::choice;
use crate::choice::Choice;
use crate::endpoint::Endpoint;
use crate::endpoint::Wanted;
use crate::limits::keeper::Estimate;
use crate::limits::shortage::Judgement;
use crate::observe::Topic;
use crate::view;
use crate::view::Scope;
use crate::view::Service;

/// Time added to the expected duration of an overload in the retry time, so that a caller that retries finds capacity.
const OVERLOAD_MARGIN: Duration = Duration::from_millis(400);

/// Minimum retry time while all endpoints are closed or announced a rate.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Maximum retry time in an overload.
const MAX_OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Number of refused permits after which a request avoids the endpoints that announced a rate.
const MAX_REFUSED_PERMITS: usize = 4;

/// Divisor of the objective that gives the maximum time that a request waits for an endpoint to open.
const WAIT_DIVISOR: u32 = 8;

/// Interval at which a stream that begins checks whether the store has acknowledged a version.
const DECLARATION_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Endpoint that may get a request.
struct Candidate {
    choice: Choice,
    /// Whether the endpoint announced a rate and the request was already granted.
    is_granted: bool,
}

/// Returns the endpoint that the zone's keeper chose, for the first attempt and unless this entry knows a reason
/// against it.
fn placed_candidate(job: &Job, service: &Service, history: &History, now: Instant) -> Option<Candidate> {
    let placement = job.placement.filter(|_| history.tried.is_empty())?;
    let endpoint = service
        .all_endpoints()
        .find(|endpoint| endpoint.hash == placement.endpoint)?;
    if endpoint.is_leaving() || endpoint.health.is_paused(now) || !endpoint.is_wanted(history.wanted()) {
        return None;
    }
    if !placement.is_granted && endpoint.closed_until(now).is_some() {
        return None;
    }
    let estimate = placement.estimate;
    let estimated =
        |time: fn(&Estimate) -> u32| estimate.map_or(Duration::ZERO, |one| Duration::from_millis(time(&one).into()));
    Some(Candidate {
        choice: Choice {
            endpoint: Arc::clone(endpoint),
            unread: placement.unread,
            source: placement.source,
            cost: placement.cost,
            wait: estimated(|estimate| estimate.wait_ms),
            read: estimated(|estimate| estimate.read_ms),
            ahead: estimate.map(|estimate| estimate.ahead),
            running: estimate.map_or_else(|| endpoint.running(), |estimate| estimate.running),
            is_learned: estimate.is_some(),
        },
        is_granted: placement.is_granted,
    })
}

impl Forwarder {
    /// Chooses an endpoint that accepts the request now, and refuses at once a request that cannot be answered in time.
    ///
    /// Every send goes to an endpoint that was chosen here, so none exceeds the rate that an endpoint announced.
    pub(super) async fn choose(&self, service: &Service, job: &Job, history: &History) -> Result<Choice, Refusal> {
        let max_wait = job.route.objective / WAIT_DIVISOR;
        let until = self.shared.clock.now() + max_wait;
        let mut refused = 0;
        let mut avoided = history.tried.clone();
        loop {
            let now = self.shared.clock.now();
            let candidate = match self.candidate(now, service, job, history, &avoided) {
                Ok(candidate) => candidate,
                // A request that yields to others is refused at once.
                Err(refusal) if refusal.reason == Reason::Overloaded && self.shared.has_shortage_rules(service) => {
                    return Err(refusal);
                }
                Err(refusal) => match self.next_opening(now, service, history) {
                    Some(opens) if opens <= until => {
                        tokio::time::sleep(opens.since(now)).await;
                        refused = 0;
                        avoided.clone_from(&history.tried);
                        continue;
                    }
                    _ => return Err(refusal),
                },
            };
            let Candidate { choice, is_granted } = candidate;
            if is_granted || self.permits.acquire(&choice.endpoint, &job.metadata.id).await {
                if history.tried.is_empty() {
                    service.requested_tokens.fetch_add(choice.unread, Relaxed);
                }
                return Ok(choice);
            }
            refused += 1;
            if refused == MAX_REFUSED_PERMITS {
                let limited = self.available_endpoints(service, history);
                let limited = limited.filter(|endpoint| endpoint.signals.throttle.rate().is_some());
                avoided.extend(limited.map(|endpoint| endpoint.hash));
            }
        }
    }

    /// Returns the endpoints of a service that can be reached, are not leaving, and may get the request by their version.
    fn available_endpoints<'a>(
        &'a self,
        service: &'a Service,
        history: &'a History,
    ) -> impl Iterator<Item = &'a Arc<Endpoint>> {
        let is_stranded = self.shared.is_stranded();
        let zone = &self.shared.settings.zone;
        let reached = service
            .all_endpoints()
            .filter(move |endpoint| !is_stranded || endpoint.registration.zone == *zone);
        reached.filter(|endpoint| !endpoint.is_leaving() && endpoint.is_wanted(history.wanted()))
    }

    /// Returns the earliest time at which a closed endpoint that was not tried opens, or at which a version may be declared;
    /// `None` if no such endpoint is closed and no version is being declared.
    fn next_opening(&self, now: Instant, service: &Service, history: &History) -> Option<Instant> {
        if history.wanted() == Wanted::Declared && self.available_endpoints(service, history).next().is_none() {
            let mut known = service.all_endpoints().filter(|endpoint| !endpoint.is_leaving());
            return known.next().map(|_| now + DECLARATION_POLL_INTERVAL);
        }
        let open = self
            .available_endpoints(service, history)
            .filter(|endpoint| !history.tried.contains(&endpoint.hash));
        open.filter_map(|endpoint| endpoint.closed_until(now)).min()
    }

    /// Returns the refusal of a request that no endpoint accepts. If the request did not run and all endpoints are
    /// closed or announced a rate, it contains the time until the first one may open.
    fn closed_refusal(&self, now: Instant, service: &Service, history: &History) -> Refusal {
        let opens = |endpoint: &Arc<Endpoint>| {
            let is_limited = endpoint.signals.throttle.rate().is_some();
            endpoint.closed_until(now).or_else(|| is_limited.then_some(now))
        };
        let all_closed: Option<Vec<Instant>> = self.available_endpoints(service, history).map(opens).collect();
        match all_closed.and_then(|opens| opens.into_iter().min()) {
            Some(opens) if !history.may_have_run() => Refusal {
                reason: Reason::Throttled,
                retry_after: Some(opens.since(now).max(MIN_RETRY_AFTER)),
            },
            _ => history.refusal(false),
        }
    }

    /// Chooses an endpoint among those that accept requests, and refuses a request that cannot be answered in time.
    fn candidate(
        &self,
        now: Instant,
        service: &Service,
        job: &Job,
        history: &History,
        avoided: &[u64],
    ) -> Result<Candidate, Refusal> {
        let request = choice::Request {
            ask: &job.metadata,
            engine: service.engine,
            own_zone: &self.shared.settings.zone,
            preferred_zone: None,
            tried: avoided,
            wanted: history.wanted(),
            seed: choice::seed(&self.shared.settings.name),
            cache_sources: &[],
            typical: service.learned(),
        };
        if self.shared.is_stranded() {
            let choice = self.choose_in_own_zone(now, service, &request, history)?;
            if self.shared.has_shortage_rules(service) {
                self.judge(now, service, job, history, &choice, true)?;
            }
            return Ok(Candidate {
                choice,
                is_granted: false,
            });
        }
        let placed = placed_candidate(job, service, history, now);
        // A keeper of an older version gives no estimate for its choice.
        let is_estimated = placed.is_none() || job.placement.is_some_and(|placement| placement.estimate.is_some());
        let canary = match history.version() {
            Some(_) => service.canary.as_ref(),
            // Retries go to the version in force.
            None => service.canary_for(job.is_canary && history.tried.is_empty()),
        };
        let candidate = placed.or_else(|| {
            let cache_index = self.shared.cache_index();
            let choice =
                choice::choose_with_canary(&self.choice_settings, now, service, canary, &request, &cache_index)?;
            Some(Candidate {
                choice,
                is_granted: false,
            })
        });
        let candidate = candidate.ok_or_else(|| self.closed_refusal(now, service, history))?;
        self.judge(now, service, job, history, &candidate.choice, is_estimated)?;
        Ok(candidate)
    }

    /// Refuses a request that has to yield to others in a shortage, or that cannot be answered in time.
    ///
    /// Where the rules for a shortage apply, only the first send of a request is judged, and only once: by the keeper of
    /// the zone, or by this entry if there is none or it was not reached.
    fn judge(
        &self,
        now: Instant,
        service: &Service,
        job: &Job,
        history: &History,
        choice: &Choice,
        is_estimated: bool,
    ) -> Result<(), Refusal> {
        if self.shared.has_shortage_rules(service) {
            let is_first = history.tried.is_empty() && history.sends == 0 && !job.is_resumed();
            if is_first && job.is_admitted.get() {
                return Ok(());
            }
            if let (true, true, Some(terms)) = (is_first, is_estimated, &job.terms) {
                let terms = terms.after(now.since(job.arrived));
                let estimate = view::Estimate {
                    wait: choice.wait,
                    read: choice.read,
                };
                let id = &job.metadata.id;
                let judgement = self
                    .shared
                    .judge(service, &job.service, &terms, estimate, Scope::Entry, id);
                if let Some(retry_after) = judgement.and_then(Judgement::retry_after) {
                    return Err(overloaded(retry_after));
                }
                job.is_admitted.set(true);
                return Ok(());
            }
        }
        let respond_by = match history.pace.last_event() {
            Some(last) => last + job.patience(),
            None => job.arrived + job.start_timeout(),
        };
        let respond_by = respond_by.min(job.deadline);
        let time_left = respond_by.since(now).as_secs_f64() * 1e3;
        if service.engine.is_some() && choice.cost > time_left {
            self.log_overload(now, job, choice, time_left);
            return Err(if history.sends == 0 {
                let late = Duration::from_secs_f64((choice.cost - time_left) / 1e3);
                Refusal {
                    reason: Reason::Overloaded,
                    retry_after: Some((late + OVERLOAD_MARGIN).min(MAX_OVERLOAD_RETRY_AFTER)),
                }
            } else {
                history.refusal(false)
            });
        }
        Ok(())
    }

    /// Chooses an endpoint of the own zone, since other zones cannot be reached and connections to them would time out.
    fn choose_in_own_zone(
        &self,
        now: Instant,
        service: &Service,
        request: &choice::Request<'_>,
        history: &History,
    ) -> Result<Choice, Refusal> {
        let zone = &self.shared.settings.zone;
        let endpoints = service
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.registration.zone == *zone);
        let endpoints: Vec<_> = endpoints.cloned().collect();
        let choice = choice::choose(
            &self.choice_settings,
            now,
            &endpoints,
            request,
            &self.shared.cache_index(),
        );
        choice.ok_or_else(|| {
            let refusal = self.closed_refusal(now, service, history);
            if refusal.reason == Reason::NoEndpoint {
                Reason::Stranded.into()
            } else {
                refusal
            }
        })
    }

    /// Logs why no endpoint is expected to respond in time.
    fn log_overload(&self, now: Instant, job: &Job, choice: &Choice, time_left: f64) {
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::Limit) {
            info!(logger, "no endpoint in time"; "request" => job.metadata.id.as_str(),
                "route" => job.route.name.as_str(), "best" => choice.endpoint.registration.id.as_str(),
                "expected_ms" => choice.cost as u64, "useful_ms" => time_left as u64,
                "running" => choice.endpoint.running(), "unread" => choice.endpoint.unread(),
                "to_read" => choice.unread, "document" => self.document_version(), "left_out" => left_out);
        }
    }

    /// Returns whether the request goes to a model engine.
    pub(super) fn is_engine(&self, job: &Job) -> bool {
        self.shared.view.load().is_engine(&job.service)
    }
}
