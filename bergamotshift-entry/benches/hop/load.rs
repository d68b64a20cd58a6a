//! Sends requests: as many as can be, or at a steady rate.

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::mpsc;
use std::thread;
use std::time::Instant;

use futures_util::future::join_all;
use hdrhistogram::Histogram;
use ntex::SharedCfg;
use ntex::client::Client;
use ntex::client::Connector;
use ntex::rt::DefaultRuntime;
use ntex::rt::System;

/// Threads that send.
const THREADS: usize = 2;

/// The steady rate, in requests a second, and for how long it is kept.
const RATE: u32 = 2_400;
const SPAN: Duration = Duration::from_secs(10);

/// Sends requests over a number of connections.
#[derive(Debug)]
pub struct Load {
    threads: Vec<mpsc::Sender<(u64, mpsc::Sender<()>)>>,
}

impl Load {
    /// Starts the sending threads.
    pub fn new(address: SocketAddr, key: &'static str, connections: usize) -> Self {
        let threads = THREADS.min(connections);
        let start = |_| {
            let (sender, jobs) = mpsc::channel::<(u64, mpsc::Sender<()>)>();
            thread::spawn(move || {
                System::new("load", DefaultRuntime).block_on(async move {
                    let client = client().await;
                    while let Ok((requests, done)) = jobs.recv() {
                        let each = connections / threads;
                        let senders = (0..each).map(|place| {
                            let count = requests / each as u64 + u64::from((place as u64) < requests % each as u64);
                            send_all(&client, address, key, count)
                        });
                        join_all(senders).await;
                        let _ = done.send(());
                    }
                });
            });
            sender
        };
        Self {
            threads: (0..threads).map(start).collect(),
        }
    }

    /// Sends this many requests and returns how long that took.
    pub fn run(&self, requests: u64) -> Duration {
        let (done, finished) = mpsc::channel();
        let threads = self.threads.len() as u64;
        let began = Instant::now();
        for (place, thread) in self.threads.iter().enumerate() {
            let count = requests / threads + u64::from((place as u64) < requests % threads);
            thread.send((count, done.clone())).expect("the thread runs");
        }
        for _ in &self.threads {
            finished.recv().expect("the thread answers");
        }
        began.elapsed()
    }
}

async fn client() -> Client {
    let connector = Connector::default().limit(65_536);
    let client = Client::builder().connector::<()>(connector).disable_timeout();
    client.build(SharedCfg::default()).await.expect("a client")
}

async fn send_all(client: &Client, address: SocketAddr, key: &str, count: u64) {
    for _ in 0..count {
        send(client, address, key).await;
    }
}

async fn send(client: &Client, address: SocketAddr, key: &str) {
    let request = client.get(format!("http://{address}/app/status")).bearer_auth(key);
    let response = request.send().await.expect("an answer");
    assert!(response.status().is_success());
    response.body().await.expect("a whole answer");
}

/// Prints each way's latencies at the steady rate.
///
/// No request waits for another, so none is left out because an earlier one is slow; and each is measured from the
/// moment it is sent, so that the timer's ticks of a millisecond do not count.
pub fn compare(ways: &[(&str, SocketAddr)], key: &'static str) {
    let mut table = vec![format!("{RATE} requests/s for {} s, microseconds:", SPAN.as_secs())];
    for (way, address) in ways {
        let times = steady(*address, key);
        let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|quantile| times.value_at_quantile(quantile));
        table.push(format!("{way:>10}: p50 {p50:>6}  p99 {p99:>6}  p99.9 {p999:>6}"));
    }
    println!("{}", table.join("\n"));
}

fn steady(address: SocketAddr, key: &'static str) -> Histogram<u64> {
    let thread = thread::spawn(move || {
        System::new("steady", DefaultRuntime).block_on(async move {
            let client = client().await;
            let began = Instant::now();
            let interval = Duration::from_secs(1) / RATE;
            let total = SPAN.as_secs() as u32 * RATE;
            let (sender, mut receiver) = tokio::sync::mpsc::unbounded_channel();
            for number in 0..total {
                let due = began + interval * number;
                tokio::time::sleep_until(due.into()).await;
                let (client, sender) = (client.clone(), sender.clone());
                ntex::rt::spawn(async move {
                    let sent = Instant::now();
                    send(&client, address, key).await;
                    let _ = sender.send(sent.elapsed());
                })
                .detach();
            }
            drop(sender);
            let mut times = Histogram::new(3).expect("three digits");
            while let Some(time) = receiver.recv().await {
                times.saturating_record(time.as_micros() as u64);
            }
            times
        })
    });
    thread.join().expect("the load ran")
}
