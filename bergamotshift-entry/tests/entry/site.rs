//! A small site for tests: stand-in endpoints, one entry, and a caller.

use core::fmt::Write;
use core::net::SocketAddr;
use std::collections::BTreeSet;
use std::sync::Arc;

use bergamotshift_config::digest::Digest;
use bergamotshift_config::folder;
use bergamotshift_entry::Daemon;
use bergamotshift_entry::Handle;
use bergamotshift_entry::Settings;
use bergamotshift_entry::jobs;
use bergamotshift_standin::engine;
use bergamotshift_standin::ledger::State;
use bergamotshift_standin::objects;
use bergamotshift_standin::plain;
use bergamotshift_standin::table;
use ntex::client::Client;
use ntex::client::Connector;
use ntex::http::HeaderMap;
use ntex::http::Method;
use ntex::http::Payload;
use ntex::http::StatusCode;
use ntex::time::Seconds;
use serde_json::Value;

/// The bearer key of the organisation `acme`.
pub const KEY: &str = "a long random key of acme";

/// The bearer key of the organisation `other`, which may use the service `app` alone.
pub const OTHER_KEY: &str = "a long random key of other";

/// What a site holds.
#[derive(Debug)]
pub struct Layout {
    pub engines: usize,
    pub plains: usize,
    pub engine: engine::Settings,
    /// The versions that the engines state, in turn; empty if they state none.
    pub versions: &'static [&'static str],
    pub plain: plain::Settings,
    /// Another endpoint of the service `app`.
    pub raw: Option<SocketAddr>,
    /// A further one.
    pub second_raw: Option<SocketAddr>,
    /// Engines that answer with bytes as they are.
    pub raw_engines: Vec<SocketAddr>,
    /// More lines of the service `llm`.
    pub llm: &'static str,
    /// More lines of the service `app`.
    pub app: &'static str,
    /// More sections of the configuration.
    pub more: &'static str,
    pub settings: Settings,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            engines: 2,
            plains: 2,
            engine: engine::Settings::default(),
            versions: &[],
            plain: plain::Settings::default(),
            raw: None,
            second_raw: None,
            raw_engines: Vec::new(),
            llm: "",
            app: "",
            more: "",
            settings: Settings {
                threads: 1,
                drain_delay: core::time::Duration::from_millis(50),
                // Tests that order faults of the table mean them for their own requests, not for a look for jobs.
                jobs: jobs::Settings {
                    max_running: 0,
                    ..jobs::Settings::default()
                },
                ..Settings::default()
            },
        }
    }
}

/// Endpoints and an entry that serves them.
#[derive(Debug)]
pub struct Site {
    pub engines: Vec<engine::Server>,
    pub plains: Vec<plain::Server>,
    pub table: table::Server,
    pub objects: objects::Server,
    pub entry: Arc<Handle>,
    client: Client,
}

/// What came back.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Vec<u8>,
    /// Whether the body came to its declared end.
    pub whole: bool,
}

/// An answer under way.
#[derive(Debug)]
pub struct Incoming {
    pub status: StatusCode,
    pub headers: HeaderMap,
    payload: Payload,
    body: Vec<u8>,
}

impl Incoming {
    /// Reads until so many events of the stream are there.
    pub async fn events(&mut self, count: usize) {
        while self.body.windows(2).filter(|pair| pair == b"\n\n").count() < count {
            let chunk = self.payload.recv().await.expect("the stream goes on").unwrap();
            self.body.extend_from_slice(&chunk);
        }
    }

    /// Reads to the end.
    pub async fn rest(mut self) -> Reply {
        let mut whole = true;
        while let Some(chunk) = self.payload.recv().await {
            let Ok(chunk) = chunk else {
                whole = false;
                break;
            };
            self.body.extend_from_slice(&chunk);
        }
        Reply {
            status: self.status,
            headers: self.headers,
            body: self.body,
            whole,
        }
    }
}

impl Reply {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    pub fn text(&self) -> &str {
        core::str::from_utf8(&self.body).unwrap()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Checks that this is a failure in the API's shape.
    pub fn assert_failure(&self, status: u16, code: &str, outcome: &str) {
        assert_eq!(self.status.as_u16(), status, "{}", self.text());
        let error = &self.json()["error"];
        assert_eq!(error["code"], code);
        assert_eq!(error["outcome"], outcome);
        assert!(error["message"].is_string() && error["type"].is_string());
        assert_eq!(self.header("x-bergamotshift-outcome"), Some(outcome));
    }

    /// Returns the completion identifiers that a stream's events carry, without repetitions.
    pub fn completion_ids(&self) -> BTreeSet<String> {
        let data = self.text().lines().filter_map(|line| line.strip_prefix("data: "));
        data.filter_map(|data| {
            serde_json::from_str::<Value>(data).ok()?["id"]
                .as_str()
                .map(str::to_owned)
        })
        .collect()
    }

    /// Returns the chat text of a stream's events and whether it ended in `[DONE]`.
    pub fn streamed(&self) -> (String, bool) {
        let mut text = String::new();
        let mut done = false;
        let mut number = 0;
        for event in self.text().split_terminator("\n\n") {
            let mut data = None;
            for line in event.lines() {
                if let Some(id) = line.strip_prefix("id: ") {
                    number += 1;
                    assert_eq!(id.parse::<u64>().unwrap(), number, "events are numbered through");
                }
                data = line.strip_prefix("data: ").or(data);
            }
            let data = data.expect("an event has data");
            assert!(!done, "nothing follows the end");
            if data == "[DONE]" {
                done = true;
                continue;
            }
            let chunk: Value = serde_json::from_str(data).unwrap();
            text.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
        }
        (text, done)
    }
}

impl Site {
    pub async fn start(layout: Layout) -> Self {
        let engines: Vec<_> = (0..layout.engines)
            .map(|number| {
                engine::Server::start(engine::Settings {
                    name: format!("engine-{number}").into(),
                    version: layout
                        .versions
                        .iter()
                        .cycle()
                        .nth(number)
                        .copied()
                        .unwrap_or_default()
                        .into(),
                    zone: zone(number).into(),
                    ..layout.engine.clone()
                })
                .unwrap()
            })
            .collect();
        let plains: Vec<_> = (0..layout.plains)
            .map(|number| {
                plain::Server::start(plain::Settings {
                    name: format!("plain-{number}").into(),
                    zone: zone(number).into(),
                    ..layout.plain.clone()
                })
                .unwrap()
            })
            .collect();
        let config = configuration(&layout, &engines, &plains);
        let config = folder::parse(&[("site.toml", config)]).unwrap_or_else(|error| panic!("{error}"));
        let table = table::Server::start(table::Settings::default()).unwrap();
        let objects = objects::Server::start(objects::Settings::default()).unwrap();
        let mut settings = layout.settings;
        settings.platform.table.get_or_insert(table.address());
        settings.platform.objects.get_or_insert(objects.address());
        let entry = Daemon::start(Settings {
            config: Some(Arc::new(config)),
            ..settings
        });
        Self {
            engines,
            plains,
            table,
            objects,
            entry: Arc::new(entry.unwrap()),
            client: client().await,
        }
    }

    /// Sends a request with the key of `acme`.
    pub async fn send(&self, method: Method, path: &str, headers: &[(&str, &str)], body: impl Into<Vec<u8>>) -> Reply {
        let authorization = format!("Bearer {KEY}");
        let mut all = vec![("authorization", authorization.as_str())];
        all.extend_from_slice(headers);
        self.send_as(method, path, &all, body).await
    }

    /// Sends a request with just these headers.
    pub async fn send_as(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Vec<u8>>,
    ) -> Reply {
        self.open(method, path, headers, body).await.rest().await
    }

    /// Sends a request and returns once the head of its answer is there.
    pub async fn open(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Vec<u8>>,
    ) -> Incoming {
        let mut request = self
            .client
            .request(method, format!("http://{}{path}", self.entry.callers()));
        for (name, value) in headers {
            request = request.set_header(*name, *value);
        }
        let response = request.send_body(body.into()).await.unwrap();
        Incoming {
            status: response.status(),
            headers: response.headers().clone(),
            payload: response.take_payload(),
            body: Vec::new(),
        }
    }

    /// Sends a chat and returns once the head of its answer is there.
    pub async fn open_chat(&self, body: &Value) -> Incoming {
        let authorization = format!("Bearer {KEY}");
        let headers = [("authorization", authorization.as_str())];
        self.open(Method::POST, "/v1/chat/completions", &headers, body.to_string())
            .await
    }

    /// Returns the engine that runs a request now.
    pub fn busy_engine(&self) -> &engine::Server {
        let running = |engine: &&engine::Server| engine.ledger().iter().any(|run| run.state == State::Running);
        self.engines.iter().find(running).expect("an engine is busy")
    }

    /// Sends a chat.
    pub async fn chat(&self, body: &Value) -> Reply {
        let json = [("content-type", "application/json")];
        self.send(Method::POST, "/v1/chat/completions", &json, body.to_string())
            .await
    }

    /// Returns an engine that has run nothing so far.
    pub fn idle_engine(&self) -> &engine::Server {
        let idle = |engine: &&engine::Server| engine.ledger().is_empty();
        self.engines.iter().find(idle).expect("an engine is idle")
    }

    /// Returns how the entry says that things stand.
    pub async fn status(&self) -> Value {
        let page = self.client.get(format!("http://{}/status", self.entry.operators()));
        let body = page.send().await.unwrap().body().await.unwrap();
        serde_json::from_slice(&body).unwrap()
    }

    /// Returns the value of one of the entry's counters.
    pub async fn counter(&self, name: &str) -> u64 {
        let page = self.client.get(format!("http://{}/metrics", self.entry.operators()));
        let text = page.send().await.unwrap().body().await.unwrap();
        let text = core::str::from_utf8(&text).unwrap();
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix(name))
            .expect("the counter is there");
        line.trim().parse().unwrap()
    }

    /// Returns how many attempts the endpoints began, over all of them.
    pub fn runs(&self) -> usize {
        let engines: usize = self.engines.iter().map(|engine| engine.ledger().len()).sum();
        let plains: usize = self.plains.iter().map(|plain| plain.ledger().len()).sum();
        engines + plains
    }
}

/// Makes a caller's client.
pub async fn client() -> Client {
    Client::builder()
        .connector::<()>(Connector::default().limit(4096).keep_alive(Seconds(1)))
        .disable_timeout()
        .build(ntex::SharedCfg::default())
        .await
        .unwrap()
}

fn zone(number: usize) -> &'static str {
    if number.is_multiple_of(2) { "zone-a" } else { "zone-b" }
}

fn configuration(layout: &Layout, engines: &[engine::Server], plains: &[plain::Server]) -> String {
    let (digest, other) = (Digest::of(KEY), Digest::of(OTHER_KEY));
    let (llm, app, more) = (layout.llm, layout.app, layout.more);
    let mut text = format!(
        r#"
[[zone]]
name = "zone-a"
region = "region"

[[zone]]
name = "zone-b"
region = "region"

[[class]]
name = "small"
price_reclaimable = 0.1
price_on_demand = 0.3

[[organisation]]
name = "acme"
keys = ["{digest}"]

[[organisation]]
name = "other"
keys = ["{other}"]
services = ["app"]

[[service]]
name = "llm"
kind = "model"
adapter = "engine"
models = ["tiny"]
{llm}

[[service]]
name = "app"
kind = "plain"
adapter = "http"
path = "/app"
{app}

{more}
"#
    );
    for (number, engine) in engines.iter().enumerate() {
        endpoint(&mut text, &format!("engine-{number}"), "llm", number, engine.address());
    }
    for (number, plain) in plains.iter().enumerate() {
        endpoint(&mut text, &format!("plain-{number}"), "app", number, plain.address());
    }
    for (number, address) in layout.raw_engines.iter().enumerate() {
        endpoint(&mut text, &format!("raw-engine-{number}"), "llm", number, *address);
    }
    if let Some(address) = layout.raw {
        endpoint(&mut text, "raw", "app", 0, address);
    }
    if let Some(address) = layout.second_raw {
        endpoint(&mut text, "second-raw", "app", 1, address);
    }
    text
}

fn endpoint(text: &mut String, name: &str, service: &str, number: usize, address: SocketAddr) {
    let zone = zone(number);
    write!(
        text,
        "[[endpoint]]\nname = \"{name}\"\nservice = \"{service}\"\nzone = \"{zone}\"\nclass = \"small\"\naddress = \
         \"{address}\"\n"
    )
    .unwrap();
}
