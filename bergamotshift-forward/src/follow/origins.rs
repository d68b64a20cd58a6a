//! Stores the versions of streams, and reads those that other entries stored.

use core::time::Duration;
use std::collections::HashSet;
use std::rc::Rc;

use bergamotshift_core::table;
use bergamotshift_core::table::Change;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;
use bergamotshift_platform::Error;
use bergamotshift_platform::table::Table;
use futures_util::future::try_join;
use serde::Deserialize;
use serde::Serialize;
use slog::info;
use smol_str::SmolStr;
use tokio::time::sleep;

use super::versions;
use super::versions::read_rows;
use crate::control::Control;
use crate::origins::Key;
use crate::origins::Lookup;
use crate::origins::Source;

/// Partition of the streams, with a row for each entry that stores some.
pub(super) const PARTITION: &str = "origins";

/// Minimum interval between two writes of a row. Streams that began within it are unknown if all entries are killed.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// The same by number of writers: all rows share a partition, so the interval grows with the fleet.
const WRITE_INTERVAL_BY_WRITER: Duration = Duration::from_millis(10);

/// Pause after a write that the store did not acknowledge.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Pause between two reads, by entry.
const READ_PAUSE_BY_ENTRY: Duration = Duration::from_millis(2);

/// Maximum pause between two reads; shorter than callers' requests wait for one.
const MAX_READ_PAUSE: Duration = Duration::from_millis(150);

/// Streams whose versions an entry stores.
#[derive(Debug, Default)]
#[derive(Serialize, Deserialize)]
struct Streams {
    versions: Vec<SmolStr>,
    /// Each stream with the index of its version.
    streams: Vec<(Key, u16)>,
}

impl Streams {
    fn push(&mut self, key: Key, version: &SmolStr) {
        let known = self.versions.iter().position(|known| known == version);
        let index = known.unwrap_or_else(|| {
            self.versions.push(version.clone());
            self.versions.len() - 1
        });
        self.streams.extend(u16::try_from(index).ok().map(|index| (key, index)));
    }

    fn iter(&self) -> impl Iterator<Item = (Key, &SmolStr)> {
        let version = |index: u16| self.versions.get(usize::from(index));
        self.streams
            .iter()
            .filter_map(move |(key, index)| Some((*key, version(*index)?)))
    }
}

fn by_entry(control: &Control, pause: Duration) -> Duration {
    pause * u32::try_from(control.entry_count()).unwrap_or(u32::MAX)
}

/// Stores the versions of streams for the lifetime of the process, while streams may have begun at several versions.
pub async fn store_origins(control: Control, table: Rc<dyn Table>) {
    let origins = &control.shared().origins;
    let mut has_read = false;
    loop {
        origins.unstored.notified().await;
        // The row still contains the streams of the former process.
        if !has_read {
            match restore(&control, &table).await {
                Ok(()) => has_read = true,
                Err(error) => info!(control.shared().log.always(), "stored streams not read"; "cause" => %error),
            }
        }
        if !(has_read && write(&control, &table).await) {
            origins.unstored.notify_one();
            sleep(RETRY_DELAY).await;
        }
        let writers = u32::try_from(origins.writer_count()).unwrap_or(u32::MAX);
        sleep(WRITE_INTERVAL.max(WRITE_INTERVAL_BY_WRITER * writers)).await;
    }
}

/// Writes this entry's row; returns whether the store has acknowledged it.
async fn write(control: &Control, table: &Rc<dyn Table>) -> bool {
    let shared = control.shared();
    let mut row = Streams::default();
    for (key, version) in shared.origins.table().stored(shared.clock.now()) {
        row.push(key, version);
    }
    let Ok(body) = postcard::to_stdvec(&row) else {
        return false;
    };
    let write = Write {
        key: table::Key::new(PARTITION, shared.settings.name.as_str()),
        condition: Condition::Any,
        change: Change::Put(body),
    };
    let ending = table.transact(vec![write]).await;
    shared.metrics.count_call("origins", ending == Ending::Applied);
    if ending != Ending::Applied {
        info!(shared.log.always(), "versions of streams not stored"; "ending" => ?ending, "streams" => row.streams.len());
    }
    ending == Ending::Applied
}

/// Restores what the former process of this entry stored.
///
/// # Errors
///
/// Returns an error if it could not be read.
async fn restore(control: &Control, table: &Rc<dyn Table>) -> Result<(), Error> {
    let rows = read_rows(table, PARTITION).await?;
    let shared = control.shared();
    let now = shared.clock.now();
    let own = rows.iter().filter(|(name, _)| *name == shared.settings.name.as_str());
    for (name, row) in own {
        let streams = decode(control, name, row).unwrap_or_default();
        let mut known = shared.origins.table();
        for (key, version) in streams.iter() {
            known.restore(now, key, version.clone());
        }
    }
    Ok(())
}

fn decode(control: &Control, entry: &str, row: &Row) -> Option<Streams> {
    let streams = postcard::from_bytes(&row.body);
    streams
        .inspect_err(|error| {
            info!(control.shared().log.always(), "stored streams not read"; "entry" => entry, "cause" => %error);
        })
        .ok()
}

/// Records the versions of the streams that are asked for, of those that entries stored. All of them may be more than this
/// entry keeps.
///
/// # Errors
///
/// Returns an error if they could not be read.
async fn read_streams(control: &Control, table: &Rc<dyn Table>, asked: &[Lookup]) -> Result<(), Error> {
    let sought: HashSet<Key> = asked.iter().filter_map(|lookup| lookup.key).collect();
    let rows = read_rows(table, PARTITION).await?;
    let shared = control.shared();
    let now = shared.clock.now();
    for (name, row) in &rows {
        let streams = decode(control, name, row).unwrap_or_default();
        let mut known = shared.origins.table();
        for (key, version) in streams.iter().filter(|(key, _)| sought.contains(key)) {
            known.record(now, key, version.clone());
        }
    }
    Ok(())
}

/// Answers which versions began streams, from what the store contains, for the lifetime of the process.
pub async fn lookups(control: Control, table: Rc<dyn Table>) {
    let Some(mut inbox) = control.shared().origins.take_lookups() else {
        return;
    };
    while let Some(first) = inbox.recv().await {
        let mut asked = vec![first];
        while let Ok(next) = inbox.try_recv() {
            asked.push(next);
        }
        match look_up(&control, &table, &asked).await {
            Ok(found) => {
                for (lookup, found) in asked.into_iter().zip(found) {
                    // An error means that the request has ended meanwhile.
                    let _ = lookup.reply.send(found);
                }
            }
            Err(error) => info!(control.shared().log.always(), "origins of streams not read"; "streams" => asked.len(),
                "cause" => %error),
        }
        sleep(by_entry(&control, READ_PAUSE_BY_ENTRY).min(MAX_READ_PAUSE)).await;
    }
}

async fn look_up(
    control: &Control,
    table: &Rc<dyn Table>,
    asked: &[Lookup],
) -> Result<Vec<Option<(SmolStr, Source)>>, Error> {
    let is_mixed = control.shared().origins.is_mixed();
    let streams = async {
        if is_mixed {
            read_streams(control, table, asked).await?;
        }
        Ok(())
    };
    let (declared, ()) = try_join(versions::read(control, table), streams).await?;
    versions::look_after_restore(control, table).await?;
    let sole = |lookup: &Lookup| {
        let sole = control.sole_version(&lookup.service, &declared.versions, table.era());
        sole.filter(|_| declared.knows_streams && !lookup.may_have_moved)
    };
    if !is_mixed && asked.iter().any(|lookup| sole(lookup).is_none()) {
        read_streams(control, table, asked).await?;
    }
    let shared = control.shared();
    let now = shared.clock.now();
    let find = |lookup: &Lookup| {
        let stored = lookup.key.and_then(|key| shared.origins.table().get(now, key));
        let stored = stored.map(|version| (version, Source::Store));
        stored.or_else(|| sole(lookup).map(|version| (version, Source::SoleVersion)))
    };
    Ok(asked.iter().map(find).collect())
}
