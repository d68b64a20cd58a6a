//! How many small plain requests each path carries when the callers never wait.

use core::time::Duration;

use crate::Site;
use crate::closed;
use crate::figure::Bounds;
use crate::figure::median;
use crate::role::KEY;

const ROUNDS: usize = 7;
const SPAN: Duration = Duration::from_secs(2);
const THREADS: usize = 4;
const CONNECTIONS: usize = 16;

pub fn measure(site: &Site, bounds: &mut Bounds) {
    println!(
        "\nsaturation, {} connections, {ROUNDS} rounds of {} s; requests/s",
        THREADS * CONNECTIONS,
        SPAN.as_secs()
    );
    let request =
        format!("GET /app/status HTTP/1.1\r\nhost: app\r\nauthorization: Bearer {KEY}\r\nidempotency-key: k\r\n\r\n");
    let mut rounds = [Vec::new(), Vec::new(), Vec::new()];
    let mut per_core = [Vec::new(), Vec::new(), Vec::new()];
    for _ in 0..ROUNDS {
        for (place, (name, child)) in site.paths().into_iter().enumerate() {
            let before = child.processor();
            let rate = closed::throughput(child.address, &request, THREADS, CONNECTIONS, SPAN);
            let cores = (child.processor() - before) / SPAN.as_secs_f64();
            println!(
                "{name:10}{rate:>10.0}   cores {cores:.2}   per core {:.0}",
                rate / cores
            );
            rounds[place].push(rate);
            per_core[place].push(rate / cores);
        }
    }
    // Ratios are taken round by round: other work on the machine moves all rates from one round to the next.
    let ratio = |above: usize, below: usize| {
        let pairs = rounds[above].iter().zip(&rounds[below]);
        median(pairs.map(|(above, below)| above / below).collect())
    };
    println!(
        "medians of the rounds' ratios   hop/direct {:.2}   entry/direct {:.2}",
        ratio(1, 0),
        ratio(2, 0)
    );
    bounds.at_least("saturation over the hop's", ratio(2, 1), 0.75);
    // What a core carries moves less than the rate when other work takes the cores.
    let [_, hop, entry] = per_core.map(median);
    println!(
        "medians per core   hop {hop:.0}   entry {entry:.0} ({:.2} of the hop's)",
        entry / hop
    );
}
