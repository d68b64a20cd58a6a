//! Takes what a request counts from its organisation's limit.

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use ntex::http::StatusCode;
use tokio::time::timeout;

use super::Forwarder;
use super::job::Charge;
use super::refusal::Reason;
use super::refusal::Refusal;
use crate::dialect::Ask;
use crate::dialect::Size;
use crate::document::Organisation;
use crate::exchange;
use crate::exchange::Connection;
use crate::limits::Account;
use crate::limits::Keeper;
use crate::limits::Refused;
use crate::limits::keeper;
use crate::peers;
use crate::view::View;

impl Forwarder {
    /// Takes what a request counts, from this entry's share or from whoever keeps the account for all.
    pub(super) async fn charge(
        &self,
        view: &View,
        organisation: Option<&Organisation>,
        ask: &Ask,
        now: Instant,
    ) -> Result<Option<Charge>, Refusal> {
        let Some(organisation) = organisation else {
            return Ok(None);
        };
        let (Some(limit), Some(accounts)) = (organisation.limit, view.accounts.get(&organisation.name)) else {
            return Ok(None);
        };
        let units = limit.units(ask.size.map(Size::total));
        let from = |account: &Arc<Account>| {
            Some(Charge {
                account: Arc::clone(account),
                units,
            })
        };
        let taken = match accounts.keeper {
            Keeper::Nobody => accounts.own.take(now, units).map(|()| from(&accounts.own)),
            Keeper::Own | Keeper::Other(_) if accounts.own.take_whole(now, units).is_ok() => Ok(from(&accounts.own)),
            Keeper::Own => accounts.kept.take(now, units).map(|()| from(&accounts.kept)),
            Keeper::Other(address) => self.ask_keeper(address, &organisation.name, units).await.map(|()| None),
        };
        taken.map_err(|refused| Refusal {
            reason: Reason::OverLimit,
            retry_after: Some(refused.retry_after),
        })
    }

    /// Asks the entry that keeps an organisation's account for units.
    async fn ask_keeper(
        &self,
        address: SocketAddr,
        organisation: &name::Organisation,
        units: u64,
    ) -> Result<(), Refused> {
        /// When a caller may come back after a keeper could not be reached.
        const UNREACHED: Duration = Duration::from_millis(500);
        let unreached = Refused { retry_after: UNREACHED };
        let asked = timeout(keeper::PATIENCE, self.exchange_units(address, organisation, units)).await;
        let Ok(Some(answer)) = asked else {
            return Err(unreached);
        };
        match answer.retry_after_ms {
            None => Ok(()),
            Some(millis) => Err(Refused {
                retry_after: Duration::from_millis(millis),
            }),
        }
    }

    async fn exchange_units(
        &self,
        address: SocketAddr,
        organisation: &name::Organisation,
        units: u64,
    ) -> Option<keeper::Answer> {
        let question = keeper::Question {
            organisation: organisation.clone(),
            units,
        };
        let question = postcard::to_stdvec(&question).ok()?;
        let idle = self.pool.borrow_mut().take(self.shared.clock.now(), address);
        let mut connection = match idle {
            Some(connection) => connection,
            None => Connection::open(address, keeper::PATIENCE).await.ok()?,
        };
        let call = exchange::call(&mut connection, address, peers::GRANT, &question);
        let answer = call.await.ok()?;
        let now = self.shared.clock.now();
        self.pool.borrow_mut().put(now, address, connection, &answer.headers);
        (answer.status == StatusCode::OK).then(|| postcard::from_bytes(&answer.body).ok())?
    }
}
