//! Tests of control duties against stand-ins of the platform.

mod capacity;
mod daemon;
mod fencing;
mod outage;
mod site;
