//! A complete entry that runs the capacity duty because a cloud is configured.

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;

use bergamotshift_capacity::demand;
use bergamotshift_capacity::policy;
use bergamotshift_config::digest::Digest;
use bergamotshift_config::folder;
use bergamotshift_entry::Daemon;
use bergamotshift_entry::Settings;
use bergamotshift_entry::duties;
use bergamotshift_entry::settings::Platform;
use bergamotshift_standin::cloud;
use bergamotshift_standin::engine;
use bergamotshift_standin::table;
use bergamotshift_standin::vms;
use ntex::client::Client;
use tokio::sync::mpsc;

const KEY: &str = "a long random key of acme";

fn configuration(engine: SocketAddr) -> String {
    let key = Digest::of(KEY);
    format!(
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
keys = ["{key}"]

[[service]]
name = "llm"
kind = "model"
adapter = "engine"
models = ["tiny"]

[[endpoint]]
name = "engine-1"
service = "llm"
zone = "zone-a"
class = "small"
address = "{engine}"
"#
    )
}

#[ntex::test]
async fn an_entry_with_a_cloud_buys_what_its_callers_need() {
    // One engine serves in one zone, so that the loss of this zone would leave no capacity. Once callers send requests,
    // the only entry has to take the duty and buy a VM in the other zone.
    const REQUESTS: usize = 2_000;
    let (sender, mut started) = mpsc::unbounded_channel();
    let on_event = move |event| drop(sender.send(event));
    let cloud = cloud::Server::start(cloud::Settings::default(), on_event).unwrap();
    let table = table::Server::start(table::Settings::default()).unwrap();
    let vms = vms::Server::start(vms::Settings::default()).unwrap();
    let engine = engine::Server::start(engine::Settings::default()).unwrap();
    let config = folder::parse(&[("site.toml", configuration(engine.address()))]);
    let config = config.unwrap_or_else(|error| panic!("{error}"));
    let instant = demand::Settings {
        window: Duration::from_millis(100),
        confirm_time: Duration::ZERO,
        ..demand::Settings::default()
    };
    let entry = Daemon::start(Settings {
        threads: 1,
        config: Some(Arc::new(config)),
        platform: Platform {
            vms: Some(vms.address()),
            table: Some(table.address()),
            cloud: Some(cloud.address()),
            ..Platform::default()
        },
        duties: duties::Settings {
            duty: bergamotshift_capacity::duty::Settings {
                max_list_lag: Duration::ZERO,
                ..bergamotshift_capacity::duty::Settings::default()
            },
            policy: policy::Settings {
                damping: instant,
                ..policy::Settings::default()
            },
            tick_interval: Duration::from_millis(50),
            ..duties::Settings::default()
        },
        ..Settings::default()
    });
    let entry = entry.unwrap();
    let client = Client::builder().build(ntex::SharedCfg::default()).await.unwrap();
    let body = r#"{"model": "tiny", "messages": [{"role": "user", "content": "hello"}], "max_tokens": 5}"#;
    let mut bought = None;
    for _ in 0..REQUESTS {
        let request = client.post(format!("http://{}/v1/chat/completions", entry.callers()));
        let request = request.set_header("authorization", format!("Bearer {KEY}"));
        let reply = request.send_body(body).await.unwrap();
        assert!(reply.status().is_success());
        drop(reply.body().await.unwrap());
        bought = started.try_recv().ok();
        if bought.is_some() {
            break;
        }
    }
    let Some(cloud::Event::Started(spec)) = bought else {
        panic!("nothing was bought: {bought:?}");
    };
    assert!(spec.name.as_str().starts_with("llm-1-"), "{spec:?}");
    entry.drain(Duration::from_secs(1));
    entry.join();
}
