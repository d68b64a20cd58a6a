//! `bergamotshift version`.

use gumdrop::Options;

use crate::environment::Field;
use crate::environment::Fields;
use crate::error::Error;

/// Arguments of `version`.
#[derive(Debug)]
#[derive(Options)]
pub struct Arguments {
    /// Whether the usage text is wanted.
    #[options(help = "print this text")]
    pub help: bool,
}

impl Fields for Arguments {
    fn fields(&mut self) -> Vec<Field<'_>> {
        Vec::new()
    }
}

/// Prints the version.
///
/// # Errors
///
/// Never fails today; the signature is every command's.
pub fn run(_arguments: &Arguments) -> Result<(), Error> {
    println!("bergamotshift {}", env!("CARGO_PKG_VERSION"));
    Ok(())
}
