//! A thousand concurrent streams: how long each token is on its way, from endpoint to caller.

use core::net::SocketAddr;
use std::thread;

use bergamotshift_load::latency::Recorder;
use bergamotshift_load::latency::Summary;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::Site;
use crate::figure::Bounds;
use crate::figure::median;
use crate::role::KEY;
use crate::upstream;

const ROUNDS: usize = 3;
const STREAMS: usize = 1_000;
const THREADS: usize = 3;

pub fn measure(site: &Site, bounds: &mut Bounds) {
    println!(
        "\n{STREAMS} streams at {} tokens/s each, {ROUNDS} rounds; microseconds from endpoint to caller",
        1_000 / upstream::INTERVAL.as_millis()
    );
    let mut added = [Vec::new(), Vec::new()];
    let mut resident = 0.0_f64;
    for _ in 0..ROUNDS {
        let mut direct = Summary::default();
        for (place, (name, child)) in site.paths().into_iter().enumerate() {
            let before = child.processor();
            let (tokens, memory) = run(child);
            let share = child.processor() - before;
            println!(
                "{name:10}tokens {:>8}  p50 {:>7}  p99 {:>7}  p99.9 {:>7}  resident {memory:.1} MiB  CPU {share:.2} s",
                tokens.count, tokens.p50_us, tokens.p99_us, tokens.p999_us
            );
            if place == 0 {
                direct = tokens;
                continue;
            }
            let difference = |with: u64, without: u64| with as f64 - without as f64;
            added[place - 1].push((
                difference(tokens.p50_us, direct.p50_us),
                difference(tokens.p99_us, direct.p99_us),
            ));
            if name == "entry" {
                resident = resident.max(memory);
            }
        }
    }
    let [hop, entry] = added.map(|rounds| {
        let (p50, p99) = rounds.into_iter().unzip();
        (median(p50), median(p99))
    });
    println!(
        "median     hop: p50 +{} p99 +{}   entry: p50 +{} p99 +{}",
        hop.0, hop.1, entry.0, entry.1
    );
    bounds.at_most("added p99 per token, 1,000 streams, ms", entry.1 / 1e3, 2.0);
    bounds.at_most("resident memory of the entry, MiB", resident, 128.0);
}

/// Returns the tokens' ways, and the most memory that the path's process held while they came.
fn run(child: &crate::role::Child) -> (Summary, f64) {
    let address = child.address;
    let readers: Vec<_> = (0..THREADS)
        .map(|_| thread::spawn(move || read(address, STREAMS / THREADS)))
        .collect();
    let mut memory = 0.0_f64;
    while readers.iter().any(|reader| !reader.is_finished()) {
        memory = memory.max(child.resident());
        thread::sleep(upstream::INTERVAL);
    }
    let mut all = Recorder::new();
    for reader in readers {
        all.merge(&reader.join().expect("no stream breaks"));
    }
    (all.summary(), memory)
}

fn read(address: SocketAddr, streams: usize) -> Recorder {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    runtime.block_on(async {
        let streams = (0..streams).map(|number| stream(address, number));
        let mut all = Recorder::new();
        for recorder in futures_util::future::join_all(streams).await {
            for micros in recorder {
                all.record(core::time::Duration::from_micros(micros));
            }
        }
        all
    })
}

/// Reads one stream to its end, and returns each token's time on its way in microseconds.
async fn stream(address: SocketAddr, number: usize) -> Vec<u64> {
    // Starts are spread over one interval, as independent callers' are.
    let spread = upstream::INTERVAL.mul_f64((number % 97) as f64 / 97.0);
    tokio::time::sleep(spread).await;
    let body = r#"{"model":"m","messages":[{"role":"user","content":"hello"}],"stream":true,"max_tokens":120}"#;
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: llm\r\nauthorization: Bearer {KEY}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut connection = TcpStream::connect(address).await.expect("the path takes connections");
    connection.set_nodelay(true).expect("a socket option");
    connection
        .write_all(request.as_bytes())
        .await
        .expect("the request goes out");
    let mut ways = Vec::with_capacity(upstream::TOKENS);
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n0\r\n\r\n") {
        let read = connection.read_buf(&mut bytes).await.expect("the stream goes on");
        assert!(read > 0, "the stream ends whole: {}", String::from_utf8_lossy(&bytes));
        let now = upstream::micros();
        let seen = take(&bytes, |left| ways.push(now.saturating_sub(left)));
        bytes.drain(..seen);
    }
    assert_eq!(ways.len(), upstream::TOKENS, "{}", String::from_utf8_lossy(&bytes));
    ways
}

/// Hands over the time that each whole token left, and returns how many bytes were used up.
fn take(bytes: &[u8], mut token: impl FnMut(u64)) -> usize {
    let text = core::str::from_utf8(bytes).unwrap_or_default();
    let mut used = 0;
    while let Some(start) = text[used..].find(upstream::MARK) {
        let digits = &text[used + start + upstream::MARK.len()..];
        let Some(end) = digits.find('"') else {
            break;
        };
        token(digits[..end].parse().expect("the mark is followed by a number"));
        used += start + upstream::MARK.len() + end;
    }
    used
}
