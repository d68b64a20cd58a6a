//! Requests that kill endpoints, and zones that are lost with innocent requests in them.

use core::time::Duration;
use std::time::Instant;

use bergamotshift_standin::engine;
use bergamotshift_standin::engine::text;
use bergamotshift_standin::fault::Fault;
use futures_util::future::join_all;
use ntex::http::Method;
use serde_json::json;

use crate::site::Incoming;
use crate::site::Layout;
use crate::site::Site;

#[ntex::test]
async fn a_poisonous_request_stops_after_two_endpoints() {
    // Each engine that runs the request dies. The caller is refused after the second, and again when it sends the
    // same request anew, without a further death. Other requests are served by the engines that are left.
    let site = Site::start(Layout {
        engines: 5,
        plains: 0,
        ..Layout::default()
    })
    .await;
    for engine in &site.engines {
        engine.fault(Fault::CrashOn {
            marker: "poison".to_owned(),
        });
    }
    let poison = json!({"model": "tiny", "messages": [{"role": "user", "content": "poison"}]});
    let first = site.chat(&poison).await;
    first.assert_failure(422, "quarantined", "unknown");
    let again = site.chat(&poison).await;
    again.assert_failure(422, "quarantined", "not-run");
    assert!(again.header("retry-after").is_some());
    assert_eq!(site.runs(), 2);

    let innocent = json!({"model": "tiny", "messages": [{"role": "user", "content": "hello"}], "max_tokens": 3});
    let reply = site.chat(&innocent).await;
    let expected = text::expected(&innocent, 3).unwrap();
    assert_eq!(reply.json()["choices"][0]["message"]["content"], expected);
}

/// Guards against a request that ends one endpoint after the other where connections to an endpoint that has ended are accepted
/// and cut, so that the endpoint was taken for one that does not answer.
#[ntex::test]
async fn a_request_stops_although_connections_to_its_endpoints_are_accepted_and_cut() {
    let site = Site::start(Layout {
        engines: 8,
        plains: 0,
        ..Layout::default()
    })
    .await;
    for engine in &site.engines {
        engine.fault(Fault::ResetOn {
            marker: "poison".to_owned(),
        });
    }
    let poison = json!({"model": "tiny", "messages": [{"role": "user", "content": "poison"}]});
    for _ in 0..4 {
        site.chat(&poison).await;
    }
    assert!(site.runs() <= 3, "{} endpoints", site.runs());
}

#[ntex::test]
async fn a_lost_zone_condemns_no_request() {
    // Three of six engines, those of one zone, die at once without notice, with streams on all of them. Every caller
    // gets its whole stream: several deaths at once have another cause than any of the requests.
    let site = Site::start(Layout {
        engines: 6,
        plains: 0,
        engine: engine::Settings {
            token_interval: Duration::from_millis(4),
            ..engine::Settings::default()
        },
        ..Layout::default()
    })
    .await;
    let bodies: Vec<_> = (0..12)
        .map(|number| {
            let content = format!("roster {number}");
            json!({"model": "tiny", "messages": [{"role": "user", "content": content}], "max_tokens": 40, "stream": true})
        })
        .collect();
    let mut streams = join_all(bodies.iter().map(|body| site.open_chat(body))).await;
    for stream in &mut streams {
        stream.events(5).await;
    }
    for engine in site.engines.iter().step_by(2) {
        engine.kill();
    }
    let replies = join_all(streams.into_iter().map(Incoming::rest)).await;
    for (body, reply) in bodies.iter().zip(replies) {
        assert_eq!(reply.streamed(), (text::expected(body, 40).unwrap(), true));
    }
}

/// Guards against a request of many callers that all are refused, as endpoints died of another cause while they ran it.
#[ntex::test]
async fn a_popular_request_is_served_although_endpoints_died_with_it() {
    let site = Site::start(Layout {
        engines: 8,
        plains: 0,
        engine: engine::Settings {
            token_interval: Duration::from_millis(4),
            ..engine::Settings::default()
        },
        ..Layout::default()
    })
    .await;
    let messages = json!([{"role": "user", "content": "menu"}]);
    let body = json!({"model": "tiny", "messages": messages, "max_tokens": 40, "stream": true});
    for engine in &site.engines[..4] {
        let mut streams = join_all((0..8).map(|_| site.open_chat(&body))).await;
        for stream in &mut streams {
            stream.events(5).await;
        }
        engine.kill();
        let replies = join_all(streams.into_iter().map(Incoming::rest)).await;
        for reply in replies {
            assert_eq!(reply.streamed(), (text::expected(&body, 40).unwrap(), true));
        }
    }
}

#[ntex::test]
async fn uploads_that_stream_through_are_not_taken_for_one_another() {
    // Two uploads too large to be held kill an endpoint each. A third, to the same path and with another body, is
    // innocent: it is served by the endpoint that is left.
    let site = Site::start(Layout {
        engines: 0,
        plains: 3,
        ..Layout::default()
    })
    .await;
    for plain in &site.plains {
        plain.fault(Fault::CrashOn {
            marker: "poison".to_owned(),
        });
    }
    let upload = |head: &str| format!("{head}{}", "x".repeat(300_000));
    for head in ["poison one", "poison two"] {
        let reply = site.send(Method::PUT, "/app/plan", &[], upload(head)).await;
        assert_eq!(
            reply.header("x-bergamotshift-outcome"),
            Some("unknown"),
            "{}",
            reply.text()
        );
    }
    let reply = site.send(Method::PUT, "/app/plan", &[], upload("harmless")).await;
    assert_eq!(reply.status.as_u16(), 200, "{}", reply.text());
}

/// Guards against a beginning of many prompts that ends one endpoint after the other, because the deaths of requests of which no
/// two are alike counted for each of them alone.
#[ntex::test]
async fn requests_that_share_a_poisonous_beginning_stop_after_few_endpoints() {
    const ENGINES: usize = 12;
    let site = Site::start(Layout {
        engines: ENGINES,
        plains: 0,
        engine: engine::Settings {
            first_token: Duration::from_millis(250),
            ..engine::Settings::default()
        },
        ..Layout::default()
    })
    .await;
    for engine in &site.engines {
        engine.fault(Fault::CrashOn {
            marker: "poison".to_owned(),
        });
    }
    let beginning = format!("poison {}", "x".repeat(3_000));
    let chat =
        |content: String| json!({"model": "tiny", "messages": [{"role": "user", "content": content}], "max_tokens": 3});
    let mut crashed = 0;
    for number in 0..ENGINES {
        let before = site.runs();
        site.chat(&chat(format!("{beginning} {number}"))).await;
        crashed += site.runs() - before;
        let sound = site.chat(&chat(format!("hello {number}"))).await;
        assert_eq!(sound.status, 200, "after {crashed} crashes");
    }
    assert!(crashed <= 6, "{crashed} endpoints");
}

/// Guards against a sound beginning that is refused with those of crashing requests, because answers that arrive whole did not
/// clear the beginnings of their prompts.
#[ntex::test]
async fn a_beginning_that_is_answered_whole_is_not_refused() {
    const DEATHS: usize = 6;
    let site = Site::start(Layout {
        engines: DEATHS + 2,
        plains: 0,
        engine: engine::Settings {
            first_token: Duration::from_millis(250),
            ..engine::Settings::default()
        },
        more: "[[route]]\nservice = \"llm\"\nmethod = \"POST\"\npath = \"/v1/completions\"\nrepeatable = false\n",
        ..Layout::default()
    })
    .await;
    for engine in &site.engines {
        engine.fault(Fault::CrashOn {
            marker: "poison".to_owned(),
        });
    }
    let beginning = "x".repeat(3_000);
    for number in 0..DEATHS {
        // A request that may run once only ends one engine.
        let poison = json!({"model": "tiny", "prompt": format!("{beginning} poison {number}"), "max_tokens": 3});
        let key = number.to_string();
        let headers = [("content-type", "application/json"), ("idempotency-key", &*key)];
        site.send(Method::POST, "/v1/completions", &headers, poison.to_string())
            .await;
        let sound = json!({"model": "tiny", "prompt": format!("{beginning} hello {number}"), "max_tokens": 3});
        let key = format!("sound {number}");
        let headers = [("content-type", "application/json"), ("idempotency-key", &*key)];
        let reply = site
            .send(Method::POST, "/v1/completions", &headers, sound.to_string())
            .await;
        assert_eq!(reply.status, 200, "after {} deaths: {}", number + 1, reply.text());
    }
}

/// Guards against a long refusal of a request of many callers whose answers are too large to be held.
#[ntex::test]
async fn a_popular_request_with_large_answers_is_refused_for_a_short_time() {
    const DEATHS: usize = 2;
    const SENDS: usize = 500;
    const SHORT: Duration = Duration::from_secs(10);
    let mut layout = Layout {
        engines: 0,
        plains: 6,
        ..Layout::default()
    };
    layout.settings.bounds.max_buffered_answer = 0;
    let site = Site::start(layout).await;
    let send = || site.send(Method::PUT, "/app/menu", &[], "menu");
    assert_eq!(send().await.status, 200);
    for plain in &site.plains[..DEATHS] {
        plain.fault(Fault::CrashOn {
            marker: "menu".to_owned(),
        });
        let before = plain.ledger().len();
        for _ in 0..SENDS {
            if plain.ledger().len() > before {
                break;
            }
            send().await;
        }
        assert!(plain.ledger().len() > before, "the endpoint did not get it");
    }
    let refused = Instant::now();
    while send().await.status != 200 {
        assert!(refused.elapsed() < SHORT, "it is refused for long");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
