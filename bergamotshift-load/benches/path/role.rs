//! The processes of a measurement: this program again, in another role.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::SocketAddr;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;

use bergamotshift_config::config::Config;
use bergamotshift_config::digest::Digest;
use bergamotshift_config::folder;
use bergamotshift_entry::Daemon;
use bergamotshift_entry::Settings;
use bergamotshift_load::hop;

use crate::THREADS;
use crate::upstream;

/// Tells a child from the measuring process.
pub const FLAG: &str = "--role";

/// The bearer key that the entry takes.
pub const KEY: &str = "the long random key of the bench";

/// What a child does.
#[derive(Clone, Copy, Debug)]
pub enum Role {
    /// Answers as an endpoint, at little cost.
    Upstream,
    /// Passes requests on to this endpoint.
    Hop(SocketAddr),
    /// Serves these endpoints, of the plain and of the model service, as an entry.
    Entry(SocketAddr, SocketAddr),
}

/// A running child; it ends when its standard input closes, so it never outlives the measurement.
#[derive(Debug)]
pub struct Child {
    pub address: SocketAddr,
    process: std::process::Child,
}

impl Child {
    pub fn start(role: Role) -> Self {
        let mut command = Command::new(std::env::current_exe().expect("the program has a path"));
        command.arg(FLAG);
        match role {
            Role::Upstream => command.arg("upstream"),
            Role::Hop(upstream) => command.arg("hop").arg(upstream.to_string()),
            Role::Entry(plain, model) => command
                .arg("entry")
                .args([plain, model].map(|address| address.to_string())),
        };
        let mut process = command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the child starts");
        let output = process.stdout.take().expect("its output is piped");
        let mut line = String::new();
        BufReader::new(output)
            .read_line(&mut line)
            .expect("the child writes its address");
        let address = line.trim().parse().expect("the child's first line is its address");
        Self { address, process }
    }

    /// Returns the resident memory, in MiB.
    pub fn resident(&self) -> f64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process.id())).unwrap_or_default();
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .unwrap_or_default();
        let kibibytes: f64 = line.trim().trim_end_matches(" kB").trim().parse().unwrap_or(f64::NAN);
        kibibytes / 1024.0
    }

    /// Returns the processor time used so far, in seconds.
    pub fn processor(&self) -> f64 {
        const TICKS_PER_SECOND: f64 = 100.0;
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.process.id())).unwrap_or_default();
        // The fields after the name in brackets; user and system time are the 12th and 13th of them.
        let fields = stat.rsplit(") ").next().unwrap_or_default();
        let ticks = fields
            .split(' ')
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse::<f64>().ok());
        ticks.sum::<f64>() / TICKS_PER_SECOND
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        drop(self.process.stdin.take());
        // It ends by itself; what it says about it is of no use.
        drop(self.process.wait());
    }
}

/// Plays a role until the standard input closes.
pub fn serve(words: &[String]) {
    let upstream = |place: usize| words[place].parse().expect("an endpoint's address");
    match words[0].as_str() {
        "upstream" => {
            let server = upstream::Server::start();
            announce(server.address());
        }
        "hop" => {
            let server = hop::Server::start(upstream(1), THREADS).expect("the hop starts");
            announce(server.address());
        }
        "entry" => {
            let entry = Daemon::start(Settings {
                threads: THREADS,
                config: Some(Arc::new(configuration(upstream(1), upstream(2)))),
                ..Settings::default()
            })
            .expect("the entry starts");
            announce(entry.callers());
        }
        other => panic!("no role {other}"),
    }
}

/// Returns a configuration with a plain and a model service of one endpoint each, and no limits.
fn configuration(plain: SocketAddr, model: SocketAddr) -> Config {
    let key = Digest::of(KEY);
    let endpoint = |service: &str, address: SocketAddr| {
        format!(
            "[[endpoint]]\nname = \"{service}-1\"\nservice = \"{service}\"\nzone = \"zone\"\nclass = \"small\"\n\
             address = \"{address}\"\n"
        )
    };
    let text = format!(
        r#"
        [[zone]]
        name = "zone"
        region = "region"

        [[class]]
        name = "small"
        price_reclaimable = 0.1
        price_on_demand = 0.3

        [[organisation]]
        name = "bench"
        keys = ["{key}"]

        [[service]]
        name = "app"
        kind = "plain"
        adapter = "http"
        path = "/app"

        [[service]]
        name = "llm"
        kind = "model"
        adapter = "engine"
        models = ["m"]
        {}{}"#,
        endpoint("app", plain),
        endpoint("llm", model),
    );
    folder::parse(&[("bench.toml", text)]).expect("the configuration is valid")
}

fn announce(address: SocketAddr) {
    println!("{address}");
    drop(std::io::stdin().read_to_end(&mut Vec::new()));
}
