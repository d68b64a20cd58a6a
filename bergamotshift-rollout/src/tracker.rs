//! Which versions of a service may take work, as one entry knows it.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use smol_str::SmolStr;

use crate::directive::Directive;
use crate::directive::Phase;
use crate::order::Order;
use crate::settings::Settings;

/// The most versions that are remembered as refused.
const MOST_REFUSED: usize = 16;

/// What an endpoint of a version may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// All requests.
    Stable,
    /// The requests of the canary's share.
    Canary,
    /// None.
    Excluded,
}

/// Which versions of a service may take work.
///
/// That follows from the operators' orders and what came of them alone. An endpoint of the ordered version gets nothing
/// until a directive says how much, and nothing once the directive is stale: entries that are cut off fall back to the
/// version that was in force.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    order: Option<Order>,
    /// When the order was given, as far as this entry knows.
    since: Instant,
    directive: Option<Directive>,
    /// When a directive was last news.
    directive_received: Instant,
    /// The version of the last order that was completed.
    current: Option<SmolStr>,
    /// The versions of orders that were rolled back or given up for another.
    refused: Vec<SmolStr>,
    timeout: Option<Duration>,
}

impl Tracker {
    /// Makes a standing that knows of no order.
    pub fn new(settings: &Settings) -> Self {
        Self {
            timeout: Some(settings.directive_timeout()),
            ..Self::default()
        }
    }

    /// Notes an order that was given `age` ago; returns whether that is news.
    pub fn apply_order(&mut self, now: Instant, order: Order, age: Duration) -> bool {
        let given = now - age;
        match &self.order {
            Some(before) if before.number > order.number => return false,
            Some(before) if before.number == order.number => {
                self.since = self.since.min(given);
                return false;
            }
            Some(_) => self.close(),
            None => {}
        }
        self.refused.retain(|version| *version != order.to);
        self.since = given;
        self.order = Some(order);
        self.directive = None;
        true
    }

    /// Puts what came of the last order into force, since another one takes its place.
    fn close(&mut self) {
        let Some(order) = self.order.take() else { return };
        if self.phase() == Some(Phase::Completed) {
            self.current = Some(order.to);
        } else if self.current.as_ref() != Some(&order.to) {
            self.refused.push(order.to);
            let spare = self.refused.len().saturating_sub(MOST_REFUSED);
            self.refused.drain(..spare);
        }
    }

    /// Notes what a holder of the duties directs; returns whether that is news.
    pub fn apply_directive(&mut self, now: Instant, directive: Directive) -> bool {
        let is_known = self.order.as_ref().is_some_and(|order| order.number == directive.order);
        let is_news = self.directive.is_none_or(|before| directive.replaces(&before));
        if !is_known || !is_news {
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

    /// Returns the last directive of that order.
    pub const fn directive(&self) -> Option<&Directive> {
        self.directive.as_ref()
    }

    /// Returns how long ago the last order was given.
    pub fn age(&self, now: Instant) -> Duration {
        now.since(self.since)
    }

    fn phase(&self) -> Option<Phase> {
        self.directive.map(|directive| directive.phase)
    }

    /// Returns whether an order stands that is neither completed nor rolled back.
    pub fn is_open(&self) -> bool {
        self.order.is_some() && !self.phase().is_some_and(Phase::is_final)
    }

    /// Returns what endpoints of a version may get.
    pub fn admission(&self, version: &str) -> Admission {
        if let Some(order) = self.order.as_ref().filter(|order| order.to == version) {
            return match self.phase() {
                Some(Phase::Completed) => Admission::Stable,
                Some(Phase::RolledBack) => Admission::Excluded,
                // An order of the version in force changes nothing.
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

    /// Returns the part of the requests that goes to the canary now, in thousandths.
    pub fn share(&self, now: Instant) -> u16 {
        let Some(directive) = &self.directive else {
            return 0;
        };
        let is_stale = self
            .timeout
            .is_some_and(|timeout| now.since(self.directive_received) >= timeout);
        match directive.phase {
            Phase::Canary | Phase::Stress if !is_stale => directive.share,
            // The endpoints of the version before may have stopped already where this entry is cut off.
            Phase::Shifting => directive.share,
            Phase::Canary | Phase::Stress | Phase::Halted | Phase::Completed | Phase::RolledBack => 0,
        }
    }
}
