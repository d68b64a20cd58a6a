//! `bergamotshift forward`: the daemon that forwards requests unchanged, by host and path.

use core::time::Duration;
use std::path::Path;
use std::path::PathBuf;
use std::time::SystemTime;

use gumdrop::Options;
use ntex::rt::DefaultRuntime;
use ntex::rt::System;
use slog::Logger;
use slog::warn;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;

use crate::environment::Field;
use crate::environment::Fields;
use crate::error::Error;
use crate::forward::daemon;
use crate::forward::daemon::Signals;
use crate::forward::settings::Settings;
use crate::log;
use crate::setting;

/// How often the settings file is looked at; it may change without a signal.
const LOOK: Duration = Duration::from_secs(2);

/// Arguments of `forward`.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct Arguments {
    /// Whether the usage text is wanted.
    #[options(help = "print this text")]
    pub help: bool,
    /// The settings file.
    #[options(help = "file with the daemon's settings, in TOML", meta = "FILE", no_short)]
    pub settings: Option<String>,
    /// The form of the log.
    #[options(help = "form of the log: auto, text or json", meta = "FORM", no_short)]
    pub log_format: Option<String>,
    /// The least level that is logged.
    #[options(
        help = "least level that is logged: error, warning, info, debug or trace",
        meta = "LEVEL",
        no_short
    )]
    pub log_level: Option<String>,
}

impl Fields for Arguments {
    fn fields(&mut self) -> Vec<Field<'_>> {
        vec![
            ("settings", &mut self.settings),
            ("log-format", &mut self.log_format),
            ("log-level", &mut self.log_level),
        ]
    }
}

/// Runs a forwarding daemon until it is told to stop, then drains it.
///
/// # Errors
///
/// Returns a wrong setting, why the daemon can't start, or how many requests the end of the grace cut.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    let purpose = "the file with the daemon's settings";
    let path: PathBuf = setting::required("settings", arguments.settings.as_deref(), purpose)?;
    let form = setting::or("log-format", arguments.log_format.as_deref(), log::Form::Json)?;
    let threshold = log::Threshold(slog::Level::Info);
    let threshold = setting::or("log-level", arguments.log_level.as_deref(), threshold)?;
    let settings =
        Settings::load(&path).map_err(|error| setting::wrong("settings", &path.display().to_string(), &error))?;
    let logger = log::logger(log::Target::Output, form, threshold);
    let watching = logger.clone();
    let cut = System::new("forward", DefaultRuntime).block_on(async move {
        let signals = signals(path, watching).map_err(|error| Error::failed(&error))?;
        let ended = daemon::run(settings, logger, signals).await;
        ended.map_err(|error| Error::failed(&error))
    })?;
    if cut > 0 {
        return Err(Error::Failed(format!("the grace ended with {cut} requests in flight")));
    }
    Ok(())
}

/// Listens for the signals to stop and to reload, and for changes of the settings file.
fn signals(path: PathBuf, logger: Logger) -> std::io::Result<Signals> {
    let (stop, stopped) = mpsc::unbounded_channel();
    let (reload, reloaded) = mpsc::unbounded_channel();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    ntex::rt::spawn(async move {
        let mut seen = modified(&path);
        loop {
            tokio::select! {
                _ = terminate.recv() => drop(stop.send(())),
                _ = interrupt.recv() => drop(stop.send(())),
                _ = hangup.recv() => {
                    seen = modified(&path);
                    reread(&path, &reload, &logger);
                }
                () = tokio::time::sleep(LOOK) => {
                    let now = modified(&path);
                    if now != seen {
                        seen = now;
                        reread(&path, &reload, &logger);
                    }
                }
            }
        }
    });
    Ok(Signals {
        stop: stopped,
        reload: reloaded,
        started: None,
    })
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}

/// Reads the settings again; those in force stay when the file can't be used.
fn reread(path: &Path, reload: &mpsc::UnboundedSender<Settings>, logger: &Logger) {
    match Settings::load(path) {
        Ok(settings) => drop(reload.send(settings)),
        Err(error) => warn!(logger, "settings not reloaded"; "file" => %path.display(), "cause" => %error),
    }
}
