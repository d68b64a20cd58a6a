//! The capacity duty of one service: from the platform's answers and lists to orders.
//!
//! Whoever holds the duty's lease feeds a [`Kernel`] with what it hears and carries out its orders. The kernel keeps
//! apart what was ordered, sold, listed and serving, each of which is known later than the one before, and shows a
//! [`Policy`] one picture of them.
//!
//! ```
//! use bergamotshift_capacity::duty::{Kernel, Order, Settings};
//! use bergamotshift_capacity::prelude::*;
//! use bergamotshift_core::prelude::*;
//!
//! let policy = policy::build(policy::DEFAULT, policy::Settings::default()).expect("it registers itself");
//! let mut kernel = Kernel::new(Settings::default(), policy, 7);
//! let pool = |zone| Pool::new(name::Zone::new(zone), name::Class::from("gpu"), Market::Reclaimable);
//! let offers = ["a", "b"].map(|zone| Offer { pool: pool(zone), price: Price::from_micros(1), rate: 1.0 });
//! let demand = Demand { urgent: 1.0, deferrable: 0.0 };
//! assert!(kernel.tick(Instant::ZERO, &offers, demand).is_empty(), "a new holder looks before it buys");
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

/// Names one purchase, so that it can be asked for again without being made twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token {
    /// The fencing number of the lease under which it was ordered.
    pub fencing: u64,
    /// Counts the holder's purchases.
    pub number: u64,
}

/// What the holder of the duty does. Every order may be carried out twice without harm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// It buys a VM, once per token.
    Start {
        /// Names the purchase.
        token: Token,
        /// What is bought.
        pool: Pool,
    },
    /// It lets a VM finish its work.
    Drain(name::Vm),
    /// It gives a VM back.
    Stop(name::Vm),
}

/// How long the duty waits for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// From a purchase until the VM has to serve.
    pub boot_timeout: Duration,
    /// Until an order without an effect is given again.
    pub retry_interval: Duration,
    /// How far the platform's list may lag, and so how long a new holder buys nothing.
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

#[derive(Clone, Debug)]
struct Purchase {
    pool: Pool,
    first: Instant,
    last: Instant,
}

/// Decides for one service while its lease is held.
#[derive(Debug)]
pub struct Kernel {
    settings: Settings,
    policy: Box<dyn Policy>,
    fencing: u64,
    begun: Option<Instant>,
    ordered: u64,
    purchases: BTreeMap<Token, Purchase>,
    fleet: Fleet,
}

impl Kernel {
    /// Makes the kernel of a new holder, under its lease's fencing number.
    pub fn new(settings: Settings, policy: Box<dyn Policy>, fencing: u64) -> Self {
        Self {
            settings,
            policy,
            fencing,
            begun: None,
            ordered: 0,
            purchases: BTreeMap::new(),
            fleet: Fleet::default(),
        }
    }

    /// Notes that a purchase was made.
    pub fn record_purchase(&mut self, now: Instant, token: Token, vm: name::Vm) {
        // An answer may come twice, or after the purchase was given up: then the list shows the VM.
        if let Some(purchase) = self.purchases.remove(&token) {
            self.policy.event(now, &Event::Started(purchase.pool.clone()));
            self.fleet.bought(now, vm, purchase.pool);
        }
    }

    /// Notes that a purchase was refused.
    pub fn record_refusal(&mut self, now: Instant, token: Token) {
        if let Some(purchase) = self.purchases.remove(&token) {
            self.policy.event(now, &Event::Refused(purchase.pool));
        }
    }

    /// Notes the platform's list of the service's VMs.
    pub fn record_listings(&mut self, now: Instant, listings: &[Listing]) {
        for pool in self.fleet.listed(now, listings) {
            self.policy.event(now, &Event::Reclaimed(pool));
        }
    }

    /// Notes that a VM's endpoint answers, and whether nothing runs there.
    pub fn record_serving(&mut self, now: Instant, vm: &name::Vm, idle: bool) {
        self.fleet.serving(now, vm, idle);
    }

    /// Returns what has to be done now.
    pub fn tick(&mut self, now: Instant, offers: &[Offer], demand: Demand) -> Vec<Order> {
        let begun = *self.begun.get_or_insert(now);
        let mut orders = self.repeat_purchases(now);
        orders.extend(self.give_up(now));
        let vms = self.vms(offers);
        let situation = Situation {
            offers,
            vms: &vms,
            demand,
        };
        for action in self.policy.plan(now, &situation) {
            match action {
                // Failure: the last holder bought just before it lost the lease. Symptom: its purchases are not
                // listed yet, and the new holder buys them again. After the list's lag it sees them.
                Action::Start(_) if now.since(begun) < self.settings.max_list_lag => {}
                Action::Start(pool) => orders.push(self.start(now, pool)),
                Action::Drain(vm) => orders.extend(self.fleet.drain(now, vm)),
                Action::Stop(vm) => orders.extend(self.fleet.stop(now, vm)),
            }
        }
        orders.extend(self.fleet.repeat(now, self.settings.retry_interval));
        orders
    }

    fn start(&mut self, now: Instant, pool: Pool) -> Order {
        self.ordered += 1;
        let token = Token {
            fencing: self.fencing,
            number: self.ordered,
        };
        let purchase = Purchase {
            pool: pool.clone(),
            first: now,
            last: now,
        };
        self.purchases.insert(token, purchase);
        Order::Start { token, pool }
    }

    /// Orders purchases without an answer again, under the same token.
    fn repeat_purchases(&mut self, now: Instant) -> Vec<Order> {
        let mut orders = Vec::new();
        for (token, purchase) in &mut self.purchases {
            if now.since(purchase.last) >= self.settings.retry_interval {
                purchase.last = now;
                let (token, pool) = (*token, purchase.pool.clone());
                orders.push(Order::Start { token, pool });
            }
        }
        orders
    }

    /// Gives up what took too long, and tells the policy to try elsewhere.
    fn give_up(&mut self, now: Instant) -> Vec<Order> {
        let boot = self.settings.boot_timeout;
        let late = self
            .purchases
            .extract_if(.., |_, purchase| now.since(purchase.first) >= boot);
        let mut pools: Vec<_> = late.map(|(_, purchase)| purchase.pool).collect();
        pools.extend(self.fleet.overdue(now, boot));
        for pool in pools {
            self.policy.event(now, &Event::Refused(pool));
        }
        let failed = self.fleet.failed(now, self.settings.retry_interval);
        failed.into_iter().filter_map(|vm| self.fleet.stop(now, vm)).collect()
    }

    /// Returns the picture that the policy sees; a purchase without an answer counts as a VM that starts.
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
