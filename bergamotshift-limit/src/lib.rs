//! Fair sharing, admission, retry budgets, hedging and quarantine without I/O.
