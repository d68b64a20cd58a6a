//! Connections that show whether the process of an endpoint lives on after an answer without framing.

use core::cell::Cell;
use core::cell::RefCell;
use core::time::Duration;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::ending;
use bergamotshift_limit::ending::Renewal;
use smol_str::SmolStr;

use super::Forwarder;
use crate::endpoint::Endpoint;
use crate::exchange::Connection;
use crate::exchange::Liveness;
use crate::relay;

/// Timeout for opening a witness.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which answers of a service are expected to have no framing after one that had none.
const UNFRAMED_TTL: Duration = Duration::from_secs(30);

/// Idle connection to the process of an endpoint, which ends when the process does.
#[derive(Debug, Default)]
pub(super) struct Witness {
    connection: RefCell<Option<Connection>>,
    /// State that it ended in.
    ended: Cell<Option<ending::Witness>>,
}

impl Witness {
    /// Returns the state of the connection.
    pub(super) fn state(&self) -> ending::Witness {
        if let Some(ended) = self.ended.get() {
            return ended;
        }
        let state = match self.connection.borrow().as_ref().map(Connection::liveness) {
            Some(Liveness::Open) => return ending::Witness::Open,
            // It is still being opened.
            None => return ending::Witness::Missing,
            Some(Liveness::Ended) => ending::Witness::Ended,
            Some(Liveness::Broken) => ending::Witness::Missing,
        };
        self.ended.set(Some(state));
        state
    }

    /// Returns whether it is open or being opened.
    fn is_usable(&self) -> bool {
        self.ended.get().is_none() && (self.connection.borrow().is_none() || self.state() == ending::Witness::Open)
    }
}

/// Witnesses of one thread.
#[derive(Debug, Default)]
pub(super) struct Witnesses {
    /// Witnesses by the hash of the endpoint.
    by_endpoint: RefCell<HashMap<u64, Rc<Witness>>>,
    /// Time of the last answer without framing, by service.
    unframed: RefCell<HashMap<name::Service, Instant>>,
    /// Intervals of renewal, by service.
    renewals: RefCell<HashMap<name::Service, Renewal>>,
}

impl Witnesses {
    /// Returns the time after which a witness of an endpoint of a service is renewed.
    fn renewal_interval(&self, service: &name::Service, now: Instant) -> Duration {
        let renewals = self.renewals.borrow();
        renewals.get(service).copied().unwrap_or_default().interval(now)
    }

    /// Records that an endpoint of a service closed a witness, and lives on; returns the interval of renewal from now on.
    pub(super) fn record_idle_end(&self, service: &name::Service, now: Instant) -> Duration {
        let mut renewals = self.renewals.borrow_mut();
        let renewal = renewals.entry(service.clone()).or_default();
        renewal.record_idle_end(now);
        renewal.interval(now)
    }
}

impl Forwarder {
    /// Returns a witness for a request that is about to be sent on a connection, if answers of its service lately had no
    /// framing. One that is opened later misses a process that ends soon after the answer has begun.
    pub(super) fn early_witness(
        self: &Rc<Self>,
        endpoint: &Arc<Endpoint>,
        request: &SmolStr,
        connection: &Connection,
    ) -> Option<Rc<Witness>> {
        let unframed = self.witnesses.unframed.borrow();
        let last = *unframed.get(&endpoint.registration.service)?;
        drop(unframed);
        let is_recent = self.shared.clock.now().since(last) < UNFRAMED_TTL;
        is_recent.then(|| self.witness(endpoint, request, connection))
    }

    /// Records that an answer of a service has no framing.
    pub(super) fn record_unframed(&self, service: &name::Service) {
        let now = self.shared.clock.now();
        self.witnesses.unframed.borrow_mut().insert(service.clone(), now);
    }

    /// Returns a witness of an endpoint's process, which is opened if there is none yet in the way of another connection.
    /// Until it is open, an idle connection of the pool takes its place.
    pub(super) fn witness(
        self: &Rc<Self>,
        endpoint: &Arc<Endpoint>,
        request: &SmolStr,
        answer: &Connection,
    ) -> Rc<Witness> {
        let mut witnesses = self.witnesses.by_endpoint.borrow_mut();
        if let Some(witness) = witnesses.get(&endpoint.hash).filter(|witness| witness.is_usable()) {
            return Rc::clone(witness);
        }
        let witness = Rc::new(Witness::default());
        let now = self.shared.clock.now();
        let pool = if answer.is_tunnel() { &self.tunnels } else { &self.pool };
        let idle = pool.borrow_mut().take(now, endpoint.registration.address);
        witness.connection.replace(idle);
        witnesses.insert(endpoint.hash, Rc::clone(&witness));
        let opening = Opening {
            endpoint: Arc::clone(endpoint),
            request: request.clone(),
            is_tunnel: answer.is_tunnel(),
        };
        ntex::rt::spawn(Rc::clone(self).keep_witness(Rc::clone(&witness), opening));
        witness
    }

    /// Opens a witness, and renews it for as long as answers need it.
    async fn keep_witness(self: Rc<Self>, witness: Rc<Witness>, opening: Opening) {
        /// References that this task and the list hold.
        const OWN: usize = 2;
        let hash = opening.endpoint.hash;
        let mut is_needed = true;
        while is_needed {
            if let Some(next) = self.open_witness(&opening).await {
                // While the former one is open, the process that accepted the next one is the same.
                let is_same = witness.connection.borrow().is_none() || witness.state() == ending::Witness::Open;
                if is_same {
                    witness.connection.replace(Some(next));
                }
            }
            if witness.state() != ending::Witness::Open {
                break;
            }
            let now = self.shared.clock.now();
            let service = &opening.endpoint.registration.service;
            tokio::time::sleep(self.witnesses.renewal_interval(service, now)).await;
            is_needed = Rc::strong_count(&witness) > OWN && witness.state() == ending::Witness::Open;
        }
        if witness.connection.borrow().is_none() {
            witness.ended.set(Some(ending::Witness::Missing));
        }
        let mut witnesses = self.witnesses.by_endpoint.borrow_mut();
        if witnesses.get(&hash).is_some_and(|listed| Rc::ptr_eq(listed, &witness)) {
            witnesses.remove(&hash);
        }
    }

    /// Opens a connection in the way of the answer.
    async fn open_witness(&self, opening: &Opening) -> Option<Connection> {
        let Opening {
            endpoint,
            request,
            is_tunnel,
        } = opening;
        if *is_tunnel {
            return relay::open(&self.shared, endpoint, request, CONNECT_TIMEOUT).await.ok();
        }
        self.shared.metrics.connections.inc();
        Connection::open(endpoint.registration.address, CONNECT_TIMEOUT)
            .await
            .ok()
    }
}

/// What a witness is opened for.
struct Opening {
    endpoint: Arc<Endpoint>,
    request: SmolStr,
    is_tunnel: bool,
}
