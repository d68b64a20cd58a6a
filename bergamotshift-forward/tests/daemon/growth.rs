//! Transfer of a large document to entries with little bandwidth.

use std::io::Write;
use std::net::TcpStream;

use bergamotshift_forward::document::Document;
use bergamotshift_forward::document::Route;
use bergamotshift_forward::peers::update::MAX_UPLOADS;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use crate::endpoint::Endpoint;
use crate::endpoint::read_head;
use crate::link::Link;
use crate::outside::lock;
use crate::site::Caller;
use crate::site::Daemon;
use crate::site::Site;
use crate::site::document;
use crate::site::wait_until;

/// Number of additional routes in the smallest document that proved too large for the narrowest links.
const LARGE_DOCUMENT_ROUTES: usize = 4_250;

/// Number of entries that read the document from the store.
const STORE_READERS: usize = 3;

/// Returns the default document with many additional routes, the last of them with the prefix `/route-4249/`.
fn large_document(version: u64) -> Document {
    document_with_routes(version, LARGE_DOCUMENT_ROUTES)
}

fn document_with_routes(version: u64, routes: usize) -> Document {
    let mut document = document(version);
    let route = document.routes[0].clone();
    document.routes.extend((0..routes).map(|number| Route {
        name: format!("route-{number}").into(),
        prefix: format!("/route-{number}/").into(),
        ..route.clone()
    }));
    document
}

/// Starts entries that read the store, and one that does not and is connected to them by a narrow link.
fn start(site: &Site) -> (Vec<Daemon>, Link, Daemon) {
    lock(&site.backend).disconnected.push("entry-narrow".into());
    let mut holders: Vec<Daemon> = Vec::new();
    for number in 0..STORE_READERS {
        let seeds: Vec<_> = holders.first().map(|first| first.listen.peers).into_iter().collect();
        holders.push(site.launch(&format!("entry-{number}"), &seeds));
    }
    let entries: Vec<_> = holders.iter().map(|holder| holder.listen.peers).collect();
    let link = Link::from(&entries);
    let narrow = site.launch("entry-narrow", &link.addresses);
    wait_until("the entry behind the link is ready", || narrow.is_ready());
    (holders, link, narrow)
}

fn status(daemon: &Daemon, path: &str) -> u16 {
    Caller::new(daemon).ask("GET", path, "r", "").status
}

/// Guards against an entry behind a narrow link that never receives a large document. Several copies at once take
/// longer than its timeout; if it discards them and asks again, the link stays full: for 13 seconds, without any CPU
/// load, no document came in force. A single copy, with a timeout that progress extends, takes little more than a
/// second.
#[test]
fn a_document_larger_than_a_moment_of_the_link_comes_in_force() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = Site::new(&[&endpoint]);
    let (_holders, link, narrow) = start(&site);
    lock(&site.backend).put_document(large_document(2));
    wait_until("the new route is served", || status(&narrow, "/route-4249/1") == 200);
    assert_eq!(link.large_answers(), 1, "the link carried more than one copy");
}

/// Guards against permanent refusals of callers with a new route or key, whom every other entry would serve; clients do
/// not retry after those. The entry knows that there is a newer document, but its copy is stalled, so it answers such
/// callers that the request has not run and may be retried. It serves the routes that it knows.
#[test]
fn an_entry_that_knows_itself_behind_refuses_nobody_for_good() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = Site::new(&[&endpoint]);
    let (_holders, link, narrow) = start(&site);
    assert_eq!(status(&narrow, "/route-4249/1"), 404);
    link.stall_large_answers();
    lock(&site.backend).put_document(large_document(2));
    wait_until("the caller may come again", || status(&narrow, "/route-4249/1") == 503);
    let mut unknown = Caller::new(&narrow);
    let request = "GET /checkin/1 HTTP/1.1\r\nhost: staff.example\r\nauthorization: Bearer key-2\r\n\
         bergamotshift-request: r\r\nbergamotshift-deadline-ms: 4000\r\n\r\n";
    unknown.0.write_all(request.as_bytes()).expect("the connection stands");
    assert_eq!(unknown.read_answer().expect("an answer comes").status, 503);
    assert_eq!(status(&narrow, "/checkin/1"), 200);
}

/// Guards against transfers of a whole large document after a change of one route, which would fill narrow links again;
/// only the difference is sent.
#[test]
fn a_small_change_of_a_large_document_is_sent_as_a_difference() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = Site::new(&[&endpoint]);
    let (_holders, link, narrow) = start(&site);
    lock(&site.backend).put_document(large_document(2));
    wait_until("the new route is served", || status(&narrow, "/route-4249/1") == 200);
    let mut next = large_document(3);
    next.routes.retain(|route| route.name != "route-17");
    let large = link.large_answers();
    lock(&site.backend).put_document(next);
    wait_until("the dropped route is not served", || {
        status(&narrow, "/route-17/1") == 404
    });
    assert_eq!(status(&narrow, "/route-4249/1"), 200);
    assert_eq!(
        link.large_answers(),
        large,
        "the whole document went over the link again"
    );
}

/// Asks an entry for its document, and reads only the head of the answer. Returns the connection and the status.
fn query_without_reading(daemon: &Daemon) -> (TcpStream, u16) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    // The buffer is so small that most of the answer stays at its sender.
    socket.set_recv_buffer_size(4_096).expect("a socket takes a size");
    socket.connect(&daemon.listen.peers.into()).expect("the daemon listens");
    let mut stream = TcpStream::from(socket);
    // Version 0 means that the asking entry has no document.
    let question = b"POST /document HTTP/1.1\r\nhost: e\r\ncontent-length: 1\r\n\r\n\0";
    stream.write_all(question).expect("the connection stands");
    let head = read_head(&mut stream).expect("an answer comes").expect("it has a head");
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    (stream, status.expect("a status"))
}

/// Guards against an entry whose callers get late answers because its link is full of copies of a new document, which
/// dozens of entries request at once. It sends a few copies at a time and refuses the other entries, which ask one that
/// has received it meanwhile. A copy that is done makes room for the next one.
#[test]
fn an_entry_gives_its_document_to_a_few_at_a_time() {
    // Large enough that the socket buffers do not hold the whole answer.
    const UNBUFFERED_ROUTES: usize = 40 * LARGE_DOCUMENT_ROUTES;
    let endpoint = Endpoint::plain("e1", "done");
    let site = Site::new(&[&endpoint]);
    lock(&site.backend).put_document(document_with_routes(2, UNBUFFERED_ROUTES));
    let daemon = site.start();
    let mut served: Vec<_> = (0..MAX_UPLOADS).map(|_| query_without_reading(&daemon)).collect();
    assert!(served.iter().all(|(_, status)| *status == 200));
    assert_eq!(query_without_reading(&daemon).1, 503);
    served.pop();
    wait_until("there is room for one more", || query_without_reading(&daemon).1 == 200);
}
