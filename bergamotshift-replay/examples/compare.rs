//! Prints the policies side by side: `compare [--json] [LOAD [FAULT…]]`, both of today's sites and all faults by default.

use std::error::Error;

use bergamotshift_replay::Fault;
use bergamotshift_replay::Load;
use bergamotshift_replay::Plan;
use bergamotshift_replay::Table;
use bergamotshift_route::policy;
use serde::de::DeserializeOwned;

fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments: Vec<String> = std::env::args().skip(1).collect();
    let json = arguments.iter().position(|argument| argument == "--json");
    if let Some(place) = json {
        arguments.remove(place);
    }
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
            let plan = Plan::of(load, fault);
            let table = Table::new(&plan, &plan.run(&policy::names())?);
            if json.is_some() {
                println!("{}", table.to_json());
            } else {
                println!("{table}");
            }
        }
    }
    Ok(())
}

fn parse<T: DeserializeOwned>(name: &str) -> Result<T, serde_json::Error> {
    serde_json::from_value(name.into())
}
