//! Takes what a request counts from its organisation's limit, and has an endpoint chosen for it where another entry does.

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

/// What a request was let in with.
#[derive(Debug, Default)]
pub(super) struct Admission {
    /// What it counts against its organisation's limit, and where.
    pub(super) charge: Option<Charge>,
    /// The endpoint that the zone's keeper chose for it.
    pub(super) placement: Option<Placement>,
}

impl Forwarder {
    /// Takes what a request counts, from this entry's share or from whoever keeps its zone.
    pub(super) async fn charge(
        &self,
        view: &View,
        organisation: Option<&Organisation>,
        service: &name::Service,
        ask: &Metadata,
        is_canary: bool,
        now: Instant,
    ) -> Result<Admission, Refusal> {
        let accounts = organisation.and_then(|organisation| {
            let accounts = view.accounts.get(&organisation.name)?;
            let count = organisation.limit?.units(ask.size.map(Size::total));
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
            let size = ask.size.filter(|_| view.is_engine(service))?;
            Some(Generation {
                service: service.clone(),
                prompt: size.prompt,
                parts: ask.parts.clone(),
                is_canary,
                avoided: avoided(view, service, now),
            })
        };
        let admission = match (view.keepers.keeper, accounts) {
            (Keeper::Nobody, None) => Ok(Admission::default()),
            (Keeper::Nobody, Some((accounts, units))) => accounts
                .own
                .take(now, units.count)
                .map(|()| from(&accounts.own, units.count)),
            (Keeper::Own, accounts) => {
                let granted = accounts.map_or(Ok(Admission::default()), |(accounts, units)| {
                    peers::keep::grant(view, now, &units).map(|()| from(&accounts.zone, units.count))
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

/// Returns the endpoints of a service that said that they want nothing from this entry.
///
/// Only this entry may know that; a keeper that does not would take them for idle and place all generations there.
fn avoided(view: &View, service: &name::Service, now: Instant) -> Vec<u64> {
    let Some(service) = view.services.get(service) else {
        return Vec::new();
    };
    let wants_nothing = |endpoint: &&Arc<Endpoint>| {
        let is_told = endpoint.signals.is_leaving() || endpoint.signals.paused_until(now).is_some();
        is_told && !endpoint.is_withdrawn()
    };
    service
        .all_endpoints()
        .filter(wants_nothing)
        .map(|endpoint| endpoint.hash)
        .collect()
}

fn from(account: &Arc<Account>, units: u64) -> Admission {
    Admission {
        charge: Some(Charge {
            account: Arc::clone(account),
            units,
        }),
        placement: None,
    }
}
