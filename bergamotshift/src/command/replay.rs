//! `bergamotshift load --replay`: the policies side by side in virtual time.

use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::replay::Fault;
use crate::replay::Load;
use crate::replay::Plan;
use crate::replay::Table;
use crate::replay::ladder::TARGET;
use crate::route::policy;
use crate::setting;

/// Prints a table of all policies under one load and fault.
///
/// # Errors
///
/// Returns a load or fault that there isn't, or a run that the bench refuses.
pub fn run(load: &str, fault: Option<&str>, seed: u64) -> Result<(), Error> {
    let load: Load = named("replay", load)?;
    let fault: Fault = named("fault", fault.unwrap_or("calm"))?;
    let plan = Plan {
        seed,
        ..Plan::of(load, fault)
    };
    let runs = plan.run(&policy::names()).map_err(|error| Error::failed(&error))?;
    println!("{}", Table::at(TARGET, &plan, &runs));
    Ok(())
}

fn named<T: DeserializeOwned>(flag: &'static str, name: &str) -> Result<T, setting::Error> {
    serde_json::from_value(name.into()).map_err(|error| setting::wrong(flag, name, &error))
}
