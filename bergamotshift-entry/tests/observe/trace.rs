//! One request's spans, from its caller to its endpoint.

use core::fmt::Write;
use core::net::SocketAddr;
use core::time::Duration;

use bergamotshift_entry::Settings;
use bergamotshift_entry::settings::traces;
use bergamotshift_standin::engine;
use bergamotshift_standin::objects;
use bergamotshift_standin::table;
use ntex::http::Method;
use opentelemetry_proto::tonic::trace::v1::Span;
use opentelemetry_proto::tonic::trace::v1::status::StatusCode;
use serde_json::json;

use crate::closed::Port;
use crate::collector::Collector;
use crate::endpoint::Endpoint;
use crate::site::Layout;
use crate::site::Site;

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const CALLER: &str = "b7ad6b7169203331";

const GRACE: Duration = Duration::from_secs(10);

fn layout(otlp: Option<traces::Settings>) -> Layout {
    let defaults = Layout::default();
    Layout {
        settings: Settings {
            otlp,
            ..defaults.settings
        },
        ..defaults
    }
}

fn towards(address: SocketAddr, ratio: f64) -> traces::Settings {
    traces::Settings {
        address,
        ratio,
        ..traces::Settings::default()
    }
}

fn hex(bytes: &[u8]) -> String {
    let mut text = String::new();
    for byte in bytes {
        write!(text, "{byte:02x}").unwrap();
    }
    text
}

fn named<'a>(spans: &'a [Span], name: &str) -> Vec<&'a Span> {
    spans.iter().filter(|span| span.name == name).collect()
}

fn only<'a>(spans: &'a [Span], name: &str) -> &'a Span {
    let found = named(spans, name);
    assert_eq!(found.len(), 1, "one span is called {name}");
    found[0]
}

#[ntex::test]
async fn a_request_has_a_span_for_each_hop_and_its_endpoint_sees_the_trace() {
    let collector = Collector::start().await;
    let endpoint = Endpoint::start().await;
    let site = Site::start(Layout {
        plains: 0,
        raw: Some(endpoint.address()),
        ..layout(Some(towards(collector.address(), 0.0)))
    })
    .await;
    let parent = format!("00-{TRACE}-{CALLER}-01");
    let reply = site
        .send(Method::GET, "/app/shifts", &[("traceparent", &parent)], "")
        .await;
    assert_eq!(reply.text(), "done");
    site.entry.drain(GRACE);

    let spans = collector.spans();
    let request = only(&spans, "request");
    assert_eq!(hex(&request.parent_span_id), CALLER);
    let mut names: Vec<_> = spans.iter().map(|span| span.name.as_str()).collect();
    names.sort_unstable();
    assert_eq!(names, ["admission", "attempt", "queue", "request"]);
    for span in &spans {
        assert_eq!(hex(&span.trace_id), TRACE);
        assert!(span.start_time_unix_nano <= span.end_time_unix_nano);
        if span.name != "request" {
            assert_eq!(
                span.parent_span_id, request.span_id,
                "{} hangs on the request",
                span.name
            );
        }
    }
    let attempt = only(&spans, "attempt");
    let passed_on = format!("00-{TRACE}-{}-01", hex(&attempt.span_id));
    assert_eq!(endpoint.parents(), [Some(passed_on)]);
    assert_eq!(collector.resource("service.name").as_deref(), Some("bergamotshift"));
    assert_eq!(collector.resource("service.instance.id").as_deref(), Some("entry"));
}

#[ntex::test]
async fn a_refused_request_shows_its_admission_and_why() {
    let collector = Collector::start().await;
    let site = Site::start(layout(Some(towards(collector.address(), 1.0)))).await;
    let reply = site.send_as(Method::GET, "/app/shifts", &[], "").await;
    assert_eq!(reply.status.as_u16(), 401);
    site.entry.drain(GRACE);

    let spans = collector.spans();
    let request = only(&spans, "request");
    assert!(request.parent_span_id.is_empty(), "the trace begins here");
    assert_eq!(request.status.as_ref().unwrap().code(), StatusCode::Error);
    assert_eq!(only(&spans, "admission").parent_span_id, request.span_id);
    assert!(named(&spans, "attempt").is_empty());
}

#[ntex::test]
async fn a_stream_that_moves_has_a_span_for_the_handover() {
    // The caller sees one whole stream. An engine dies after its fifth token, and the entry has another go on. The trace
    // has both attempts, the first marked as failed, and a span for the time between them, so that an operator sees
    // where the pause in the stream came from.
    let collector = Collector::start().await;
    let site = Site::start(Layout {
        plains: 0,
        engine: engine::Settings {
            token_interval: Duration::from_millis(4),
            ..engine::Settings::default()
        },
        ..layout(Some(towards(collector.address(), 1.0)))
    })
    .await;
    let body = json!({
        "model": "tiny",
        "messages": [{"role": "user", "content": "a roster for Friday"}],
        "max_tokens": 40,
        "stream": true,
    });
    let mut open = site.open_chat(&body).await;
    open.events(5).await;
    site.busy_engine().kill();
    let (_, done) = open.rest().await.streamed();
    assert!(done);
    site.entry.drain(GRACE);

    let spans = collector.spans();
    let request = only(&spans, "request");
    let mut attempts = named(&spans, "attempt");
    attempts.sort_by_key(|span| span.start_time_unix_nano);
    assert_eq!(attempts.len(), 2);
    let handover = only(&spans, "handover");
    assert_eq!(handover.parent_span_id, request.span_id);
    assert_eq!(attempts[0].status.as_ref().unwrap().code(), StatusCode::Error);
    assert!(
        attempts[1]
            .status
            .as_ref()
            .is_none_or(|status| status.code() != StatusCode::Error)
    );
    assert!(attempts[0].start_time_unix_nano < handover.start_time_unix_nano);
    assert!(handover.start_time_unix_nano < attempts[1].start_time_unix_nano);
}

#[ntex::test]
async fn what_is_not_sampled_is_not_sent_and_says_so_to_its_endpoint() {
    let collector = Collector::start().await;
    let endpoint = Endpoint::start().await;
    let site = Site::start(Layout {
        plains: 0,
        raw: Some(endpoint.address()),
        ..layout(Some(towards(collector.address(), 0.0)))
    })
    .await;
    let parent = format!("00-{TRACE}-{CALLER}-00");
    for headers in [&[][..], &[("traceparent", parent.as_str())]] {
        site.send(Method::GET, "/app/shifts", headers, "").await;
    }
    site.entry.drain(GRACE);

    assert_eq!(collector.spans(), []);
    let parents = endpoint.parents();
    assert_eq!(parents.len(), 2);
    for passed_on in &parents {
        assert!(passed_on.as_ref().unwrap().ends_with("-00"), "{passed_on:?}");
    }
    assert!(parents[1].as_ref().unwrap().contains(TRACE));
}

#[ntex::test]
async fn without_traces_the_callers_header_passes_as_it_is() {
    let endpoint = Endpoint::start().await;
    let site = Site::start(Layout {
        plains: 0,
        raw: Some(endpoint.address()),
        ..layout(None)
    })
    .await;
    let parent = format!("00-{TRACE}-{CALLER}-01");
    site.send(Method::GET, "/app/shifts", &[("traceparent", &parent)], "")
        .await;
    site.send(Method::GET, "/app/shifts", &[], "").await;
    assert_eq!(endpoint.parents(), [Some(parent), None]);
}

#[ntex::test]
async fn a_collector_that_is_gone_costs_no_request() {
    // The caller sees nothing of it. Nothing listens at the collector's address, so each batch is lost; requests are
    // served, and the entry ends within its bounded wait for the last batch.
    let closed = Port::hold();
    let site = Site::start(layout(Some(towards(closed.address(), 1.0)))).await;
    let reply = site.send(Method::GET, "/app/shifts", &[], "").await;
    assert_eq!(reply.status.as_u16(), 200);
    assert_eq!(site.entry.drain(GRACE).cut, 0);
}

#[ntex::test]
async fn a_request_that_must_not_run_twice_has_a_span_for_its_claim() {
    let collector = Collector::start().await;
    let (table, objects) = (
        table::Server::start(table::Settings::default()).unwrap(),
        objects::Server::start(objects::Settings::default()).unwrap(),
    );
    let mut layout = Layout {
        engines: 0,
        more: "[[route]]\nservice = \"app\"\nmethod = \"POST\"\npath = \"/app/confirm\"\nrepeatable = false\n",
        ..layout(Some(towards(collector.address(), 1.0)))
    };
    layout.settings.platform.table = Some(table.address());
    layout.settings.platform.objects = Some(objects.address());
    let site = Site::start(layout).await;
    let key = [("idempotency-key", "shift-7")];
    let reply = site.send(Method::POST, "/app/confirm", &key, "yes").await;
    assert_eq!(reply.status.as_u16(), 200, "{}", reply.text());
    site.entry.drain(GRACE);

    let spans = collector.spans();
    let request = only(&spans, "request");
    let (claim, attempt) = (only(&spans, "claim"), only(&spans, "attempt"));
    assert_eq!(claim.parent_span_id, request.span_id);
    assert_eq!(attempt.parent_span_id, request.span_id);
    assert!(
        claim.end_time_unix_nano <= attempt.start_time_unix_nano,
        "the claim stands before anything is sent"
    );
}
