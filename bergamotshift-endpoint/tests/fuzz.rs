//! Random input for every parser that processes bytes of an endpoint or a caller.
//!
//! Failures found this way are kept as cases in `stream.rs` and `header.rs`, or below.

use bergamotshift_core::load;
use bergamotshift_endpoint::engine::event::Event;
use bergamotshift_endpoint::engine::event::Splitter;
use bergamotshift_endpoint::engine::progress::Progress;
use bergamotshift_endpoint::engine::resume;
use bergamotshift_endpoint::engine::resume::CHAT;
use bergamotshift_endpoint::engine::resume::COMPLETIONS;
use bergamotshift_endpoint::engine::resume::Resumption;
use bergamotshift_endpoint::header;
use ntex::http::HeaderMap;
use ntex::http::header::HeaderName;
use ntex::http::header::HeaderValue;
use ntex::util::Bytes;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

/// Fixed seed that makes failures reproducible.
const SEED: u64 = 0x7e57;

const TESTS: u64 = 2_000;

fn checker() -> QuickCheck {
    let checker = QuickCheck::new().tests(TESTS);
    checker.rng(Gen::from_size_and_seed(64, SEED))
}

/// Random bytes, mixed with the tokens that the parsers look for.
#[derive(Clone, Debug)]
struct Fragments(Vec<u8>);

/// Tokens of streams, chunks and reports.
const PIECES: [&[u8]; 24] = [
    b"data: ",
    b"data:",
    b"\n",
    b"\n\n",
    b"\r\n",
    b"\r",
    b"\r\n\r\n",
    b"[DONE]",
    b": comment",
    b"id: 7",
    b"retry: 1",
    b"event: x",
    b"{\"id\":\"c\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}",
    b"{\"choices\":[{\"text\":\"b\",\"finish_reason\":\"stop\"}]}",
    b"{\"choices\":",
    b"[{\"delta\":null}]}",
    b"{\"messages\":[],\"max_tokens\":1}",
    b"{\"messages\":[7],\"continue_final_message\":true}",
    b"{\"prompt\":\"p\",\"max_tokens\":18446744073709551615}",
    b"{\"sequence\":1,\"running\":4294967295}",
    b"\"",
    b"{",
    b"[[[[",
    b"\xff\x00",
];

impl Arbitrary for Fragments {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut bytes = Vec::new();
        for _ in 0..usize::arbitrary(g) % 24 {
            if u8::arbitrary(g).is_multiple_of(4) {
                bytes.extend(Vec::<u8>::arbitrary(g));
            } else {
                bytes.extend_from_slice(g.choose(&PIECES).expect("there are pieces"));
            }
        }
        Self(bytes)
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink().map(Self))
    }
}

fn split(bytes: &[u8], piece: usize) -> Vec<Event> {
    let mut splitter = Splitter::default();
    let mut events = Vec::new();
    for piece in bytes.chunks(piece.max(1)) {
        splitter.push(piece).expect("it is small");
        events.extend(splitter.by_ref());
    }
    events
}

#[test]
fn random_bytes_split_the_same_in_any_pieces_and_keep_only_data_lines() {
    #[expect(clippy::needless_pass_by_value, reason = "a property owns what it is given")]
    fn property(input: Fragments, piece: u8) -> bool {
        let events = split(&input.0, usize::from(piece));
        let clean = events.iter().all(|event| {
            let mut lines = event.lines().split(|byte| *byte == b'\n');
            lines.all(|line| line.starts_with(b"data:") && !line.contains(&b'\r'))
        });
        clean && events == split(&input.0, usize::MAX)
    }
    checker().quickcheck(property as fn(Fragments, u8) -> bool);
}

#[test]
fn random_events_always_give_a_resumption() {
    #[expect(clippy::needless_pass_by_value, reason = "a property owns what it is given")]
    fn property(events: Vec<Fragments>, body: Fragments, chat: bool) -> bool {
        let mut progress = Progress::default();
        for event in &events {
            let event = Event::new(Bytes::from(event.0.clone()));
            progress.record(&event);
            let _ = event.is_done();
            let _ = resume::rewrite(event, "other", 3);
        }
        progress.parse_pending();
        let path = if chat { CHAT } else { COMPLETIONS };
        match resume::plan(path, &Bytes::from(body.0), &progress) {
            Resumption::Body(body) => serde_json::from_slice::<serde_json::Value>(&body).is_ok(),
            Resumption::Complete(events) => events.iter().all(|event| event.data().is_some()),
            Resumption::Impossible => true,
        }
    }
    checker().quickcheck(property as fn(Vec<Fragments>, Fragments, bool) -> bool);
}

#[test]
fn random_bytes_parse_as_a_load_report_or_fail() {
    #[expect(clippy::needless_pass_by_value, reason = "a property owns what it is given")]
    fn property(input: Fragments) -> bool {
        serde_json::from_slice::<load::Report>(&input.0).map_or(true, |report| {
            serde_json::to_vec(&report)
                .is_ok_and(|text| serde_json::from_slice(&text).is_ok_and(|same: load::Report| same == report))
        })
    }
    checker().quickcheck(property as fn(Fragments) -> bool);
}

/// Header with a name similar to one that must not be forwarded.
#[derive(Clone, Debug)]
struct Field(HeaderName, HeaderValue);

impl Arbitrary for Field {
    fn arbitrary(g: &mut Gen) -> Self {
        const NAMES: [&str; 11] = [
            "content-length",
            "x-bergamotshift-organisation",
            "x-bergamotshift-",
            "x-bergamotshift",
            "authorization",
            "connection",
            "proxy-connection",
            "keep-alive",
            "te",
            "x-some",
            "a",
        ];
        let name: String = g.choose(&NAMES).expect("there are names").to_string();
        let swap = |byte: char| if byte == '-' && bool::arbitrary(g) { '_' } else { byte };
        let name: String = name.chars().map(swap).collect();
        let value = if bool::arbitrary(g) {
            HeaderValue::from_bytes(&Vec::<u8>::arbitrary(g)).unwrap_or(HeaderValue::from_static(""))
        } else {
            HeaderValue::from_static("x-some, A,, x_some ,")
        };
        Self(HeaderName::from_bytes(name.as_bytes()).expect("it is a name"), value)
    }
}

#[test]
fn hop_by_hop_and_reserved_headers_are_never_forwarded() {
    fn property(fields: Vec<Field>) -> bool {
        let mut headers = HeaderMap::new();
        for Field(name, value) in fields {
            headers.append(name, value);
        }
        let _ = (header::attempt(&headers), header::says_not_run(&headers));
        let listed = headers
            .get_all("connection")
            .any(|value| value.as_bytes().starts_with(b"x-some"));
        let kept = header::towards_endpoint(&headers);
        kept.keys().all(|name| {
            let name = name.as_str().replace('_', "-");
            let hop_by_hop = ["connection", "te", "keep-alive", "proxy-connection", "content-length"];
            !name.starts_with("x-bergamotshift-") && !hop_by_hop.contains(&name.as_str())
        }) && !kept.contains_key("authorization")
            && !(listed && kept.contains_key("x-some"))
    }
    checker().quickcheck(property as fn(Vec<Field>) -> bool);
}
