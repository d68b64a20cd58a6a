//! Decides on the capacity of one service while its lease is held, and carries the decisions out.

use std::rc::Rc;

use bergamotshift_capacity::duty::Kernel;
use bergamotshift_capacity::duty::Order;
use bergamotshift_capacity::duty::Token;
use bergamotshift_capacity::market::Pool;
use bergamotshift_capacity::policy;
use bergamotshift_config::config::Service;
use bergamotshift_core::prelude::*;
use bergamotshift_core::vm::Listing;
use bergamotshift_core::vm::Role;
use bergamotshift_endpoint::adapter::Adapter;
use bergamotshift_endpoint::order;
use bergamotshift_platform::Error;
use bergamotshift_platform::cloud::Cloud;
use bergamotshift_platform::cloud::Spec;
use bergamotshift_platform::weights::Weights;
use slog::Logger;
use slog::info;
use slog::warn;

use super::Change;
use super::Clock;
use super::Lease;
use super::Observation;
use super::Settings;
use super::loader::Loader;

/// Clients that carry out orders.
#[derive(Clone, Debug)]
pub struct Clients {
    /// The cloud, which does not check fencing numbers.
    pub cloud: Rc<dyn Cloud>,
    /// The weight store, if models are loaded by order.
    pub weights: Option<Rc<dyn Weights>>,
    /// Adapter that sends orders to the service's endpoints.
    pub adapter: Rc<dyn Adapter>,
    /// Destination of log records.
    pub logger: Logger,
}

/// Capacity duty of one service at one entry, which holds it or watches its holder.
#[derive(Debug)]
pub struct Capacity {
    settings: Settings,
    service: Service,
    lease: Lease,
    clients: Clients,
    clock: Clock,
    kernel: Option<Kernel>,
    loader: Loader,
}

/// Decision on the remaining orders of a round: carry them out, or drop them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flow {
    Continue,
    Stop,
}

impl Capacity {
    /// Creates the duty of a service, which this entry does not hold yet.
    pub fn new(settings: Settings, service: Service, lease: Lease, clients: Clients, clock: Clock) -> Self {
        Self {
            settings,
            service,
            lease,
            clients,
            clock,
            kernel: None,
            loader: Loader::default(),
        }
    }

    /// Returns whether this entry believes that it holds the duty, and so has to read the VM list.
    pub const fn is_held(&self) -> bool {
        self.kernel.is_some()
    }

    /// Replaces the service's configuration.
    pub fn update_service(&mut self, service: &Service) {
        if self.service != *service {
            self.service = service.clone();
        }
    }

    /// Renews the lease, or checks its holder, if that is due; starts or drops the kernel when the holder changes.
    pub async fn update_lease(&mut self) {
        for change in self.lease.step().await {
            self.kernel = match change {
                Change::Begun(number) => self.begin(number),
                Change::Ended => None,
            };
        }
    }

    /// Releases the duty.
    pub async fn resign(&mut self) {
        self.kernel = None;
        self.lease.resign().await;
    }

    /// Records the service's VMs from the VM list, if this entry holds the duty.
    pub fn record_listings(&mut self, listings: &[Listing]) {
        let now = self.clock.now();
        let role = Role::Endpoint(self.service.name.clone());
        let own: Vec<_> = listings.iter().filter(|vm| vm.role == role).cloned().collect();
        if let Some(kernel) = &mut self.kernel {
            kernel.record_listings(now, &own);
        }
    }

    /// Runs one round: decides on orders, carries them out, and loads models; does nothing if the duty is not held.
    pub async fn tick(&mut self, observation: &Observation) {
        let now = self.clock.now();
        let Some(kernel) = &mut self.kernel else { return };
        for (vm, endpoint) in &observation.endpoints {
            kernel.record_serving(now, vm, endpoint.idle);
        }
        for order in kernel.tick(now, &observation.offers, observation.demand) {
            if self.carry_out(order, observation).await == Flow::Stop {
                break;
            }
        }
        let Clients { weights, adapter, .. } = &self.clients;
        if let Some(weights) = weights {
            let loader = &mut self.loader;
            loader
                .load(
                    &self.lease,
                    &self.clock,
                    &self.service,
                    &**weights,
                    &**adapter,
                    observation,
                )
                .await;
        }
    }

    fn begin(&mut self, number: u64) -> Option<Kernel> {
        info!(self.clients.logger, "capacity duty begins"; "service" => self.service.name.as_str(), "number" => number);
        self.loader = Loader::default();
        let Settings {
            duty,
            policy,
            policy_name,
            ..
        } = &self.settings;
        let policy = policy::build(policy_name, *policy)?;
        Some(Kernel::new(*duty, policy, number))
    }

    async fn carry_out(&mut self, order: Order, observation: &Observation) -> Flow {
        // A process that is paused until its lease expires and resumes between two orders would undo its successor's
        // work. The permit is therefore checked against the current time before each order. The cloud and drains do
        // not check fencing numbers: for these, a new holder waits until no order of the previous one can be in flight.
        let Some(fencing) = self.lease.permit(false) else {
            return Flow::Stop;
        };
        match order {
            Order::Start { token, pool } => self.start(token, pool).await,
            Order::Stop(vm) => {
                if let Err(error) = self.clients.cloud.stop(vm.clone()).await {
                    warn!(self.clients.logger, "a VM is not stopped"; "vm" => vm.as_str(), "error" => %error);
                }
            }
            Order::Drain(vm) => self.drain(vm, fencing, observation).await,
        }
        Flow::Continue
    }

    async fn start(&mut self, token: Token, pool: Pool) {
        // The name is derived from the purchase, so a repeated call does not buy a second VM.
        let Token { fencing, number } = token;
        let name = name::Vm::new(format!("{}-{fencing}-{number}", self.service.name));
        let spec = Spec {
            name: name.clone(),
            zone: pool.zone,
            class: pool.class,
            market: pool.market,
            role: Role::Endpoint(self.service.name.clone()),
        };
        let result = self.clients.cloud.start(spec).await;
        let now = self.clock.now();
        let Some(kernel) = &mut self.kernel else { return };
        match result {
            Ok(()) => kernel.record_purchase(now, token, name),
            // The VM may have been started; the kernel repeats the order under the same name.
            Err(Error::Unknown(_)) => {}
            Err(error) => {
                info!(self.clients.logger, "a VM is refused"; "vm" => name.as_str(), "error" => %error);
                kernel.record_refusal(now, token);
            }
        }
    }

    async fn drain(&self, vm: name::Vm, fencing: u64, observation: &Observation) {
        // The kernel repeats the order for an endpoint that cannot be reached. Its VM is not stopped before it reports
        // that it is idle.
        let Some(endpoint) = observation.endpoints.get(&vm) else {
            return;
        };
        let action = order::Action::Drain;
        let order = order::Order { action, fencing };
        if let Err(error) = self.clients.adapter.order(&endpoint.target, order).await {
            warn!(self.clients.logger, "an endpoint is not drained"; "vm" => vm.as_str(), "error" => %error);
        }
    }
}
