//! The chores behind `cargo xtask`.

pub mod error;
pub mod lines;
pub mod links;
pub mod names;
pub mod repeat;
pub mod steps;
pub mod walk;
