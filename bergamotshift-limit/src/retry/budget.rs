//! A token bucket that ties a service's extra attempts to its requests.

use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering::Relaxed;

/// Thousandths of a token, so that a ratio needs no floating point on the request path.
const TOKEN: u64 = 1_000;

/// How large a service's retry budget is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Extra attempts per request, for instance 0.2.
    pub ratio: f64,
    /// Extra attempts lent at the start, so that a quiet service can retry; the first requests pay them back.
    pub reserve: u32,
    /// Most extra attempts that calm times save up.
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

/// Bounds all retries and hedges of one service.
///
/// Failure: a third of the endpoints break, and every caller's request is sent again and again. Symptom: attempts
/// multiply until the healthy endpoints fail too. Each request adds `ratio` tokens and each extra attempt takes one,
/// so after `n` requests fewer than `max(reserve, ratio × n)` extra attempts were made, whatever fails.
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
    debt: AtomicU64,
    deposit: u64,
    cap: AtomicU64,
}

impl Budget {
    /// Makes a budget that holds its reserve.
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

    /// Changes how many extra attempts are saved up at most; what is beyond that is gone.
    pub fn set_burst(&self, burst: u32) {
        let cap = u64::from(burst) * TOKEN;
        self.cap.store(cap, Relaxed);
        self.balance.update(Relaxed, Relaxed, |balance| balance.min(cap));
    }

    /// Notes one request; called once per request, not per attempt.
    pub fn deposit(&self) {
        let paid = self.repay(self.deposit);
        let left = self.deposit - paid;
        if left > 0 {
            let cap = self.cap.load(Relaxed);
            self.balance
                .update(Relaxed, Relaxed, |balance| (balance + left).min(cap));
        }
    }

    /// Takes one extra attempt from the budget and returns whether there was one.
    ///
    /// The balance has to exceed the token, so that attempts stay strictly under `1 + ratio` times the requests.
    pub fn try_withdraw(&self) -> bool {
        self.balance
            .try_update(Relaxed, Relaxed, |balance| (balance > TOKEN).then(|| balance - TOKEN))
            .is_ok()
    }

    /// Gives back an extra attempt that was never sent.
    pub fn refund(&self) {
        let cap = self.cap.load(Relaxed);
        self.balance
            .update(Relaxed, Relaxed, |balance| (balance + TOKEN).min(cap));
    }

    /// Returns how many extra attempts could be made now.
    pub fn available(&self) -> u64 {
        self.balance.load(Relaxed).saturating_sub(1) / TOKEN
    }

    /// Pays back the reserve and returns how much of `amount` it took.
    fn repay(&self, amount: u64) -> u64 {
        if self.debt.load(Relaxed) == 0 {
            return 0;
        }
        let before = self.debt.update(Relaxed, Relaxed, |debt| debt.saturating_sub(amount));
        before.min(amount)
    }
}
