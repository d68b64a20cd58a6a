//! Admission control while a large organisation sends far more requests than the engines can serve.

use core::cell::Cell;
use core::time::Duration;

use bergamotshift_config::digest::Digest;
use bergamotshift_entry::Settings;
use bergamotshift_entry::settings::Watch;
use bergamotshift_standin::engine;
use bergamotshift_standin::ledger::State;
use futures_util::future::join;
use futures_util::future::join_all;
use ntex::http::Method;
use serde_json::json;

use crate::site::KEY;
use crate::site::Layout;
use crate::site::Reply;
use crate::site::Site;

const SMALL_KEY: &str = "a long random key of small";

/// Number of tokens of an answer that takes a tenth of a second.
const TOKENS: u32 = 20;

/// Returns the layout of a site with two engines of four slots each and a token every five milliseconds.
fn layout(more: String) -> Layout {
    Layout {
        engines: 2,
        plains: 0,
        engine: engine::Settings {
            slots: 4,
            token_interval: Duration::from_millis(5),
            ..engine::Settings::default()
        },
        llm: "target = { first_token = \"1s\" }",
        more: more.leak(),
        settings: Settings {
            watch: Watch {
                report_interval: Duration::from_millis(50),
                ..Watch::default()
            },
            ..Layout::default().settings
        },
        ..Layout::default()
    }
}

async fn chat(site: &Site, key: &str, content: &str, tokens: u32) -> Reply {
    let authorization = format!("Bearer {key}");
    // Requests that wait behind the flood for longer than this get no answer.
    let headers = [
        ("authorization", authorization.as_str()),
        ("x-bergamotshift-deadline-ms", "3000"),
    ];
    let body = json!({"model": "tiny", "messages": [{"role": "user", "content": content}], "max_tokens": tokens});
    site.send_as(Method::POST, "/v1/chat/completions", &headers, body.to_string())
        .await
}

/// Checks that a reply reports a request that did not run and has a `Retry-After` header.
fn assert_refused(reply: &Reply) {
    let code = reply.json()["error"]["code"].as_str().unwrap().to_owned();
    match code.as_str() {
        "share_used" => reply.assert_failure(429, &code, "not-run"),
        "target_out_of_reach" | "deadline_out_of_reach" => reply.assert_failure(503, &code, "not-run"),
        other => panic!("{other}: {}", reply.text()),
    }
    let after: u64 = reply.header("retry-after").unwrap().parse().unwrap();
    assert!(after > 0);
}

#[ntex::test]
async fn a_flood_is_refused_early_while_a_small_organisation_is_served() {
    // A large organisation keeps three hundred requests in flight, while the engines serve eighty per second. Without
    // sharing, the small organisation's requests would wait for seconds and exceed their deadline. Requests beyond the
    // large organisation's share have to be refused at once without running, and the small organisation is served.
    const CALLERS: usize = 300;
    const WANTED: usize = 5;
    const EARLIER: usize = 8;
    let small = Digest::of(SMALL_KEY);
    let site = Site::start(layout(format!(
        "[[organisation]]\nname = \"small\"\nkeys = [\"{small}\"]\n"
    )))
    .await;
    // Earlier requests of both organisations let the entry learn the size of requests.
    for number in 0..EARLIER / 2 {
        for key in [KEY, SMALL_KEY] {
            assert!(
                chat(&site, key, &format!("earlier {number}"), TOKENS)
                    .await
                    .status
                    .is_success()
            );
        }
    }
    let served = Cell::new(0);
    let finished = Cell::new(false);
    let flood = join_all((0..CALLERS).map(|caller| {
        let (site, served, finished) = (&site, &served, &finished);
        async move {
            let mut refused = 0_usize;
            let mut round = 0;
            while !finished.get() {
                let reply = chat(site, KEY, &format!("flood {caller} {round}"), TOKENS).await;
                round += 1;
                if reply.status.is_success() {
                    served.update(|served| served + 1);
                } else {
                    assert_refused(&reply);
                    refused += 1;
                }
            }
            refused
        }
    }));
    let steady = async {
        let mut replies = Vec::new();
        for number in 0..WANTED {
            replies.push(chat(&site, SMALL_KEY, &format!("draft {number}"), TOKENS).await);
        }
        finished.set(true);
        replies
    };
    let (refused, replies) = join(flood, steady).await;
    for reply in &replies {
        assert!(reply.status.is_success(), "{}", reply.text());
    }
    let refused: usize = refused.into_iter().sum();
    assert!(refused > CALLERS, "{refused} refused");
    assert!(served.get() > 0, "the large organisation has its share");
    let runs = site.engines.iter().flat_map(engine::Server::ledger);
    let runs: Vec<_> = runs.collect();
    assert_eq!(
        runs.len(),
        served.get() + WANTED + EARLIER,
        "what was refused ran nowhere"
    );
    assert!(runs.iter().all(|run| run.state == State::Finished));
}

#[ntex::test]
async fn requests_that_fill_free_slots_are_not_refused() {
    // Eight callers send at once and the engines have eight slots. No request waits, although the work takes longer
    // than the latency target, so none may be refused.
    const LONG: u32 = 220;
    let site = Site::start(layout(String::new())).await;
    for round in 0..2 {
        let contents: Vec<_> = (0..8).map(|caller| format!("draft {round} {caller}")).collect();
        let replies = contents.iter().map(|content| chat(&site, KEY, content, LONG));
        for reply in join_all(replies).await {
            assert!(reply.status.is_success(), "{}", reply.text());
        }
    }
}
