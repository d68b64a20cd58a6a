//! `bergamotshift demo`: a whole deployment on loopback.

use core::time::Duration;
use std::path::Path;
use std::sync::Arc;

use gumdrop::Options;
use smol_str::SmolStr;

use crate::config::config::Config;
use crate::config::config::Kind;
use crate::config::config::Service;
use crate::demo;
use crate::demo::Site;
use crate::demo::folder;
use crate::environment::Field;
use crate::environment::Fields;
use crate::error::Error;
use crate::load;
use crate::load::fault;
use crate::load::plan::Share;
use crate::load::work;
use crate::log;
use crate::setting;
use crate::stop;

/// Requests per second of `--once`.
const RATE: f64 = 120.0;

/// How long `--once` starts requests.
const SPAN: Duration = Duration::from_secs(12);

/// Tokens of most answers.
const SHORT_ANSWER: u32 = 50;

/// Tokens of answers that outlast the notice, so that their streams have to move.
const LONG_ANSWER: u32 = 400;

/// The notice that the platform gives before it takes a zone back.
const NOTICE: Duration = Duration::from_secs(5);

/// Arguments of `demo`.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct Arguments {
    /// Whether the usage text is wanted.
    #[options(help = "print this text")]
    pub help: bool,
    /// Whether a load is run and checked, rather than waiting for Ctrl-C.
    #[options(
        no_short,
        help = "send a mixed load, reclaim a zone in the middle, check the promises and leave"
    )]
    pub once: bool,
    /// The operators' folder.
    #[options(no_short, meta = "DIR", help = "the folder to run (default: the built-in example)")]
    pub config: Option<String>,
    /// How many zones of the folder are used.
    #[options(
        no_short,
        meta = "COUNT",
        help = "availability zones of the folder that are used (default 2)"
    )]
    pub zones: Option<String>,
    /// Entries in each zone.
    #[options(no_short, meta = "COUNT", help = "entries in each availability zone (default 2)")]
    pub entries: Option<String>,
    /// Requests per second of `--once`.
    #[options(no_short, meta = "NUMBER", help = "requests per second of --once (default 120)")]
    pub rate: Option<String>,
    /// Seeds the load of `--once`.
    #[options(no_short, meta = "NUMBER", help = "seeds the load of --once (default 1)")]
    pub seed: Option<String>,
    /// The least severe level that is logged.
    #[options(
        no_short,
        meta = "LEVEL",
        help = "error, warning, info, debug or trace (default error)"
    )]
    pub log_level: Option<String>,
}

impl Fields for Arguments {
    fn fields(&mut self) -> Vec<Field<'_>> {
        vec![
            ("config", &mut self.config),
            ("zones", &mut self.zones),
            ("entries", &mut self.entries),
            ("rate", &mut self.rate),
            ("seed", &mut self.seed),
            ("log-level", &mut self.log_level),
        ]
    }
}

/// Runs the demo until Ctrl-C, or once.
///
/// # Errors
///
/// Returns a wrong setting, what couldn't start, or with `--once` that a promise was broken.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    let config = folder::read(arguments.config.as_deref().map(Path::new)).map_err(|error| Error::failed(&error))?;
    let threshold = setting::or(
        "log-level",
        arguments.log_level.as_deref(),
        log::Threshold(slog::Level::Error),
    )?;
    let defaults = demo::site::Settings::default();
    let settings = demo::site::Settings {
        config: config.clone(),
        zones: setting::or("zones", arguments.zones.as_deref(), defaults.zones)?,
        entries: setting::or("entries", arguments.entries.as_deref(), defaults.entries)?,
        logger: log::logger(log::Target::Errors, log::Form::Auto, threshold),
        ..defaults
    };
    let rate = setting::or("rate", arguments.rate.as_deref(), RATE)?;
    let seed = setting::or("seed", arguments.seed.as_deref(), 1)?;
    let stop = stop::Signal::register().map_err(|error| Error::failed(&error))?;
    let site = Arc::new(Site::start(settings).map_err(|error| Error::failed(&error))?);
    for address in site.callers() {
        println!("callers: http://{address}");
    }
    for address in site.operators() {
        println!("operators: http://{address}");
    }
    println!("key: {}", site.key());
    let platform = site.platform();
    println!("vms: {}", platform.vms.address());
    println!("table: {}", platform.table.address());
    println!("objects: {}", platform.objects.address());
    if arguments.once {
        return once(&site, &config, rate, seed);
    }
    stop.wait();
    Ok(())
}

fn once(site: &Arc<Site>, config: &Config, rate: f64, seed: u64) -> Result<(), Error> {
    let plan = load::Plan {
        callers: site.callers(),
        key: site.key().clone(),
        mix: mix(config),
        rate,
        duration: SPAN,
        seed,
        endpoints: endpoints(site),
        ledgers: Some(Arc::<Site>::clone(site)),
        direct: plain_addresses(site),
        faults: reclaim_in_the_middle(site),
        target: Some(Arc::<Site>::clone(site)),
        progress: true,
        ..load::Plan::default()
    };
    let report = load::run(plan).map_err(|error| Error::failed(&error))?;
    println!("{}", report.to_brief());
    if report.passed() {
        return Ok(());
    }
    Err(Error::Failed(
        "a promise was broken; the lines above name it".to_owned(),
    ))
}

/// Returns one share of each kind of request that the folder's services take.
fn mix(config: &Config) -> Vec<Share> {
    let mut shares = Vec::new();
    for service in config.services.values() {
        match service.kind {
            Kind::Model => shares.extend(model_shares(service)),
            Kind::Plain => shares.extend(plain_shares(config, service)),
        }
    }
    shares
}

fn model_shares(service: &Service) -> Vec<Share> {
    let Some(model) = service.models.first() else {
        return Vec::new();
    };
    let share = |kind, weight| Share {
        kind,
        weight,
        model: model.clone(),
        max_tokens: SHORT_ANSWER,
        ..Share::default()
    };
    let long = Share {
        max_tokens: LONG_ANSWER,
        ..share(work::Kind::ChatStream, 1)
    };
    let mut shares = vec![
        long,
        share(work::Kind::ChatStream, 4),
        share(work::Kind::CompletionStream, 2),
        share(work::Kind::Chat, 2),
        share(work::Kind::Completion, 1),
    ];
    if service.deferrable {
        shares.push(share(work::Kind::Job, 1));
    }
    shares
}

fn plain_shares(config: &Config, service: &Service) -> Vec<Share> {
    let prefix = service.path.clone().unwrap_or_else(|| SmolStr::new_static("/"));
    let path = |rest: &str| SmolStr::new(format!("{}/{rest}", prefix.trim_end_matches('/')));
    let share = |kind, weight, path| Share {
        kind,
        weight,
        path,
        ..Share::default()
    };
    let mut shares = vec![share(work::Kind::Get, 8, path("status"))];
    let guarded = config
        .routes
        .iter()
        .find(|route| route.service == service.name && route.repeatable == Some(false));
    if let Some(route) = guarded {
        shares.push(Share {
            sends: 2,
            ..share(work::Kind::Once, 4, route.path.clone())
        });
    }
    shares
}

fn endpoints(site: &Site) -> Vec<load::plan::Endpoint> {
    let endpoint = |worker: &demo::worker::Worker| load::plan::Endpoint {
        name: worker.listing.name.clone(),
        service: worker.service.clone(),
        zone: worker.listing.zone.clone(),
        address: worker.server.address(),
    };
    site.workers().iter().map(endpoint).collect()
}

/// Returns the plain endpoints that stay, which are also called directly for comparison.
fn plain_addresses(site: &Site) -> Vec<core::net::SocketAddr> {
    let stays = |worker: &&demo::worker::Worker| Some(&worker.listing.zone) != site.zones().last();
    let plain = |worker: &&demo::worker::Worker| matches!(worker.server, demo::worker::Server::Plain(_));
    let chosen = site.workers().iter().filter(stays).filter(plain);
    chosen.map(|worker| worker.server.address()).collect()
}

/// Announces the loss of the last zone, with its entries, while the load runs.
fn reclaim_in_the_middle(site: &Site) -> fault::Schedule {
    let Some(zone) = site.zones().last() else {
        return fault::Schedule::default();
    };
    let action = fault::Action::Reclaim {
        place: fault::Place::Zone(zone.clone()),
        notice: NOTICE,
    };
    fault::Schedule::new(vec![fault::Step { at: SPAN / 3, action }])
}
