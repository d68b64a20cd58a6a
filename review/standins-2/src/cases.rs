//! The cases, each with the rule that it checks.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::config::KEY;
use crate::config::request;
use crate::config::route;
use crate::config::tenant;
use crate::fleet::Fleet;
use crate::http::Answer;
use crate::http::Channel;
use crate::record::Record;
use crate::worker::Habit;
use crate::worker::last_event;

/// Time for which a machine has to be without disruption to be in touch.
const STABLE: Duration = Duration::from_secs(3);

/// Outcome of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Kept,
    /// The rule was broken.
    Broken,
}

impl Verdict {
    fn broken_if(is_broken: bool) -> Self {
        if is_broken { Self::Broken } else { Self::Kept }
    }
}

fn worker(number: usize) -> Habit {
    Habit {
        id: format!("i-{number}"),
        work: Duration::from_millis(60),
        idle: Duration::from_secs(5),
        is_unframed: false,
        fails: false,
        deadly: None,
    }
}

const ZONES: [&str; 4] = ["montevideo-a", "montevideo-b", "canelones", "maldonado"];

fn add_workers(fleet: &mut Fleet, count: usize, habit: impl Fn(usize) -> Habit) -> io::Result<()> {
    for number in 0..count {
        fleet.add_worker(habit(number), ZONES[number % ZONES.len()])?;
    }
    Ok(())
}

/// Asks on a channel, and records what came of it.
fn ask(record: &Record, channel: &mut Channel, id: &str, text: &str) -> io::Result<Answer> {
    record.add(&format!(
        "caller sends {id}: {}",
        text.lines().next().unwrap_or_default()
    ));
    let asked = channel.ask(text);
    match &asked {
        Ok(answer) => {
            let after = answer
                .retry_after
                .map_or_else(String::new, |after| format!(", retry after {after} s"));
            record.add(&format!(
                "caller gets {id}: {}{after}, {} bytes",
                answer.status,
                answer.body.len()
            ));
        }
        Err(error) => record.add(&format!(
            "caller gets {id}: its channel ended without a whole answer: {error}"
        )),
    }
    asked
}

/// Workers answer some requests that they have run with a 503 of their own, without `X-Not-Executed`.
pub fn refused(fleet: &mut Fleet, has_trouble: bool) -> io::Result<Verdict> {
    const ORDERS: usize = 60;
    add_workers(fleet, 4, |number| Habit {
        fails: has_trouble && number < 2,
        ..worker(number)
    })?;
    fleet.configure(1, &[route("order", "non_idempotent", 1)]);
    fleet.start_daemons(3)?;
    let record = fleet.record.clone();
    let (mut refused_runs, mut doubled) = (0, 0);
    for order in 0..ORDERS {
        let mut ran = 0;
        // The caller tries again once, after a promise only.
        for attempt in 1..=2 {
            let id = format!("order{order}x{attempt}");
            let mut channel = Channel::open(fleet.callers(order + attempt))?;
            let answer = ask(&record, &mut channel, &id, &request("POST", "/order/1", &id, ""))?;
            let (runs, _) = fleet.runs(&id);
            ran += runs;
            let is_promise = matches!(answer.status, 408 | 421 | 429 | 503);
            if is_promise && runs > 0 {
                refused_runs += 1;
                record.add(&format!("{id} was answered {} and has run", answer.status));
            }
            if !is_promise {
                break;
            }
        }
        if ran > 1 {
            doubled += 1;
            record.add(&format!("order {order} was carried out {ran} times"));
        }
    }
    record.add(&format!(
        "{refused_runs} requests were answered with a promise and have run; {doubled} of {ORDERS} orders were carried out twice"
    ));
    Ok(Verdict::broken_if(refused_runs > 0))
}

/// Workers whose answers end with their channels close idle channels sooner than usual.
pub fn idle(fleet: &mut Fleet, has_trouble: bool) -> io::Result<Verdict> {
    const DAEMONS: usize = 3;
    const STREAMS: usize = 6;
    /// Number of channels that a machine may close without an answer.
    const MOST: usize = 3;
    add_workers(fleet, 4, |number| Habit {
        work: Duration::from_millis(800),
        idle: if has_trouble {
            Duration::from_millis(500)
        } else {
            Duration::from_secs(5)
        },
        is_unframed: true,
        ..worker(number)
    })?;
    fleet.configure(
        1,
        &[
            route("first", "idempotent", 2),
            route("stream", "streaming", 1),
            route("order", "non_idempotent", 1),
            route("check", "idempotent", 2),
        ],
    );
    fleet.start_daemons(DAEMONS)?;
    let record = fleet.record.clone();
    let mut most_closed = 0;
    for daemon in 0..DAEMONS {
        let mut closed = 0;
        for number in 0..STREAMS {
            let first = format!("first{daemon}x{number}");
            let mut channel = Channel::open(fleet.callers(daemon))?;
            ask(&record, &mut channel, &first, &request("GET", "/first/1", &first, ""))?;
            // The channel has been kept.
            let id = format!("stream{daemon}x{number}");
            let answer = ask(&record, &mut channel, &id, &request("POST", "/stream/1", &id, ""));
            thread::sleep(Duration::from_millis(50));
            let (_, answered) = fleet.runs(&id);
            match answer {
                Ok(answer) if answer.status == 200 && answer.body.contains(&last_event()) => {}
                Ok(answer) => record.add(&format!("{id} was answered {}", answer.status)),
                Err(_) if answered > 0 => {
                    closed += 1;
                    record.add(&format!(
                        "{id} was answered whole by its worker, and its channel closed without the end"
                    ));
                }
                Err(error) => record.add(&format!("{id}: {error}")),
            }
        }
        record.add(&format!(
            "machine {daemon} closed {closed} of {STREAMS} kept channels without an answer"
        ));
        most_closed = most_closed.max(closed);
    }
    // What becomes of plain requests is recorded beside the rule.
    for (method, path) in [("POST", "/order/1"), ("GET", "/check/1")] {
        for number in 0..3 {
            let id = format!("{}{number}", path[1..6].replace('/', "x"));
            let mut channel = Channel::open(fleet.callers(number))?;
            let answer = ask(&record, &mut channel, &id, &request(method, path, &id, ""))?;
            thread::sleep(Duration::from_millis(50));
            let (ran, answered) = fleet.runs(&id);
            record.add(&format!(
                "{id} ran {ran} times, {answered} runs sent their whole answer, and its caller got {}",
                answer.status
            ));
        }
    }
    Ok(Verdict::broken_if(most_closed > MOST))
}

/// Answers that callers got, as time, path and status.
type Tally = Arc<Mutex<Vec<(f64, &'static str, u16)>>>;

/// Workers crash one after the other while many callers ask for the same.
pub fn popular(fleet: &mut Fleet, has_trouble: bool) -> io::Result<Verdict> {
    const CALLERS: usize = 24;
    const CRASHES: usize = 3;
    const BACK: Duration = Duration::from_secs(2);
    const GAP: Duration = Duration::from_secs(4);
    const STEADY: Duration = Duration::from_secs(12);
    /// Number of requests on a later route from which the rule applies.
    const LEAST: usize = 20;
    add_workers(fleet, 4, worker)?;
    let first = route("menu", "idempotent", 2);
    fleet.configure(1, std::slice::from_ref(&first));
    fleet.start_daemons(3)?;
    thread::sleep(Duration::from_secs(1));
    fleet.configure(2, &[first, route("status", "idempotent", 2)]);
    thread::sleep(STABLE);
    let record = fleet.record.clone();
    let tally = Tally::default();
    let span = (BACK + GAP) * CRASHES as u32 + STABLE + STEADY;
    let until = Instant::now() + span;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (record, tally) = (record.clone(), Arc::clone(&tally));
            let addresses = [fleet.callers(caller), fleet.callers(caller + 1)];
            thread::spawn(move || {
                for number in 0_u64.. {
                    if Instant::now() > until {
                        return;
                    }
                    let (route, path) = if caller % 3 > 0 {
                        ("status", "/status/home".to_owned())
                    } else {
                        ("menu", format!("/menu/{caller}/{number}"))
                    };
                    let id = format!("{route}{caller}x{number}");
                    let asked = Channel::open(addresses[(number % 2) as usize]).and_then(|mut channel| {
                        let text = request("GET", &path, &id, "Connection: close\r\n");
                        ask(&record, &mut channel, &id, &text)
                    });
                    let status = asked.map_or(0, |answer| answer.status);
                    let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
                    tally.push((record.now(), route, status));
                    drop(tally);
                    // Callers do not ask in step.
                    thread::sleep(Duration::from_millis(5 + (7 * caller as u64 + 11 * number) % 30));
                }
            })
        })
        .collect();
    for _ in 0..CRASHES {
        thread::sleep(GAP);
        if has_trouble {
            let number = fleet.busiest("status");
            fleet.crash_worker(number, BACK)?;
        } else {
            thread::sleep(BACK);
        }
    }
    thread::sleep(STABLE);
    let from = record.now();
    record.add("steady state");
    for caller in callers {
        caller.join().map_err(|_panic| io::Error::other("a caller failed"))?;
    }
    let tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
    let share = |route: &str| {
        let own = tally.iter().filter(|(at, known, _)| *at > from && *known == route);
        let statuses: Vec<u16> = own.map(|(_, _, status)| *status).collect();
        let served = statuses.iter().filter(|status| **status == 200).count();
        (served, statuses.len())
    };
    let (first, later) = (share("menu"), share("status"));
    record.add(&format!(
        "steady state: served {} of {} on the first route, {} of {} on the later one",
        first.0, first.1, later.0, later.1
    ));
    let part = |(served, asked): (usize, usize)| served as f64 / asked.max(1) as f64;
    Ok(Verdict::broken_if(later.1 >= LEAST && part(later) < part(first) / 4.0))
}

/// Callers offer another protocol in fields that concern only their channel.
pub fn upgrade(fleet: &mut Fleet, has_trouble: bool) -> io::Result<Verdict> {
    const REQUESTS: usize = 12;
    const TIMEOUT: Duration = Duration::from_secs(1);
    const LATE: Duration = Duration::from_millis(500);
    add_workers(fleet, 4, worker)?;
    let mut status = route("status", "idempotent", 2);
    status["timeout_ms"] = (TIMEOUT.as_millis() as u64).into();
    fleet.configure(1, &[status]);
    fleet.start_daemons(3)?;
    let record = fleet.record.clone();
    let fields = if has_trouble {
        "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAoAAAAAIAAAAA\r\n"
    } else {
        ""
    };
    let (mut open, mut late) = (0, 0);
    for number in 0..REQUESTS {
        let id = format!("status{number}");
        let mut channel = Channel::open(fleet.callers(number))?;
        let sent = Instant::now();
        let answer = ask(&record, &mut channel, &id, &request("GET", "/status/home", &id, fields));
        let lasted = sent.elapsed();
        open += usize::from(lasted > TIMEOUT);
        late += usize::from(lasted > TIMEOUT + LATE);
        let status = answer.map_or(0, |answer| answer.status);
        record.add(&format!(
            "{id} ended with {status} after {lasted:?}, {} runs",
            fleet.runs(&id).0
        ));
    }
    record.add(&format!(
        "{open} requests were unanswered at the route's timeout, {late} of them 0.5 s later"
    ));
    Ok(Verdict::broken_if(2 * late > open))
}

/// A request that crashes workers comes again after all daemons have been killed.
pub fn deadly(fleet: &mut Fleet, has_trouble: bool) -> io::Result<Verdict> {
    const ROUNDS: usize = 4;
    const TRIES: usize = 5;
    const BACK: Duration = Duration::from_secs(2);
    /// Number of retries that may reach workers.
    const MOST: usize = 3;
    add_workers(fleet, 8, |number| Habit {
        deadly: Some("/plan/deadly ".to_owned()),
        ..worker(number)
    })?;
    fleet.configure(1, &[route("plan", "non_idempotent", 1)]);
    fleet.start_daemons(3)?;
    thread::sleep(STABLE);
    let record = fleet.record.clone();
    for round in 0..ROUNDS {
        if has_trouble && round > 0 {
            fleet.kill_daemons(Duration::from_secs(1))?;
            // The daemons are in touch again.
            thread::sleep(STABLE + Duration::from_millis(500));
        }
        for number in 0..TRIES {
            let id = format!("plan{round}x{number}");
            let mut channel = Channel::open(fleet.callers(number))?;
            let asked = ask(&record, &mut channel, &id, &request("POST", "/plan/deadly", &id, ""));
            thread::sleep(Duration::from_millis(200));
            for ended in fleet.ended_workers() {
                fleet.replace_worker(ended, BACK)?;
            }
            if asked.is_ok_and(|answer| answer.status == 503) && number > 2 {
                break;
            }
            thread::sleep(Duration::from_millis(500));
        }
    }
    let entries = fleet.entries();
    let runs: Vec<f64> = entries
        .iter()
        .filter(|entry| entry.request.starts_with("plan"))
        .map(|entry| entry.at)
        .collect();
    let third = runs.get(2).copied().unwrap_or(f64::MAX);
    let late = runs.iter().filter(|at| **at > third + STABLE.as_secs_f64()).count();
    record.add(&format!(
        "{} runs crashed workers, {late} of them later than 3 s after the third",
        runs.len()
    ));
    Ok(Verdict::broken_if(late > MOST))
}

/// Workers crash while the links of their zone lose packets, and their answers end with their channels. With the variable
/// `TROUBLE` set to `crashes`, no packets are lost.
pub fn lossy(fleet: &mut Fleet, has_trouble: bool) -> io::Result<Verdict> {
    const WORKERS: usize = 12;
    const CALLERS: usize = 60;
    const ROUNDS: u32 = 28;
    /// Packets lost of a thousand.
    const LOST: u32 = 25;
    const CALM: Duration = Duration::from_millis(1_200);
    const SPELL: Duration = Duration::from_millis(600);
    const BACK: Duration = Duration::from_secs(2);
    let lost = if std::env::var("TROUBLE").is_ok_and(|trouble| trouble == "crashes") {
        0
    } else {
        LOST
    };
    fleet.has_links = true;
    add_workers(fleet, WORKERS, |number| Habit {
        is_unframed: true,
        ..worker(number)
    })?;
    fleet.configure(1, &[route("stream", "streaming", 1)]);
    fleet.start_daemons(3)?;
    let record = fleet.record.clone();
    let until = Instant::now() + (CALM + SPELL + BACK) * ROUNDS + STABLE;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (record, address) = (record.clone(), fleet.callers(caller));
            thread::spawn(move || {
                let (mut asked, mut cut) = (0, Vec::new());
                for number in 0.. {
                    if Instant::now() > until {
                        break;
                    }
                    asked += 1;
                    let id = format!("stream{caller}x{number}");
                    let text = request("POST", &format!("/stream/{id}"), &id, "Connection: close\r\n");
                    let answer = Channel::open(address).and_then(|mut channel| ask(&record, &mut channel, &id, &text));
                    if answer.is_ok_and(|answer| answer.status == 200 && !answer.body.contains(&last_event())) {
                        record.add(&format!("{id} ended as complete before its last event"));
                        cut.push(id);
                    }
                    thread::sleep(Duration::from_millis(10));
                }
                (asked, cut)
            })
        })
        .collect();
    for round in 0..ROUNDS as usize {
        thread::sleep(CALM);
        // The workers of one zone.
        let zone: Vec<usize> = (round % ZONES.len()..WORKERS).step_by(ZONES.len()).collect();
        if has_trouble {
            fleet.lose(&zone, lost);
            thread::sleep(SPELL);
            fleet.crash_workers(&zone, BACK)?;
        } else {
            thread::sleep(SPELL + BACK);
        }
    }
    let (mut asked, mut cut) = (0, Vec::new());
    for caller in callers {
        let (own, ids) = caller.join().map_err(|_panic| io::Error::other("a caller failed"))?;
        asked += own;
        cut.extend(ids);
    }
    let broken = cut.iter().filter(|id| fleet.runs(id).1 == 0).count();
    record.add(&format!(
        "{broken} of {asked} streams ended as complete although their workers had not sent the end"
    ));
    Ok(Verdict::broken_if(broken > 0))
}

/// The operator takes the last tenant out of the config.
pub fn emptied(fleet: &mut Fleet, has_trouble: bool) -> io::Result<Verdict> {
    const REQUESTS: usize = 12;
    const UNKNOWN: &str = "key-of-nobody";
    /// Time from an acknowledgement until the config has to be in force.
    const APPLY: Duration = Duration::from_secs(2);
    add_workers(fleet, 4, worker)?;
    let routes = [route("order", "non_idempotent", 1)];
    fleet.configure(1, &routes);
    fleet.start_daemons(3)?;
    let record = fleet.record.clone();
    let ask_with = |fleet: &Fleet, round: &str, key: &str, number: usize| -> io::Result<(u16, usize)> {
        let id = format!("{round}x{number}");
        let text = request("POST", "/order/1", &id, "").replace(KEY, key);
        let answer = ask(&record, &mut Channel::open(fleet.callers(number))?, &id, &text)?;
        let runs = fleet.runs(&id).0;
        record.add(&format!("{id} with {key}: {}, {runs} runs", answer.status));
        Ok((answer.status, runs))
    };
    if ask_with(fleet, "known", KEY, 0)?.0 != 200 || ask_with(fleet, "unknown", UNKNOWN, 0)?.0 != 401 {
        return Err(io::Error::other("keys are not checked at the start"));
    }
    let left: &[_] = if has_trouble {
        &[]
    } else {
        &[tenant("fida", "key-of-fida")]
    };
    fleet.configure_for(2, &routes, left);
    thread::sleep(APPLY + Duration::from_secs(1));
    let (mut unknown, mut dropped) = (0, 0);
    for number in 1..=REQUESTS {
        unknown += ask_with(fleet, "unknown", UNKNOWN, number)?.1;
        dropped += ask_with(fleet, "dropped", KEY, number)?.1;
    }
    record.add(&format!(
        "{unknown} requests ran with a key that no config ever held, {dropped} with the key that was taken away"
    ));
    Ok(Verdict::broken_if(unknown + dropped > 0))
}
