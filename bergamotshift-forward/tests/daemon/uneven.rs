//! Load balancers that hand most new connections to one entry, while callers open new ones more often.

use std::io::Write;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use crate::endpoint::Connection;
use crate::endpoint::Endpoint;
use crate::site::Caller;
use crate::site::Daemon;
use crate::site::Site;
use crate::site::wait_until;

/// Number of connections that are opened at the same time.
const BURST: usize = 240;

/// Number of bursts at one entry.
const BURSTS: usize = 3;

/// Number of requests on each connection that is kept.
const KEPT_REQUESTS: usize = 30;

fn endpoints() -> Vec<Endpoint> {
    let start = |number| {
        Endpoint::start(&format!("e{number}"), |request, _, stream| {
            stream.write_all(request.answer("200 OK", "", "done").as_bytes())?;
            Ok(Connection::Keep)
        })
    };
    (0..4).map(start).collect()
}

/// Opens many connections to an entry at once, with a request on each, and returns how many get the answer.
fn burst(daemon: &Daemon, name: &str) -> usize {
    let served = AtomicUsize::new(0);
    thread::scope(|scope| {
        for number in 0..BURST {
            let served = &served;
            scope.spawn(move || {
                let mut caller = Caller::new(daemon);
                caller.send("POST", "/checkin/1", &format!("{name}-{number}"), "", "x");
                let is_served = caller.read_answer().is_some_and(|answer| answer.status == 200);
                served.fetch_add(usize::from(is_served), Ordering::Relaxed);
            });
        }
    });
    served.into_inner()
}

/// Guards against callers who are not served, or whose requests wait unread, at an entry that gets most new connections; and
/// then at the next one, once the first is out.
#[test]
fn an_entry_that_gets_most_new_connections_serves_them() {
    let endpoints = endpoints();
    let all: Vec<_> = endpoints.iter().collect();
    let site = Site::new(&all);
    let first = site.start();
    let second = site.launch("entry-2", &[first.listen.peers]);
    wait_until("the entries know each other", || {
        [&first, &second]
            .iter()
            .all(|entry| entry.peer_count() == Some(1) && entry.is_ready())
    });
    for (number, daemon) in [&first, &second].into_iter().enumerate() {
        let served = thread::scope(|scope| {
            let kept = scope.spawn(|| {
                let mut caller = Caller::new(daemon);
                let ask = |index| {
                    caller
                        .ask("POST", "/checkin/1", &format!("kept-{number}-{index}"), "x")
                        .status
                };
                (0..KEPT_REQUESTS).map(ask).collect::<Vec<_>>()
            });
            let bursts = (0..BURSTS).map(|index| burst(daemon, &format!("new-{number}-{index}")));
            let served: usize = bursts.sum();
            let kept = kept.join().expect("the connection stands");
            assert_eq!(kept, [200; KEPT_REQUESTS], "on a connection that was open before");
            served
        });
        assert_eq!(served, BURST * BURSTS, "entry {number}");
        if number == 0 {
            first.stop();
            wait_until("the first entry is out", || !first.is_ready());
        }
    }
}
