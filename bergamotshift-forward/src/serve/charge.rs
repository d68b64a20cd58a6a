//! Charges a request to its organisation's limit, and has the zone's keeper choose an endpoint for it.

use core::time::Duration;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::precedence::Kind;

use super::Forwarder;
use super::job::Charge;
use super::job::is_resumed;
use super::job::start_timeout;
use super::refusal::Reason;
use super::refusal::Refusal;
use crate::dialect::Metadata;
use crate::dialect::Size;
use crate::document::Organisation;
use crate::document::Route;
use crate::endpoint::Endpoint;
use crate::limits::Account;
use crate::limits::Keeper;
use crate::limits::Refused;
use crate::limits::keeper::Generation;
use crate::limits::keeper::Placement;
use crate::limits::keeper::Units;
use crate::limits::shortage::Judgement;
use crate::limits::shortage::Terms;
use crate::limits::shortage::whole_millis;
use crate::peers;
use crate::view::View;

/// Request that is to be admitted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Applicant<'a> {
    /// Organisation of the caller; `None` if it was not authenticated.
    pub(super) organisation: Option<&'a Organisation>,
    /// Matching route.
    pub(super) route: &'a Route,
    /// Service that the route selected.
    pub(super) service: &'a name::Service,
    /// Metadata from its headers.
    pub(super) metadata: &'a Metadata,
    /// Fingerprint of the whole request.
    pub(super) fingerprint: Fingerprint,
    /// Urgency, where 0 comes first.
    pub(super) urgency: u8,
    /// Whether it belongs to the share of requests that a new version gets.
    pub(super) is_canary: bool,
    /// Time at which its head was read.
    pub(super) arrived: Instant,
    /// Time at which its caller or its route stops waiting.
    pub(super) deadline: Instant,
}

impl Applicant<'_> {
    /// Returns the terms of its admission in a shortage when it arrived.
    fn terms(&self) -> Terms {
        let limit = self.organisation.and_then(|organisation| organisation.limit);
        let time_left = self.deadline.since(self.arrived);
        Terms {
            organisation: self.organisation.map(|organisation| organisation.name.clone()),
            weight: limit.map_or(1.0, |limit| limit.rate),
            urgency: self.urgency,
            objective_ms: whole_millis(self.route.objective),
            objective_left_ms: whole_millis(self.route.objective),
            latest_ms: whole_millis(start_timeout(self.route).min(time_left)),
            time_left_ms: whole_millis(time_left),
            key: self.fingerprint,
        }
    }
}

/// Admission of a request.
#[derive(Debug, Default)]
pub(super) struct Admission {
    /// Charge that this entry made against the organisation's limit.
    pub(super) charge: Option<Charge>,
    /// Endpoint that the zone's keeper chose for the request.
    pub(super) placement: Option<Placement>,
    /// Terms of its admission in a shortage, if the rules for one apply and it is no resumed stream.
    pub(super) terms: Option<Terms>,
    /// Whether the zone's keeper admitted it by these rules.
    pub(super) is_admitted: bool,
}

impl Forwarder {
    /// Charges a request to this entry's share of the limit, or asks the keeper of its zone.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the organisation is over its limit, or when the keeper refuses the request in a
    /// shortage.
    pub(super) async fn charge(&self, view: &View, applicant: &Applicant<'_>) -> Result<Admission, Refusal> {
        let Applicant {
            organisation,
            service,
            metadata,
            arrived,
            ..
        } = *applicant;
        let accounts = organisation.and_then(|organisation| {
            let accounts = view.accounts.get(&organisation.name)?;
            let count = organisation.limit?.units(metadata.size.map(Size::total));
            let units = Units {
                organisation: organisation.name.clone(),
                count,
                unreported: match view.keepers.keeper {
                    Keeper::Nobody => 0,
                    Keeper::Own | Keeper::Other(_) | Keeper::Unknown => accounts.own.take_unreported(arrived),
                },
            };
            Some((accounts, units))
        });
        let kind = if is_resumed(metadata) { Kind::Resumed } else { Kind::New };
        let has_terms = kind == Kind::New
            && view
                .services
                .get(service)
                .is_some_and(|service| self.shared.has_shortage_rules(service));
        let terms = has_terms.then(|| applicant.terms());
        let current = || {
            let elapsed = self.shared.clock.now().since(arrived);
            terms.as_ref().map(|terms| terms.after(elapsed))
        };
        let generation = || {
            let size = metadata.size.filter(|_| view.is_engine(service))?;
            Some(Generation {
                service: service.clone(),
                prompt: size.prompt,
                parts: metadata.parts.clone(),
                is_canary: applicant.is_canary,
                avoided: avoided_endpoints(view, service, arrived),
            })
        };
        let admission = match (view.keepers.keeper, accounts) {
            (Keeper::Nobody, None) => Admission::default(),
            (Keeper::Nobody, Some((accounts, units))) => {
                accounts.own.take(arrived, units.count, kind)?;
                charged(&accounts.own, units.count)
            }
            (Keeper::Own, accounts) => {
                let mut admission = Admission::default();
                if let Some((accounts, units)) = accounts {
                    peers::keep::grant(view, arrived, &units, kind)?;
                    admission = charged(&accounts.zone, units.count);
                }
                if let Some(generation) = generation() {
                    let current = current();
                    let placed =
                        peers::keep::place(&self.permits, view, &generation, current.as_ref(), &metadata.id).await;
                    if let Some(retry_after) = placed.judgement.and_then(Judgement::retry_after) {
                        if let Some(charge) = &admission.charge {
                            charge.refund();
                        }
                        return Err(overloaded(retry_after));
                    }
                    admission.placement = placed.placement;
                    admission.is_admitted = placed.judgement.is_some();
                }
                admission
            }
            (Keeper::Other(_) | Keeper::Unknown, accounts) => {
                let units = accounts.map(|(_, units)| units);
                let answer = self.ask_keeper(units, generation(), current(), kind).await?;
                if let Some(retry_after) = answer.detail.judgement.and_then(Judgement::retry_after) {
                    return Err(overloaded(retry_after));
                }
                Admission {
                    placement: answer.placement(),
                    is_admitted: answer.detail.judgement.is_some(),
                    ..Admission::default()
                }
            }
        };
        Ok(Admission { terms, ..admission })
    }
}

impl From<Refused> for Refusal {
    fn from(refused: Refused) -> Self {
        Self {
            reason: Reason::OverLimit,
            retry_after: Some(refused.retry_after),
        }
    }
}

/// Returns the refusal of a request that yields to others in a shortage.
pub(super) const fn overloaded(retry_after: Duration) -> Refusal {
    Refusal {
        reason: Reason::Overloaded,
        retry_after: Some(retry_after),
    }
}

/// Returns the endpoints of a service that announced that they accept no requests from this entry.
///
/// Only this entry may know that; a keeper that does not would consider them idle and place all generations there.
fn avoided_endpoints(view: &View, service: &name::Service, now: Instant) -> Vec<u64> {
    let Some(service) = view.services.get(service) else {
        return Vec::new();
    };
    let accepts_nothing = |endpoint: &&Arc<Endpoint>| {
        let is_announced = endpoint.signals.is_leaving() || endpoint.signals.paused_until(now).is_some();
        is_announced && !endpoint.is_withdrawn()
    };
    service
        .all_endpoints()
        .filter(accepts_nothing)
        .map(|endpoint| endpoint.hash)
        .collect()
}

/// Returns the admission of a request that was charged to an account.
fn charged(account: &Arc<Account>, units: u64) -> Admission {
    Admission {
        charge: Some(Charge {
            account: Arc::clone(account),
            units,
        }),
        ..Admission::default()
    }
}
