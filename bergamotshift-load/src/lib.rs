//! Open-loop load, its ledger, fault plans and reports.
