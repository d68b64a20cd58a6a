//! Model answers whose endpoint breaks in the middle.

use core::time::Duration;

use bergamotshift_standin::engine;
use bergamotshift_standin::engine::text;
use bergamotshift_standin::fault::Fault;
use ntex::http::Method;
use serde_json::Value;
use serde_json::json;

use crate::site::Layout;
use crate::site::Site;

const TOKENS: u32 = 40;

fn chat(content: &str) -> Value {
    json!({
        "model": "tiny",
        "messages": [{"role": "user", "content": content}],
        "max_tokens": TOKENS,
        "stream": true,
    })
}

fn slow() -> Layout {
    Layout {
        engines: 3,
        plains: 0,
        engine: engine::Settings {
            token_interval: Duration::from_millis(4),
            ..engine::Settings::default()
        },
        ..Layout::default()
    }
}

#[ntex::test]
async fn a_stream_goes_on_elsewhere_when_its_endpoint_dies() {
    // The caller sees one stream of one completion, every token once. Its engine is killed after ten tokens; the
    // entry asks another engine to go on behind what it has passed on.
    let site = Site::start(slow()).await;
    let body = chat("shifts of the banquet");
    let expected = text::expected(&body, TOKENS).unwrap();
    let mut incoming = site.open_chat(&body).await;
    incoming.events(10).await;
    site.busy_engine().kill();
    let reply = incoming.rest().await;
    assert_eq!(reply.streamed(), (expected, true));
    assert!(reply.whole);
    assert_eq!(reply.completion_ids().len(), 1);
    assert_eq!(site.runs(), 2);
}

#[ntex::test]
async fn a_stream_goes_on_elsewhere_when_its_endpoint_freezes() {
    // The engine stands still in the middle of a stream, with its connection open. After the time that a stream may
    // stand still the entry asks another engine. The first one wakes up later, and what it still sends reaches nobody.
    let site = Site::start(slow()).await;
    let body = chat("tables of the gala");
    let expected = text::expected(&body, TOKENS).unwrap();
    let mut incoming = site.open_chat(&body).await;
    incoming.events(6).await;
    let frozen = site.busy_engine();
    frozen.pause();
    let reply = incoming.rest().await;
    frozen.resume();
    assert_eq!(reply.streamed(), (expected, true));
    assert!(reply.whole);
    let again = site.chat(&body).await;
    assert_eq!(again.streamed().0, reply.streamed().0);
}

#[ntex::test]
async fn a_stream_survives_endpoint_after_endpoint() {
    // The caller sees one whole stream though its first engine dies under it and its second breaks the connection in
    // the middle of the last token; the parts of both are carried over to the third.
    let site = Site::start(slow()).await;
    for engine in &site.engines {
        engine.fault(Fault::PartialEvent { count: 1 });
    }
    let body = chat("contracts to merge");
    let expected = text::expected(&body, TOKENS).unwrap();
    let mut incoming = site.open_chat(&body).await;
    incoming.events(8).await;
    site.busy_engine().kill();
    incoming.events(20).await;
    site.idle_engine().fault(Fault::Clear);
    let reply = incoming.rest().await;
    assert_eq!(reply.streamed(), (expected, true));
    assert_eq!(site.runs(), 3);
}

#[ntex::test]
async fn a_stream_without_its_end_is_not_whole() {
    // The engine delivers every token and closes the stream without its terminal event, or breaks in the middle of
    // the last one. The caller gets the missing part and the end all the same.
    for fault in [Fault::MissingEnd { count: 1 }, Fault::PartialEvent { count: 1 }] {
        let site = Site::start(slow()).await;
        // One engine is sound, so that the third attempt succeeds at the latest.
        for engine in &site.engines[1..] {
            engine.fault(fault.clone());
        }
        let body = chat("cooks for Saturday");
        let expected = text::expected(&body, TOKENS).unwrap();
        let reply = site.chat(&body).await;
        assert_eq!(reply.streamed(), (expected, true), "{fault:?}");
        assert!(reply.whole);
    }
}

#[ntex::test]
async fn a_stream_that_cannot_go_on_is_cut_and_told() {
    // A request with tools has delivered a part when its engine dies. Nobody can continue it, so the caller is told
    // in an event and the connection breaks: it is never taken for whole.
    let site = Site::start(slow()).await;
    let mut body = chat("a call of a tool");
    body["tools"] = json!([{"type": "function", "function": {"name": "assign"}}]);
    let mut incoming = site.open_chat(&body).await;
    incoming.events(5).await;
    site.busy_engine().kill();
    let reply = incoming.rest().await;
    assert!(!reply.whole);
    let last = reply.text().trim_end().rsplit("\n\n").next().unwrap();
    let told: Value = serde_json::from_str(last.strip_prefix("data: ").unwrap()).unwrap();
    assert_eq!(told["error"]["code"], "stream_broken");
    assert_eq!(told["error"]["outcome"], "ran");
}

#[ntex::test]
async fn a_request_that_cannot_go_on_starts_over_before_its_first_token() {
    // The engine dies before it delivered anything, so even a request with tools is simply sent to another.
    let mut layout = slow();
    layout.engine.first_token = Duration::from_millis(200);
    let site = Site::start(layout).await;
    let mut body = chat("a call of a tool");
    body["tools"] = json!([{"type": "function", "function": {"name": "assign"}}]);
    let expected = text::expected(&body, TOKENS).unwrap();
    let incoming = site.open_chat(&body).await;
    site.busy_engine().kill();
    assert_eq!(incoming.rest().await.streamed(), (expected, true));
}

#[ntex::test]
async fn a_whole_answer_is_fetched_again_when_its_endpoint_dies() {
    // The caller asked for one answer and gets one, whole, though the engine that worked on it is killed.
    let site = Site::start(slow()).await;
    let mut body = chat("drafts");
    body["stream"] = json!(false);
    let expected = text::expected(&body, TOKENS).unwrap();
    let kill = async {
        loop {
            let busy = site.engines.iter().find(|engine| !engine.ledger().is_empty());
            if let Some(engine) = busy {
                engine.kill();
                return;
            }
            tokio::task::yield_now().await;
        }
    };
    let (reply, ()) = futures_util::join!(site.chat(&body), kill);
    assert_eq!(reply.json()["choices"][0]["message"]["content"], expected);
}

#[ntex::test]
async fn a_whole_answer_costs_no_token_twice_when_its_endpoint_dies() {
    // The caller asked for one answer, with its usage, and sees one completion. The engine that worked on it is
    // killed after ten tokens; the next one generates only what the entry had not received.
    let site = Site::start(slow()).await;
    let mut body = chat("long drafts");
    body["stream"] = json!(false);
    let expected = text::expected(&body, TOKENS).unwrap();
    let kill = async {
        let far = |engine: &&engine::Server| engine.ledger().iter().any(|run| run.tokens >= 10);
        loop {
            if let Some(engine) = site.engines.iter().find(far) {
                return engine.kill();
            }
            tokio::task::yield_now().await;
        }
    };
    let (reply, ()) = futures_util::join!(site.chat(&body), kill);
    let answer = reply.json();
    assert_eq!(reply.header("content-type"), Some("application/json"));
    assert_eq!(answer["object"], "chat.completion");
    assert_eq!(
        answer["choices"][0]["message"],
        json!({"role": "assistant", "content": expected})
    );
    assert_eq!(answer["choices"][0]["finish_reason"], "length");
    assert_eq!(answer["usage"]["completion_tokens"], TOKENS);
    let runs: Vec<_> = site.engines.iter().flat_map(engine::Server::ledger).collect();
    assert_eq!(runs.len(), 2);
    assert!(
        runs.iter().all(|run| run.tokens < TOKENS),
        "no engine generated all of it: {runs:?}"
    );
}

#[ntex::test]
async fn an_answer_that_no_pieces_add_up_to_is_fetched_whole() {
    let site = Site::start(slow()).await;
    let mut body = chat("with tools");
    body["stream"] = json!(false);
    body["tools"] = json!([{"type": "function", "function": {"name": "assign"}}]);
    let expected = text::expected(&body, TOKENS).unwrap();
    let reply = site.chat(&body).await;
    assert_eq!(reply.json()["choices"][0]["message"]["content"], expected);
    assert_eq!(site.runs(), 1);
}

#[ntex::test]
async fn a_caller_that_goes_away_frees_its_endpoint() {
    // The caller closes its connection in the middle of a stream. The engine stops computing for it.
    let site = Site::start(slow()).await;
    let mut body = chat("never mind");
    body["max_tokens"] = json!(100_000);
    let mut incoming = site.open_chat(&body).await;
    incoming.events(3).await;
    drop(incoming);
    while site.runs() == 0 || site.engines.iter().any(|engine| engine.ledger().iter().any(is_running)) {
        tokio::task::yield_now().await;
    }
}

pub fn is_running(run: &bergamotshift_standin::ledger::Run) -> bool {
    run.state == bergamotshift_standin::ledger::State::Running
}

#[ntex::test]
async fn completions_are_resumed_by_their_prompt() {
    // A plain completion has no messages to continue: its prompt grows by what was delivered.
    let site = Site::start(slow()).await;
    let body = json!({"model": "tiny", "prompt": "once upon", "max_tokens": TOKENS, "stream": true});
    let expected = text::expected(&body, TOKENS).unwrap();
    let authorization = format!("Bearer {}", crate::site::KEY);
    let headers = [("authorization", authorization.as_str())];
    let mut incoming = site
        .open(Method::POST, "/v1/completions", &headers, body.to_string())
        .await;
    incoming.events(7).await;
    site.busy_engine().kill();
    let reply = incoming.rest().await;
    let data = reply.text().lines().filter_map(|line| line.strip_prefix("data: "));
    let chunks = data.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    let texts = chunks.filter_map(|chunk| chunk["choices"][0]["text"].as_str().map(str::to_owned));
    assert_eq!(texts.collect::<String>(), expected);
    assert!(reply.text().ends_with("data: [DONE]\n\n"));
}
