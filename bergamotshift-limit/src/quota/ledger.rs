//! Accounts of all organisations, on the control thread.

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

/// Accounts of all organisations, each set to this entry's portion of the limits.
#[derive(Debug)]
pub struct Ledger {
    /// View of the demand in the fleet, in requests per second.
    pub view: View,
    rows: BTreeMap<name::Organisation, Row>,
}

impl Ledger {
    /// Creates a ledger without organisations.
    pub const fn new(view: View) -> Self {
        let rows = BTreeMap::new();
        Self { view, rows }
    }

    /// Opens an organisation's account, or returns it with new limits.
    ///
    /// Past use is kept if the new limits are of the same kinds as before.
    pub fn open(&mut self, now: Instant, organisation: name::Organisation, limits: Limits) -> Arc<Account> {
        let portion = self.view.sums(now).portion(&organisation);
        let known = self
            .rows
            .get(&organisation)
            .filter(|row| same_kinds(&row.limits, &limits));
        let account = known.map_or_else(|| Arc::new(Account::new(&limits)), |row| Arc::clone(&row.account));
        account.set_portion(now, &limits, portion);
        let row = Row {
            limits,
            account: Arc::clone(&account),
        };
        self.rows.insert(organisation, row);
        account
    }

    /// Keeps only the accounts of organisations for which `keep` returns `true`.
    pub fn retain(&mut self, keep: impl Fn(&name::Organisation) -> bool) {
        self.rows.retain(|organisation, _| keep(organisation));
    }

    /// Records the demand since the last call and sets all accounts to their portions.
    pub fn tick(&mut self, now: Instant) {
        let requested = self
            .rows
            .iter()
            .map(|(name, row)| (name.clone(), row.account.take_requested()));
        self.view.tick(now, requested);
        let sums = self.view.sums(now);
        for (organisation, row) in &self.rows {
            let portion = sums.portion(organisation);
            row.account.set_portion(now, &row.limits, portion);
        }
    }
}

/// Returns whether both set limits of the same kinds, so that one account serves both.
const fn same_kinds(left: &Limits, right: &Limits) -> bool {
    left.requests_per_second.is_some() == right.requests_per_second.is_some()
        && left.tokens_per_second.is_some() == right.tokens_per_second.is_some()
        && left.spend_per_hour.is_some() == right.spend_per_hour.is_some()
}
