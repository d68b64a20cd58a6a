//! The binary as a process of its own: it starts from flags and variables, and a planned stop cuts nothing.

use core::net::SocketAddr;
use core::time::Duration;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::process::Child;
use std::process::ChildStderr;
use std::process::Command;
use std::process::Stdio;

use bergamotshift::standin::engine;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

const TOKENS: usize = 40;

/// The program, stopped by force when a test fails before it ended.
struct Process {
    child: Child,
    log: BufReader<ChildStderr>,
}

impl Process {
    fn start(folder: &Path) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_bergamotshift"))
            .args([
                "entry",
                "--name",
                "entry-1",
                "--callers",
                "127.0.0.1:0",
                "--threads",
                "1",
            ])
            .arg("--folder")
            .arg(folder)
            .env("BERGAMOTSHIFT_ZONE", "zone-a")
            .env("BERGAMOTSHIFT_OPERATORS", "127.0.0.1:0")
            .stderr(Stdio::piped())
            .spawn()
            .expect("the binary was built for this test");
        let log = BufReader::new(child.stderr.take().expect("standard error is piped"));
        Self { child, log }
    }

    /// Returns the next log record with this message.
    fn record(&mut self, message: &str) -> serde_json::Value {
        let mut line = String::new();
        while self.log.read_line(&mut line).expect("the log is readable") > 0 {
            let record: serde_json::Value = serde_json::from_str(&line).expect("each log line is JSON");
            if record["msg"] == message {
                return record;
            }
            line.clear();
        }
        panic!("the process ended before it logged {message:?}");
    }

    fn callers(&mut self) -> SocketAddr {
        let record = self.record("serving");
        record["callers"]
            .as_str()
            .expect("it says where")
            .parse()
            .expect("it is an address")
    }

    fn terminate(&self) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, Signal::TERM).expect("the process runs");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

fn folder(engine: SocketAddr) -> tempfile::TempDir {
    let text = format!(
        r#"
        [[zone]]
        name = "zone-a"
        region = "region"
        [[class]]
        name = "gpu"
        price_reclaimable = 1.0
        price_on_demand = 3.0
        [[service]]
        name = "llm"
        kind = "model"
        adapter = "engine"
        models = ["m"]
        classes = ["gpu"]
        [[organisation]]
        name = "org"
        keys = ["{}"]
        [[endpoint]]
        name = "engine-1"
        service = "llm"
        zone = "zone-a"
        class = "gpu"
        address = "{engine}"
        "#,
        bergamotshift::config::digest::Digest::of("secret")
    );
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    std::fs::write(folder.path().join("10-all.toml"), text).expect("a file can be written");
    folder
}

fn open_stream(entry: SocketAddr) -> TcpStream {
    let body = format!(r#"{{"model":"m","prompt":"roster","max_tokens":{TOKENS},"stream":true}}"#);
    let mut connection = TcpStream::connect(entry).expect("the entry listens");
    write!(
        connection,
        "POST /v1/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer secret\r\n\
         content-type: application/json\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .expect("the request can be sent");
    connection
}

/// Reads until the text has come, and returns everything read so far.
fn read_until(connection: &mut TcpStream, text: &str) -> String {
    let mut received = Vec::new();
    let mut piece = [0; 1_024];
    while !String::from_utf8_lossy(&received).contains(text) {
        let count = connection.read(&mut piece).expect("the stream is readable");
        assert_ne!(count, 0, "the stream ended before {text:?}");
        received.extend_from_slice(&piece[..count]);
    }
    String::from_utf8(received).expect("the answer is text")
}

#[test]
fn a_planned_stop_cuts_no_stream_and_leaves_with_code_zero() {
    // A caller's stream has begun when the operator stops the entry with SIGTERM. The caller sees every token and the
    // terminal event: the entry first finishes what it has and only then ends, well within its grace.
    let engine = engine::Server::start(engine::Settings {
        token_interval: Duration::from_millis(20),
        ..Default::default()
    })
    .expect("the stand-in listens");
    let folder = folder(engine.address());
    let mut process = Process::start(folder.path());
    let mut stream = open_stream(process.callers());
    let mut text = read_until(&mut stream, "data: ");
    process.terminate();
    process.record("draining");
    stream.read_to_string(&mut text).expect("the stream ends in order");
    assert!(text.contains("data: [DONE]"), "no terminal event in {text}");
    assert_eq!(text.matches(r#""text":""#).count(), TOKENS, "{text}");
    let status = process.child.wait().expect("the process can be waited for");
    assert_eq!(status.code(), Some(0));
}

#[test]
fn a_wrong_setting_gives_one_line_and_code_two() {
    let output = Command::new(env!("CARGO_BIN_EXE_bergamotshift"))
        .args(["entry", "--name", "a", "--zone", "z", "--callers", "nowhere"])
        .output()
        .expect("the binary was built for this test");
    let line = String::from_utf8(output.stderr).expect("it is text");
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(
        line,
        "bergamotshift: --callers (or BERGAMOTSHIFT_CALLERS) is \"nowhere\": invalid socket address syntax\n"
    );
}

#[test]
fn an_unknown_replay_names_the_loads_there_are() {
    let output = Command::new(env!("CARGO_BIN_EXE_bergamotshift"))
        .args(["load", "--replay", "nowhere"])
        .output()
        .expect("the binary was built for this test");
    let line = String::from_utf8(output.stderr).expect("it is text");
    assert_eq!(output.status.code(), Some(2));
    assert!(
        line.contains("--replay (or BERGAMOTSHIFT_REPLAY)") && line.contains("oranjehal-day"),
        "{line}"
    );
}
