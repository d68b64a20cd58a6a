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
use crate::site::KEY;
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

/// Guards against answers that a stopping entry cuts, because it ends while it still writes them to slow callers.
#[test]
fn an_answer_that_is_still_being_written_is_not_cut_by_a_stop() {
    const LENGTH: usize = 8_000_000;
    const PIECE: usize = 64 << 10;
    let body = "x".repeat(LENGTH);
    let endpoint = Endpoint::start("e1", move |request, _, stream| {
        stream.write_all(request.answer("200 OK", "", &body).as_bytes())?;
        Ok(Connection::Keep)
    });
    let site = Site::new(&[&endpoint]);
    let daemon = site.start();
    let mut caller = Caller::new(&daemon);
    let socket = socket2::SockRef::from(&caller.0);
    socket.set_recv_buffer_size(PIECE).expect("a socket takes the option");
    caller.send("POST", "/confirm/1", "r-1", "", "x");
    let head = crate::endpoint::read_head(&mut caller.0)
        .expect("an answer comes")
        .expect("a head");
    assert!(head.contains("200 OK"));
    daemon.stop();
    let mut received = 0;
    let mut piece = vec![0; PIECE];
    while received < LENGTH {
        let length = caller.0.read(&mut piece).expect("the connection stands");
        assert!(length > 0, "it ended after {received} of {LENGTH} bytes");
        received += length;
        std::thread::sleep(std::time::Duration::from_millis(25));
    }
    assert_eq!(daemon.join(), 0);
}

/// Guards against requests that run although their connection is closed without an answer, because a stopping entry took it for
/// idle when it had read them.
#[test]
fn a_request_that_crosses_the_close_of_its_connection_does_not_run() {
    const CALLERS: usize = 150;
    const ROUNDS: usize = 4;
    for round in 0..ROUNDS {
        let endpoint = Endpoint::plain("e1", "done");
        let site = Site::new(&[&endpoint]);
        let daemon = site.start();
        let mut callers: Vec<_> = (0..CALLERS).map(|_| Caller::new(&daemon)).collect();
        for (number, caller) in callers.iter_mut().enumerate() {
            assert_eq!(
                caller.ask("POST", "/confirm/1", &format!("first-{number}"), "x").status,
                200
            );
        }
        for (number, caller) in callers.iter_mut().enumerate() {
            if number == CALLERS * round / ROUNDS {
                daemon.stop();
            }
            let text = format!(
                "POST /confirm/1 HTTP/1.1\r\nhost: staff.example\r\nauthorization: Bearer {KEY}\r\n\
                 bergamotshift-request: second-{number}\r\ncontent-length: 1\r\n\r\nx"
            );
            // The entry may have closed the connection.
            let _ = caller.0.write_all(text.as_bytes());
        }
        let unanswered: Vec<_> = callers
            .iter_mut()
            .enumerate()
            .filter_map(|(number, caller)| caller.read_answer().is_none().then_some(format!("second-{number}")))
            .collect();
        daemon.join();
        let ran = lock(&endpoint.requests)
            .iter()
            .filter_map(|request| request.header("bergamotshift-request").map(str::to_owned))
            .filter(|id| unanswered.contains(id))
            .count();
        assert_eq!(ran, 0, "of {} that got no answer", unanswered.len());
    }
}
