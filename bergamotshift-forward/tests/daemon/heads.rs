//! Endpoints that stop in the head of their answer.

use std::io;
use std::io::Write;
use std::net::TcpStream;

use crate::cut_off::Cut;
use crate::endpoint::Connection;
use crate::endpoint::Endpoint;
use crate::endpoint::Request;
use crate::endpoint::read_head;
use crate::gate::State;
use crate::site::Caller;
use crate::site::Daemon;
use crate::site::Site;

/// Answers of which the head is cut, by the name in the request's path.
const KINDS: [(&str, &str, &str); 5] = [
    ("sized", "200 OK", "content-length: 12\r\nx-last: 1\r\n"),
    ("chunked", "200 OK", "transfer-encoding: chunked\r\nx-last: 1\r\n"),
    ("unframed", "200 OK", "connection: close\r\nx-last: 1\r\n"),
    ("empty", "204 No Content", "x-last: 1\r\n"),
    ("interim", "200 OK", "content-length: 12\r\n"),
];

/// Returns the head that a request asks for with its path, `/route/kind/length/pieces`, and the length to send of it.
fn head(request: &Request) -> Option<(String, usize, bool)> {
    let mut parts = request.path().split('/').skip(2);
    let name = parts.next()?;
    let (_, status, fields) = KINDS.iter().find(|(kind, ..)| *kind == name)?;
    let interim = if name == "interim" {
        "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"
    } else {
        ""
    };
    let head = interim.to_owned() + &request.answer_head(status, fields);
    Some((head, parts.next()?.parse().ok()?, parts.next()? == "bytes"))
}

/// Answers a request, or part of its head.
fn answer(request: &Request, stream: &mut TcpStream) -> io::Result<Connection> {
    let Some((head, length, is_slow)) = head(request) else {
        stream.write_all(request.answer("200 OK", "", "whole").as_bytes())?;
        return Ok(Connection::Keep);
    };
    let cut = &head.as_bytes()[..length.min(head.len() - 1)];
    let piece = if is_slow { 1 } else { cut.len().max(1) };
    for piece in cut.chunks(piece) {
        stream.write_all(piece)?;
    }
    Ok(Connection::Close)
}

fn cutting(id: &str) -> Endpoint {
    Endpoint::start(id, |request, _, stream| answer(request, stream))
}

/// Asks for heads that are cut after each of these lengths, and checks that none passes as an answer.
fn check(daemon: &Daemon, endpoints: &[&Endpoint], routes: &[(&str, &str)], lengths: impl Iterator<Item = usize>) {
    let mut asked = 0;
    let reached = || {
        let cut = |request: &Request| head(request).is_some();
        let requests = endpoints.iter().map(|one| crate::outside::lock(&one.requests));
        requests
            .map(|all| all.iter().filter(|one| cut(one)).count())
            .sum::<usize>()
    };
    for length in lengths {
        for (method, route) in routes {
            for (kind, ..) in KINDS {
                // Its connection is kept for the next one.
                Caller::new(daemon).ask("POST", "/confirm/whole", &format!("w-{asked}"), "x");
                let pieces = if asked % 2 == 0 { "bytes" } else { "once" };
                let path = format!("/{route}/{kind}/{length}/{pieces}");
                let mut caller = Caller::new(daemon);
                caller.send(method, &path, &format!("r-{asked}"), "", "");
                let head = read_head(&mut caller.0).expect("the connection stands");
                let head = head.expect("an answer comes");
                assert!(head.starts_with("HTTP/1.1 5"), "{method} {path}: {head}");
                asked += 1;
            }
        }
    }
    assert!(
        reached() > asked / 2,
        "only {} of {asked} reached an endpoint",
        reached()
    );
}

/// Guards against an empty or short answer that looks whole, as its endpoint stopped within the head.
#[test]
fn part_of_a_head_is_no_answer() {
    let endpoint = cutting("e1");
    let site = Site::new(&[&endpoint]);
    let daemon = site.start();
    let routes = [
        ("POST", "confirm"),
        ("POST", "chat"),
        ("GET", "checkin"),
        ("POST", "draft"),
        ("HEAD", "checkin"),
    ];
    check(&daemon, &[&endpoint], &routes, (0..180).step_by(3));
}

/// Guards against the same behind another entry.
#[test]
fn part_of_a_head_behind_another_entry_is_no_answer() {
    let cut = Cut::new((0..4).map(|number| cutting(&format!("e{number}"))).collect());
    cut.set(State::Refusing);
    let endpoints: Vec<_> = cut.endpoints.iter().collect();
    let routes = [("POST", "confirm"), ("POST", "chat")];
    check(cut.first(), &endpoints, &routes, (0..180).step_by(13));
}
