//! What an entry logs, and what it does not.

use core::fmt;
use core::fmt::Write;
use core::time::Duration;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use bergamotshift_entry::Settings;
use bergamotshift_standin::fault::Fault;
use bergamotshift_standin::vms;
use ntex::http::Method;
use serde_json::json;
use slog::Drain;
use slog::KV;
use slog::Level;
use slog::Logger;
use slog::OwnedKVList;
use slog::Record;
use slog::o;

use crate::site::Layout;
use crate::site::Site;

/// How long a test waits for a record before it fails.
const LONGEST_WAIT: Duration = Duration::from_mins(1);

/// Keeps log records: the level, the message and the pairs.
#[derive(Clone, Debug, Default)]
struct Journal(Arc<Mutex<Vec<(Level, String)>>>);

/// The pairs by key, since their order in a record says nothing.
#[derive(Default)]
struct Pairs(BTreeMap<slog::Key, String>);

impl slog::Serializer for Pairs {
    fn emit_arguments(&mut self, key: slog::Key, val: &fmt::Arguments<'_>) -> slog::Result {
        self.0.insert(key, val.to_string());
        Ok(())
    }
}

impl Drain for Journal {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _values: &OwnedKVList) -> Result<(), slog::Never> {
        let mut text = record.msg().to_string();
        let mut pairs = Pairs::default();
        record.kv().serialize(record, &mut pairs).unwrap();
        for (key, value) in pairs.0 {
            write!(text, " {key}={value}").unwrap();
        }
        self.0.lock().unwrap().push((record.level(), text));
        Ok(())
    }
}

impl Journal {
    fn settings(&self) -> Settings {
        Settings {
            logger: Logger::root(self.clone(), o!()),
            ..Layout::default().settings
        }
    }

    /// Returns the records above debug level.
    fn records(&self) -> Vec<(Level, String)> {
        let all = self.0.lock().unwrap();
        let loud = all.iter().filter(|(level, _)| level.is_at_least(Level::Info));
        loud.cloned().collect()
    }

    fn count(&self, level: Level, start: &str) -> usize {
        let records = self.records();
        let found = records
            .iter()
            .filter(|(of, text)| *of == level && text.starts_with(start));
        found.count()
    }

    async fn until(&self, level: Level, start: &str) {
        self.until_either(level, [start, start]).await;
    }

    /// Waits for a record that starts in one of two ways.
    async fn until_either(&self, level: Level, starts: [&str; 2]) {
        let wait = async {
            while starts.iter().all(|start| self.count(level, start) == 0) {
                tokio::task::yield_now().await;
            }
        };
        // The bound only turns a wait that never ends into a failure that shows what was logged.
        let waited = tokio::time::timeout(LONGEST_WAIT, wait).await;
        assert!(waited.is_ok(), "none of {starts:?} in {:?}", self.records());
    }
}

#[ntex::test]
async fn requests_leave_no_record_and_a_drain_does() {
    let journal = Journal::default();
    let site = Site::start(Layout {
        settings: journal.settings(),
        ..Layout::default()
    })
    .await;
    for _ in 0..20 {
        site.send(Method::GET, "/app/shifts", &[], "").await;
        site.send_as(Method::GET, "/app/shifts", &[], "").await;
    }
    assert_eq!(journal.records(), []);
    site.entry.drain(Duration::from_secs(10));
    assert_eq!(journal.count(Level::Info, "draining active=0"), 1);
    assert_eq!(journal.count(Level::Info, "drained cut=0"), 1);
}

#[ntex::test]
async fn an_endpoint_that_dies_leaves_or_is_back_is_logged_once_with_its_place() {
    // One endpoint dies and another says that it leaves. Each load report after that says the same again; the log has
    // one record of each, and one more when the dead one is back.
    let journal = Journal::default();
    let mut settings = journal.settings();
    settings.watch.report_interval = Duration::from_millis(20);
    let site = Site::start(Layout {
        engines: 0,
        settings,
        ..Layout::default()
    })
    .await;
    site.plains[0].kill();
    site.plains[1].drain();
    // Which of the two is logged depends on whether a load report was under way at the endpoint's end.
    let dead = "endpoint cannot be reached incarnation=0 service=app vm=plain-0 zone=zone-a";
    let silent = "endpoint does not answer incarnation=0 service=app vm=plain-0 zone=zone-a";
    let leaving = "endpoint says that it leaves incarnation=0 service=app vm=plain-1 zone=zone-b";
    let back = "endpoint is reached again incarnation=0 service=app vm=plain-0";
    journal.until_either(Level::Warning, [dead, silent]).await;
    journal.until(Level::Info, leaving).await;
    site.plains[0].restart();
    journal.until(Level::Info, back).await;
    assert_eq!(journal.records().len(), 3, "{:?}", journal.records());
}

#[ntex::test]
async fn a_request_that_is_quarantined_is_logged_with_its_fingerprint() {
    let journal = Journal::default();
    let site = Site::start(Layout {
        engines: 5,
        plains: 0,
        settings: journal.settings(),
        ..Layout::default()
    })
    .await;
    for engine in &site.engines {
        engine.fault(Fault::CrashOn {
            marker: "poison".to_owned(),
        });
    }
    let poison = json!({"model": "tiny", "messages": [{"role": "user", "content": "poison"}]});
    site.chat(&poison).await;
    assert_eq!(
        journal.count(Level::Warning, "request is suspected of killing its endpoint"),
        1
    );
    assert_eq!(journal.count(Level::Warning, "request is quarantined"), 1);
    let records = journal.records();
    let fingerprint = |text: &str| {
        let word = text.split(' ').find_map(|word| word.strip_prefix("fingerprint="));
        word.expect("the record names it").to_owned()
    };
    let named: Vec<_> = records
        .iter()
        .filter(|(_, text)| text.starts_with("request"))
        .map(|(_, text)| fingerprint(text))
        .collect();
    assert_eq!(named[0], named[1]);
    assert_eq!(named[0].len(), 32);
}

#[ntex::test]
async fn an_outage_of_the_platform_makes_two_records_for_each_call() {
    // The VM list and the notices are down for many readings. The first one that fails is logged and so is the first
    // that succeeds again; what lies between says nothing new.
    let journal = Journal::default();
    let vms = vms::Server::start(vms::Settings::default()).unwrap();
    let mut settings = journal.settings();
    settings.platform.vms = Some(vms.address());
    settings.watch.list_interval = Duration::from_millis(5);
    settings.watch.notice_interval = Duration::from_millis(5);
    let site = Site::start(Layout {
        settings,
        ..Layout::default()
    })
    .await;
    let call =
        |call: &str, result: &str| format!("platform_calls_total{{part=\"vms\",call=\"{call}\",result=\"{result}\"}}");
    let calls = ["list", "notices"];
    for name in calls {
        site.until(&call(name, "ok"), 1).await;
    }
    vms.kill();
    for name in calls {
        site.until(&call(name, "refused"), 5).await;
    }
    vms.restart();
    for name in calls {
        let back = format!("the platform answers again call={name} part=vms");
        journal.until(Level::Info, &back).await;
        let lost = format!("the platform does not answer call={name} part=vms");
        assert_eq!(journal.count(Level::Warning, &lost), 1);
    }
    assert_eq!(journal.records().len(), 4, "{:?}", journal.records());
}
