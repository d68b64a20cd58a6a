//! `bergamotshift entry`: the daemon.

use core::fmt::Display;
use core::net::SocketAddr;
use core::time::Duration;
use std::path::PathBuf;
use std::sync::Arc;

use gumdrop::Options;
use slog::info;
use slog::warn;

use crate::core::name;
use crate::endpoint::client;
use crate::entry::Daemon;
use crate::entry::Settings;
use crate::entry::peers;
use crate::entry::settings::Platform;
use crate::entry::settings::traces;
use crate::entry::tls;
use crate::environment::Field;
use crate::environment::Fields;
use crate::error::Error;
use crate::link::identity;
use crate::link::identity::Identity;
use crate::log;
use crate::setting;
use crate::stop;

/// How long requests in flight may go on after a planned stop began.
const GRACE: Duration = Duration::from_secs(30);

/// Where other entries connect.
const PEERS: &str = "peers";

/// The entries that are asked first.
const SEEDS: &str = "seeds";

/// The certificate that other entries meet.
const PEER_CERTIFICATE: &str = "peer-certificate";

/// That certificate's private key.
const PEER_KEY: &str = "peer-key";

/// The private authority of all entries' certificates.
const PEER_AUTHORITY: &str = "peer-authority";

/// Arguments of `entry`.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct Arguments {
    /// Whether the usage text is wanted.
    #[options(help = "print this text")]
    pub help: bool,
    /// The entry's name.
    #[options(no_short, meta = "NAME", help = "this entry's name, unlike any other entry's")]
    pub name: Option<String>,
    /// The availability zone.
    #[options(no_short, meta = "ZONE", help = "the availability zone that this VM stands in")]
    pub zone: Option<String>,
    /// Where callers connect.
    #[options(no_short, meta = "IP:PORT", help = "where callers connect")]
    pub callers: Option<String>,
    /// Where operators connect.
    #[options(no_short, meta = "IP:PORT", help = "where operators connect: status, metrics")]
    pub operators: Option<String>,
    /// The certificate that callers meet.
    #[options(
        no_short,
        meta = "PEM",
        help = "callers' TLS: a file with the certificate and those up to its authority, or the PEM text itself"
    )]
    pub tls_certificate: Option<String>,
    /// The certificate's private key.
    #[options(
        no_short,
        meta = "PEM",
        help = "callers' TLS: a file with the private key, or the PEM text itself (in the variable alone)"
    )]
    pub tls_key: Option<String>,
    /// The authorities of endpoints' certificates.
    #[options(
        no_short,
        meta = "PEM",
        help = "speak TLS to endpoints and trust these authorities alone: a file, or the PEM text itself"
    )]
    pub endpoint_roots: Option<String>,
    /// Where other entries connect.
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "where other entries connect; without it the entry stands alone"
    )]
    pub peers: Option<String>,
    /// The entries that are asked first.
    #[options(
        no_short,
        meta = "IP:PORT,…",
        help = "entries that are asked first; the same list fits all"
    )]
    pub seeds: Option<String>,
    /// The certificate that other entries meet.
    #[options(
        no_short,
        meta = "PEM",
        help = "between entries: a file with the certificate and those up to its authority, or the PEM text itself"
    )]
    pub peer_certificate: Option<String>,
    /// That certificate's private key.
    #[options(
        no_short,
        meta = "PEM",
        help = "between entries: a file with the private key, or the PEM text itself (in the variable alone)"
    )]
    pub peer_key: Option<String>,
    /// The private authority of all entries' certificates.
    #[options(
        no_short,
        meta = "PEM",
        help = "between entries: trust the certificates of this authority alone: a file, or the PEM text itself"
    )]
    pub peer_authority: Option<String>,
    /// Threads that serve callers.
    #[options(no_short, meta = "COUNT", help = "threads that serve callers (default 4)")]
    pub threads: Option<String>,
    /// The operators' folder.
    #[options(
        no_short,
        meta = "DIR",
        help = "the operators' folder, for sites without a table service"
    )]
    pub folder: Option<String>,
    /// The platform's VM list.
    #[options(no_short, meta = "IP:PORT", help = "the platform's VM list")]
    pub vms: Option<String>,
    /// The platform's table service.
    #[options(no_short, meta = "IP:PORT", help = "the platform's table service")]
    pub table: Option<String>,
    /// The platform's object store.
    #[options(no_short, meta = "IP:PORT", help = "the platform's object store")]
    pub objects: Option<String>,
    /// The platform's cloud API.
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "the platform's cloud API; turns control duties on"
    )]
    pub cloud: Option<String>,
    /// The platform's weight store.
    #[options(no_short, meta = "IP:PORT", help = "the platform's weight store")]
    pub weights: Option<String>,
    /// The routing policy.
    #[options(no_short, meta = "NAME", help = "the routing policy")]
    pub policy: Option<String>,
    /// The collector of traces.
    #[options(no_short, meta = "IP:PORT", help = "the collector of traces (OTLP over HTTP)")]
    pub otlp: Option<String>,
    /// The share of traces kept.
    #[options(
        no_short,
        meta = "NUMBER",
        help = "the share of new traces that are kept, from 0 to 1 (default 1)"
    )]
    pub otlp_ratio: Option<String>,
    /// How long requests may go on after a stop began.
    #[options(
        no_short,
        meta = "TIME",
        help = "how long requests may go on after a stop began (default 30s)"
    )]
    pub grace: Option<String>,
    /// The least severe level that is logged.
    #[options(
        no_short,
        meta = "LEVEL",
        help = "error, warning, info, debug or trace (default info)"
    )]
    pub log_level: Option<String>,
    /// The form of log records.
    #[options(
        no_short,
        meta = "FORM",
        help = "auto, text or json (default auto: text on a terminal)"
    )]
    pub log_format: Option<String>,
}

impl Fields for Arguments {
    fn fields(&mut self) -> Vec<Field<'_>> {
        vec![
            ("name", &mut self.name),
            ("zone", &mut self.zone),
            ("callers", &mut self.callers),
            ("operators", &mut self.operators),
            ("tls-certificate", &mut self.tls_certificate),
            ("tls-key", &mut self.tls_key),
            ("endpoint-roots", &mut self.endpoint_roots),
            (PEERS, &mut self.peers),
            (SEEDS, &mut self.seeds),
            (PEER_CERTIFICATE, &mut self.peer_certificate),
            (PEER_KEY, &mut self.peer_key),
            (PEER_AUTHORITY, &mut self.peer_authority),
            ("threads", &mut self.threads),
            ("folder", &mut self.folder),
            ("vms", &mut self.vms),
            ("table", &mut self.table),
            ("objects", &mut self.objects),
            ("cloud", &mut self.cloud),
            ("weights", &mut self.weights),
            ("policy", &mut self.policy),
            ("otlp", &mut self.otlp),
            ("otlp-ratio", &mut self.otlp_ratio),
            ("grace", &mut self.grace),
            ("log-level", &mut self.log_level),
            ("log-format", &mut self.log_format),
        ]
    }
}

impl Arguments {
    /// Checks every setting.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is wrong or missing.
    pub fn settings(&self) -> Result<Settings, setting::Error> {
        let defaults = Settings::default();
        let form = setting::or("log-format", self.log_format.as_deref(), log::Form::Auto)?;
        let threshold = setting::or(
            "log-level",
            self.log_level.as_deref(),
            log::Threshold(slog::Level::Info),
        )?;
        let name: String = setting::required("name", self.name.as_deref(), "this entry's name")?;
        let zone: String = setting::required("zone", self.zone.as_deref(), "this VM's availability zone")?;
        let address = "the address it listens on, such as 10.0.0.7:8080";
        Ok(Settings {
            name: name::Entry::new(name),
            zone: name::Zone::new(zone),
            callers: setting::required("callers", self.callers.as_deref(), address)?,
            operators: setting::required("operators", self.operators.as_deref(), address)?,
            tls: self.tls()?,
            endpoints: self.endpoints()?,
            peers: self.peers()?,
            threads: setting::or("threads", self.threads.as_deref(), defaults.threads)?,
            folder: setting::optional::<PathBuf>("folder", self.folder.as_deref())?,
            platform: self.platform()?,
            policy: setting::or("policy", self.policy.as_deref(), defaults.policy.clone())?,
            otlp: self.otlp()?,
            logger: log::logger(log::Target::Errors, form, threshold),
            ..defaults
        })
    }

    fn tls(&self) -> Result<Option<tls::Settings>, setting::Error> {
        if self.tls_certificate.is_none() && self.tls_key.is_none() {
            return Ok(None);
        }
        let purpose = "the certificate and its key go together";
        Ok(Some(tls::Settings {
            certificate: setting::required("tls-certificate", self.tls_certificate.as_deref(), purpose)?,
            key: setting::required("tls-key", self.tls_key.as_deref(), purpose)?,
            ..tls::Settings::default()
        }))
    }

    fn endpoints(&self) -> Result<client::Settings, setting::Error> {
        const ROOTS: &str = "endpoint-roots";
        let roots = setting::optional::<tls::Source>(ROOTS, self.endpoint_roots.as_deref())?;
        let made = roots.map(|roots| tls::client(&roots).map_err(|cause| wrong_source(ROOTS, &roots, &cause)));
        Ok(client::Settings {
            tls: made.transpose()?,
            ..client::Settings::default()
        })
    }

    fn peers(&self) -> Result<Option<peers::Settings>, setting::Error> {
        let Some(listen) = setting::optional::<SocketAddr>(PEERS, self.peers.as_deref())? else {
            return Ok(None);
        };
        // Failure: an entry listens on every address and tells the others that one. Symptom: nobody reaches it, and
        // it is taken for dead. Asking for a definite address is enough, since what is listened on is what is told.
        if listen.ip().is_unspecified() {
            let cause = "other entries are told this address, so it must be a definite one";
            return Err(setting::wrong(PEERS, &listen.to_string(), &cause));
        }
        let seeds: Vec<SocketAddr> = setting::list(SEEDS, self.seeds.as_deref())?;
        if seeds.is_empty() {
            let purpose = "entries that are asked first, such as 10.0.0.7:7100; the first entry may name itself";
            return Err(setting::Error::Missing { flag: SEEDS, purpose });
        }
        Ok(Some(peers::Settings {
            listen,
            seeds,
            credentials: self.credentials()?,
            ..peers::Settings::default()
        }))
    }

    /// Reads who this entry is to the others.
    ///
    /// Failure: a wrong file or text is met only when the entry starts. Symptom: the library's error quotes the text,
    /// and a private key reaches the log. Each part is tried here, and only the flag and the file are named.
    fn credentials(&self) -> Result<peers::Credentials, setting::Error> {
        let purpose = "--peers needs a certificate, its key and the authority";
        let source = |flag, text: &Option<String>| setting::required::<tls::Source>(flag, text.as_deref(), purpose);
        let read = |flag, source: &tls::Source| -> Result<Arc<[u8]>, setting::Error> {
            let text = source.read().map_err(|cause| wrong_source(flag, source, &cause))?;
            Ok(Arc::from(text.as_ref()))
        };
        let chain_source = source(PEER_CERTIFICATE, &self.peer_certificate)?;
        let key_source = source(PEER_KEY, &self.peer_key)?;
        let authority_source = source(PEER_AUTHORITY, &self.peer_authority)?;
        let chain = read(PEER_CERTIFICATE, &chain_source)?;
        let key = read(PEER_KEY, &key_source)?;
        let authority = read(PEER_AUTHORITY, &authority_source)?;
        let none = "it holds no certificate in PEM";
        match Identity::from_pem(&chain, &key, &chain) {
            Err(identity::Error::Pem {
                what: "private key", ..
            }) => {
                let cause = "it holds no private key in PEM";
                return Err(wrong_source(PEER_KEY, &key_source, &cause));
            }
            Err(_quoting) => return Err(wrong_source(PEER_CERTIFICATE, &chain_source, &none)),
            Ok(_) => {}
        }
        if Identity::from_pem(&authority, &key, &authority).is_err() {
            return Err(wrong_source(PEER_AUTHORITY, &authority_source, &none));
        }
        Ok(peers::Credentials { chain, key, authority })
    }

    fn otlp(&self) -> Result<Option<traces::Settings>, setting::Error> {
        const RATIO: &str = "otlp-ratio";
        let defaults = traces::Settings::default();
        let ratio = setting::or(RATIO, self.otlp_ratio.as_deref(), defaults.ratio)?;
        if !(0.0..=1.0).contains(&ratio) {
            return Err(setting::wrong(
                RATIO,
                &ratio.to_string(),
                &"it must lie between 0 and 1",
            ));
        }
        let address = setting::optional::<SocketAddr>("otlp", self.otlp.as_deref())?;
        Ok(address.map(|address| traces::Settings {
            address,
            ratio,
            ..defaults
        }))
    }

    fn platform(&self) -> Result<Platform, setting::Error> {
        Ok(Platform {
            vms: setting::optional::<SocketAddr>("vms", self.vms.as_deref())?,
            table: setting::optional::<SocketAddr>("table", self.table.as_deref())?,
            objects: setting::optional::<SocketAddr>("objects", self.objects.as_deref())?,
            cloud: setting::optional::<SocketAddr>("cloud", self.cloud.as_deref())?,
            weights: setting::optional::<SocketAddr>("weights", self.weights.as_deref())?,
        })
    }
}

/// Makes the error for PEM that cannot be used; a text may be a key put in the wrong place, so it is not shown.
fn wrong_source(flag: &'static str, source: &tls::Source, cause: &dyn Display) -> setting::Error {
    let shown = match source {
        tls::Source::File(path) => path.display().to_string(),
        tls::Source::Text(_) => "PEM text".to_owned(),
    };
    setting::wrong(flag, &shown, cause)
}

/// Runs an entry until it is told to stop, then drains it.
///
/// # Errors
///
/// Returns a wrong setting, why the entry can't start, or how many requests the end of the grace cut.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    let grace = setting::duration("grace", arguments.grace.as_deref(), GRACE)?;
    let settings = arguments.settings()?;
    let logger = settings.logger.clone();
    let stop = stop::Signal::register().map_err(|error| Error::failed(&error))?;
    let handle = Daemon::start(settings).map_err(|error| Error::failed(&error))?;
    info!(logger, "serving"; "callers" => %handle.callers(), "operators" => %handle.operators(),
        "peers" => handle.peers().map(|peers| peers.address().to_string()));
    stop.wait();
    let drained = handle.drain(grace);
    handle.join();
    if drained.cut > 0 {
        warn!(logger, "stopped with requests cut"; "cut" => drained.cut);
        return Err(Error::Failed(format!(
            "the grace of {grace:?} ended with {} requests in flight",
            drained.cut
        )));
    }
    info!(logger, "stopped");
    Ok(())
}
