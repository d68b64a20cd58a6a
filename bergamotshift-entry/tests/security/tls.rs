//! TLS towards callers and endpoints.

use core::net::SocketAddr;
use core::sync::atomic::AtomicUsize;
use core::sync::atomic::Ordering;
use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bergamotshift_entry::Daemon;
use bergamotshift_entry::Settings;
use bergamotshift_entry::tls;
use bergamotshift_entry::tls::Certificate;
use bergamotshift_entry::tls::Source;
use ntex::http::Method;
use rustls::ServerConnection;

use crate::authority::Pair;
use crate::authority::connect;
use crate::authority::source;
use crate::endpoint::Endpoint;
use crate::journal::Journal;
use crate::site::KEY;
use crate::site::Layout;
use crate::site::Site;
use crate::wire::exchange;

fn request(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {KEY}\r\n\r\n")
}

fn settings(pair: &Pair) -> tls::Settings {
    tls::Settings {
        certificate: source(&pair.certificate),
        key: source(&pair.key),
        ..tls::Settings::default()
    }
}

fn layout(tls: tls::Settings) -> Layout {
    let mut layout = Layout {
        engines: 0,
        plains: 1,
        ..Layout::default()
    };
    layout.settings.tls = Some(tls);
    layout
}

#[ntex::test]
async fn callers_are_served_over_tls_alone() {
    let pair = Pair::new();
    let site = Site::start(layout(settings(&pair))).await;
    let mut connection = connect(site.entry.callers(), &pair).unwrap();
    for path in ["/app/one", "/app/two"] {
        let answer = exchange(&mut connection, &request(path));
        assert_eq!(answer.status(), 200, "{}", answer.text());
        assert!(answer.text().contains(path));
    }
    assert_eq!(connection.conn.alpn_protocol(), Some(b"http/1.1".as_slice()));

    let mut clear = TcpStream::connect(site.entry.callers()).unwrap();
    clear.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    clear.write_all(request("/app/clear").as_bytes()).unwrap();
    let mut answer = Vec::new();
    drop(clear.read_to_end(&mut answer));
    assert!(!answer.starts_with(b"HTTP"), "{}", String::from_utf8_lossy(&answer));
    assert_eq!(site.runs(), 2);
}

/// Replaces a file at once, so that no reading meets a half of it.
fn replace(path: &Path, text: &str) {
    let next = path.with_extension("next");
    fs::write(&next, text).unwrap();
    fs::rename(&next, path).unwrap();
}

#[ntex::test]
async fn a_changed_certificate_is_taken_and_cuts_nobody() {
    // The operator's tool writes the new certificate, then its key. Between the two they do not fit: callers go on
    // meeting the old pair, and the log and a metric say so. With the key there, new connections meet the new pair,
    // and the connection from before is served on.
    let (old, new) = (Pair::new(), Pair::new());
    let folder = tempfile::tempdir().unwrap();
    let files = ["certificate.pem", "key.pem"].map(|name| folder.path().join(name));
    fs::write(&files[0], &old.certificate).unwrap();
    fs::write(&files[1], &old.key).unwrap();
    let (logger, mut journal) = Journal::start();
    let mut layout = layout(tls::Settings {
        certificate: Source::File(files[0].clone()),
        key: Source::File(files[1].clone()),
        reread: Duration::from_millis(5),
    });
    layout.settings.logger = logger;
    let site = Site::start(layout).await;
    let callers = site.entry.callers();
    let mut before = connect(callers, &old).unwrap();
    assert_eq!(exchange(&mut before, &request("/app/before")).status(), 200);

    replace(&files[0], &new.certificate);
    journal.wait("the certificate before stays in use");
    drop(connect(callers, &old).unwrap());
    assert_eq!(site.counter("bergamotshift_certificate_refused").await, 1);

    replace(&files[1], &new.key);
    journal.wait("another certificate is in use");
    let mut after = connect(callers, &new).unwrap();
    assert_eq!(exchange(&mut after, &request("/app/after")).status(), 200);
    connect(callers, &old).expect_err("the old pair is gone");
    assert_eq!(site.counter("bergamotshift_certificate_refused").await, 0);
    assert_eq!(site.counter("bergamotshift_certificates_total").await, 1);
    assert_eq!(exchange(&mut before, &request("/app/still")).status(), 200);
}

#[test]
fn a_pair_that_cannot_be_used_keeps_the_one_before() {
    let (pair, other) = (Pair::new(), Pair::new());
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("key.pem");
    fs::write(&file, &pair.key).unwrap();
    let certificate = Certificate::load(tls::Settings {
        key: Source::File(file.clone()),
        ..settings(&pair)
    })
    .unwrap();
    let cut = &pair.key[..pair.key.len() / 2];
    for text in [
        other.key.as_str(),
        cut,
        "",
        "nothing of the kind",
        pair.certificate.as_str(),
    ] {
        fs::write(&file, text).unwrap();
        let error = certificate.reread().unwrap_err().to_string();
        assert!(!error.contains(&pair.key[30..60]), "{error}");
    }
    fs::remove_file(&file).unwrap();
    assert!(certificate.reread().unwrap_err().to_string().contains("key.pem"));
    fs::write(&file, &pair.key).unwrap();
    assert_eq!(certificate.reread().unwrap(), tls::Change::Same);
}

#[test]
fn an_entry_does_not_start_with_a_pair_that_cannot_be_used() {
    let (pair, other) = (Pair::new(), Pair::new());
    let cases = [
        (source(&pair.certificate), source(&other.key), "KeyMismatch"),
        (
            source("/nowhere/certificate.pem"),
            source(&pair.key),
            "/nowhere/certificate.pem",
        ),
        (source(&pair.key), source(&pair.key), "holds no PEM certificate"),
        (
            source(&pair.certificate),
            source(&pair.certificate),
            "holds no PEM private key",
        ),
    ];
    for (certificate, key, told) in cases {
        let settings = Settings {
            threads: 1,
            tls: Some(tls::Settings {
                certificate,
                key,
                ..tls::Settings::default()
            }),
            ..Settings::default()
        };
        let shown = format!("{settings:?}");
        let error = Daemon::start(settings).unwrap_err().to_string();
        assert!(error.contains(told), "{error}");
        for text in [shown, error] {
            assert!(!text.contains("PRIVATE KEY---"), "{text}");
        }
    }
}

/// An endpoint that speaks TLS and echoes the attempt; counts the requests that reached it.
fn tls_endpoint(pair: &Pair) -> (SocketAddr, Arc<AtomicUsize>) {
    let config = Certificate::load(settings(pair)).unwrap().server().unwrap();
    let config = Arc::new(config);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let served = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&served);
    thread::spawn(move || {
        for socket in listener.incoming() {
            let connection = ServerConnection::new(Arc::clone(&config)).unwrap();
            let mut stream = rustls::StreamOwned::new(connection, socket.unwrap());
            let mut head = Vec::new();
            let mut byte = [0];
            // A caller that trusts another authority goes away in the middle of the handshake.
            while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|count| count == 1) {
                head.push(byte[0]);
            }
            let head = String::from_utf8(head).unwrap();
            let mut lines = head.lines();
            let attempt = lines.find_map(|line| line.strip_prefix("x-bergamotshift-attempt: "));
            let answer = if let Some(attempt) = attempt {
                count.fetch_add(1, Ordering::SeqCst);
                format!("HTTP/1.1 200 OK\r\nx-bergamotshift-attempt: {attempt}\r\ncontent-length: 6\r\n\r\nsecret")
            } else {
                "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n".to_owned()
            };
            drop(stream.write_all(answer.as_bytes()));
            stream.conn.send_close_notify();
            drop(stream.flush());
        }
    });
    (address, served)
}

#[ntex::test]
async fn endpoints_have_to_prove_themselves() {
    // The same endpoint stands behind two entries: one trusts its authority, the other a different one. Through the
    // first the caller gets its answer; of the second no byte of the request goes out, so the caller is told that it
    // did not run.
    let (pair, other) = (Pair::new(), Pair::new());
    let (address, served) = tls_endpoint(&pair);
    let site = async |trusted: &Pair| {
        let mut layout = Layout {
            engines: 0,
            plains: 0,
            raw: Some(address),
            ..Layout::default()
        };
        layout.settings.endpoints.tls = Some(tls::client(&source(&trusted.certificate)).unwrap());
        Site::start(layout).await
    };
    let reply = site(&pair).await.send(Method::GET, "/app/x", &[], "").await;
    assert_eq!((reply.status.as_u16(), reply.text()), (200, "secret"));
    let key = [("idempotency-key", "k")];
    let reply = site(&other).await.send(Method::POST, "/app/x", &key, "{}").await;
    assert_eq!(reply.status.as_u16(), 503, "{}", reply.text());
    assert_eq!(reply.header("x-bergamotshift-outcome"), Some("not-run"));
    assert_eq!(served.load(Ordering::SeqCst), 1);
}

#[ntex::test]
async fn a_broken_answer_is_cut_over_tls_too() {
    // An answer breaks off in the middle, and the second one differs. The caller's connection is cut behind what it
    // has: the bytes that are missing are never made up by an error message.
    let pair = Pair::new();
    for over_tls in [false, true] {
        let breaking = Endpoint::start(|attempt, number| {
            let letter = if number == 0 { "a" } else { "b" };
            let sent = letter.repeat(if number == 0 { 799_900 } else { 800_000 });
            format!("HTTP/1.1 200 OK\r\nx-bergamotshift-attempt: {attempt}\r\ncontent-length: 800000\r\n\r\n{sent}")
        });
        let mut layout = layout(settings(&pair));
        layout.plains = 0;
        layout.raw = Some(breaking.address());
        layout.settings.tls = layout.settings.tls.filter(|_| over_tls);
        let site = Site::start(layout).await;
        let callers = site.entry.callers();
        let answer = if over_tls {
            exchange(&mut connect(callers, &pair).unwrap(), &request("/app/x"))
        } else {
            exchange(&mut TcpStream::connect(callers).unwrap(), &request("/app/x"))
        };
        assert!(answer.body.iter().all(|byte| *byte == b'a'), "tls: {over_tls}");
        assert!(answer.body.len() < 800_000, "tls: {over_tls}");
        assert_eq!(breaking.served(), 2);
    }
}
