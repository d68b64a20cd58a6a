//! Stand-in of the platform's store and of its cloud API, on one loopback address.

use std::collections::BTreeMap;
use std::io;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::http::Message;

/// Maximum number of rows in an answer.
const PAGE: usize = 500;

/// Table, part and key.
type Id = (String, String, String);

/// Value of a row, `None` after its removal, and the version of its last change.
type Row = (Option<Vec<u8>>, u64);

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<Id, Row>,
    ver: u64,
}

/// Stand-in of the store that runs until the process ends.
#[derive(Clone, Debug)]
pub struct Store {
    /// Address that it listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
    started: Instant,
}

impl Store {
    /// Starts a server on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if no port is free.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
            changed: Arc::default(),
            started: Instant::now(),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                // The end of one connection does not concern the others.
                thread::spawn(move || drop(server.serve(stream)));
            }
        });
        Ok(store)
    }

    /// Writes a row of the default part, as operators and workers do.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let mut state = self.lock();
        state.ver += 1;
        let row = (Some(value.to_string().into_bytes()), state.ver);
        state
            .rows
            .insert((table.to_owned(), String::new(), key.to_owned()), row);
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(call) = http::read(&mut reader)? {
            let (status, body) = self.execute(&call);
            http::write_json(&mut stream, status, &body)?;
        }
        Ok(())
    }

    fn execute(&self, call: &Message) -> (u16, Value) {
        let (_, target) = call.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<String, String> = query.split('&').filter_map(pair).collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/rows-get" => self.get(&text("table"), &text("part"), &text("from"), &text("limit")),
            "/rows-feed" => {
                let wait = text("wait_ms").parse().unwrap_or(0);
                self.feed(&text("table"), text("start_after").parse().unwrap_or(0), wait)
            }
            "/rows-tx" => self.transact(&serde_json::from_slice(&call.body).unwrap_or(Value::Null)),
            _ => (200, json!({})),
        }
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn get(&self, table: &str, part: &str, from: &str, limit: &str) -> (u16, Value) {
        let limit = limit.parse().unwrap_or(PAGE).min(PAGE);
        let state = self.lock();
        let found = state
            .rows
            .iter()
            .filter(|((t, p, key), (value, _))| t == table && p == part && key.as_str() >= from && value.is_some());
        let all: Vec<Value> = found.map(encode).collect();
        let has_more = all.len() > limit;
        let rows: Vec<Value> = all.into_iter().take(limit).collect();
        (
            200,
            json!({"rows": rows, "has_more": has_more, "ver": state.ver, "now_ms": self.now_ms()}),
        )
    }

    fn feed(&self, table: &str, after: u64, wait_ms: u64) -> (u16, Value) {
        let is_new = |(id, row): &(&Id, &Row)| id.0 == table && row.1 > after;
        let waited = self
            .changed
            .wait_timeout_while(self.lock(), Duration::from_millis(wait_ms), |state| {
                !state.rows.iter().any(|row| is_new(&row))
            });
        let state = waited.unwrap_or_else(PoisonError::into_inner).0;
        let mut found: Vec<(&Id, &Row)> = state.rows.iter().filter(is_new).collect();
        found.sort_by_key(|(_, (_, ver))| *ver);
        let rows: Vec<Value> = found.into_iter().map(encode).collect();
        (200, json!({"rows": rows, "ver": state.ver, "now_ms": self.now_ms()}))
    }

    fn transact(&self, body: &Value) -> (u16, Value) {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let mut state = self.lock();
        let current = |state: &State, id: &Id| match state.rows.get(id) {
            Some((Some(_), ver)) => *ver,
            _ => 0,
        };
        let expected = list("expected_rev");
        let differs = |item: &Value| current(&state, &id_of(item)) != item["ver"].as_u64().unwrap_or(0);
        if expected.iter().any(differs) {
            let ids: Vec<Id> = expected.iter().map(id_of).collect();
            let present = ids.iter().filter_map(|id| Some((id, state.rows.get(id)?)));
            let rows: Vec<Value> = present.filter(|(_, (value, _))| value.is_some()).map(encode).collect();
            return (412, json!({"rows": rows, "ver": state.ver, "now_ms": self.now_ms()}));
        }
        state.ver += 1;
        let ver = state.ver;
        for item in list("writes") {
            let value = STANDARD.decode(item["value"].as_str().unwrap_or_default());
            state.rows.insert(id_of(&item), (Some(value.unwrap_or_default()), ver));
        }
        for item in list("remove") {
            state.rows.insert(id_of(&item), (None, ver));
        }
        self.changed.notify_all();
        (200, json!({"ver": ver, "now_ms": self.now_ms()}))
    }
}

fn id_of(item: &Value) -> Id {
    let text = |name: &str| item[name].as_str().unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

fn encode(((table, part, key), (value, ver)): (&Id, &Row)) -> Value {
    match value {
        Some(value) => {
            json!({"table": table, "part": part, "key": key, "value": STANDARD.encode(value), "ver": ver})
        }
        None => json!({"table": table, "part": part, "key": key, "ver": ver, "deleted": true}),
    }
}

/// Decodes a `name=value` pair of a query.
fn pair(text: &str) -> Option<(String, String)> {
    let (name, value) = text.split_once('=')?;
    let mut decoded = Vec::new();
    let mut bytes = value.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let digits = [bytes.next()?, bytes.next()?];
            decoded.push(u8::from_str_radix(std::str::from_utf8(&digits).ok()?, 16).ok()?);
        } else {
            decoded.push(byte);
        }
    }
    Some((name.to_owned(), String::from_utf8(decoded).ok()?))
}
