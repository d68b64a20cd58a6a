//! A stop that cuts nothing.

use std::io::Read;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;

use crate::endpoint::After;
use crate::endpoint::Endpoint;
use crate::outside::lock;
use crate::site::Caller;
use crate::site::Site;
use crate::site::until;

/// A daemon is asked to stop while an endpoint works on a request and another caller keeps an idle connection. The
/// balancer is told at once, the idle connection is closed so that its caller goes elsewhere, the request gets its whole
/// answer, and only then does the process end.
#[test]
fn a_stop_finishes_what_is_under_way_and_closes_what_is_idle() {
    let (go, gate) = mpsc::channel::<()>();
    let gate = Arc::new(Mutex::new(gate));
    let endpoint = Endpoint::start("e1", move |seen, before, stream| {
        if before == 1 {
            let _ = lock(&gate).recv();
        }
        stream.write_all(seen.answer("200 OK", "", "done").as_bytes())?;
        Ok(After::Keep)
    });
    let site = Site::new(&[&endpoint]);
    let daemon = site.start();
    let mut idle = Caller::new(&daemon);
    assert_eq!(idle.ask("POST", "/confirm/1", "r-1", "x").status, 200);
    let mut busy = Caller::new(&daemon);
    busy.send("POST", "/confirm/2", "r-2", "", "x");
    until("the endpoint works on it", || endpoint.count() == 2);
    daemon.stop();
    let mut byte = [0];
    assert_eq!(idle.0.read(&mut byte).expect("it ends in order"), 0);
    until("the balancer is told", || !daemon.is_ready());
    go.send(()).expect("the endpoint waits");
    let answer = busy.answer().expect("an answer comes");
    assert_eq!((answer.status, answer.text().as_str()), (200, "done"));
    assert_eq!(daemon.join(), 0);
}
