//! Fleets after their start: calls of the store, and the time that a change takes to reach all entries.

use core::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use crate::model::Fleet;
use crate::model::Size;
use crate::model::document;
use crate::model::registration;
use crate::model::run;

#[test]
fn a_leaving_endpoint_trial() {
    for entries in [100, 300] {
        run(async move {
            let real = std::time::Instant::now();
            let size = Size::of(entries);
            let fleet = Fleet::new(size);
            fleet.start().await;
            sleep(Duration::from_secs(6)).await;
            fleet.take_traffic();
            let from = Instant::now();
            for number in 0..8 {
                let mut leaving = registration(7 * number);
                leaving.leaving = true;
                fleet.store.register(&leaving);
                let hash = bergamotshift_forward::endpoint::Endpoint::new(leaving).hash;
                let times = fleet.times_to(Duration::from_secs(5), |node| node.has_left(hash)).await;
                println!(
                    "{entries}: leaving known: first {:?} median {:?} last {:?}",
                    times[0],
                    times[entries / 2],
                    times[entries - 1]
                );
            }
            println!(" document");
            for version in 2..5 {
                fleet.store.put_document(document(version, size));
                let times = fleet
                    .times_to(Duration::from_secs(5), |node| node.document() == version)
                    .await;
                println!(
                    "{entries}: document: first {:?} median {:?} last {:?}",
                    times[0],
                    times[entries / 2],
                    times[entries - 1]
                );
            }
            let seconds = from.elapsed().as_secs_f64();
            let traffic = fleet.take_traffic();
            println!(
                " bytes/s median {} max {}; real {:?}",
                traffic[entries / 2].bytes as f64 / seconds,
                traffic[entries - 1].bytes as f64 / seconds,
                real.elapsed()
            );
        });
    }
}
