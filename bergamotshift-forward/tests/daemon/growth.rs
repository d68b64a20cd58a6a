//! Entries with narrow links, and a document that has grown large.

use std::io::Write;
use std::net::TcpStream;

use bergamotshift_forward::document::Document;
use bergamotshift_forward::document::Route;
use bergamotshift_forward::peers::update::MAX_UPLOADS;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use crate::endpoint::Endpoint;
use crate::endpoint::head;
use crate::link::Link;
use crate::outside::lock;
use crate::site::Caller;
use crate::site::Daemon;
use crate::site::Site;
use crate::site::document;
use crate::site::until;

/// The routes of the document that was the first too large for the narrowest links.
const ROUTES: usize = 4_250;

/// The entries that read the document from the store.
const HOLDERS: usize = 3;

/// Returns the usual document with many routes more, the last of them below `/route-4249/`.
fn grown(version: u64) -> Document {
    grown_by(version, ROUTES)
}

fn grown_by(version: u64, routes: usize) -> Document {
    let mut grown = document(version);
    let route = grown.routes[0].clone();
    grown.routes.extend((0..routes).map(|number| Route {
        name: format!("route-{number}").into(),
        prefix: format!("/route-{number}/").into(),
        ..route.clone()
    }));
    grown
}

/// Starts entries that read the store, and one that does not and hears them over a narrow link.
fn start(site: &Site) -> (Vec<Daemon>, Link, Daemon) {
    lock(&site.world).cut.push("entry-narrow".into());
    let mut holders: Vec<Daemon> = Vec::new();
    for number in 0..HOLDERS {
        let seeds: Vec<_> = holders.first().map(|first| first.listen.peers).into_iter().collect();
        holders.push(site.launch(&format!("entry-{number}"), &seeds));
    }
    let entries: Vec<_> = holders.iter().map(|holder| holder.listen.peers).collect();
    let link = Link::from(&entries);
    let narrow = site.launch("entry-narrow", &link.addresses);
    until("the entry behind the link is ready", || narrow.is_ready());
    (holders, link, narrow)
}

fn status(daemon: &Daemon, path: &str) -> u16 {
    Caller::new(daemon).ask("GET", path, "r", "").status
}

/// Callers of one entry are refused for good where the operators added their route long ago.
///
/// Its link is narrow, and the document has grown by some thousand routes. Each of the other entries that it asks answers
/// with the whole of it; together that takes longer than the entry waits, so it throws away what came and asks again. The
/// link is full from then on, and nothing ever comes through. In the record such an entry took in a full link's worth of
/// bytes for 13 seconds, at no processor time, and put no document in force.
///
/// One copy at a time, for as long as it keeps coming, is there after little more than a second.
#[test]
fn a_document_larger_than_a_moment_of_the_link_comes_in_force() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = Site::new(&[&endpoint]);
    let (_holders, link, narrow) = start(&site);
    lock(&site.world).put(grown(2));
    until("the new route is served", || status(&narrow, "/route-4249/1") == 200);
    assert_eq!(link.large(), 1, "the link carried more than one copy");
}

/// A caller asks an entry for a route that the entry does not have yet, or comes with a key that it does not know yet, and
/// is refused for good: clients do not come again after that, although every other entry would have served them.
///
/// The entry has heard that there is a newer document, and the copy of it is stuck. It cannot tell what that says of the
/// caller, so it says that the request has not run and may come again. What it knows to be routed it serves.
#[test]
fn an_entry_that_knows_itself_behind_refuses_nobody_for_good() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = Site::new(&[&endpoint]);
    let (_holders, link, narrow) = start(&site);
    assert_eq!(status(&narrow, "/route-4249/1"), 404);
    link.stick();
    lock(&site.world).put(grown(2));
    until("the caller may come again", || status(&narrow, "/route-4249/1") == 503);
    let mut unknown = Caller::new(&narrow);
    let request = "GET /checkin/1 HTTP/1.1\r\nhost: staff.example\r\nauthorization: Bearer key-2\r\n\
         bergamotshift-request: r\r\nbergamotshift-deadline-ms: 4000\r\n\r\n";
    unknown.0.write_all(request.as_bytes()).expect("the connection stands");
    assert_eq!(unknown.answer().expect("an answer comes").status, 503);
    assert_eq!(status(&narrow, "/checkin/1"), 200);
}

/// The operators change one route of a large document. Every entry that gave and got the whole of it for that would fill the
/// narrow links once more; only what changed goes over them.
#[test]
fn a_small_change_of_a_large_document_is_a_small_answer() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = Site::new(&[&endpoint]);
    let (_holders, link, narrow) = start(&site);
    lock(&site.world).put(grown(2));
    until("the new route is served", || status(&narrow, "/route-4249/1") == 200);
    let mut next = grown(3);
    next.routes.retain(|route| route.name != "route-17");
    let large = link.large();
    lock(&site.world).put(next);
    until("the dropped route is not served", || {
        status(&narrow, "/route-17/1") == 404
    });
    assert_eq!(status(&narrow, "/route-4249/1"), 200);
    assert_eq!(link.large(), large, "the whole document went over the link again");
}

/// Asks an entry for its document, reads the answer's status and leaves the rest where it is.
fn ask_and_read_nothing(daemon: &Daemon) -> (TcpStream, u16) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    // So little that most of the answer stays with its sender.
    socket.set_recv_buffer_size(4_096).expect("a socket takes a size");
    socket.connect(&daemon.listen.peers.into()).expect("the daemon listens");
    let mut stream = TcpStream::from(socket);
    // The version 0: it has none.
    let question = b"POST /document HTTP/1.1\r\nhost: e\r\ncontent-length: 1\r\n\r\n\0";
    stream.write_all(question).expect("the connection stands");
    let head = head(&mut stream).expect("an answer comes").expect("it has a head");
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    (stream, status.expect("a status"))
}

/// Callers of the entry that reads a new document first get their answers late, while it goes round.
///
/// Dozens of entries hear of it at once and ask that one, and its link is full of copies. It gives so many at a time and
/// turns the others away, who ask one that has got it meanwhile; a copy that has gone out makes room for the next one.
#[test]
fn an_entry_gives_its_document_to_a_few_at_a_time() {
    const ROUTES_HELD_UP: usize = 40 * ROUTES;
    let endpoint = Endpoint::plain("e1", "done");
    let site = Site::new(&[&endpoint]);
    lock(&site.world).put(grown_by(2, ROUTES_HELD_UP));
    let daemon = site.start();
    let mut served: Vec<_> = (0..MAX_UPLOADS).map(|_| ask_and_read_nothing(&daemon)).collect();
    assert!(served.iter().all(|(_, status)| *status == 200));
    assert_eq!(ask_and_read_nothing(&daemon).1, 503);
    served.pop();
    until("there is room for one more", || ask_and_read_nothing(&daemon).1 == 200);
}
