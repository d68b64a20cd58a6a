//! Tests of control duties against the platform's stand-ins, on a clock of their own.

mod capacity;
mod fencing;
mod outage;
mod site;
