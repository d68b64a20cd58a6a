//! The `bergamotshift` program.

fn main() {}
