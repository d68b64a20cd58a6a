//! The engine's model: batching, prefix cache, KV transfer, draining and orders.

use core::time::Duration;

use bergamotshift_standin::engine::event::Kind;
use bergamotshift_standin::engine::kv;
use bergamotshift_standin::ledger::State;
use bergamotshift_standin::prelude::*;
use futures_util::StreamExt;
use ntex::client::Client;
use ntex::client::ClientResponse;
use ntex::http::StatusCode;
use serde_json::Value;
use serde_json::json;

/// A time that no test waits for.
const NEVER: Duration = Duration::from_hours(1);

async fn client() -> Client {
    // The client sets up TLS in any case, and then wants to know which provider to use.
    drop(rustls::crypto::ring::default_provider().install_default());
    Client::builder()
        .disable_timeout()
        .build(ntex::SharedCfg::default())
        .await
        .unwrap()
}

async fn post(server: &engine::Server, path: &str, attempt: &str, body: &Value) -> ClientResponse {
    let url = format!("http://{}{path}", server.address());
    let request = client().await.post(url).header("x-bergamotshift-attempt", attempt);
    request.send_json(body).await.unwrap()
}

async fn get(server: &engine::Server, path: &str) -> Value {
    let url = format!("http://{}{path}", server.address());
    client().await.get(url).send().await.unwrap().json().await.unwrap()
}

async fn complete(server: &engine::Server, attempt: &str, prompt: &str) -> Value {
    let body = json!({"model": "m", "prompt": prompt, "max_tokens": 1});
    post(server, "/v1/completions", attempt, &body)
        .await
        .json()
        .await
        .unwrap()
}

/// Returns a prompt of 32 words, which is two blocks.
fn prompt(name: &str) -> String {
    let words: Vec<_> = (0..32).map(|word| format!("{name}{word}")).collect();
    words.join(" ")
}

fn cached(answer: &Value) -> u64 {
    answer["usage"]["prompt_tokens_details"]["cached_tokens"]
        .as_u64()
        .unwrap()
}

fn stream(tokens: u32) -> Value {
    json!({"model": "m", "prompt": "a b", "stream": true, "max_tokens": tokens})
}

#[ntex::test]
async fn prefix_cache_spares_prefill_and_evicts_the_least_recent() {
    let server = engine::Server::start(engine::Settings {
        cache_tokens: 64,
        ..Default::default()
    });
    let server = server.unwrap();
    assert_eq!(cached(&complete(&server, "a1", &prompt("a")).await), 0);
    assert_eq!(cached(&complete(&server, "a2", &prompt("a")).await), 32);
    complete(&server, "a3", &prompt("b")).await;
    complete(&server, "a4", &prompt("c")).await;
    assert_eq!(cached(&complete(&server, "a5", &prompt("b")).await), 32);
    assert_eq!(cached(&complete(&server, "a6", &prompt("a")).await), 0);
    let prefilled: Vec<_> = server.ledger().iter().map(|run| run.prefilled).collect();
    assert_eq!(prefilled, [32, 0, 32, 32, 0, 32]);
}

#[ntex::test]
async fn cache_events_come_late_and_with_gaps() {
    let server = engine::Server::start(engine::Settings {
        event_lag: 1,
        ..Default::default()
    });
    let server = server.unwrap();
    complete(&server, "a1", &prompt("a")).await;
    let events = get(&server, "/_events?since=0").await;
    let seen = |events: &Value| -> Vec<u64> {
        events["events"]
            .as_array()
            .unwrap()
            .iter()
            .map(|event| event["sequence"].as_u64().unwrap())
            .collect()
    };
    assert_eq!(seen(&events), [1]);
    let first: engine::event::Event = serde_json::from_value(events["events"][0].clone()).unwrap();
    assert_eq!((first.kind, first.attempt.as_deref()), (Kind::Stored, Some("a1")));
    server.lose_events(1);
    complete(&server, "a2", &prompt("b")).await;
    complete(&server, "a3", &prompt("c")).await;
    assert_eq!(seen(&get(&server, "/_events?since=1").await), [2, 4, 5]);
    server.kill();
    server.restart();
    assert_eq!(
        get(&server, "/_events?since=0").await,
        json!({"incarnation": 1, "events": []})
    );
}

// The caller of a stream moves to another engine: the KV cache goes along, so that nothing is computed twice.
#[ntex::test]
async fn imported_kv_spares_the_prefill() {
    let settings = engine::Settings {
        token_interval: NEVER,
        cache_tokens: 0,
        ..Default::default()
    };
    let source = engine::Server::start(settings).unwrap();
    let target = engine::Server::start(engine::Settings::default()).unwrap();
    let mut begun = post(&source, "/v1/completions", "a1", &stream(8)).await;
    let event = begun.next().await.unwrap().unwrap();
    let event: Value = serde_json::from_slice(event.strip_prefix(b"data: ").unwrap()).unwrap();
    let token = event["choices"][0]["text"].as_str().unwrap();

    let export = post(&source, "/_kv/export", "", &json!({"attempt": "a1"})).await;
    let handle: kv::Handle = export.json().await.unwrap();
    assert_eq!(handle.tokens, 3);
    let import = kv::Import {
        handle: handle.clone(),
        source: source.address(),
    };
    let import = serde_json::to_value(import).unwrap();
    let imported = post(&target, "/_kv/import", "", &import).await;
    assert_eq!(imported.status(), StatusCode::NO_CONTENT);
    complete(&target, "a2", &format!("a b{token}")).await;
    assert_eq!(target.ledger()[0].prefilled, 0);
}

// The owner of the KV cache is gone before the transfer ends: the import fails and the prompt is computed again.
#[ntex::test]
async fn import_from_a_dead_engine_fails() {
    let settings = engine::Settings {
        token_interval: NEVER,
        ..Default::default()
    };
    let source = engine::Server::start(settings).unwrap();
    let target = engine::Server::start(engine::Settings::default()).unwrap();
    let _begun = post(&source, "/v1/completions", "a1", &stream(8)).await;
    let export = post(&source, "/_kv/export", "", &json!({"attempt": "a1"})).await;
    let import = kv::Import {
        handle: export.json().await.unwrap(),
        source: source.address(),
    };
    source.kill();
    let imported = post(&target, "/_kv/import", "", &serde_json::to_value(import).unwrap()).await;
    assert_eq!(imported.status(), StatusCode::BAD_GATEWAY);
    complete(&target, "a2", "a b").await;
    assert_eq!(target.ledger()[0].prefilled, 2);
}

// A caller goes away: the engine stops computing at once, though its next token is an hour off.
#[ntex::test]
async fn disconnect_cancels_what_is_not_computed() {
    let server = engine::Server::start(engine::Settings {
        token_interval: NEVER,
        slots: 1,
        ..Default::default()
    });
    let server = server.unwrap();
    let mut first = post(&server, "/v1/completions", "a1", &stream(8)).await;
    first.next().await.unwrap().unwrap();
    // The second holds no slot until the first is gone.
    let mut second = post(&server, "/v1/completions", "a2", &stream(1)).await;
    assert_eq!(get(&server, "/_load").await["waiting"], 1);
    drop(first);
    second.next().await.unwrap().unwrap();
    let run = &server.ledger()[0];
    assert_eq!((run.state, run.tokens), (State::Cancelled, 1));
}

// Two requests wait for the one slot; the one with the lower number of priority is taken first.
#[ntex::test]
async fn priority_decides_who_gets_the_next_slot() {
    let server = engine::Server::start(engine::Settings {
        token_interval: NEVER,
        slots: 1,
        ..Default::default()
    });
    let server = server.unwrap();
    let mut holder = post(&server, "/v1/completions", "a1", &stream(8)).await;
    holder.next().await.unwrap().unwrap();
    let mut later = stream(2);
    later["priority"] = json!(1);
    let _later = post(&server, "/v1/completions", "later", &later).await;
    let mut sooner = post(&server, "/v1/completions", "sooner", &stream(2)).await;
    drop(holder);
    sooner.next().await.unwrap().unwrap();
    let tokens: Vec<_> = server.ledger().iter().map(|run| run.tokens).collect();
    assert_eq!(tokens, [1, 0, 1]);
}

#[ntex::test]
async fn load_report_is_behind_by_its_lag() {
    let server = engine::Server::start(engine::Settings {
        token_interval: NEVER,
        load_lag: 1,
        ..Default::default()
    });
    let server = server.unwrap();
    assert_eq!(get(&server, "/_load").await["running"], 0);
    let mut begun = post(&server, "/v1/completions", "a1", &stream(8)).await;
    begun.next().await.unwrap().unwrap();
    let report = get(&server, "/_load").await;
    assert_eq!((&report["running"], &report["sequence"]), (&json!(0), &json!(1)));
    assert_eq!(get(&server, "/_load").await["running"], 1);
}

#[ntex::test]
async fn draining_engine_refuses_new_work_until_its_restart() {
    let server = engine::Server::start(engine::Settings::default()).unwrap();
    server.drain();
    let refused = post(&server, "/v1/completions", "a1", &stream(1)).await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(server.ledger().is_empty());
    assert_eq!(get(&server, "/_load").await["leaving"], true);
    server.kill();
    server.restart();
    let taken = post(&server, "/v1/completions", "a2", &stream(1)).await;
    assert_eq!(taken.status(), StatusCode::OK);
}

#[ntex::test]
async fn draining_plain_service_proves_that_it_did_not_run() {
    let server = plain::Server::start(plain::Settings::default()).unwrap();
    server.drain();
    let url = format!("http://{}/shifts", server.address());
    let refused = client().await.post(url).send_body("x").await.unwrap();
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.headers().get("x-bergamotshift-outcome").unwrap(), "not-run");
    assert!(server.ledger().is_empty());
}

// A holder of a lapsed lease wakes up and repeats its order. An engine that checks refuses the old number; one that
// ignores it obeys, which is the danger that the waiting rule is for.
#[ntex::test]
async fn old_order_is_refused_only_where_numbers_are_checked() {
    for checks_fencing in [true, false] {
        let server = engine::Server::start(engine::Settings {
            checks_fencing,
            ..Default::default()
        });
        let server = server.unwrap();
        let order = |model: &str, fencing: u64| json!({"order": "load", "model": model, "fencing": fencing});
        let new = post(&server, "/_orders", "", &order("new", 2)).await;
        assert_eq!(new.status(), StatusCode::OK);
        let old = post(&server, "/_orders", "", &order("old", 1)).await;
        assert_eq!(old.status() == StatusCode::CONFLICT, checks_fencing);
        let models: Vec<_> = server.duty().models.into_iter().map(|(model, _)| model).collect();
        assert_eq!(models.contains(&"old".into()), !checks_fencing);
        assert_eq!(server.duty().highest, 2);
    }
}

#[ntex::test]
async fn unloaded_model_is_served_no_longer() {
    let server = engine::Server::start(engine::Settings {
        models: vec!["m".into()],
        ..Default::default()
    });
    let server = server.unwrap();
    let order = json!({"order": "unload", "model": "m", "fencing": 1});
    assert_eq!(post(&server, "/_orders", "", &order).await.status(), StatusCode::OK);
    let refused = post(&server, "/v1/completions", "a1", &stream(1)).await;
    assert_eq!(refused.status(), StatusCode::NOT_FOUND);
}
