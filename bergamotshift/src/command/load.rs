//! `bergamotshift load`: open-loop load against entries on this machine.

use core::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use gumdrop::Options;
use smol_str::SmolStr;

use super::replay;
use crate::core::name;
use crate::environment::Field;
use crate::environment::Fields;
use crate::error::Error;
use crate::load;
use crate::load::arrival::Process;
use crate::load::plan::Share;
use crate::load::work::Kind;
use crate::setting;

/// Arguments of `load`.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct Arguments {
    /// Whether the usage text is wanted.
    #[options(help = "print this text")]
    pub help: bool,
    /// Where the entries take callers.
    #[options(
        no_short,
        meta = "IP:PORT,…",
        help = "the entries' addresses for callers; loopback only"
    )]
    pub callers: Option<String>,
    /// The bearer key.
    #[options(no_short, meta = "KEY", help = "the bearer key that goes with each request")]
    pub key: Option<String>,
    /// What is asked.
    #[options(
        no_short,
        meta = "KIND=WEIGHT,…",
        help = "the mix, such as get=8,once=2,chat-stream=1 (default get=1)"
    )]
    pub mix: Option<String>,
    /// The model that is asked.
    #[options(no_short, meta = "MODEL", help = "the model that model kinds ask")]
    pub model: Option<String>,
    /// The path of plain requests.
    #[options(no_short, meta = "PATH", help = "the path of get and post (default /)")]
    pub path: Option<String>,
    /// The path of non-repeatable requests.
    #[options(no_short, meta = "PATH", help = "the path of once")]
    pub once_path: Option<String>,
    /// Tokens of model answers.
    #[options(no_short, meta = "COUNT", help = "tokens asked of a model (default 32)")]
    pub tokens: Option<String>,
    /// Requests per second.
    #[options(no_short, meta = "NUMBER", help = "mean requests per second (default 50)")]
    pub rate: Option<String>,
    /// How arrivals are spread.
    #[options(
        no_short,
        meta = "PROCESS",
        help = "constant, poisson or bursts:SIZE (default constant)"
    )]
    pub arrival: Option<String>,
    /// How long requests are started.
    #[options(no_short, meta = "TIME", help = "how long requests are started (default 10s)")]
    pub duration: Option<String>,
    /// Requests in flight at most.
    #[options(no_short, meta = "COUNT", help = "requests in flight at most (default 2000)")]
    pub concurrency: Option<String>,
    /// Threads that send.
    #[options(no_short, meta = "COUNT", help = "threads that send (default 2)")]
    pub threads: Option<String>,
    /// Seeds the run.
    #[options(no_short, meta = "NUMBER", help = "seeds arrivals, mix and prompts (default 1)")]
    pub seed: Option<String>,
    /// Plain endpoints that are called directly.
    #[options(
        no_short,
        meta = "IP:PORT,…",
        help = "plain endpoints also called directly, for the added latency"
    )]
    pub direct: Option<String>,
    /// Endpoints whose ledgers are checked.
    #[options(
        no_short,
        meta = "NAME@ZONE=IP:PORT,…",
        help = "stand-ins whose ledgers are checked afterwards"
    )]
    pub endpoints: Option<String>,
    /// The faults.
    #[options(
        no_short,
        meta = "FILE",
        help = "a plan of faults (TOML), ordered from the stand-ins in --endpoints"
    )]
    pub faults: Option<String>,
    /// The load that is replayed.
    #[options(
        no_short,
        meta = "LOAD",
        help = "replay this load in virtual time with every policy; sends nothing"
    )]
    pub replay: Option<String>,
    /// The fault of a replay.
    #[options(no_short, meta = "FAULT", help = "the fault that a replay meets (default calm)")]
    pub fault: Option<String>,
    /// Where the JSON report goes.
    #[options(no_short, meta = "FILE", help = "write the report as JSON")]
    pub json: Option<String>,
    /// Where the HTML report goes.
    #[options(no_short, meta = "FILE", help = "write the report as one HTML page")]
    pub html: Option<String>,
}

impl Fields for Arguments {
    fn fields(&mut self) -> Vec<Field<'_>> {
        vec![
            ("callers", &mut self.callers),
            ("key", &mut self.key),
            ("mix", &mut self.mix),
            ("model", &mut self.model),
            ("path", &mut self.path),
            ("once-path", &mut self.once_path),
            ("tokens", &mut self.tokens),
            ("rate", &mut self.rate),
            ("arrival", &mut self.arrival),
            ("duration", &mut self.duration),
            ("concurrency", &mut self.concurrency),
            ("threads", &mut self.threads),
            ("seed", &mut self.seed),
            ("direct", &mut self.direct),
            ("endpoints", &mut self.endpoints),
            ("faults", &mut self.faults),
            ("replay", &mut self.replay),
            ("fault", &mut self.fault),
            ("json", &mut self.json),
            ("html", &mut self.html),
        ]
    }
}

impl Arguments {
    /// Checks every setting.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is wrong or missing, or why the fault plan can't be read.
    pub fn plan(&self) -> Result<load::Plan, Error> {
        let defaults = load::Plan::default();
        let endpoints = self.endpoints()?;
        let plan = load::Plan {
            callers: setting::list("callers", self.callers.as_deref())?,
            key: setting::or("key", self.key.as_deref(), defaults.key.clone())?,
            mix: self.mix()?,
            rate: setting::or("rate", self.rate.as_deref(), defaults.rate)?,
            arrival: arrival(self.arrival.as_deref())?,
            duration: setting::duration("duration", self.duration.as_deref(), defaults.duration)?,
            concurrency: setting::or("concurrency", self.concurrency.as_deref(), defaults.concurrency)?,
            threads: setting::or("threads", self.threads.as_deref(), defaults.threads)?,
            seed: setting::or("seed", self.seed.as_deref(), defaults.seed)?,
            direct: setting::list("direct", self.direct.as_deref())?,
            target: Some(std::sync::Arc::new(load::fault::Remote::new(
                endpoints.clone(),
                Vec::new(),
            ))),
            endpoints,
            faults: self.faults()?,
            progress: true,
            ..defaults
        };
        Ok(plan)
    }

    fn mix(&self) -> Result<Vec<Share>, setting::Error> {
        let text = self.mix.as_deref().unwrap_or("get=1");
        let path: SmolStr = setting::or("path", self.path.as_deref(), SmolStr::new_static("/"))?;
        let once_path = setting::or("once-path", self.once_path.as_deref(), path.clone())?;
        let model = self.model.as_deref().map(name::Model::new).unwrap_or_default();
        let defaults = Share::default();
        let max_tokens = setting::or("tokens", self.tokens.as_deref(), defaults.max_tokens)?;
        let mut shares = Vec::new();
        for item in text.split(',').map(str::trim) {
            let (kind, weight) = weighted(item).ok_or_else(|| setting::wrong("mix", item, &"expected KIND=WEIGHT"))?;
            let once = kind == Kind::Once;
            shares.push(Share {
                kind,
                weight,
                model: model.clone(),
                path: if once { once_path.clone() } else { path.clone() },
                sends: if once { 2 } else { 1 },
                max_tokens,
                ..defaults.clone()
            });
        }
        Ok(shares)
    }

    fn endpoints(&self) -> Result<Vec<load::plan::Endpoint>, setting::Error> {
        let items = self
            .endpoints
            .as_deref()
            .unwrap_or_default()
            .split(',')
            .filter(|item| !item.is_empty());
        items
            .map(|item| endpoint(item).ok_or_else(|| setting::wrong("endpoints", item, &"expected NAME@ZONE=IP:PORT")))
            .collect()
    }

    fn faults(&self) -> Result<load::fault::Schedule, Error> {
        let Some(path) = &self.faults else {
            return Ok(load::fault::Schedule::default());
        };
        let text = std::fs::read_to_string(path).map_err(|error| setting::wrong("faults", path, &error))?;
        Ok(setting::or("faults", Some(&text), load::fault::Schedule::default())?)
    }
}

/// Runs the load and checks the promises.
///
/// # Errors
///
/// Returns a wrong setting, or that a promise was broken.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    if let Some(load) = &arguments.replay {
        let seed = setting::or("seed", arguments.seed.as_deref(), 1)?;
        return replay::run(load, arguments.fault.as_deref(), seed);
    }
    let json: Option<PathBuf> = setting::optional("json", arguments.json.as_deref())?;
    let html: Option<PathBuf> = setting::optional("html", arguments.html.as_deref())?;
    let report = load::run(arguments.plan()?).map_err(|error| Error::failed(&error))?;
    println!("{}", report.to_text());
    if let Some(path) = json {
        write(&path, &report.to_json().map_err(|error| Error::failed(&error))?)?;
    }
    if let Some(path) = html {
        write(&path, &report.to_html().map_err(|error| Error::failed(&error))?)?;
    }
    if report.passed() {
        return Ok(());
    }
    Err(Error::Failed("a promise was broken; the report names it".to_owned()))
}

fn write(path: &Path, text: &str) -> Result<(), Error> {
    std::fs::write(path, text).map_err(|error| Error::Failed(format!("{}: {error}", path.display())))
}

fn weighted(item: &str) -> Option<(Kind, u32)> {
    let (name, weight) = item.split_once('=')?;
    let kind = Kind::ALL.into_iter().find(|kind| kind.as_str() == name)?;
    Some((kind, weight.parse().ok()?))
}

fn endpoint(item: &str) -> Option<load::plan::Endpoint> {
    let (place, address) = item.split_once('=')?;
    let (vm, zone) = place.split_once('@')?;
    let address: SocketAddr = address.parse().ok()?;
    let service = name::Service::default();
    Some(load::plan::Endpoint {
        name: name::Vm::new(vm),
        service,
        zone: name::Zone::new(zone),
        address,
    })
}

fn arrival(text: Option<&str>) -> Result<Process, setting::Error> {
    let Some(text) = text else {
        return Ok(Process::default());
    };
    let size = |text: &str| text.strip_prefix("bursts:").and_then(|size| size.parse().ok());
    match text {
        "constant" => Ok(Process::Constant),
        "poisson" => Ok(Process::Poisson),
        _ => match size(text) {
            Some(size) => Ok(Process::Bursts { size }),
            None => Err(setting::wrong(
                "arrival",
                text,
                &"expected constant, poisson or bursts:SIZE",
            )),
        },
    }
}
