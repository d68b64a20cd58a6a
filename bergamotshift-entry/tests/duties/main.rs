//! Tests of control duties against the platform's stand-ins, on a clock of their own.

mod capacity;
mod daemon;
mod fencing;
mod outage;
mod site;
