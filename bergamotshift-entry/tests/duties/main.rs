//! Tests of control duties against stand-ins of the platform, on a virtual clock except in `daemon`.

mod capacity;
mod daemon;
mod fencing;
mod outage;
mod site;
