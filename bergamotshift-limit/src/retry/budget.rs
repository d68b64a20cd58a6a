//! Token bucket that bounds a service's extra attempts by its number of requests.

use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering::Relaxed;

/// One token in thousandths; integers avoid floating point on the request path.
const TOKEN: u64 = 1_000;

/// Size of a service's retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Extra attempts per request, for instance 0.2.
    pub ratio: f64,
    /// Extra attempts lent at the start, so that a service with few requests can retry; the first requests pay them
    /// back.
    pub reserve: u32,
    /// Maximum number of extra attempts saved up while nothing fails.
    pub burst: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            reserve: 10,
            burst: 100,
        }
    }
}

/// Extra attempt taken from a budget, which is given back on drop unless it is spent.
#[derive(Debug)]
#[must_use]
pub struct Withdrawal<'a>(Option<&'a Budget>);

impl Withdrawal<'_> {
    /// Records that the attempt is sent.
    pub fn spend(mut self) {
        self.0 = None;
    }
}

impl Drop for Withdrawal<'_> {
    fn drop(&mut self) {
        if let Some(budget) = self.0 {
            budget.refund();
        }
    }
}

/// Budget for all retries and hedges of one service.
///
/// Unbounded retries would multiply the load while some endpoints fail, until the healthy ones fail too. Each request
/// adds `ratio` tokens and each extra attempt takes one, so that fewer than `max(reserve, ratio × n)` extra attempts
/// are made after `n` requests.
///
/// All methods take `&self` and are lock-free.
///
/// ```
/// use bergamotshift_limit::retry::{Budget, Settings};
///
/// let budget = Budget::new(Settings { ratio: 0.5, reserve: 0, burst: 10 });
/// budget.deposit();
/// assert!(!budget.try_withdraw());
/// budget.deposit();
/// budget.deposit();
/// assert!(budget.try_withdraw());
/// ```
#[derive(Debug)]
pub struct Budget {
    balance: AtomicU64,
    /// Part of the reserve that is not paid back yet.
    debt: AtomicU64,
    deposit: u64,
    cap: AtomicU64,
}

impl Budget {
    /// Creates a budget that holds its reserve.
    pub fn new(settings: Settings) -> Self {
        let reserve = u64::from(settings.reserve) * TOKEN;
        let burst = u64::from(settings.burst) * TOKEN;
        Self {
            balance: AtomicU64::new(reserve),
            debt: AtomicU64::new(reserve),
            deposit: (settings.ratio.max(0.0) * TOKEN as f64) as u64,
            cap: AtomicU64::new(burst.max(reserve)),
        }
    }

    /// Sets the maximum number of saved-up extra attempts and discards any excess.
    pub fn set_burst(&self, burst: u32) {
        let cap = u64::from(burst) * TOKEN;
        self.cap.store(cap, Relaxed);
        self.balance.update(Relaxed, Relaxed, |balance| balance.min(cap));
    }

    /// Adds the tokens of one request; call it once per request, not per attempt.
    pub fn deposit(&self) {
        let repaid = self.repay(self.deposit);
        let left = self.deposit - repaid;
        if left > 0 {
            let cap = self.cap.load(Relaxed);
            self.balance
                .update(Relaxed, Relaxed, |balance| (balance + left).min(cap));
        }
    }

    /// Takes one extra attempt from the budget and returns whether it was available.
    ///
    /// The balance has to exceed one token, so that attempts stay strictly below `1 + ratio` times the requests.
    pub fn try_withdraw(&self) -> bool {
        self.balance
            .try_update(Relaxed, Relaxed, |balance| (balance > TOKEN).then(|| balance - TOKEN))
            .is_ok()
    }

    /// Takes one extra attempt that is given back unless it is spent; `None` if none was available.
    pub fn withdraw(&self) -> Option<Withdrawal<'_>> {
        self.try_withdraw().then(|| Withdrawal(Some(self)))
    }

    /// Gives back an extra attempt that was never sent.
    pub fn refund(&self) {
        let cap = self.cap.load(Relaxed);
        self.balance
            .update(Relaxed, Relaxed, |balance| (balance + TOKEN).min(cap));
    }

    /// Returns the number of extra attempts available now.
    pub fn available(&self) -> u64 {
        self.balance.load(Relaxed).saturating_sub(1) / TOKEN
    }

    /// Pays back the reserve and returns the part of `amount` used for it.
    fn repay(&self, amount: u64) -> u64 {
        if self.debt.load(Relaxed) == 0 {
            return 0;
        }
        let before = self.debt.update(Relaxed, Relaxed, |debt| debt.saturating_sub(amount));
        before.min(amount)
    }
}
