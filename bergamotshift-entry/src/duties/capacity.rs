//! The capacity of one service: decided while its lease is held, and carried out.

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
use super::Picture;
use super::Settings;
use super::loader::Loader;

/// What orders are carried out with.
#[derive(Clone, Debug)]
pub struct Hands {
    /// The cloud, which knows no fencing numbers.
    pub cloud: Rc<dyn Cloud>,
    /// The weight store, when models are loaded by order.
    pub weights: Option<Rc<dyn Weights>>,
    /// Speaks to the service's endpoints.
    pub adapter: Rc<dyn Adapter>,
    /// Where log records go.
    pub logger: Logger,
}

/// One service's capacity duty at one entry, held or watched.
#[derive(Debug)]
pub struct Capacity {
    settings: Settings,
    service: Service,
    lease: Lease,
    hands: Hands,
    clock: Clock,
    kernel: Option<Kernel>,
    loader: Loader,
}

/// Whether any further orders of the kernel may be given in this round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pace {
    On,
    Stop,
}

impl Capacity {
    /// Makes the duty of a service; nobody holds it as far as it knows.
    pub fn new(settings: Settings, service: Service, lease: Lease, hands: Hands, clock: Clock) -> Self {
        Self {
            settings,
            service,
            lease,
            hands,
            clock,
            kernel: None,
            loader: Loader::default(),
        }
    }

    /// Returns whether this entry holds the duty as far as it knows, so that it has to look at the VM list.
    pub const fn is_held(&self) -> bool {
        self.kernel.is_some()
    }

    /// Follows the service's configuration.
    pub fn follow(&mut self, service: &Service) {
        if self.service != *service {
            self.service = service.clone();
        }
    }

    /// Renews or watches the lease, when that is due.
    pub async fn keep(&mut self) {
        for change in self.lease.step().await {
            self.kernel = match change {
                Change::Begun(number) => self.begin(number),
                Change::Ended => None,
            };
        }
    }

    /// Gives the duty up.
    pub async fn resign(&mut self) {
        self.kernel = None;
        self.lease.resign().await;
    }

    /// Takes over what the VM list says.
    pub fn listed(&mut self, listings: &[Listing]) {
        let now = self.clock.now();
        let role = Role::Endpoint(self.service.name.clone());
        let own: Vec<_> = listings.iter().filter(|vm| vm.role == role).cloned().collect();
        if let Some(kernel) = &mut self.kernel {
            kernel.record_listings(now, &own);
        }
    }

    /// Decides and carries out what is decided.
    pub async fn act(&mut self, picture: &Picture) {
        let now = self.clock.now();
        let Some(kernel) = &mut self.kernel else { return };
        for (vm, reached) in &picture.reached {
            kernel.record_serving(now, vm, reached.idle);
        }
        for order in kernel.tick(now, &picture.offers, picture.demand) {
            if self.carry_out(order, picture).await == Pace::Stop {
                break;
            }
        }
        let Hands { weights, adapter, .. } = &self.hands;
        if let Some(weights) = weights {
            let loader = &mut self.loader;
            loader
                .load(&self.lease, &self.clock, &self.service, &**weights, &**adapter, picture)
                .await;
        }
    }

    fn begin(&mut self, number: u64) -> Option<Kernel> {
        info!(self.hands.logger, "capacity duty begins"; "service" => self.service.name.as_str(), "number" => number);
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

    async fn carry_out(&mut self, order: Order, picture: &Picture) -> Pace {
        // Failure: the process is paused, its lease lapses, and it wakes up in the middle of its orders. Symptom: it
        // undoes what its successor does. So the permit is asked for before each order and by the clock of that
        // moment. The cloud and a drain check no number: for them a new holder waits until no order of the last one
        // can be on its way.
        let Some(fencing) = self.lease.permit(false) else {
            return Pace::Stop;
        };
        match order {
            Order::Start { token, pool } => self.start(token, pool).await,
            Order::Stop(vm) => {
                if let Err(error) = self.hands.cloud.stop(vm.clone()).await {
                    warn!(self.hands.logger, "a VM is not stopped"; "vm" => vm.as_str(), "error" => %error);
                }
            }
            Order::Drain(vm) => self.drain(vm, fencing, picture).await,
        }
        Pace::On
    }

    async fn start(&mut self, token: Token, pool: Pool) {
        // The name follows from the purchase, so asking again buys nothing twice.
        let Token { fencing, number } = token;
        let name = name::Vm::new(format!("{}-{fencing}-{number}", self.service.name));
        let spec = Spec {
            name: name.clone(),
            zone: pool.zone,
            class: pool.class,
            market: pool.market,
            role: Role::Endpoint(self.service.name.clone()),
        };
        let sold = self.hands.cloud.start(spec).await;
        let now = self.clock.now();
        let Some(kernel) = &mut self.kernel else { return };
        match sold {
            Ok(()) => kernel.record_purchase(now, token, name),
            // It may have been sold; the kernel asks again under the same name.
            Err(Error::Unknown(_)) => {}
            Err(error) => {
                info!(self.hands.logger, "a VM is refused"; "vm" => name.as_str(), "error" => %error);
                kernel.record_refusal(now, token);
            }
        }
    }

    async fn drain(&self, vm: name::Vm, fencing: u64, picture: &Picture) {
        // One that cannot be reached is asked again later; it is not given back before it says that it is idle.
        let Some(reached) = picture.reached.get(&vm) else {
            return;
        };
        let action = order::Action::Drain;
        let order = order::Order { action, fencing };
        if let Err(error) = self.hands.adapter.order(&reached.target, order).await {
            warn!(self.hands.logger, "an endpoint is not drained"; "vm" => vm.as_str(), "error" => %error);
        }
    }
}
