//! A run through an entry, with its endpoints dying under it.

use core::fmt::Write;
use core::time::Duration;
use std::sync::Arc;

use bergamotshift_config::digest::Digest;
use bergamotshift_config::folder;
use bergamotshift_core::name;
use bergamotshift_entry::Daemon;
use bergamotshift_entry::Settings;
use bergamotshift_load::fault;
use bergamotshift_load::ledger;
use bergamotshift_load::prelude::*;
use bergamotshift_standin::engine;
use bergamotshift_standin::fault::Fault;

const KEY: &str = "a long random key";

/// Engines whose ledgers are read from their handles, which outlive a kill.
#[derive(Debug)]
struct Engines(Vec<engine::Server>);

impl Engines {
    fn start(count: usize) -> Self {
        let start = |number| {
            engine::Server::start(engine::Settings {
                name: format!("engine-{number}").into(),
                token_interval: Duration::from_millis(5),
                ..Default::default()
            })
        };
        Self((0..count).map(|number| start(number).unwrap()).collect())
    }

    fn configuration(&self) -> String {
        let key = Digest::of(KEY);
        let mut text = format!(
            "[[zone]]\nname = \"zone\"\nregion = \"region\"\n[[class]]\nname = \"small\"\nprice_reclaimable = 0.1\n\
             price_on_demand = 0.3\n[[organisation]]\nname = \"acme\"\nkeys = [\"{key}\"]\n[[service]]\nname = \"llm\"\n\
             kind = \"model\"\nadapter = \"engine\"\nmodels = [\"m\"]\n"
        );
        for (number, engine) in self.0.iter().enumerate() {
            let address = engine.address();
            write!(
                text,
                "[[endpoint]]\nname = \"engine-{number}\"\nservice = \"llm\"\nzone = \"zone\"\nclass = \"small\"\n\
                 address = \"{address}\"\n"
            )
            .unwrap();
        }
        text
    }
}

impl Source for Engines {
    fn books(&self) -> Result<Vec<ledger::Book>, ledger::Error> {
        let run = |run: bergamotshift_standin::ledger::Run| ledger::Run {
            key: run.key,
            target: run.target,
            tokens: run.tokens,
            prefilled: run.prefilled,
            finished: run.finished,
            ..Default::default()
        };
        let books = self.0.iter().enumerate().map(|(number, engine)| ledger::Book {
            endpoint: format!("engine-{number}").as_str().into(),
            runs: engine.ledger().into_iter().map(run).collect(),
            complete: true,
        });
        Ok(books.collect())
    }
}

/// Kills the first engine, whatever the plan names.
impl Target for Engines {
    fn begin(&self, _action: &fault::Action) -> Result<Vec<name::Vm>, fault::Error> {
        self.0[0].fault(Fault::Down);
        Ok(Vec::new())
    }

    fn end(&self, _action: &fault::Action) -> Result<(), fault::Error> {
        Ok(())
    }
}

#[test]
fn a_dying_engine_costs_no_token() {
    // Streams run on three engines behind one entry, and one engine dies in the middle of them. The entry takes the
    // broken streams up elsewhere; a caller whose stream breaks all the same comes back with its last event's number.
    // Each caller has to end with exactly the tokens that its prompt decides.
    let engines = Arc::new(Engines::start(3));
    let config = folder::parse(&[("site.toml", engines.configuration())]).unwrap();
    let entry = Daemon::start(Settings {
        threads: 2,
        config: Some(Arc::new(config)),
        ..Default::default()
    })
    .unwrap();
    let source: Arc<dyn Source> = Arc::<Engines>::clone(&engines);
    let target: Arc<dyn Target> = Arc::<Engines>::clone(&engines);
    let report = bergamotshift_load::run(Plan {
        callers: vec![entry.callers()],
        key: KEY.into(),
        mix: vec![Share {
            kind: Kind::ChatStream,
            model: "m".into(),
            max_tokens: 40,
            ..Default::default()
        }],
        rate: 100.0,
        duration: Duration::from_secs(1),
        ledgers: Some(source),
        target: Some(target),
        faults: "[[fault]]\nat_ms = 500\naction = \"kill\"\nendpoint = \"engine-0\""
            .parse()
            .unwrap(),
        ..Default::default()
    })
    .unwrap();
    assert!(report.passed(), "{}", report.to_text());
    assert_eq!(report.totals.whole, report.totals.sent, "{}", report.to_text());
    let cut = engines.0[0].ledger().into_iter().filter(|run| !run.finished).count();
    assert!(
        cut > 0,
        "no stream was running when the engine died: {}",
        report.to_text()
    );
    assert!(report.totals.recomputed > 0, "{}", report.to_text());
}
