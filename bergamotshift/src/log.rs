//! Logs of the process: text on a terminal, JSON elsewhere.

use core::fmt;
use core::str::FromStr;
use std::io::IsTerminal;
use std::sync::Mutex;

use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::o;

/// The form in which log records are written to standard error.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Form {
    /// Text when standard error is a terminal, JSON otherwise.
    #[default]
    Auto,
    /// One line of text a record.
    Text,
    /// One JSON object a record.
    Json,
}

impl FromStr for Form {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "auto" => Ok(Self::Auto),
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("expected auto, text or json"),
        }
    }
}

impl fmt::Display for Form {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Auto => "auto",
            Self::Text => "text",
            Self::Json => "json",
        })
    }
}

/// A log level given as text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Threshold(pub Level);

impl FromStr for Threshold {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Level::from_str(text)
            .map(Self)
            .or(Err("expected error, warning, info, debug or trace"))
    }
}

/// Where log records go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Target {
    /// Standard error, beside what a command prints.
    #[default]
    Errors,
    /// Standard output, for a daemon that prints nothing else.
    Output,
}

/// Makes the process's root logger, which writes on a thread of its own.
pub fn logger(target: Target, form: Form, threshold: Threshold) -> Logger {
    let text = match form {
        Form::Auto => std::io::stderr().is_terminal(),
        Form::Text => true,
        Form::Json => false,
    };
    let drain: Box<dyn Drain<Ok = (), Err = slog::Never> + Send> = match (target, text) {
        (Target::Errors, true) => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            Box::new(slog_term::FullFormat::new(decorator).build().fuse())
        }
        (Target::Output, true) => {
            let decorator = slog_term::TermDecorator::new().stdout().build();
            Box::new(slog_term::FullFormat::new(decorator).build().fuse())
        }
        (Target::Errors, false) => Box::new(Mutex::new(slog_json::Json::default(std::io::stderr())).fuse()),
        (Target::Output, false) => Box::new(Mutex::new(slog_json::Json::default(std::io::stdout())).fuse()),
    };
    // A full channel drops records and counts them: a slow terminal must not hold up requests.
    let background = slog_async::Async::new(drain).chan_size(4_096).build();
    Logger::root(
        background.filter_level(threshold.0).fuse(),
        o!("version" => env!("CARGO_PKG_VERSION")),
    )
}
