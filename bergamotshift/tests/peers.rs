//! Processes of the binary that form a fleet.

use core::net::SocketAddr;
use core::time::Duration;
use std::io::BufRead;
use std::io::BufReader;
use std::net::UdpSocket;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::time::Instant;

use bergamotshift::demo::authority::Authority;
use bergamotshift::entry::admin::status::Health;
use bergamotshift::entry::admin::status::Member;
use bergamotshift::status::fetch;
use serde_json::Value;

/// Bounds a wait that would otherwise hang; nothing is measured against it.
const BOUND: Duration = Duration::from_mins(1);

/// The program, stopped by force when the test ends.
struct Process {
    child: Child,
    records: Receiver<Value>,
    operators: SocketAddr,
    peers: SocketAddr,
}

/// Waits for the next log record with this message.
fn find(records: &Receiver<Value>, message: &str) -> Value {
    loop {
        let record = records.recv_timeout(BOUND).expect("the message is logged");
        if record["msg"] == message {
            return record;
        }
    }
}

impl Process {
    /// Starts an entry; its certificate and authority lie in files, its key is in the variable alone.
    fn start(name: &str, authority: &Authority, seed: SocketAddr, folder: &Path) -> Self {
        let issued = authority.issue().expect("certificates can be issued");
        let file = |part: &str, pem: &[u8]| {
            let path = folder.join(format!("{name}-{part}.pem"));
            std::fs::write(&path, pem).expect("a file can be written");
            path
        };
        let key = String::from_utf8(issued.key.to_vec()).expect("PEM is text");
        let local = "127.0.0.1:0";
        let mut child = Command::new(env!("CARGO_BIN_EXE_bergamotshift"))
            .args(["entry", "--name", name, "--zone", "zone-a", "--threads", "1"])
            .args(["--callers", local, "--operators", local, "--peers", local])
            .args(["--seeds", &seed.to_string()])
            .arg("--peer-certificate")
            .arg(file("certificate", &issued.chain))
            .arg("--peer-authority")
            .arg(file("authority", &issued.authority))
            .env("BERGAMOTSHIFT_PEER_KEY", key)
            .env("BERGAMOTSHIFT_LOG_FORMAT", "json")
            .env("BERGAMOTSHIFT_LOG_LEVEL", "debug")
            .stderr(Stdio::piped())
            .spawn()
            .expect("the binary was built for this test");
        let log = BufReader::new(child.stderr.take().expect("standard error is piped"));
        let (sender, records) = mpsc::channel();
        // The log is read to its end, so that the process never waits for a full pipe.
        std::thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                let record: Value = serde_json::from_str(&line).expect("each log line is JSON");
                drop(sender.send(record));
            }
        });
        let record = find(&records, "serving");
        let address = |part: &str| record[part].as_str().and_then(|text| text.parse().ok());
        Self {
            child,
            records,
            operators: address("operators").expect("it says where"),
            peers: address("peers").expect("it says where"),
        }
    }

    /// Returns whom the entry lists; nobody as long as it stands alone.
    fn members(&self) -> Vec<Member> {
        let report = fetch::all(&[self.operators]).pop().expect("one was asked");
        let status = report.status.expect("the entry answers operators");
        status.members.unwrap_or_default()
    }

    /// Looks until the entry lists just these as alive, and returns whether that came within the bound.
    fn lists(&self, names: &[&str]) -> bool {
        let began = Instant::now();
        while began.elapsed() < BOUND {
            let members = self.members();
            let alive = members.iter().filter(|member| member.health == Health::Alive);
            if alive.map(|member| member.name.as_str()).eq(names.iter().copied()) {
                return true;
            }
            std::thread::yield_now();
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

#[test]
fn two_processes_form_a_fleet_and_one_of_another_authority_stays_outside() {
    // The stranger knows a seed and has a certificate that is valid, but of another authority. The seed refuses its
    // connection before the second entry joins. The two list each other alone, and the stranger lists nobody else.
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    // The first entry's only seed never answers, as when it is the first of its fleet to start.
    let silent = UdpSocket::bind("127.0.0.1:0").expect("loopback has free ports");
    let nobody = silent.local_addr().expect("it is bound");
    let authority = Authority::new().expect("an authority can be made");
    let other = Authority::new().expect("an authority can be made");
    let first = Process::start("entry-1", &authority, nobody, folder.path());
    let stranger = Process::start("entry-x", &other, first.peers, folder.path());
    find(&first.records, "a connection was refused");
    let second = Process::start("entry-2", &authority, first.peers, folder.path());
    for entry in [&first, &second] {
        assert!(entry.lists(&["entry-1", "entry-2"]), "{:?}", entry.members());
    }
    // The stranger is refused once more now that there is a fleet, and only then are the lists compared.
    first.records.try_iter().for_each(drop);
    find(&first.records, "a connection was refused");
    let known = stranger.members();
    assert!(
        known.iter().all(|member| member.name.as_str() == "entry-x"),
        "{known:?}"
    );
    for entry in [&first, &second] {
        let members = entry.members();
        assert_eq!(members.len(), 2, "{members:?}");
    }
}
