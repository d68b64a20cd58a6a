//! Entries that tell one another what some of them cannot read.

use crate::endpoint::Endpoint;
use crate::outside::lock;
use crate::site::Caller;
use crate::site::Site;
use crate::site::document;
use crate::site::until;

/// One of two entries cannot reach the store from its start on. It serves callers all the same: the other one tells it
/// the document and the endpoints. A key that is taken away meanwhile is taken away at both, and an endpoint that
/// leaves gets no more work from either.
#[test]
fn an_entry_without_the_store_serves_by_what_the_others_tell() {
    let (one, two) = (Endpoint::plain("e1", "one"), Endpoint::plain("e2", "two"));
    let site = Site::new(&[&one, &two]);
    lock(&site.world).cut.push("entry-b".into());
    let first = site.launch("entry-a", &[]);
    let second = site.launch("entry-b", &[first.listen.peers]);
    until("the cut one is ready", || second.is_ready());
    assert_eq!(Caller::new(&second).ask("GET", "/checkin/1", "r-1", "").status, 200);
    lock(&site.world).remove("e1");
    let mut in_a_row = 0;
    until("the cut one knows who left", || {
        let text = Caller::new(&second).ask("GET", "/checkin/1", "r-2", "").text();
        in_a_row = if text == "two" { in_a_row + 1 } else { 0 };
        in_a_row == 20
    });
    let mut next = document(2);
    next.organisations[0].keys.clear();
    lock(&site.world).put(next);
    until("the cut one knows the document", || {
        Caller::new(&second).ask("GET", "/checkin/1", "r-3", "").status == 401
    });
}
