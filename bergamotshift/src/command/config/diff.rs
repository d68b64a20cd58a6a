//! `bergamotshift config diff`.

use gumdrop::Options;

use super::check;
use super::platform::Platform;
use super::platform::block_on;
use crate::config::config::Config;
use crate::config::diff::Diff;
use crate::config::manifest::Manifest;
use crate::environment::Field;
use crate::environment::Fields;
use crate::error::Error;
use crate::setting;

/// Arguments of `config diff`.
#[derive(Debug)]
#[derive(Options)]
pub struct Arguments {
    /// Whether the usage text is wanted.
    #[options(help = "print this text")]
    pub help: bool,
    /// The folder.
    #[options(no_short, meta = "DIR", help = "the folder whose changes are printed")]
    pub folder: Option<String>,
    /// Another folder.
    #[options(
        no_short,
        meta = "DIR",
        help = "compare with this folder, not with the accepted version"
    )]
    pub against: Option<String>,
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
            ("against", &mut self.against),
            ("table", &mut self.table),
            ("objects", &mut self.objects),
        ]
    }
}

/// Prints what a folder would change.
///
/// # Errors
///
/// Returns the folder's problems, or why the accepted version can't be read.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    let folder: String = setting::required("folder", arguments.folder.as_deref(), "the folder to compare")?;
    let ours = check::parse(&check::read(&folder)?)?;
    let theirs = if let Some(other) = &arguments.against {
        check::read(other)?
    } else {
        let (table, objects) = (arguments.table.clone(), arguments.objects.clone());
        block_on(async move {
            let platform = Platform::connect(table.as_deref(), objects.as_deref()).await?;
            platform.accepted_content().await
        })?
    };
    // Before the first version there is nothing to read, which is no folder that an operator emptied by mistake.
    let theirs = if theirs == Manifest::default() {
        Config::default()
    } else {
        check::parse(&theirs)?
    };
    let diff = Diff::between(&theirs, &ours);
    if diff.changes.is_empty() {
        println!("no changes");
    } else {
        print!("{diff}");
    }
    Ok(())
}
