//! Options of live sockets that decide how long a silent peer is believed.

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::endpoint::Connection;
use crate::endpoint::Endpoint;
use crate::site::Caller;
use crate::site::Site;
use crate::site::wait_until;

/// Code of an established connection in the system's table.
const ESTABLISHED: &str = "01";

/// Code of a running keep-alive timer in that table.
const KEEP_ALIVE: &str = "02";

/// Returns the running timers of established connections with this address at one of both ends.
fn timers(address: SocketAddr) -> Vec<String> {
    let table = fs::read_to_string("/proc/net/tcp").expect("the system lists its connections");
    let port = format!(":{:04X}", address.port());
    let rows = table
        .lines()
        .skip(1)
        .map(|row| row.split_whitespace().collect::<Vec<_>>());
    let own = rows.filter(|row| row[3] == ESTABLISHED && (row[1].ends_with(&port) || row[2].ends_with(&port)));
    own.map(|row| row[5].split(':').next().unwrap_or_default().to_owned())
        .collect()
}

/// Guards against a library that lets the system give up silent connections, by keep-alive probes, whatever the time for
/// which this program believes the peer.
#[test]
fn the_system_probes_no_connection_of_a_daemon() {
    let endpoint = Endpoint::start("e1", |request, _, stream| {
        thread::sleep(Duration::from_millis(500));
        stream.write_all(request.answer("200 OK", "", "done").as_bytes())?;
        Ok(Connection::Keep)
    });
    let site = Site::new(&[&endpoint]);
    let first = site.start();
    let second = site.launch("entry-2", &[first.listen.peers]);
    wait_until("the entries know each other", || second.peer_count() == Some(1));
    let mut caller = Caller::new(&first);
    caller.send("POST", "/confirm/1", "r-1", "", "x");
    wait_until("the endpoint has the request", || endpoint.count() == 1);
    for (what, address) in [
        ("caller", first.listen.callers),
        ("endpoint", endpoint.address),
        ("entry", first.listen.peers),
    ] {
        let timers = timers(address);
        assert!(!timers.is_empty(), "there is no connection of {what}");
        assert!(timers.iter().all(|timer| timer != KEEP_ALIVE), "{what}: {timers:?}");
    }
    assert_eq!(caller.read_answer().map(|answer| answer.status), Some(200));
}
