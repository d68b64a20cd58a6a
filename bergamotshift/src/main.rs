//! The `bergamotshift` program.

use std::process::ExitCode;

use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    bergamotshift::command::run(&arguments, &bergamotshift::environment::Environment::of_process())
}
