//! Isolation of requests that ran on an endpoint together with one that kills endpoints.

use core::time::Duration;

use bergamotshift_standin::engine;
use bergamotshift_standin::engine::text;
use bergamotshift_standin::fault::Fault;
use futures_util::future::join;
use futures_util::future::join_all;
use serde_json::json;

use crate::site::Incoming;
use crate::site::Layout;
use crate::site::Site;

#[ntex::test]
async fn innocent_requests_beside_a_poisonous_one_are_all_served() {
    // A poisonous request kills one of three engines, each running eight streams, and all streams of that engine are
    // suspected. If they were retried on the same engine as the poisonous request, its second kill would get them
    // refused too. They are isolated from it, so only the poisonous request is refused and every stream is complete.
    let site = Site::start(Layout {
        engines: 3,
        plains: 0,
        // Two engine failures in a row affect most streams, which exceeds the default retry budget.
        llm: "retry = { budget = 1.0, attempts = 6 }",
        engine: engine::Settings {
            token_interval: Duration::from_millis(4),
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
    let bodies: Vec<_> = (0..24)
        .map(|number| {
            let content = format!("roster {number}");
            json!({"model": "tiny", "messages": [{"role": "user", "content": content}], "max_tokens": 60, "stream": true})
        })
        .collect();
    let mut streams = join_all(bodies.iter().map(|body| site.open_chat(body))).await;
    for stream in &mut streams {
        stream.events(3).await;
    }
    let poison = json!({"model": "tiny", "messages": [{"role": "user", "content": "poison"}]});
    let rest = join_all(streams.into_iter().map(Incoming::rest));
    let (refused, replies) = join(site.chat(&poison), rest).await;
    refused.assert_failure(422, "quarantined", "unknown");
    for (body, reply) in bodies.iter().zip(replies) {
        assert_eq!(reply.streamed(), (text::expected(body, 60).unwrap(), true));
    }
}
