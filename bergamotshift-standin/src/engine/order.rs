//! Orders to load and unload models and adapters and to change role, with fencing numbers.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// What an engine is told to do.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "kebab-case")]
pub enum Action {
    /// Serves a model or adapter.
    Load {
        /// Its name.
        model: SmolStr,
        /// Its version.
        #[serde(default)]
        version: SmolStr,
    },
    /// Serves a model or adapter no longer.
    Unload {
        /// Its name.
        model: SmolStr,
    },
    /// Takes a role, such as `prefill` or `decode`.
    Role {
        /// The role's name.
        role: SmolStr,
    },
}

/// An order, as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// What to do.
    #[serde(flatten)]
    pub action: Action,
    /// The number of the lease under which it was given.
    #[serde(default)]
    pub fencing: Option<u64>,
}

/// What an engine serves and as what.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Duty {
    /// Models and adapters with their versions.
    pub models: Vec<(SmolStr, SmolStr)>,
    /// The role.
    pub role: SmolStr,
    /// The highest fencing number that came.
    pub highest: u64,
    /// The orders that were carried out, in order.
    pub orders: Vec<Order>,
}

/// The order carries an older number than one that came before, or none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Stale;

impl Duty {
    pub(super) fn new(models: &[SmolStr]) -> Self {
        Self {
            models: models.iter().map(|model| (model.clone(), SmolStr::default())).collect(),
            ..Self::default()
        }
    }

    /// Carries out an order; an engine that checks refuses one whose number is behind.
    pub(super) fn take(&mut self, order: Order, checks: bool) -> Result<(), Stale> {
        if checks && order.fencing.is_none_or(|number| number < self.highest) {
            return Err(Stale);
        }
        self.highest = self.highest.max(order.fencing.unwrap_or_default());
        match &order.action {
            Action::Load { model, version } => {
                self.models.retain(|(known, _)| known != model);
                self.models.push((model.clone(), version.clone()));
            }
            Action::Unload { model } => self.models.retain(|(known, _)| known != model),
            Action::Role { role } => self.role = role.clone(),
        }
        self.orders.push(order);
        Ok(())
    }
}
