//! All organisations' accounts, kept by the control thread.

use std::collections::BTreeMap;
use std::sync::Arc;

use bergamotshift_core::prelude::*;

use super::Account;
use super::Limits;
use crate::demand::View;

#[derive(Debug)]
struct Row {
    limits: Limits,
    account: Arc<Account>,
}

/// Sets every account to this entry's portion of its organisation's limits.
#[derive(Debug)]
pub struct Ledger {
    /// What is known of demand, in requests per second.
    pub view: View,
    rows: BTreeMap<name::Organisation, Row>,
}

impl Ledger {
    /// Makes a ledger without organisations.
    pub const fn new(view: View) -> Self {
        let rows = BTreeMap::new();
        Self { view, rows }
    }

    /// Opens an organisation's account, or returns it with new limits; use so far is kept if the same limits are set.
    pub fn open(&mut self, now: Instant, organisation: name::Organisation, limits: Limits) -> Arc<Account> {
        let portion = self.view.sums(now).portion(&organisation);
        let known = self
            .rows
            .get(&organisation)
            .filter(|row| same_kinds(&row.limits, &limits));
        let account = known.map_or_else(|| Arc::new(Account::new(&limits)), |row| Arc::clone(&row.account));
        account.set(now, &limits, portion);
        let row = Row {
            limits,
            account: Arc::clone(&account),
        };
        self.rows.insert(organisation, row);
        account
    }

    /// Closes the accounts of organisations that are no longer configured.
    pub fn retain(&mut self, keep: impl Fn(&name::Organisation) -> bool) {
        self.rows.retain(|organisation, _| keep(organisation));
    }

    /// Folds what was asked for since the last call and sets all accounts to their portions.
    pub fn tick(&mut self, now: Instant) {
        let asked = self
            .rows
            .iter()
            .map(|(name, row)| (name.clone(), row.account.drain_asked()));
        self.view.tick(now, asked);
        let sums = self.view.sums(now);
        for (organisation, row) in &self.rows {
            let portion = sums.portion(organisation);
            row.account.set(now, &row.limits, portion);
        }
    }
}

/// Returns whether both limit the same things, so that one account serves for both.
const fn same_kinds(one: &Limits, other: &Limits) -> bool {
    one.requests_per_second.is_some() == other.requests_per_second.is_some()
        && one.tokens_per_second.is_some() == other.tokens_per_second.is_some()
        && one.spend_per_hour.is_some() == other.spend_per_hour.is_some()
}
