//! Endpoint stand-ins over real sockets: what they answer, and what each fault looks like from outside.

use std::io::ErrorKind;

use bergamotshift_core::vm::Incarnation;
use bergamotshift_standin::engine::text;
use bergamotshift_standin::ledger::State;
use bergamotshift_standin::prelude::*;
use futures_util::future::join;
use futures_util::future::join_all;
use ntex::client::Client;
use ntex::client::ClientResponse;
use ntex::client::error::ClientError;
use ntex::http::StatusCode;
use serde_json::Value;
use serde_json::json;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

const ATTEMPT: &str = "x-bergamotshift-attempt";

async fn client() -> Client {
    // The client sets up TLS in any case, and then wants to know which provider to use.
    drop(rustls::crypto::ring::default_provider().install_default());
    Client::new().await
}

async fn post(server: &engine::Server, path: &str, attempt: &str, body: &Value) -> Result<ClientResponse, ClientError> {
    let url = format!("http://{}{path}", server.address());
    Client::new()
        .await
        .post(url)
        .header(ATTEMPT, attempt)
        .send_json(body)
        .await
}

async fn get(address: core::net::SocketAddr, path: &str) -> Result<ClientResponse, ClientError> {
    client().await.get(format!("http://{address}{path}")).send().await
}

/// Returns the text of a stream and whether it ended in `[DONE]`; `None` when the connection was cut.
async fn read(response: ClientResponse) -> Option<(String, bool)> {
    let body = response.body().await.ok()?;
    let events = String::from_utf8(body.to_vec()).expect("events are UTF-8");
    let mut content = String::new();
    let mut done = false;
    for data in events.split("\n\n").filter_map(|event| event.strip_prefix("data: ")) {
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).expect("an event is JSON");
        content.push_str(event["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }
    Some((content, done))
}

fn chat(stream: bool, tokens: u32) -> Value {
    json!({"model": "m", "stream": stream, "max_tokens": tokens, "messages": [{"role": "user", "content": "a b c"}]})
}

#[ntex::test]
async fn engine_answers_whole_and_streamed_alike() {
    let server = engine::Server::start(engine::Settings::default()).unwrap();
    let wanted = text::expected(&chat(false, 5), 5).unwrap();

    let whole = post(&server, "/v1/chat/completions", "a1", &chat(false, 5))
        .await
        .unwrap();
    assert_eq!(whole.headers().get(ATTEMPT).unwrap(), "a1");
    let body: Value = whole.json().await.unwrap();
    assert_eq!(body["choices"][0]["message"]["content"], wanted);
    assert_eq!(body["usage"]["completion_tokens"], 5);

    let stream = post(&server, "/v1/chat/completions", "a2", &chat(true, 5))
        .await
        .unwrap();
    assert_eq!(read(stream).await, Some((wanted, true)));

    let ledger = server.ledger();
    assert_eq!(ledger.len(), 2);
    assert!(ledger.iter().all(|run| run.finished && run.tokens == 5));
}

#[ntex::test]
async fn engine_resumes_where_the_text_stops() {
    let server = engine::Server::start(engine::Settings::default()).unwrap();
    let whole = text::expected(&chat(false, 6), 6).unwrap();
    let (begun, rest) = whole.split_at(14);
    let mut body = chat(true, 4);
    body["continue_final_message"] = json!(true);
    body["messages"]
        .as_array_mut()
        .unwrap()
        .push(json!({"role": "assistant", "content": begun}));
    let stream = post(&server, "/v1/chat/completions", "a1", &body).await.unwrap();
    assert_eq!(read(stream).await, Some((rest.to_owned(), true)));
}

#[ntex::test]
async fn engine_refuses_an_unknown_model() {
    let settings = engine::Settings {
        models: vec!["planner".into()],
        ..Default::default()
    };
    let server = engine::Server::start(settings).unwrap();
    let response = post(&server, "/v1/chat/completions", "a1", &chat(false, 1))
        .await
        .unwrap();
    assert_eq!(response.status(), StatusCode::NOT_FOUND);
    assert!(server.ledger().is_empty());
}

// The caller sees its stream break. The engine is killed while it decodes, so the connection ends without the last
// chunk; the ledger says that the run died, and the address refuses until the restart.
#[ntex::test]
async fn killed_engine_cuts_its_streams_and_refuses() {
    let server = engine::Server::start(engine::Settings::default()).unwrap();
    let stream = post(&server, "/v1/chat/completions", "a1", &chat(true, 1_000_000))
        .await
        .unwrap();
    server.kill();
    assert_eq!(read(stream).await, None);
    assert_eq!(server.ledger()[0].state, State::Died);
    get(server.address(), "/health").await.unwrap_err();
    let before = server.incarnation();
    server.restart();
    assert_eq!(get(server.address(), "/health").await.unwrap().status(), StatusCode::OK);
    assert_eq!(server.incarnation(), before.next());
}

#[ntex::test]
async fn dropped_server_refuses() {
    let server = plain::Server::start(plain::Settings::default()).unwrap();
    let address = server.address();
    assert_eq!(get(address, "/health").await.unwrap().status(), StatusCode::OK);
    drop(server);
    get(address, "/health").await.unwrap_err();
}

#[ntex::test]
async fn stream_faults_never_look_whole() {
    let server = engine::Server::start(engine::Settings::default()).unwrap();
    server.fault(Fault::MissingEnd { count: 1 });
    let stream = post(&server, "/v1/chat/completions", "a1", &chat(true, 3))
        .await
        .unwrap();
    assert!(matches!(read(stream).await, Some((_, false))));
    server.fault(Fault::PartialEvent { count: 1 });
    let stream = post(&server, "/v1/chat/completions", "a2", &chat(true, 3))
        .await
        .unwrap();
    assert_eq!(read(stream).await, None);
    server.fault(Fault::ShortBody { count: 1 });
    let short = post(&server, "/v1/chat/completions", "a3", &chat(false, 3))
        .await
        .unwrap();
    short.body().await.unwrap_err();
    let whole = post(&server, "/v1/chat/completions", "a4", &chat(true, 3))
        .await
        .unwrap();
    assert!(matches!(read(whole).await, Some((_, true))));
}

// Two callers ask at once and each gets the other's answer, with the other's attempt id.
#[ntex::test]
async fn crossed_answers_carry_the_other_attempt() {
    let server = engine::Server::start(engine::Settings::default()).unwrap();
    server.fault(Fault::Crossed { count: 1 });
    let (one, two) = (chat(false, 1), chat(false, 2));
    let (first, second) = futures_util::join!(
        post(&server, "/v1/chat/completions", "a1", &one),
        post(&server, "/v1/chat/completions", "a2", &two)
    );
    assert_eq!(first.unwrap().headers().get(ATTEMPT).unwrap(), "a2");
    assert_eq!(second.unwrap().headers().get(ATTEMPT).unwrap(), "a1");
}

// One request takes down each endpoint that runs it: its caller sees a cut connection, and the ledger holds a run.
#[ntex::test]
async fn marker_in_a_body_crashes_the_endpoint() {
    let server = engine::Server::start(engine::Settings::default()).unwrap();
    server.fault(Fault::CrashOn {
        marker: "poison".into(),
    });
    post(&server, "/v1/chat/completions", "a1", &chat(false, 2))
        .await
        .unwrap();
    let body = json!({"model": "m", "prompt": "a poison b"});
    post(&server, "/v1/completions", "a2", &body).await.unwrap_err();
    assert_eq!(server.ledger()[1].state, State::Died);
    get(server.address(), "/health").await.unwrap_err();
}

#[ntex::test]
async fn paused_endpoint_answers_after_resume() {
    let server = plain::Server::start(plain::Settings::default()).unwrap();
    server.pause();
    let address = server.address();
    let (answer, ()) = futures_util::join!(get(address, "/status"), async {
        server.called(1).await;
        assert!(server.ledger().is_empty());
        server.resume();
    });
    let body: Value = answer.unwrap().json().await.unwrap();
    assert_eq!(body["run"], 1);
}

#[ntex::test]
async fn lost_answer_leaves_a_finished_run() {
    let server = plain::Server::start(plain::Settings::default()).unwrap();
    let order = json!({"fault": "lose_answer_after_write", "count": 1});
    let url = format!("http://{}", server.address());
    let client = client().await;
    assert_eq!(
        client
            .post(format!("{url}/_fault"))
            .send_json(&order)
            .await
            .unwrap()
            .status(),
        StatusCode::NO_CONTENT
    );
    client.post(format!("{url}/shifts")).send_body("x").await.unwrap_err();
    client.post(format!("{url}/shifts")).send_body("x").await.unwrap();
    let ledger = server.ledger();
    assert!(ledger.iter().all(|run| run.finished));
    assert_eq!(ledger.len(), 2);
    assert_eq!(ledger[0].digest, ledger[1].digest);
}

// The caller waits in vain while another is answered: the run came to its end, and only its answer is held back.
#[ntex::test]
async fn late_answer_leaves_a_finished_run() {
    let server = plain::Server::start(plain::Settings::default()).unwrap();
    server.fault(Fault::Late {
        ms: 3_600_000,
        count: 1,
    });
    let late = core::pin::pin!(get(server.address(), "/late"));
    let other = core::pin::pin!(async {
        server.called(1).await;
        get(server.address(), "/other").await
    });
    let first = futures_util::future::select(late, other).await;
    let futures_util::future::Either::Right((answer, _)) = first else {
        panic!("the late answer came first");
    };
    assert_eq!(answer.unwrap().status(), StatusCode::OK);
    let targets: Vec<_> = server
        .ledger()
        .into_iter()
        .map(|run| (run.target, run.finished))
        .collect();
    assert_eq!(targets, [("GET /late".into(), true), ("GET /other".into(), true)]);
}

#[ntex::test]
async fn reset_connection_ran_nothing() {
    let server = plain::Server::start(plain::Settings::default()).unwrap();
    server.fault(Fault::Reset);
    get(server.address(), "/status").await.unwrap_err();
    server.fault(Fault::Clear);
    get(server.address(), "/status").await.unwrap();
    assert_eq!(server.ledger().len(), 1);
}

#[ntex::test]
async fn refusals_begin_after_the_calls_that_go_through() {
    let server = plain::Server::start(plain::Settings::default()).unwrap();
    server.fault(Fault::RefuseAfter { calls: 1, count: 1 });
    let mut refused = Vec::new();
    for _ in 0..3 {
        let status = get(server.address(), "/status").await.unwrap().status();
        refused.push(status == StatusCode::SERVICE_UNAVAILABLE);
    }
    assert_eq!(refused, [false, true, false]);
    assert_eq!(server.ledger().len(), 2);
}

// An operator without a handle takes a stand-in down over HTTP; it comes back by itself as the next incarnation.
#[ntex::test]
async fn stand_in_that_is_down_for_a_time_comes_back() {
    let server = plain::Server::start(plain::Settings::default()).unwrap();
    server.fault(Fault::DownFor { ms: 1 });
    server.up_as(Incarnation::new(1)).await;
    assert_eq!(get(server.address(), "/status").await.unwrap().status(), StatusCode::OK);
}

// Many stand-ins share a few threads: each answers for itself while another of them is paused.
#[ntex::test]
async fn paused_stand_in_holds_up_no_other() {
    let servers: Vec<_> = (0..16)
        .map(|_| plain::Server::start(plain::Settings::default()).unwrap())
        .collect();
    servers[0].pause();
    let address = servers[0].address();
    let (held, ()) = futures_util::join!(get(address, "/held"), async {
        servers[0].called(1).await;
        for server in &servers[1..] {
            get(server.address(), "/status").await.unwrap();
        }
        assert!(servers[0].ledger().is_empty());
        servers[0].resume();
    });
    assert_eq!(held.unwrap().status(), StatusCode::OK);
}

// Connections keep coming while the endpoint is killed. None of them is served afterwards: once the kill returned, no
// further run begins, also on a connection that was accepted at that very moment.
#[ntex::test]
async fn killed_endpoint_begins_no_run() {
    for _ in 0..20 {
        let server = plain::Server::start(plain::Settings::default()).unwrap();
        let address = server.address();
        let calls = futures_util::future::join_all((0..8).map(|_| get(address, "/status")));
        let (_, runs) = futures_util::join!(calls, async {
            server.called(1).await;
            server.kill();
            server.ledger().len()
        });
        assert_eq!(server.ledger().len(), runs);
    }
}

// Callers wait for whole answers and see their connections cut, each time. The kill first ends the runs, which wakes
// the calls, and then cuts the connections; a call that is woken before its own cut must not answer for the dead engine.
#[ntex::test]
async fn killed_engine_answers_nobody() {
    const CALLERS: usize = 64;
    const ROUNDS: usize = 8;
    let server = engine::Server::start(engine::Settings {
        slots: CALLERS as u32,
        ..Default::default()
    })
    .unwrap();
    let body = chat(false, 1_000_000);
    for round in 1..=ROUNDS {
        let calls = join_all((0..CALLERS).map(|_| post(&server, "/v1/chat/completions", "a1", &body)));
        let kill = async {
            while server.ledger().len() < round * CALLERS {
                tokio::task::yield_now().await;
            }
            server.kill();
        };
        let (answers, ()) = join(calls, kill).await;
        let answered: Vec<_> = answers.into_iter().flatten().map(|answer| answer.status()).collect();
        assert!(answered.is_empty(), "round {round}: {answered:?}");
        assert!(server.ledger().iter().all(|run| run.state == State::Died));
        server.restart();
    }
}

#[ntex::test]
async fn a_dead_host_keeps_its_port() {
    // An endpoint dies, and another program on the same VM asks for any free port. It must not get the dead one's:
    // callers would take the stranger for the endpoint and conclude that it lives.
    let server = plain::Server::start(plain::Settings::default()).unwrap();
    server.kill();
    let stranger = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let taken = stranger.bind(&server.address().into());
    assert_eq!(taken.unwrap_err().kind(), ErrorKind::AddrInUse);
    server.restart();
    server.up_as(Incarnation::new(1)).await;
    let counted = get(server.address(), "/_count").await.unwrap();
    assert_eq!(counted.status(), StatusCode::OK);
}
