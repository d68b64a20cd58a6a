//! Prints the policies side by side: `compare [--json] [--seed N] [--target SHARE] [LOAD [FAULT…]]`.
//!
//! Without a load it takes both of today's sites, without a fault all of them.

use std::error::Error;

use bergamotshift_replay::Fault;
use bergamotshift_replay::Load;
use bergamotshift_replay::Plan;
use bergamotshift_replay::Table;
use bergamotshift_replay::ladder::TARGET;
use bergamotshift_route::policy;
use serde::de::DeserializeOwned;

fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments: Vec<String> = std::env::args().skip(1).collect();
    let json = take(&mut arguments, "--json", 1).is_some();
    let seed = take(&mut arguments, "--seed", 2).map_or(Ok(1), |taken| taken[1].parse())?;
    let share = take(&mut arguments, "--target", 2).map_or(Ok(TARGET), |taken| taken[1].parse())?;
    let loads = match arguments.first() {
        Some(name) => vec![parse::<Load>(name)?],
        None => Load::TODAY.to_vec(),
    };
    let faults = match arguments.get(1..) {
        Some(names) if !names.is_empty() => names
            .iter()
            .map(|name| parse::<Fault>(name))
            .collect::<Result<_, _>>()?,
        _ => Fault::ALL.to_vec(),
    };
    for load in loads {
        for &fault in &faults {
            let plan = Plan {
                seed,
                ..Plan::of(load, fault)
            };
            let table = Table::at(share, &plan, &plan.run(&policy::names())?);
            if json {
                println!("{}", table.to_json());
            } else {
                println!("{table}");
            }
        }
    }
    Ok(())
}

/// Takes a flag and what belongs to it out of the arguments.
fn take(arguments: &mut Vec<String>, flag: &str, count: usize) -> Option<Vec<String>> {
    let place = arguments.iter().position(|argument| argument == flag)?;
    (place + count <= arguments.len()).then(|| arguments.drain(place..place + count).collect())
}

fn parse<T: DeserializeOwned>(name: &str) -> Result<T, serde_json::Error> {
    serde_json::from_value(name.into())
}
