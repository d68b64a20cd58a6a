//! Chores of the repository, run as `cargo xtask CHORE`.

fn main() {}
