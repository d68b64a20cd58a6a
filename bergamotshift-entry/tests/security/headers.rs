//! What of a caller's head reaches an endpoint, and what a caller can make it believe.

use std::io::Write;
use std::net::TcpStream;

use ntex::http::Method;

use crate::hostile::Endpoint;
use crate::site::KEY;
use crate::site::Layout;
use crate::site::Site;
use crate::wire::exchange;

const FINE: &str = "HTTP/1.1 200 OK\r\nx-bergamotshift-attempt: ATTEMPT\r\ncontent-length: 2\r\n\r\nok";

async fn site(endpoint: &Endpoint) -> Site {
    Site::start(Layout {
        engines: 0,
        plains: 0,
        raw: Some(endpoint.address()),
        ..Layout::default()
    })
    .await
}

/// Sends a request with these lines in its head; returns the answer's status.
fn send(site: &Site, target: &str, lines: &[&str]) -> u16 {
    let mut socket = TcpStream::connect(site.entry.callers()).unwrap();
    let lines = lines.join("\r\n");
    let request = format!("GET {target} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {KEY}\r\n{lines}\r\n\r\n");
    exchange(&mut socket, &request).status()
}

#[ntex::test]
async fn what_belongs_to_the_hop_or_the_system_stays_here() {
    // A caller sends its key twice, headers that hold for its own connection, one that it declares to be such, and
    // the system's own in every spelling that some server takes for the same name. The endpoint gets none of them;
    // what it is told of the organisation and the attempt is the entry's own.
    let endpoint = Endpoint::saying(FINE);
    let site = site(&endpoint).await;
    let lines = [
        "Authorization: Bearer another",
        "Connection: x-declared, keep-alive",
        "X-Declared: forged",
        "Keep-Alive: forged",
        "Proxy-Connection: forged",
        "Proxy-Authorization: forged",
        "TE: forged",
        "Trailer: forged",
        "X-Bergamotshift-Organisation: forged",
        "X-BERGAMOTSHIFT-ORGANISATION: forged",
        "X_Bergamotshift_Organisation: forged",
        "X-Bergamotshift_Attempt: forged",
        "X-Bergamotshift-Outcome: forged",
        "X-Bergamotshift-Anything: forged",
        "X-Passed-On: yes",
    ];
    assert_eq!(send(&site, "/app/x", &lines), 200);
    let head = &endpoint.heads()[0];
    assert!(!head.contains("forged"), "{head}");
    assert!(!head.contains("authorization"), "{head}");
    assert!(head.contains("x-passed-on: yes"), "{head}");
    assert_eq!(head.matches("bergamotshift").count(), 2, "{head}");
    assert!(head.contains("x-bergamotshift-organisation: acme"), "{head}");
}

#[ntex::test]
async fn heads_that_servers_read_differently_are_refused() {
    let endpoint = Endpoint::saying(FINE);
    let site = site(&endpoint).await;
    let cases: [&[&str]; 4] = [
        &["X-Bergamotshift-Organisation : forged"],
        &["X-A: b", " X-Bergamotshift-Organisation: forged"],
        &["X-A: b\rX-Bergamotshift-Organisation: forged"],
        &["X-Bergamotshift-Organisation\t: forged"],
    ];
    for lines in cases {
        assert_eq!(send(&site, "/app/x", lines), 400, "{lines:?}");
    }
    assert!(endpoint.heads().is_empty(), "{:?}", endpoint.heads());
}

#[ntex::test]
async fn trailers_become_no_headers() {
    let endpoint = Endpoint::saying(FINE);
    let site = site(&endpoint).await;
    let mut socket = TcpStream::connect(site.entry.callers()).unwrap();
    let request = format!(
        "PUT /app/x HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {KEY}\r\ntransfer-encoding: \
         chunked\r\n\r\n2\r\nok\r\n0\r\nX-Bergamotshift-Organisation: forged\r\n\r\n"
    );
    exchange(&mut socket, &request);
    drop(socket.flush());
    assert!(endpoint.heads().iter().all(|head| !head.contains("forged")));
}

#[ntex::test]
async fn paths_lead_to_no_other_place() {
    // A path that an endpoint would read as another one could reach a service that the organisation may not use, or
    // the pages by which the system itself asks and orders an endpoint. Such paths are refused, whatever their
    // spelling, and the endpoint sees no request.
    let endpoint = Endpoint::saying(FINE);
    let other = Endpoint::saying(FINE);
    let more = format!(
        "[[service]]\nname = \"all\"\nkind = \"plain\"\nadapter = \"http\"\nhosts = [\"all.example\"]\n\n[[endpoint]]\nname = \
         \"all-1\"\nservice = \"all\"\nzone = \"zone-a\"\nclass = \"small\"\naddress = \"{}\"\n",
        other.address()
    );
    let site = Site::start(Layout {
        engines: 0,
        plains: 0,
        raw: Some(endpoint.address()),
        more: more.leak(),
        ..Layout::default()
    })
    .await;
    let refused = [
        ("/app/../_drain", 400),
        ("/app/%2e%2E/_drain", 400),
        ("/app/.%2e", 400),
        ("/app/./x", 400),
        ("/app/..%2f_drain", 400),
        ("/app/..%5c_drain", 400),
        ("/app/%00", 400),
    ];
    for (target, status) in refused {
        assert_eq!(send(&site, target, &["accept: */*"]), status, "{target}");
    }
    for target in [
        "/_drain",
        "/_load",
        "//_load",
        "/%5fdrain",
        "/_kv/export",
        "/_orders?x",
        "/_events/",
    ] {
        let headers = [("host", "all.example")];
        let reply = site.send(Method::GET, target, &headers, "").await;
        reply.assert_failure(404, "unknown_service", "not-run");
    }
    for endpoint in [&endpoint, &other] {
        assert!(endpoint.heads().is_empty(), "{:?}", endpoint.heads());
    }
    let headers = [("host", "all.example")];
    for target in ["/_next/static", "/a..b/.well-known/%41", "/_loads"] {
        let reply = site.send(Method::GET, target, &headers, "").await;
        assert_eq!(reply.status.as_u16(), 200, "{target}");
    }
}
