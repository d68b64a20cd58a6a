//! Measures the runs of `bounds.toml` again and prints the file as it would be now.

use std::error::Error;

use bergamotshift_replay::regression::Bounds;
use bergamotshift_replay::regression::Measured;
use bergamotshift_route::policy;

fn main() -> Result<(), Box<dyn Error>> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/bounds.toml");
    let mut bounds: Bounds = toml::from_str(&std::fs::read_to_string(path)?)?;
    for run in &mut bounds.run {
        run.measured = Measured::from(&run.replay(policy::DEFAULT)?);
    }
    print!("{}", toml::to_string(&bounds)?);
    Ok(())
}
