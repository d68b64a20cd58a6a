//! Questions to other entries that get no answer.

use core::fmt::Write;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;

use bergamotshift_core::prelude::*;
use bergamotshift_forward::dialect::Dialect;
use bergamotshift_forward::limits::granter::Candidate;
use bergamotshift_forward::observe::Clock;
use bergamotshift_forward::origins::Key;
use bergamotshift_forward::peers::Origins;
use bergamotshift_forward::settings::Settings;
use bergamotshift_forward::view::Shared;
use ntex::rt::DefaultRuntime;
use ntex::rt::System;
use slog::Drain;
use slog::KV;
use slog::Logger;
use slog::OwnedKVList;
use slog::Record;
use tokio::sync::mpsc;

use crate::outside::lock;

const SETTINGS: &str = r#"
name = "entry-1"
zone = "one"
outside = "memory"
[listen]
callers = "127.0.0.1:0"
ready = "127.0.0.1:0"
peers = "127.0.0.1:0"
metrics = "127.0.0.1:0"
[store]
address = "127.0.0.1:0"
"#;

/// Keeps the messages of log lines with their pairs.
#[derive(Clone, Debug, Default)]
struct Journal(Arc<Mutex<Vec<String>>>);

/// Pairs of a line, as text.
struct Pairs(String);

impl slog::Serializer for Pairs {
    fn emit_arguments(&mut self, key: slog::Key, val: &core::fmt::Arguments<'_>) -> slog::Result {
        write!(self.0, " {key}={val}").map_err(slog::Error::from)
    }
}

impl Drain for Journal {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _values: &OwnedKVList) -> Result<(), slog::Never> {
        let mut pairs = Pairs(record.msg().to_string());
        record.kv().serialize(record, &mut pairs).expect("text takes all pairs");
        lock(&self.0).push(pairs.0);
        Ok(())
    }
}

/// Guards against a stream whose version stays unknown while the log does not say why: an entry that gave no answer within the
/// time for all of them was dropped without a line.
#[test]
fn an_entry_that_does_not_answer_in_time_for_a_streams_version_is_logged() {
    // Connections are accepted by the backlog, and nobody answers.
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = silent.local_addr().expect("an address");
    let journal = Journal::default();
    let (notes, _inbox) = mpsc::unbounded_channel();
    let settings = Settings::parse(SETTINGS).expect("the settings are in order");
    let logger = Logger::root(journal.clone(), slog::o!());
    let shared = Shared::new(settings, Dialect::default(), Clock::default(), logger, notes);
    let entry = Candidate {
        hash: 1,
        address: Some(address),
    };
    shared.origins.set_entries(vec![entry]);
    let key = Key::new(&name::Service::new("planner"), None, "attempt");
    let origins = Origins::new(Arc::new(shared));
    let version = System::new("ask", DefaultRuntime).block_on(async move { origins.ask(key).await });
    assert_eq!(version, None);
    let lines = lock(&journal.0);
    let is_of_entry = |line: &&String| {
        line.starts_with("version of a stream not answered")
            && line.contains(&address.to_string())
            && line.contains("cause=")
    };
    assert_eq!(lines.iter().filter(is_of_entry).count(), 1, "{lines:?}");
}
