//! Charges a request to its organisation's limit, and has the zone's keeper choose an endpoint for it.

use std::sync::Arc;

use bergamotshift_core::prelude::*;

use super::Forwarder;
use super::job::Charge;
use super::refusal::Reason;
use super::refusal::Refusal;
use crate::dialect::Metadata;
use crate::dialect::Size;
use crate::document::Organisation;
use crate::endpoint::Endpoint;
use crate::limits::Account;
use crate::limits::Keeper;
use crate::limits::Refused;
use crate::limits::keeper::Generation;
use crate::limits::keeper::Placement;
use crate::limits::keeper::Units;
use crate::peers;
use crate::view::View;

/// Admission of a request.
#[derive(Debug, Default)]
pub(super) struct Admission {
    /// Charge that this entry made against the organisation's limit.
    pub(super) charge: Option<Charge>,
    /// Endpoint that the zone's keeper chose for the request.
    pub(super) placement: Option<Placement>,
}

impl Forwarder {
    /// Charges a request to this entry's share of the limit, or asks the keeper of its zone.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the organisation is over its limit.
    pub(super) async fn charge(
        &self,
        view: &View,
        organisation: Option<&Organisation>,
        service: &name::Service,
        metadata: &Metadata,
        is_canary: bool,
        now: Instant,
    ) -> Result<Admission, Refusal> {
        let accounts = organisation.and_then(|organisation| {
            let accounts = view.accounts.get(&organisation.name)?;
            let count = organisation.limit?.units(metadata.size.map(Size::total));
            let units = Units {
                organisation: organisation.name.clone(),
                count,
                unreported: match view.keepers.keeper {
                    Keeper::Nobody => 0,
                    Keeper::Own | Keeper::Other(_) | Keeper::Unknown => accounts.own.take_unreported(now),
                },
            };
            Some((accounts, units))
        });
        let generation = || {
            let size = metadata.size.filter(|_| view.is_engine(service))?;
            Some(Generation {
                service: service.clone(),
                prompt: size.prompt,
                parts: metadata.parts.clone(),
                is_canary,
                avoided: avoided_endpoints(view, service, now),
            })
        };
        let admission = match (view.keepers.keeper, accounts) {
            (Keeper::Nobody, None) => Ok(Admission::default()),
            (Keeper::Nobody, Some((accounts, units))) => accounts
                .own
                .take(now, units.count)
                .map(|()| charged(&accounts.own, units.count)),
            (Keeper::Own, accounts) => {
                let granted = accounts.map_or(Ok(Admission::default()), |(accounts, units)| {
                    peers::keep::grant(view, now, &units).map(|()| charged(&accounts.zone, units.count))
                });
                match (granted, generation()) {
                    (Ok(admission), Some(generation)) => Ok(Admission {
                        placement: peers::keep::place(&self.permits, view, &generation).await,
                        ..admission
                    }),
                    (granted, _) => granted,
                }
            }
            (Keeper::Other(_) | Keeper::Unknown, accounts) => {
                let units = accounts.map(|(_, units)| units);
                let asked = self.ask_keeper(units, generation()).await;
                asked.map(|placement| Admission {
                    charge: None,
                    placement,
                })
            }
        };
        admission.map_err(|Refused { retry_after }| Refusal {
            reason: Reason::OverLimit,
            retry_after: Some(retry_after),
        })
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
        placement: None,
    }
}
