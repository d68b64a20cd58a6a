//! The few threads that all stand-ins of a process share.

use core::sync::atomic::AtomicUsize;
use core::sync::atomic::Ordering;
use std::sync::OnceLock;
use std::thread;

use ntex::rt::DefaultRuntime;
use ntex::rt::System;
use tokio::sync::mpsc;

const THREADS: usize = 3;

type Job = Box<dyn FnOnce() + Send>;

/// Runs a job on one of the pool's threads, inside its runtime.
pub(super) fn run(job: impl FnOnce() + Send + 'static) {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let threads = threads();
    let place = NEXT.fetch_add(1, Ordering::Relaxed) % threads.len();
    // The receiving loop lives as long as the process.
    drop(threads[place].send(Box::new(job)));
}

fn threads() -> &'static [mpsc::UnboundedSender<Job>] {
    static POOL: OnceLock<Vec<mpsc::UnboundedSender<Job>>> = OnceLock::new();
    POOL.get_or_init(|| (0..THREADS).map(|_| start()).collect())
}

fn start() -> mpsc::UnboundedSender<Job> {
    let (sender, mut receiver) = mpsc::unbounded_channel::<Job>();
    let work = async move {
        while let Some(job) = receiver.recv().await {
            job();
        }
    };
    thread::Builder::new()
        .name("standin".into())
        .spawn(move || {
            System::build()
                .name("standin")
                .disable_signals()
                .build(DefaultRuntime)
                .block_on(work);
        })
        .expect("a process that tests can start a thread");
    sender
}
