//! Graceful stop.

use std::io::Read;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;

use crate::endpoint::Connection;
use crate::endpoint::Endpoint;
use crate::outside::lock;
use crate::site::Caller;
use crate::site::Site;
use crate::site::wait_until;

/// Guards against a stop that cuts a request in flight, or leaves idle connections open. The readiness check fails at
/// once, the idle connection is closed so that its caller connects to another entry, and the daemon ends after the last
/// answer.
#[test]
fn a_stop_finishes_what_is_under_way_and_closes_what_is_idle() {
    let (release, gate) = mpsc::channel::<()>();
    let gate = Arc::new(Mutex::new(gate));
    let endpoint = Endpoint::start("e1", move |request, earlier, stream| {
        if earlier == 1 {
            let _ = lock(&gate).recv();
        }
        stream.write_all(request.answer("200 OK", "", "done").as_bytes())?;
        Ok(Connection::Keep)
    });
    let site = Site::new(&[&endpoint]);
    let daemon = site.start();
    let mut idle = Caller::new(&daemon);
    assert_eq!(idle.ask("POST", "/confirm/1", "r-1", "x").status, 200);
    let mut busy = Caller::new(&daemon);
    busy.send("POST", "/confirm/2", "r-2", "", "x");
    wait_until("the endpoint works on it", || endpoint.count() == 2);
    daemon.stop();
    let mut byte = [0];
    assert_eq!(idle.0.read(&mut byte).expect("it ends in order"), 0);
    wait_until("the balancer is told", || !daemon.is_ready());
    release.send(()).expect("the endpoint waits");
    let answer = busy.read_answer().expect("an answer comes");
    assert_eq!((answer.status, answer.text().as_str()), (200, "done"));
    assert_eq!(daemon.join(), 0);
}
