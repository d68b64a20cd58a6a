//! Rollout state of a service at one entry.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use smol_str::SmolStr;

use crate::directive::Directive;
use crate::directive::Phase;
use crate::order::Order;
use crate::settings::Settings;

/// Maximum number of refused versions that are remembered.
const MAX_REFUSED: usize = 16;

/// Requests that the endpoints of a version may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// All requests.
    Stable,
    /// Requests of the canary's share.
    Canary,
    /// No requests.
    Excluded,
}

/// Rollout state of a service, which determines the versions that may take requests.
///
/// The state depends only on the operators' orders and on the directives about them. Endpoints of the ordered version
/// get no requests before a directive sets their share, nor once the directive is stale: an entry that is cut off falls
/// back to the version that was in force.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    order: Option<Order>,
    /// Earliest known time of the order.
    ordered_at: Instant,
    directive: Option<Directive>,
    /// Time at which the last new directive was received.
    directive_received: Instant,
    /// Version of the last completed order.
    current: Option<SmolStr>,
    /// Versions of orders that were rolled back or replaced before they were completed.
    refused: Vec<SmolStr>,
    /// Time after which a directive is stale; `None` for never.
    directive_timeout: Option<Duration>,
}

impl Tracker {
    /// Creates a tracker without an order.
    pub fn new(settings: &Settings) -> Self {
        Self {
            directive_timeout: Some(settings.directive_timeout()),
            ..Self::default()
        }
    }

    /// Applies an order that was given `age` ago; returns whether it is new.
    pub fn apply_order(&mut self, now: Instant, order: Order, age: Duration) -> bool {
        let ordered_at = now - age;
        match &self.order {
            Some(before) if order.repeats(before) => {
                self.renumber(order);
                return false;
            }
            Some(before) if before.number > order.number => return false,
            Some(before) if before.number == order.number => {
                self.ordered_at = self.ordered_at.min(ordered_at);
                return false;
            }
            Some(_) => self.finish_order(),
            None => {}
        }
        self.refused.retain(|version| *version != order.to);
        self.ordered_at = ordered_at;
        self.order = Some(order);
        self.directive = None;
        true
    }

    /// Replaces the last order by a repetition, to which its directive applies as well.
    fn renumber(&mut self, order: Order) {
        if let Some(directive) = &mut self.directive {
            directive.order = order.number;
        }
        self.order = Some(order);
    }

    /// Records the result of the last order when another one replaces it.
    fn finish_order(&mut self) {
        let Some(order) = self.order.take() else { return };
        if self.phase() == Some(Phase::Completed) {
            self.current = Some(order.to);
        } else if self.current.as_ref() != Some(&order.to) {
            self.refused.push(order.to);
            let excess = self.refused.len().saturating_sub(MAX_REFUSED);
            self.refused.drain(..excess);
        }
    }

    /// Applies a directive of a duty holder; returns whether it is new.
    pub fn apply_directive(&mut self, now: Instant, directive: Directive) -> bool {
        let is_known = self.order.as_ref().is_some_and(|order| order.number == directive.order);
        let is_new = self.directive.is_none_or(|before| directive.replaces(&before));
        if !is_known || !is_new {
            return false;
        }
        self.directive = Some(directive);
        self.directive_received = now;
        true
    }

    /// Returns the last order.
    pub const fn last_order(&self) -> Option<&Order> {
        self.order.as_ref()
    }

    /// Returns the last directive about the last order.
    pub const fn directive(&self) -> Option<&Directive> {
        self.directive.as_ref()
    }

    /// Returns the age of the last order.
    pub fn age(&self, now: Instant) -> Duration {
        now.since(self.ordered_at)
    }

    fn phase(&self) -> Option<Phase> {
        self.directive.map(|directive| directive.phase)
    }

    /// Returns whether there is an order that is neither completed nor rolled back.
    pub fn is_open(&self) -> bool {
        self.order.is_some() && !self.phase().is_some_and(Phase::is_final)
    }

    /// Returns the requests that the endpoints of a version may get.
    pub fn admission(&self, version: &str) -> Admission {
        if let Some(order) = self.order.as_ref().filter(|order| order.to == version) {
            return match self.phase() {
                Some(Phase::Completed) => Admission::Stable,
                Some(Phase::RolledBack) => Admission::Excluded,
                // An order for the version already in force changes nothing.
                _ if self.current.as_ref() == Some(&order.to) => Admission::Stable,
                _ => Admission::Canary,
            };
        }
        let is_replaced = self.phase() == Some(Phase::Completed);
        let is_other = self.current.as_ref().is_some_and(|current| current != version);
        if is_replaced || is_other || self.refused.iter().any(|refused| refused == version) {
            return Admission::Excluded;
        }
        Admission::Stable
    }

    /// Returns the share of the requests that goes to the canary now, in thousandths.
    pub fn share(&self, now: Instant) -> u16 {
        let Some(directive) = &self.directive else {
            return 0;
        };
        let is_stale = self
            .directive_timeout
            .is_some_and(|timeout| now.since(self.directive_received) >= timeout);
        match directive.phase {
            Phase::Canary | Phase::Stress if !is_stale => directive.share,
            // A stale directive still applies: the endpoints of the previous version may have stopped already.
            Phase::Shifting => directive.share,
            Phase::Canary | Phase::Stress | Phase::Halted | Phase::Completed | Phase::RolledBack => 0,
        }
    }
}
