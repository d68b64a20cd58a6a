//! The capacity duty of one service, which turns responses and VM lists of the platform into orders.
//!
//! The holder of the duty's lease passes its observations to a [`Kernel`] and executes the orders that it returns. The
//! kernel tracks separately which VMs are ordered, sold, listed and serving, each of which becomes known later than the
//! one before, and presents a combined state to a [`Policy`].
//!
//! ```
//! use bergamotshift_capacity::duty::{Kernel, Order, Settings};
//! use bergamotshift_capacity::prelude::*;
//! use bergamotshift_core::prelude::*;
//!
//! let policy = policy::build(policy::DEFAULT, policy::Settings::default()).expect("the policy is registered");
//! let mut kernel = Kernel::new(Settings::default(), policy, 7);
//! let pool = |zone| Pool::new(name::Zone::new(zone), name::Class::from("gpu"), Market::Reclaimable);
//! let offers = ["a", "b"].map(|zone| Offer { pool: pool(zone), price: Price::from_micros(1), rate: 1.0 });
//! let demand = Demand { urgent: 1.0, deferrable: 0.0 };
//! assert!(kernel.tick(Instant::ZERO, &offers, demand).is_empty(), "a new holder waits for the VM list first");
//! let orders = kernel.tick(Instant::from_secs(60), &offers, demand);
//! assert!(matches!(orders[..], [Order::Start { .. }, Order::Start { .. }]));
//! ```

mod fleet;

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;
use bergamotshift_core::vm::Listing;

use self::fleet::Fleet;
use crate::demand::Demand;
use crate::market::Offer;
use crate::market::Phase;
use crate::market::Pool;
use crate::market::Vm;
use crate::policy::Action;
use crate::policy::Event;
use crate::policy::Policy;
use crate::policy::Situation;

/// Idempotency token of a purchase, with which the request can be repeated without buying twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token {
    /// Fencing number of the lease under which the purchase was ordered.
    pub fencing: u64,
    /// Sequence number of the purchase under that lease, starting at 1.
    pub number: u64,
}

/// An order for the holder of the duty. Orders are idempotent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Buy a VM, once per token.
    Start {
        /// Token of the purchase.
        token: Token,
        /// Pool to buy from.
        pool: Pool,
    },
    /// Let a VM finish its work and send it no more.
    Drain(name::Vm),
    /// Give a VM back.
    Stop(name::Vm),
}

/// Timeouts and intervals of the duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time from a purchase until the VM has to serve.
    pub boot_timeout: Duration,
    /// Time after which an order without a visible effect is repeated.
    pub retry_interval: Duration,
    /// Maximum delay of the platform's VM list, during which a new holder buys nothing.
    pub max_list_lag: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            boot_timeout: Duration::from_mins(6),
            retry_interval: Duration::from_secs(30),
            max_list_lag: Duration::from_secs(30),
        }
    }
}

/// A purchase that the platform has not answered yet.
#[derive(Clone, Debug)]
struct Purchase {
    pool: Pool,
    first_sent: Instant,
    last_sent: Instant,
}

/// Decision logic for one service while its lease is held.
#[derive(Debug)]
pub struct Kernel {
    settings: Settings,
    policy: Box<dyn Policy>,
    fencing: u64,
    started_at: Option<Instant>,
    purchase_count: u64,
    purchases: BTreeMap<Token, Purchase>,
    fleet: Fleet,
}

impl Kernel {
    /// Creates the kernel of a new holder with the fencing number of its lease.
    pub fn new(settings: Settings, policy: Box<dyn Policy>, fencing: u64) -> Self {
        Self {
            settings,
            policy,
            fencing,
            started_at: None,
            purchase_count: 0,
            purchases: BTreeMap::new(),
            fleet: Fleet::default(),
        }
    }

    /// Records that a purchase succeeded.
    pub fn record_purchase(&mut self, now: Instant, token: Token, vm: name::Vm) {
        // A response may arrive twice, or after the purchase has expired; in the latter case the list shows the VM.
        if let Some(purchase) = self.purchases.remove(&token) {
            self.policy.event(now, &Event::Started(purchase.pool.clone()));
            self.fleet.add_purchased(now, vm, purchase.pool);
        }
    }

    /// Records that a purchase was refused.
    pub fn record_refusal(&mut self, now: Instant, token: Token) {
        if let Some(purchase) = self.purchases.remove(&token) {
            self.policy.event(now, &Event::Refused(purchase.pool));
        }
    }

    /// Records the platform's current list of the service's VMs.
    pub fn record_listings(&mut self, now: Instant, listings: &[Listing]) {
        for pool in self.fleet.update_listings(now, listings) {
            self.policy.event(now, &Event::Reclaimed(pool));
        }
    }

    /// Records that a VM's endpoint responds, and whether it is idle.
    pub fn record_serving(&mut self, now: Instant, vm: &name::Vm, idle: bool) {
        self.fleet.record_serving(now, vm, idle);
    }

    /// Returns the orders to execute now.
    pub fn tick(&mut self, now: Instant, offers: &[Offer], demand: Demand) -> Vec<Order> {
        let started_at = *self.started_at.get_or_insert(now);
        let mut orders = self.repeat_purchases(now);
        orders.extend(self.expire(now));
        let vms = self.vms(offers);
        let situation = Situation {
            offers,
            vms: &vms,
            demand,
        };
        for action in self.policy.plan(now, &situation) {
            match action {
                // The previous holder may have bought VMs just before it lost the lease. The list does not show them
                // yet, so the new holder would buy them again. It buys nothing until the list must show them.
                Action::Start(_) if now.since(started_at) < self.settings.max_list_lag => {}
                Action::Start(pool) => orders.push(self.start(now, pool)),
                Action::Drain(vm) => orders.extend(self.fleet.drain(now, vm)),
                Action::Stop(vm) => orders.extend(self.fleet.stop(now, vm)),
            }
        }
        orders.extend(self.fleet.retry_orders(now, self.settings.retry_interval));
        orders
    }

    /// Creates a purchase under a new token.
    fn start(&mut self, now: Instant, pool: Pool) -> Order {
        self.purchase_count += 1;
        let token = Token {
            fencing: self.fencing,
            number: self.purchase_count,
        };
        let purchase = Purchase {
            pool: pool.clone(),
            first_sent: now,
            last_sent: now,
        };
        self.purchases.insert(token, purchase);
        Order::Start { token, pool }
    }

    /// Repeats unanswered purchases under the same token.
    fn repeat_purchases(&mut self, now: Instant) -> Vec<Order> {
        let mut orders = Vec::new();
        for (token, purchase) in &mut self.purchases {
            if now.since(purchase.last_sent) >= self.settings.retry_interval {
                purchase.last_sent = now;
                let (token, pool) = (*token, purchase.pool.clone());
                orders.push(Order::Start { token, pool });
            }
        }
        orders
    }

    /// Gives up purchases and VMs that took too long, so that the policy tries other pools, and stops failed VMs.
    fn expire(&mut self, now: Instant) -> Vec<Order> {
        let boot_timeout = self.settings.boot_timeout;
        let expired = self
            .purchases
            .extract_if(.., |_, purchase| now.since(purchase.first_sent) >= boot_timeout);
        let mut pools: Vec<_> = expired.map(|(_, purchase)| purchase.pool).collect();
        pools.extend(self.fleet.mark_overdue(now, boot_timeout));
        for pool in pools {
            self.policy.event(now, &Event::Refused(pool));
        }
        let failed = self.fleet.failed_starts(now, self.settings.retry_interval);
        failed.into_iter().filter_map(|vm| self.fleet.stop(now, vm)).collect()
    }

    /// Returns the VMs as the policy sees them. An unanswered purchase counts as a starting VM.
    fn vms(&self, offers: &[Offer]) -> Vec<Vm> {
        let rate = |pool: &Pool| {
            let offer = offers.iter().find(|offer| offer.pool == *pool);
            offer.map_or(0.0, |offer| offer.rate)
        };
        let purchases = self.purchases.iter().map(|(token, purchase)| Vm {
            name: name::Vm::new(format!("purchase {}.{}", token.fencing, token.number)),
            pool: purchase.pool.clone(),
            rate: rate(&purchase.pool),
            phase: Phase::Starting,
        });
        purchases.chain(self.fleet.vms(rate)).collect()
    }
}
