//! Declares versions of services in the store, and removes what the store contains of versions that have left.

use core::time::Duration;
use std::collections::BTreeMap;
use std::rc::Rc;

use bergamotshift_core::table::Change;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;
use bergamotshift_platform::Error;
use bergamotshift_platform::table::Table;
use bergamotshift_rollout::origin::Declaration;
use bergamotshift_rollout::origin::Retirement;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;
use slog::info;
use smol_str::SmolStr;
use tokio::time::sleep;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use super::members;
use super::origins;
use super::turn::FULL_RATE_CALLERS;
use super::turn::scale_pause;
use crate::control::Control;
use crate::control::Version;
use crate::control::routing;
use crate::random;
use crate::routes::Streams;

/// Partition of the declared versions.
const PARTITION: &str = "versions";

/// Maximum number of writes of a transaction.
const MAX_WRITES: usize = 100;

/// Maximum number of rows per page.
const PAGE_SIZE: u32 = 500;

/// Pause after a declaration that the store did not acknowledge.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Pause after a read of the declared versions that failed.
const READ_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Time over which the declarations of a large fleet are spread, by entry: the rows share a partition, which takes some
/// hundred writes a second.
const SPREAD: Duration = Duration::from_millis(5);

/// Interval at which one entry of the fleet looks for rows to remove; shorter than the lifetime of streams.
const RETIREMENT_INTERVAL: Duration = Duration::from_secs(15);

/// Maximum size of the services that receive streams in a row, in bytes; those of a thousand routes. An entry that does not know
/// them otherwise refuses streams of unknown origin.
const MAX_STREAMS_BYTES: usize = 48 * 1_024;

/// Row of a declared version.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Declared {
    version: Version,
    /// Random number, by which the row differs each time that it is written.
    nonce: u64,
}

/// What the store contains of declarations.
#[derive(Debug)]
pub(super) struct Declarations {
    pub(super) versions: Vec<Version>,
    /// Whether this entry knows the services that receive streams by each document.
    pub(super) knows_streams: bool,
}

/// Returns the key of a version's row. It is a hash, as names may have any length and contain any character.
fn key((service, version): &Version) -> Key {
    let hash = crate::origins::Key::new(service, None, version).get();
    Key::new(PARTITION, format!("{hash:016x}"))
}

/// Declares versions for the lifetime of the process.
pub async fn versions(control: Control, table: Rc<dyn Table>) {
    let mut has_read = false;
    loop {
        // Streams may go on that began at versions which left before this process started.
        has_read = has_read || has_read_declared(&control, &table).await;
        let Some(declaration) = control.undeclared() else {
            let notified = control.shared().origins.undeclared.notified();
            if has_read {
                notified.await;
                wait_for_turn(&control).await;
            } else {
                // An error means that it is time to read again.
                let _ = timeout(scale_pause(READ_RETRY_DELAY, control.entry_count()), notified).await;
            }
            continue;
        };
        if !declare(&control, &table, &declaration).await {
            sleep(scale_pause(RETRY_DELAY, control.entry_count())).await;
        }
    }
}

/// Spreads the declarations of a large fleet. Most of its entries learn of those of others meanwhile.
async fn wait_for_turn(control: &Control) {
    let entries = control.entry_count();
    if entries > FULL_RATE_CALLERS {
        let entries = u32::try_from(entries).unwrap_or(u32::MAX);
        sleep((SPREAD * entries).mul_f64(random::fraction_of(&control.shared().settings.name))).await;
    }
}

/// Writes a row for each version; returns whether the store has acknowledged them.
async fn declare(control: &Control, table: &Rc<dyn Table>, declaration: &Declaration<Version>) -> bool {
    let write = |version: &Version| {
        let row = Declared {
            version: version.clone(),
            nonce: random::generator().next_u64(),
        };
        let body = encode(&row, control.streams(version).as_deref()).ok()?;
        Some(Write {
            key: key(version),
            condition: Condition::Any,
            change: Change::Put(body),
        })
    };
    let writes: Vec<_> = declaration.keys().filter_map(write).collect();
    for chunk in writes.chunks(MAX_WRITES) {
        let ending = table.transact(chunk.to_vec()).await;
        control
            .shared()
            .metrics
            .count_call("versions", ending == Ending::Applied);
        if ending != Ending::Applied {
            info!(control.shared().log.always(), "versions not declared"; "ending" => ?ending,
                "versions" => declaration.len());
            return false;
        }
    }
    control.confirm_declaration(declaration, table.era())
}

/// Reads a partition page by page.
///
/// # Errors
///
/// Returns an error if a page could not be read.
pub(super) async fn read_rows(table: &Rc<dyn Table>, partition: &'static str) -> Result<Vec<(SmolStr, Row)>, Error> {
    let mut rows = Vec::new();
    let mut after = None;
    loop {
        let page = table.query(SmolStr::new_static(partition), after, PAGE_SIZE).await?;
        rows.extend(page.rows);
        match page.next {
            Some(next) => after = Some(next),
            None => return Ok(rows),
        }
    }
}

/// Reads the declared versions.
///
/// # Errors
///
/// Returns an error if they could not be read.
pub(super) async fn read(control: &Control, table: &Rc<dyn Table>) -> Result<Declarations, Error> {
    let rows = read_rows(table, PARTITION).await?;
    let mut versions = Vec::new();
    let mut streams = Vec::new();
    for (name, row) in &rows {
        let (version, routed) = decode(name, row)?;
        match routing::digest(&version) {
            Some(digest) => streams.push((digest, routed)),
            None => versions.push(version),
        }
    }
    control.add_versions(versions.clone());
    let knows_streams = control.learn_streams(streams);
    Ok(Declarations {
        versions,
        knows_streams,
    })
}

/// Reads the declared versions for what this entry tells and stores; returns whether that succeeded.
async fn has_read_declared(control: &Control, table: &Rc<dyn Table>) -> bool {
    let read = read(control, table).await;
    if let Err(error) = &read {
        info!(control.shared().log.always(), "declared versions not read"; "cause" => %error);
    }
    read.is_ok()
}

/// Looks whether all entries have learned of a restore, while the store may lack declared versions after it.
///
/// # Errors
///
/// Returns an error if the list of entries could not be read.
pub(super) async fn look_after_restore(control: &Control, table: &Rc<dyn Table>) -> Result<(), Error> {
    let era = table.era();
    if control.may_lack_versions(era) {
        let have_all_learned = members::has_every_entry_learned(control, table, era).await?;
        control.look_after_restore(have_all_learned);
    }
    Ok(())
}

/// Encodes a row. What follows the declaration is skipped by entries of an older version of this software.
fn encode(row: &Declared, streams: Option<&Streams>) -> postcard::Result<Vec<u8>> {
    let mut body = postcard::to_stdvec(row)?;
    if let Some(streams) = streams {
        let streams = postcard::to_stdvec(streams)?;
        if streams.len() <= MAX_STREAMS_BYTES {
            body.extend(streams);
        }
    }
    Ok(body)
}

/// Decodes a row, with the services that receive streams if it contains them. One that cannot be decoded may be that of any
/// version.
fn decode(name: &str, row: &Row) -> Result<(Version, Option<Streams>), Error> {
    let row: Result<(Declared, &[u8]), _> = postcard::take_from_bytes(&row.body);
    row.map(|(row, streams)| (row.version, postcard::from_bytes(streams).ok()))
        .map_err(|cause| {
            Error::Unknown(format!(
                "the row of the declared version {name} cannot be read: {cause}"
            ))
        })
}

/// Removes rows that nothing uses any more, for the lifetime of the process. One entry of the fleet does so; the others only
/// follow what is declared.
pub async fn retire(control: Control, table: Rc<dyn Table>) {
    let mut unused = Retirement::default();
    let mut era = 0;
    loop {
        sleep(RETIREMENT_INTERVAL).await;
        if let Err(error) = look_after_restore(&control, &table).await {
            info!(control.shared().log.always(), "entries not counted after a restore"; "cause" => %error);
        }
        // While the store contains several versions of a service, streams are recorded there.
        if control.shared().origins.is_mixed() {
            has_read_declared(&control, &table).await;
        }
        if !control.turn().is_first() || era != table.era().max(control.store_era()) {
            unused.clear();
            era = table.era().max(control.store_era());
            continue;
        }
        if let Err(error) = retire_once(&control, &table, &mut unused).await {
            info!(control.shared().log.always(), "unused rows not removed"; "cause" => %error);
        }
    }
}

async fn retire_once(control: &Control, table: &Rc<dyn Table>, unused: &mut Retirement<Key>) -> Result<(), Error> {
    let versions = read_rows(table, PARTITION).await?;
    let streams = read_rows(table, origins::PARTITION).await?;
    let is_heard = members::is_every_entry_heard(control, table).await?;
    let Some(present) = control.used_declarations().filter(|_| is_heard) else {
        unused.clear();
        return Ok(());
    };
    // A row that cannot be decoded may be that of another version of this software.
    let is_present = |name: &str, row: &Row| decode(name, row).map_or(true, |(version, _)| present.contains(&version));
    let mut rows = BTreeMap::new();
    for (name, row) in versions {
        let is_used = is_present(&name, &row);
        rows.insert(Key::new(PARTITION, name), (row, is_used));
    }
    for (name, row) in streams {
        // It is written again while it is of use.
        rows.insert(Key::new(origins::PARTITION, name), (row, false));
    }
    let used = rows
        .iter()
        .map(|(key, (row, is_used))| (key.clone(), xxh3_64(&row.body), *is_used));
    for key in unused.update(control.shared().clock.now(), control.retention(), used) {
        let Some((row, _)) = rows.get(&key) else {
            continue;
        };
        let removal = Write {
            key: key.clone(),
            condition: Condition::Version(row.version),
            change: Change::Delete,
        };
        let ending = table.transact(vec![removal]).await;
        info!(control.shared().log.always(), "unused row removed"; "row" => format!("{}/{}", key.partition, key.sort),
            "ending" => ?ending);
    }
    Ok(())
}
