//! Callers of an entry that starts.

use std::io::Write;

use crate::endpoint::Endpoint;
use crate::outside::lock;
use crate::site::Caller;
use crate::site::Daemon;
use crate::site::KEY;
use crate::site::Site;
use crate::site::document;

/// A site whose document is not written yet, an entry that starts there, and a caller that asks it at once. The caller's
/// time is longer than any machine takes for what the tests wait for.
fn ask_at_the_start(endpoint: &Endpoint, patience_ms: u64) -> (Site, Daemon, Caller) {
    let site = Site::new(&[endpoint]);
    lock(&site.world).document = None;
    let daemon = site.launch_with("entry-1", &[], &format!("[start]\npatience_ms = {patience_ms}"));
    let mut caller = Caller::new(&daemon);
    let request = format!(
        "GET /checkin/1 HTTP/1.1\r\nhost: staff.example\r\nauthorization: Bearer {KEY}\r\n\
         bergamotshift-request: r1\r\nbergamotshift-deadline-ms: 600000\r\n\r\n"
    );
    caller.0.write_all(request.as_bytes()).expect("the connection stands");
    (site, daemon, caller)
}

/// A caller comes back after all entries were killed, and gets its answer.
///
/// The entry listens before it has read the document. The caller's request is there first and the document second; an
/// entry that refused it at once would do so for the second time, and the caller would not come again.
#[test]
fn a_caller_waits_until_the_document_is_read() {
    let endpoint = Endpoint::plain("e1", "done");
    let (site, daemon, mut caller) = ask_at_the_start(&endpoint, 60_000);
    lock(&site.world).put(document(1));
    let answer = caller.answer().expect("an answer comes");
    assert_eq!((answer.status, answer.text().as_str()), (200, "done"));
    daemon.stop();
    daemon.join();
}

/// The store cannot be read, so the entry cannot serve. Once the time for its start is over, it says so at once.
#[test]
fn a_caller_of_an_entry_that_cannot_read_is_refused_at_once() {
    let endpoint = Endpoint::plain("e1", "done");
    let (_site, daemon, mut caller) = ask_at_the_start(&endpoint, 0);
    assert_eq!(caller.answer().expect("an answer comes").status, 503);
    daemon.stop();
    daemon.join();
}
