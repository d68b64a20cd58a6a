//! A fleet so large that one entry decides for all of its zone.

use std::io::Write;
use std::net::TcpStream;

use bergamotshift_core::prelude::*;
use bergamotshift_forward::document::Engine;
use bergamotshift_forward::document::Limit;
use bergamotshift_forward::document::Unit;
use bergamotshift_forward::limits::keeper;
use bergamotshift_forward::limits::keeper::Candidate;
use bergamotshift_forward::limits::keeper::Generation;
use bergamotshift_forward::limits::keeper::Question;

use crate::endpoint::After;
use crate::endpoint::Endpoint;
use crate::outside::lock;
use crate::site::Caller;
use crate::site::Daemon;
use crate::site::Site;
use crate::site::until;

/// One more than the most entries that do without a keeper.
const ENTRIES: usize = keeper::MAX_WITHOUT_KEEPER + 1;

/// What the endpoints are like where they are model engines.
const ENGINE: Engine = Engine {
    slots: 8,
    memory: 500_000,
    transfer: None,
};

/// What one request without a size counts.
const PLAIN: u32 = 10;

fn name(number: usize) -> name::Entry {
    name::Entry::new(format!("entry-{number:02}"))
}

/// Starts a large fleet whose callers share a limit, and waits until each entry is let in by the keeper.
fn fleet(endpoint: &Endpoint, rate: f64, burst: f64) -> Vec<Daemon> {
    fleet_of(&[endpoint], rate, burst, None)
}

fn fleet_of(endpoints: &[&Endpoint], rate: f64, burst: f64, engine: Option<Engine>) -> Vec<Daemon> {
    let site = Site::new(endpoints);
    let mut document = crate::site::document(2);
    document.services[0].engine = engine;
    document.organisations[0].limit = Some(Limit {
        rate,
        burst,
        unit: Unit::Tokens { plain: PLAIN },
    });
    lock(&site.world).put(document);
    let mut daemons: Vec<Daemon> = Vec::new();
    for number in 0..ENTRIES {
        let seeds: Vec<_> = daemons.first().map(|first| first.listen.peers).into_iter().collect();
        daemons.push(site.launch(name(number).as_str(), &seeds));
    }
    for daemon in &daemons {
        until("an entry is let in", || status(daemon) == 200);
    }
    daemons
}

fn status(daemon: &Daemon) -> u16 {
    Caller::new(daemon).ask("GET", "/checkin/1", "r", "").status
}

/// Callers of one organisation come to every entry of a large fleet. Together they get what the limit holds, and whoever
/// comes after that is refused at once, at whichever entry: no entry has a limit of its own.
#[test]
fn a_limit_is_one_for_all_entries_of_a_large_fleet() {
    let endpoint = Endpoint::plain("e1", "done");
    let burst = 1_000.0;
    let daemons = fleet(&endpoint, 1.0, burst);
    let asked = 3 * ENTRIES * 5;
    let served = (0..asked)
        .filter(|number| status(&daemons[number % ENTRIES]) == 200)
        .count();
    let most = burst as usize / PLAIN as usize + ENTRIES;
    assert!(served < asked, "nothing is refused");
    assert!(
        endpoint.count() <= most,
        "{} of at most {most} were let in",
        endpoint.count()
    );
}

/// Guards against a keeper that places generations beyond the rate that an endpoint names, and entries that follow it.
#[test]
fn in_a_large_fleet_a_rate_is_one_budget_for_generations_that_a_keeper_places() {
    let scarce = Endpoint::start("e1", |seen, _, stream| {
        let extra = "bergamotshift-limit: 0.001\r\n";
        stream.write_all(seen.answer("200 OK", extra, "scarce").as_bytes())?;
        Ok(After::Keep)
    });
    let other = Endpoint::plain("e2", "done");
    let daemons = fleet_of(&[&scarce, &other], 1e6, 1e6, Some(ENGINE));
    let before = scarce.count();
    for number in 0..10 * ENTRIES {
        let mut caller = Caller::new(&daemons[number % ENTRIES]);
        let extra = "bergamotshift-size: 100,10\r\nbergamotshift-prompt: 1:50,2:50\r\n";
        caller.send("POST", "/confirm/1", &format!("r-{number}"), extra, "x");
        assert_eq!(caller.answer().expect("an answer comes").status, 200);
    }
    let count = scarce.count() - before;
    assert!(count <= ENTRIES + 1, "{count} requests reached it");
}

/// Asks a keeper for an endpoint, and returns the one that it chose.
fn placed(keeper: &Daemon, avoided: &[u64]) -> Option<u64> {
    let question = Question {
        entry: "entry-asking".into(),
        deputy: false,
        units: None,
        generation: Some(Generation {
            service: "staff".into(),
            prompt: 1_000,
            parts: Vec::new(),
            is_canary: false,
            avoided: avoided.to_vec(),
        }),
        in_flight: Vec::new(),
    };
    let body = postcard::to_stdvec(&question).expect("it is encoded");
    let mut connection = Caller(TcpStream::connect(keeper.listen.peers).expect("the keeper listens"));
    let head = format!(
        "POST /keep HTTP/1.1\r\nhost: k\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    connection.0.write_all(head.as_bytes()).expect("it takes the question");
    connection.0.write_all(&body).expect("it takes the question");
    let answer = connection.answer().expect("it answers");
    assert_eq!(answer.status, 200);
    let answer: keeper::Answer = postcard::from_bytes(&answer.body).expect("it is decoded");
    answer.placement.map(|placement| placement.endpoint)
}

/// Guards against a keeper that takes an endpoint for idle which only the asking entry knows to leave, and places all
/// generations there.
#[test]
fn a_keeper_places_nothing_at_endpoints_that_the_asking_entry_avoids() {
    let (one, two) = (Endpoint::plain("e1", "done"), Endpoint::plain("e2", "done"));
    let daemons = fleet_of(&[&one, &two], 1e6, 1e6, Some(ENGINE));
    let keeper = &daemons[keeper_place()];
    let first = placed(keeper, &[]).expect("one takes work");
    let second = placed(keeper, &[first]).expect("the other one takes work");
    assert_ne!(first, second);
    assert_eq!(placed(keeper, &[first, second]), None);
}

/// Returns the place of the entry that keeps the zone while all live.
fn keeper_place() -> usize {
    let names: Vec<_> = (0..ENTRIES).map(name).collect();
    let candidates = names.iter().map(|entry| Candidate {
        entry,
        core_share: 1_000,
    });
    let first = keeper::top_two(candidates)[0].expect("there is one").clone();
    names.iter().position(|name| *name == first).expect("it is one of them")
}

/// The entry that keeps the zone ends. Callers of all others are served on: they ask the deputy, which follows it.
#[test]
fn the_deputy_lets_callers_in_when_the_keeper_is_gone() {
    let endpoint = Endpoint::plain("e1", "done");
    let mut daemons = fleet(&endpoint, 1e6, 1e6);
    let keeper = daemons.remove(keeper_place());
    keeper.stop();
    assert_eq!(keeper.join(), 0);
    for daemon in &daemons {
        assert_eq!(status(daemon), 200);
    }
}
