//! Chooses the endpoint of the next try, and refuses at once what cannot be answered in time.

use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use slog::info;

use super::Forwarder;
use super::attempt::History;
use super::job::Job;
use super::refusal::Reason;
use super::refusal::Refusal;
use crate::choice;
use crate::choice::Choice;
use crate::endpoint::Endpoint;
use crate::observe::Topic;
use crate::view::Service;

/// How much longer than the overload is expected to last a caller is told to wait, so that it finds room.
const ROOM: Duration = Duration::from_millis(400);

/// The shortest time that a caller is told to wait until an endpoint takes more.
const SOONEST: Duration = Duration::from_millis(100);

/// The longest time that a caller is told to wait for room.
const LONGEST_ROOM: Duration = Duration::from_secs(2);

/// After how many refused permits a request leaves out the endpoints that name a rate.
const PERMITS: usize = 4;

/// The part of its objective that a request waits at the most for an endpoint to take more.
const WAITING_USED: u32 = 8;

/// An endpoint that may get a request.
struct Candidate {
    choice: Choice,
    /// Whether the request was granted already where the endpoint names a rate.
    is_granted: bool,
}

/// Returns the endpoint that the zone's keeper chose, for the first try and as long as this entry knows nothing against it.
fn placed(job: &Job, service: &Service, history: &History, now: Instant) -> Option<Candidate> {
    let placement = job.placement.filter(|_| history.tried.is_empty())?;
    let endpoint = service
        .all_endpoints()
        .find(|endpoint| endpoint.hash == placement.endpoint)?;
    if endpoint.is_leaving() || endpoint.health.is_paused(now) {
        return None;
    }
    if !placement.is_granted && endpoint.closed_until(now).is_some() {
        return None;
    }
    Some(Candidate {
        choice: Choice {
            endpoint: Arc::clone(endpoint),
            unread: placement.unread,
            source: placement.source,
            cost: placement.cost,
        },
        is_granted: placement.is_granted,
    })
}

impl Forwarder {
    /// Chooses an endpoint that takes the request now, and refuses at once what cannot be answered in time.
    ///
    /// Every send goes to an endpoint that was chosen here, so none exceeds the rate that an endpoint names.
    pub(super) async fn choose(&self, service: &Service, job: &Job, history: &History) -> Result<Choice, Refusal> {
        let patience = job.route.objective / WAITING_USED;
        let until = self.shared.clock.now() + patience;
        let mut refused = 0;
        let mut avoided = history.tried.clone();
        loop {
            let now = self.shared.clock.now();
            let candidate = match self.candidate(now, service, job, history, &avoided) {
                Ok(candidate) => candidate,
                Err(refusal) => match self.opens(now, service, history) {
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
            if is_granted || self.permits.acquire(&choice.endpoint, &job.ask.id).await {
                if history.tried.is_empty() {
                    service.requested_tokens.fetch_add(choice.unread, Relaxed);
                }
                return Ok(choice);
            }
            refused += 1;
            if refused == PERMITS {
                let limited = self.staying(service);
                let limited = limited.filter(|endpoint| endpoint.signals.throttle.rate().is_some());
                avoided.extend(limited.map(|endpoint| endpoint.hash));
            }
        }
    }

    /// Returns the endpoints of a service that are reached and do not leave.
    fn staying<'a>(&'a self, service: &'a Service) -> impl Iterator<Item = &'a Arc<Endpoint>> {
        let is_stranded = self.shared.is_stranded();
        let zone = &self.shared.settings.zone;
        let reached = service
            .all_endpoints()
            .filter(move |endpoint| !is_stranded || endpoint.registration.zone == *zone);
        reached.filter(|endpoint| !endpoint.is_leaving())
    }

    /// Returns when the first endpoint takes more that has not had the request; `None` when there is none.
    fn opens(&self, now: Instant, service: &Service, history: &History) -> Option<Instant> {
        let open = self
            .staying(service)
            .filter(|endpoint| !history.tried.contains(&endpoint.hash));
        open.filter_map(|endpoint| endpoint.closed_until(now)).min()
    }

    /// Returns the refusal of a request that no endpoint takes; where all of them are closed or name rates, with the time at which
    /// the first one may take more.
    fn closed(&self, now: Instant, service: &Service, history: &History) -> Refusal {
        let opens = |endpoint: &Arc<Endpoint>| {
            let is_limited = endpoint.signals.throttle.rate().is_some();
            endpoint.closed_until(now).or_else(|| is_limited.then_some(now))
        };
        let all_closed: Option<Vec<Instant>> = self.staying(service).map(opens).collect();
        match all_closed.and_then(|opens| opens.into_iter().min()) {
            Some(opens) if !history.may_have_run() => Refusal {
                reason: Reason::Throttled,
                retry_after: Some(opens.since(now).max(SOONEST)),
            },
            _ => history.refusal(false),
        }
    }

    /// Chooses an endpoint among those that take work, and refuses what cannot be answered in time.
    fn candidate(
        &self,
        now: Instant,
        service: &Service,
        job: &Job,
        history: &History,
        avoided: &[u64],
    ) -> Result<Candidate, Refusal> {
        let request = choice::Request {
            ask: &job.ask,
            engine: service.engine,
            own_zone: &self.shared.settings.zone,
            preferred_zone: None,
            tried: avoided,
            cache_sources: &[],
        };
        if self.shared.is_stranded() {
            let choice = self.choose_here(now, service, &request, history)?;
            return Ok(Candidate {
                choice,
                is_granted: false,
            });
        }
        let placed = placed(job, service, history, now);
        // A repeat goes to the version in force.
        let canary = service.canary_for(job.is_canary && history.tried.is_empty());
        let candidate = placed.or_else(|| {
            let recall = self.shared.cache_index();
            let choice = choice::choose_with_canary(&self.weights, now, service, canary, &request, &recall)?;
            Some(Candidate {
                choice,
                is_granted: false,
            })
        });
        let candidate = candidate.ok_or_else(|| self.closed(now, service, history))?;
        let choice = &candidate.choice;
        let useful = (job.arrived + job.useful()).min(job.deadline);
        let left = useful.since(now).as_secs_f64() * 1e3;
        if service.engine.is_some() && choice.cost > left {
            self.overloaded(now, job, choice, left);
            return Err(if history.sends == 0 {
                let late = Duration::from_secs_f64((choice.cost - left) / 1e3);
                Refusal {
                    reason: Reason::Overloaded,
                    retry_after: Some((late + ROOM).min(LONGEST_ROOM)),
                }
            } else {
                history.refusal(false)
            });
        }
        Ok(candidate)
    }

    /// Chooses an endpoint of the own zone: what lies in other zones is not reached, and connections to it are waited for in
    /// vain.
    fn choose_here(
        &self,
        now: Instant,
        service: &Service,
        request: &choice::Request<'_>,
        history: &History,
    ) -> Result<Choice, Refusal> {
        let zone = &self.shared.settings.zone;
        let here = service
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.registration.zone == *zone);
        let here: Vec<_> = here.cloned().collect();
        let choice = choice::choose(&self.weights, now, &here, request, &self.shared.cache_index());
        choice.ok_or_else(|| {
            let refusal = self.closed(now, service, history);
            if refusal.reason == Reason::NoEndpoint {
                Reason::Stranded.into()
            } else {
                refusal
            }
        })
    }

    /// Notes what decided that no endpoint is expected to answer in time.
    fn overloaded(&self, now: Instant, job: &Job, choice: &Choice, left: f64) {
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::Limit) {
            info!(logger, "no endpoint in time"; "request" => job.ask.id.as_str(),
                "route" => job.route.name.as_str(), "best" => choice.endpoint.registration.id.as_str(),
                "expected_ms" => choice.cost as u64, "useful_ms" => left as u64,
                "running" => choice.endpoint.running(), "unread" => choice.endpoint.unread(),
                "to_read" => choice.unread, "document" => self.version(), "left_out" => left_out);
        }
    }

    pub(super) fn is_engine(&self, job: &Job) -> bool {
        self.shared.view.load().is_engine(&job.service)
    }
}
