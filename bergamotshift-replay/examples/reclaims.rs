//! Measures what planning streams of leaving endpoints is worth: with the plan and without, over some seeds.

use std::error::Error;

use bergamotshift_replay::Fault;
use bergamotshift_replay::Load;
use bergamotshift_replay::Scenario;

fn main() -> Result<(), Box<dyn Error>> {
    const SEEDS: u64 = 3;
    const HEAT: f64 = 0.5;
    println!("load           fault     seed plan  urgent   moved again  KV moves   missed");
    for load in Load::TODAY {
        for fault in [Fault::Zone, Fault::TwoWaves] {
            for (seed, plan_reclaims) in (1..=SEEDS).flat_map(|seed| [(seed, false), (seed, true)]) {
                let report = bergamotshift_replay::run(&Scenario {
                    load,
                    fault,
                    seed,
                    plan_reclaims,
                    heat: HEAT,
                    ..Scenario::default()
                })?;
                println!(
                    "{:<14} {:<9} {seed:>4} {plan_reclaims:<5} {:>6.2}% {:>11.4} M {:>9} {:>8}",
                    load.name(),
                    fault.name(),
                    report.urgent_model_in_target * 100.0,
                    report.recomputed_moved_millions,
                    report.moves,
                    report.deadline_misses,
                );
            }
        }
    }
    Ok(())
}
