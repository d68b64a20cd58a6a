//! The metrics, and the operators' page about them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bergamotshift_entry::observe::Metrics;
use bergamotshift_standin::engine;
use core::time::Duration;
use ntex::http::Method;
use serde_json::json;

use crate::closed::Port;
use crate::site::Layout;
use crate::site::Site;

const PAGE: &str = include_str!("../../../docs/METRICS.md");

/// A metric's type and the names of its labels.
type Shape = (String, BTreeSet<String>);

fn ticked(text: &str) -> Vec<String> {
    text.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

fn on_the_page() -> BTreeMap<String, Shape> {
    let rows = PAGE.lines().filter(|line| line.starts_with("| `"));
    let rows = rows.map(|row| row.trim_matches('|').split('|').map(str::trim).collect::<Vec<_>>());
    let mut metrics = BTreeMap::new();
    for row in rows {
        let [name, kind, labels, meaning] = row[..] else {
            panic!("a row has four columns: {row:?}");
        };
        assert!(!meaning.is_empty(), "{name} has a meaning");
        let shape = (kind.to_owned(), ticked(labels).into_iter().collect());
        let before = metrics.insert(ticked(name).remove(0), shape);
        assert!(before.is_none(), "{name} stands once on the page");
    }
    metrics
}

fn registered() -> BTreeMap<String, Shape> {
    let metrics = Metrics::new();
    let shape = |labels: &[&str]| labels.iter().map(|&label| label.to_owned()).collect();
    let all = metrics.descriptions().iter();
    all.map(|one| (one.name.clone(), (one.kind.to_owned(), shape(one.labels))))
        .collect()
}

/// Returns the metric's name, the names of its labels and the value of a sample's line.
fn sample(line: &str) -> (&str, BTreeSet<String>, f64) {
    let (series, value) = line.rsplit_once(' ').expect("a sample has a value");
    let (name, labels) = series.split_once('{').unwrap_or((series, ""));
    let labels = labels.trim_end_matches('}').split("\",");
    let labels = labels.filter_map(|label| Some(label.split_once("=\"")?.0.to_owned()));
    let labels = labels.filter(|label| label != "le").collect();
    (name, labels, value.parse().expect("the value is a number"))
}

#[test]
fn the_page_and_the_registry_hold_the_same_metrics() {
    assert_eq!(on_the_page(), registered());
}

#[ntex::test]
async fn what_an_entry_writes_has_the_labels_of_the_page() {
    let site = Site::start(Layout::default()).await;
    site.send(Method::GET, "/app/shifts", &[], "").await;
    site.send_as(Method::GET, "/app/shifts", &[], "").await;
    let text = site.metrics().await;
    let page = on_the_page();
    let mut seen = BTreeSet::new();
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        let (name, labels, _) = sample(line);
        let base = ["_bucket", "_sum", "_count"]
            .iter()
            .find_map(|ending| name.strip_suffix(ending))
            .filter(|base| page.contains_key(*base))
            .unwrap_or(name);
        let (_, expected) = page.get(base).unwrap_or_else(|| panic!("{base} is on the page"));
        assert_eq!(&labels, expected, "{line}");
        seen.insert(base.to_owned());
    }
    // No platform is there, so nothing was asked of it.
    let missing: Vec<_> = page.keys().filter(|name| !seen.contains(*name)).collect();
    assert_eq!(missing, ["bergamotshift_platform_calls_total"]);
}

#[ntex::test]
async fn each_request_is_counted_by_how_it_ended() {
    let site = Site::start(Layout {
        engine: engine::Settings {
            token_interval: Duration::from_millis(4),
            ..engine::Settings::default()
        },
        ..Layout::default()
    })
    .await;
    let mut chat = json!({
        "model": "tiny",
        "messages": [{"role": "user", "content": "a roster for Friday"}],
        "max_tokens": 4,
    });
    site.chat(&chat).await;
    chat["stream"] = json!(true);
    site.chat(&chat).await;
    chat["max_tokens"] = json!(100_000);
    let mut open = site.open_chat(&chat).await;
    open.events(1).await;
    drop(open);
    site.until("answers_total{service=\"llm\",outcome=\"cancelled\"}", 1)
        .await;
    assert_eq!(
        site.value("answers_total{service=\"llm\",outcome=\"answered\"}").await,
        2
    );
    assert_eq!(site.value("first_token_seconds_count{service=\"llm\"}").await, 3);
    assert_eq!(site.value("answer_seconds_count{service=\"llm\"}").await, 2);
    assert_eq!(site.value("active_requests").await, 0);
}

#[ntex::test]
async fn a_large_answer_that_passes_through_counts_as_whole() {
    let mut layout = Layout {
        engines: 0,
        ..Layout::default()
    };
    layout.settings.bounds.max_buffered_answer = 16;
    let site = Site::start(layout).await;
    let reply = site.send(Method::GET, "/app/shifts", &[], "").await;
    assert!(reply.whole && reply.body.len() > 16);
    site.until("answers_total{service=\"app\",outcome=\"answered\"}", 1)
        .await;
    assert_eq!(
        site.value("answers_total{service=\"app\",outcome=\"cancelled\"}").await,
        0
    );
}

#[ntex::test]
async fn endpoints_are_counted_by_state() {
    // One of two endpoints of the service dies and the other says that it leaves. Both were live before; the next
    // answered or refused load report of each moves it, and no endpoint is counted in two states.
    let mut layout = Layout {
        engines: 0,
        ..Layout::default()
    };
    layout.settings.watch.report_interval = Duration::from_millis(20);
    let site = Site::start(layout).await;
    let state = |zone: &str, state: &str| format!("endpoints{{service=\"app\",zone=\"{zone}\",state=\"{state}\"}}");
    site.until(&state("zone-a", "live"), 1).await;
    site.plains[0].kill();
    site.plains[1].drain();
    site.until(&state("zone-a", "unreachable"), 1).await;
    site.until(&state("zone-b", "leaving"), 1).await;
    let text = site.metrics().await;
    assert_eq!(text.matches("bergamotshift_endpoints{").count(), 2, "{text}");
}

#[ntex::test]
async fn a_lost_attempt_is_counted_with_its_cause() {
    // The caller sees one whole stream. Its engine dies after the first tokens; the attempt counts as broken, the one
    // that goes on as a retry and as a resumed stream, and the request once.
    let site = Site::start(Layout {
        plains: 0,
        engine: engine::Settings {
            token_interval: Duration::from_millis(4),
            ..engine::Settings::default()
        },
        ..Layout::default()
    })
    .await;
    let chat = json!({
        "model": "tiny",
        "messages": [{"role": "user", "content": "a roster for Friday"}],
        "max_tokens": 40,
        "stream": true,
    });
    let mut open = site.open_chat(&chat).await;
    open.events(5).await;
    site.busy_engine().kill();
    assert!(open.rest().await.whole);
    let expected = [
        ("requests_total{service=\"llm\"}", 1),
        ("attempts_total{service=\"llm\"}", 2),
        ("broken_attempts_total{service=\"llm\"}", 1),
        ("retries_total{service=\"llm\",cause=\"broken\"}", 1),
        ("retries_total{service=\"llm\",cause=\"refused\"}", 0),
        ("resumed_streams_total{service=\"llm\"}", 1),
        ("answers_total{service=\"llm\",outcome=\"answered\"}", 1),
    ];
    site.until(expected[6].0, 1).await;
    for (series, value) in expected {
        assert_eq!(site.value(series).await, value, "{series}");
    }
}

#[ntex::test]
async fn calls_of_a_platform_that_is_down_are_counted() {
    let closed = Port::hold();
    let mut layout = Layout::default();
    layout.settings.platform.vms = Some(closed.address());
    let site = Site::start(layout).await;
    site.until("platform_calls_total{part=\"vms\",call=\"list\",result=\"refused\"}", 1)
        .await;
}
