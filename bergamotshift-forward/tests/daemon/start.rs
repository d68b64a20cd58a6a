//! Callers of an entry during its start-up.

use std::io::Write;

use crate::endpoint::Endpoint;
use crate::outside::lock;
use crate::site::Caller;
use crate::site::Daemon;
use crate::site::KEY;
use crate::site::Site;
use crate::site::document;

/// Starts an entry while the store holds no document, and sends a request to it at once. The request's deadline is
/// longer than anything that the tests wait for takes on any machine.
fn request_at_startup(endpoint: &Endpoint, patience_ms: u64) -> (Site, Daemon, Caller) {
    let site = Site::new(&[endpoint]);
    lock(&site.backend).document = None;
    let daemon = site.launch_with("entry-1", &[], &format!("[start]\npatience_ms = {patience_ms}"));
    let mut caller = Caller::new(&daemon);
    let request = format!(
        "GET /checkin/1 HTTP/1.1\r\nhost: staff.example\r\nauthorization: Bearer {KEY}\r\n\
         bergamotshift-request: r1\r\nbergamotshift-deadline-ms: 600000\r\n\r\n"
    );
    caller.0.write_all(request.as_bytes()).expect("the connection stands");
    (site, daemon, caller)
}

/// Guards against callers that retry after all entries were killed, are refused a second time and give up. An entry
/// listens before it has read the document, so it has to hold early requests until then.
#[test]
fn a_caller_waits_until_the_document_is_read() {
    let endpoint = Endpoint::plain("e1", "done");
    let (site, daemon, mut caller) = request_at_startup(&endpoint, 60_000);
    lock(&site.backend).put_document(document(1));
    let answer = caller.read_answer().expect("an answer comes");
    assert_eq!((answer.status, answer.text().as_str()), (200, "done"));
    daemon.stop();
    daemon.join();
}

/// Guards against callers that wait for an entry which has no document after its start-up time; it has to refuse them
/// at once.
#[test]
fn a_caller_of_an_entry_without_a_document_is_refused_at_once() {
    let endpoint = Endpoint::plain("e1", "done");
    let (_site, daemon, mut caller) = request_at_startup(&endpoint, 0);
    assert_eq!(caller.read_answer().expect("an answer comes").status, 503);
    daemon.stop();
    daemon.join();
}
