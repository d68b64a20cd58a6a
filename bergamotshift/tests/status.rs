//! `bergamotshift status` against entries on loopback.

use core::net::SocketAddr;
use std::io::BufRead;
use std::io::BufReader;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::sync::Arc;

use bergamotshift::config::folder;
use bergamotshift::core::name;
use bergamotshift::entry::Daemon;
use bergamotshift::entry::Handle;
use bergamotshift::entry::Settings;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::Value;
use tokio::net::TcpSocket;

const FOLDER: &str = r#"
[[zone]]
name = "zone-a"
region = "region"

[[class]]
name = "small"
price_reclaimable = 0.1
price_on_demand = 0.3

[[service]]
name = "app"
kind = "plain"
adapter = "http"
path = "/app"

[[endpoint]]
name = "app-1"
service = "app"
zone = "zone-a"
class = "small"
address = "127.0.0.1:1"
"#;

fn entry(name: &'static str) -> Handle {
    let config = folder::parse(&[("site.toml", FOLDER)]).expect("the folder is valid");
    let settings = Settings {
        name: name::Entry::new_static(name),
        zone: name::Zone::new_static("zone-a"),
        config: Some(Arc::new(config)),
        threads: 1,
        ..Settings::default()
    };
    Daemon::start(settings).expect("loopback has free ports")
}

fn command(addresses: &[SocketAddr], more: &[&str]) -> Command {
    let addresses: Vec<_> = addresses.iter().map(ToString::to_string).collect();
    let mut command = Command::new(env!("CARGO_BIN_EXE_bergamotshift"));
    command.args(["status", "--operators", &addresses.join(",")]).args(more);
    command
}

fn status(addresses: &[SocketAddr], more: &[&str]) -> Output {
    command(addresses, more)
        .output()
        .expect("the binary was built for this test")
}

/// Holds a port without listening, so that no other test's server can get it.
fn closed() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("sockets can be made");
    socket
        .bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .expect("loopback has free ports");
    let address = socket.local_addr().expect("it is bound");
    (socket, address)
}

#[test]
fn the_table_has_a_row_for_each_entry_also_one_that_does_not_answer() {
    let (one, two) = (entry("entry-1"), entry("entry-2"));
    let (_port, closed) = closed();
    let output = status(&[one.operators(), closed, two.operators()], &[]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("a table is text");
    let rows: Vec<_> = text.lines().take(4).collect();
    assert!(rows[0].starts_with("ENTRY"), "{text}");
    assert!(rows[1].starts_with("entry-1"), "{text}");
    assert!(rows[2].contains("no answer"), "{text}");
    assert!(rows[3].starts_with("entry-2"), "{text}");
    assert!(text.contains("app-1"), "{text}");
}

#[test]
fn json_has_what_each_entry_says() {
    let one = entry("entry-1");
    let (_port, closed) = closed();
    let output = status(&[one.operators(), closed], &["--json"]);
    let reports: Value = serde_json::from_slice(&output.stdout).expect("one line of JSON");
    assert_eq!(reports[0]["status"]["name"], "entry-1");
    assert_eq!(reports[0]["status"]["endpoints"][0]["vm"], "app-1");
    assert!(reports[1]["error"].is_string());
}

#[test]
fn no_answer_at_all_fails_and_no_address_is_a_usage_error() {
    let (_port, closed) = closed();
    let silent = status(&[closed], &[]);
    assert_eq!(silent.status.code(), Some(1));
    let missing = status(&[], &[]);
    assert_eq!(missing.status.code(), Some(2));
    let line = String::from_utf8(missing.stderr).expect("an error is text");
    assert!(
        line.contains("--operators (or BERGAMOTSHIFT_OPERATORS) is missing"),
        "{line}"
    );
}

#[test]
fn a_watch_prints_until_it_is_interrupted() {
    let one = entry("entry-1");
    let mut child = command(&[one.operators()], &["--json", "--watch", "--interval", "10ms"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the binary was built for this test");
    let output = BufReader::new(child.stdout.take().expect("standard output is piped"));
    let mut lines = output.lines();
    for _ in 0..3 {
        let line = lines.next().expect("it goes on").expect("it is text");
        let reports: Value = serde_json::from_str(&line).expect("each line is JSON");
        assert_eq!(reports[0]["status"]["name"], "entry-1");
    }
    kill_process(Pid::from_child(&child), Signal::INT).expect("the process runs");
    // The pipe stays open to its end, so that a line under way is no error.
    for line in lines {
        line.expect("it is text");
    }
    assert!(child.wait().expect("the process ends").success());
}
