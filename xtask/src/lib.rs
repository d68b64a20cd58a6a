//! The chores behind `cargo xtask`.

pub mod error;
pub mod lines;
pub mod links;
pub mod steps;
pub mod walk;
