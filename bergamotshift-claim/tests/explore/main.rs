//! Exhaustive exploration of the protocols: every reachable state of small models is checked.

mod claim;
mod job;
mod lease;
mod search;
