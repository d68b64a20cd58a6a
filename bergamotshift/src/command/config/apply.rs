//! `bergamotshift config apply`.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use gumdrop::Options;
use rand::TryRng;
use rand::rngs::SysRng;
use smol_str::SmolStr;

use super::base;
use super::check;
use super::platform::Platform;
use super::platform::block_on;
use crate::config::accept::Timing;
use crate::config::accept::proposer::Outcome;
use crate::config::accept::proposer::Request;
use crate::config::accept::record::Id;
use crate::config::accept::record::Version;
use crate::config::manifest::Manifest;
use crate::entry::configuration::propose;
use crate::environment::Field;
use crate::environment::Fields;
use crate::error::Error;
use crate::setting;

/// Arguments of `config apply`.
#[derive(Debug)]
#[derive(Options)]
pub struct Arguments {
    /// Whether the usage text is wanted.
    #[options(help = "print this text")]
    pub help: bool,
    /// The folder.
    #[options(no_short, meta = "DIR", help = "the folder to make the accepted version")]
    pub folder: Option<String>,
    /// The version that the folder started from.
    #[options(
        no_short,
        meta = "NUMBER",
        help = "the version that the folder started from (default: as noted in it)"
    )]
    pub base: Option<String>,
    /// Who makes the change.
    #[options(no_short, meta = "NAME", help = "who makes the change, for the history")]
    pub author: Option<String>,
    /// The platform's table service.
    #[options(no_short, meta = "IP:PORT", help = "the platform's table service")]
    pub table: Option<String>,
    /// The platform's object store.
    #[options(no_short, meta = "IP:PORT", help = "the platform's object store")]
    pub objects: Option<String>,
}

impl Fields for Arguments {
    fn fields(&mut self) -> Vec<Field<'_>> {
        vec![
            ("folder", &mut self.folder),
            ("base", &mut self.base),
            ("author", &mut self.author),
            ("table", &mut self.table),
            ("objects", &mut self.objects),
        ]
    }
}

/// Makes a folder the accepted version.
///
/// # Errors
///
/// Returns the folder's problems, or why it wasn't accepted.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    let folder: String = setting::required("folder", arguments.folder.as_deref(), "the folder to apply")?;
    let author: SmolStr = setting::required("author", arguments.author.as_deref(), "who makes the change")?;
    let given: Option<u64> = setting::optional("base", arguments.base.as_deref())?;
    let base = match given {
        Some(number) => Some(Version::new(number)),
        None => base::load(&folder)?,
    };
    let ours = check::read(&folder)?;
    check::parse(&ours)?;
    let (table, objects) = (arguments.table.clone(), arguments.objects.clone());
    let outcome = block_on(async move {
        let platform = Platform::connect(table.as_deref(), objects.as_deref()).await?;
        propose(&platform, base, ours, author).await
    })?;
    tell(&folder, outcome)
}

async fn propose(
    platform: &Platform,
    base: Option<Version>,
    ours: Manifest,
    author: SmolStr,
) -> Result<Outcome, Error> {
    let record = match base {
        Some(version) => platform.version(Some(version)).await?,
        None => None,
    };
    let base = match record {
        Some(record) => platform.content(&record.revision.digest).await?,
        None => Manifest::default(),
    };
    let request = Request {
        id: Id::new(random()?),
        author,
        at: now_ms(),
        base,
        ours,
    };
    Ok(propose::run(&platform.table, &platform.store, request, Timing::default()).await)
}

/// Draws an identifier that no other change has.
fn random() -> Result<u128, Error> {
    let mut bytes = [0; 16];
    SysRng
        .try_fill_bytes(&mut bytes)
        .map_err(|error| Error::failed(&error))?;
    Ok(u128::from_le_bytes(bytes))
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Tells the operator what became of the change.
fn tell(folder: &str, outcome: Outcome) -> Result<(), Error> {
    match outcome {
        Outcome::Accepted { revision, passed_over } => {
            println!("accepted as version {}", revision.version.get());
            for zone in passed_over {
                println!("zone {zone} was cut off; it takes the version over when it is back");
            }
            base::save(folder, revision.version)
        }
        Outcome::Unchanged(revision) => {
            println!("no changes: version {} holds it already", revision.version.get());
            base::save(folder, revision.version)
        }
        other => Err(Error::Failed(refusal(&other))),
    }
}

fn refusal(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Conflict(files) => format!(
            "another operator changed {} since your base; fetch the accepted version with `config show`, merge and apply",
            files.join(", ")
        ),
        Outcome::Invalid(reason) => format!("with what others changed it is not valid: {reason}"),
        Outcome::Refused { zone, reason } => format!("zone {zone} can't use it: {reason}"),
        Outcome::Late(zones) => {
            let names: Vec<&str> = zones.iter().map(AsRef::as_ref).collect();
            format!(
                "not accepted: zones that live but didn't stage it in time: {}",
                names.join(", ")
            )
        }
        Outcome::Busy => "another operator's change is under way; try again".to_owned(),
        Outcome::Unreachable => "the platform can't be reached; nothing was proposed".to_owned(),
        Outcome::Unknown => {
            "the platform can't be reached, and the change may be accepted: see `config history`".to_owned()
        }
        other => format!("not accepted: {other:?}"),
    }
}
