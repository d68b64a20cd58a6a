//! Maintains this entry's row in the stored list of entries, and reads the rows of the others.

use core::net::SocketAddr;
use core::time::Duration;
use std::rc::Rc;

use bergamotshift_core::name;
use bergamotshift_core::table;
use bergamotshift_core::table::Change;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Write;
use bergamotshift_platform::Error;
use bergamotshift_platform::table::Table;
use serde::Deserialize;
use serde::Serialize;
use slog::info;
use smol_str::SmolStr;

use super::turn::scale_pause;
use super::versions::read_rows;
use crate::control::Control;
use crate::peers::Contact;
use crate::random;

/// Partition of the list in the table.
const PARTITION: &str = "entry";

/// Interval between two writes of this entry's row in a small fleet, whose entries also divide limits among them by what
/// the rows say of organisations.
const WRITE_INTERVAL: Duration = Duration::from_secs(5);

/// Interval between two writes in a fleet with keepers, where rows only tell starting entries whom to contact. It grows
/// with the fleet.
const LARGE_FLEET_WRITE_INTERVAL: Duration = Duration::from_secs(30);

/// Interval at which an entry checks whether it has to write, since the fleet may have grown, or the store been restored.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time within which the entries of a small fleet find the store restored and write their rows again.
const REWRITE_TIME: Duration = Duration::from_secs(1);

/// Time over which the first writes of a small fleet are spread.
const FIRST_WRITE_SPREAD: Duration = Duration::from_millis(300);

/// Number of writes per read of the list. Entries inform each other of their members, so only an entry that knows no
/// others, or does not hear one of them, depends on the list.
const WRITES_PER_READ: u32 = 3;

/// Delay after a failed call of the store.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Maximum age of a row: a multiple of the writer's interval, plus a constant. It tolerates two failed writes and
/// clocks that differ by seconds. Without it, the row of a VM that is gone for good would make every starting entry
/// wait for that VM's entry and leave its share of each limit unused.
const MAX_ROW_AGE: (u32, Duration) = (3, Duration::from_secs(3));

/// Time after its last write for which an entry that is not heard may be cut off and serve on.
const MAX_CUT: Duration = Duration::from_hours(2);

/// Maximum number of rows per page.
const PAGE_SIZE: u32 = 500;

/// Row of an entry in the list.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Row {
    /// Address for queries from other entries.
    address: SocketAddr,
    /// Time of the write, in seconds since the Unix epoch by the writer's clock.
    at: u64,
    /// Availability zone of the writer.
    zone: name::Zone,
    /// Share of a CPU core that the writer may use, in thousandths.
    core_share: u16,
    /// Interval until the writer's next write, in seconds.
    every: u64,
    /// Organisations whose recent demand was a large part of their limits.
    busy: Vec<name::Organisation>,
    /// Versions of services that serve, or served within the lifetime of streams.
    versions: Vec<(name::Service, SmolStr)>,
}

/// Returns the maximum age of a row whose writer writes every `every` seconds.
fn max_row_age(every: u64) -> Duration {
    let (intervals, extra) = MAX_ROW_AGE;
    Duration::from_secs(every).saturating_mul(intervals) + extra
}

/// Encodes a row, followed by the number of restores of the store that its writer knew of. Entries of an older version of this
/// software skip that.
fn encode(row: &Row, era: u64) -> postcard::Result<Vec<u8>> {
    postcard::to_extend(&era, postcard::to_stdvec(row)?)
}

/// Decodes a row, with the number of restores of the store that its writer knew of, if the row contains it.
fn decode(row: &table::Row) -> postcard::Result<(Row, Option<u64>)> {
    let (row, era) = postcard::take_from_bytes(&row.body)?;
    Ok((row, postcard::from_bytes(era).ok()))
}

/// Returns whether a condition holds of the name of every entry that the list contains, and of the number of restores that it
/// knew of, but for those entries that have written nothing for hours. A list that was restored may lack entries that were known
/// before, or contain old rows of them; it has to hold of those too.
async fn is_every_entry(
    control: &Control,
    table: &Rc<dyn Table>,
    condition: impl Fn(&str, Option<u64>) -> bool,
) -> Result<bool, Error> {
    let unix_time = control.shared().tally.unix_time();
    let rows = read_rows(table, PARTITION).await?;
    let is_listed_in_order = rows.iter().all(|(name, row)| match decode(row) {
        Ok((row, _)) if unix_time.saturating_sub(Duration::from_secs(row.at)) >= MAX_CUT => true,
        Ok((_, era)) => condition(name, era),
        Err(_) => condition(name, None),
    });
    let era = |entry: &name::Entry| {
        let (_, row) = rows.iter().find(|(name, _)| *name == entry.as_str())?;
        decode(row).ok()?.1
    };
    let before = control.known_before_restore(MAX_CUT);
    Ok(is_listed_in_order && before.iter().all(|entry| condition(entry.as_str(), era(entry))))
}

/// Returns whether every entry that the list contains is heard, but for those that have written nothing for hours.
///
/// # Errors
///
/// Returns an error if the list could not be read.
pub(super) async fn is_every_entry_heard(control: &Control, table: &Rc<dyn Table>) -> Result<bool, Error> {
    is_every_entry(control, table, |name, _| control.is_heard(name)).await
}

/// Returns whether every entry that the list contains is heard or has learned of the store's last restore, but for those that have
/// written nothing for hours. One that is cut off since goes on only at versions that it has declared again.
///
/// # Errors
///
/// Returns an error if the list could not be read.
pub(super) async fn has_every_entry_learned(control: &Control, table: &Rc<dyn Table>, era: u64) -> Result<bool, Error> {
    is_every_entry(control, table, |name, known| {
        known == Some(era) || control.is_heard(name)
    })
    .await
}

/// Writes the row and reads the list for the lifetime of the process.
pub async fn members(control: Control, table: Rc<dyn Table>) {
    let mut round = 0;
    loop {
        let era = control.store_era();
        // The list is read before the first write, as this entry's row still contains the state of its previous
        // process.
        let is_due = round % WRITES_PER_READ == 0 || control.needs_entry_list();
        let read = !is_due || read(&control, &table).await;
        // Entries that start later must find this one in the list, or each of a few would use organisations' whole bursts.
        if round == 0 && control.is_large() {
            wait_for_first_write(&control).await;
        }
        let written = write(&control, &table).await;
        control.shared().metrics.count_call("entries", read && written);
        if !(read && written) {
            tokio::time::sleep(scale_pause(RETRY_DELAY, control.entry_count())).await;
            continue;
        }
        round += 1;
        wait_for_next_write(&control, era).await;
        if control.store_era() > era {
            // The rows of the others may name addresses of their former processes, until they have written again too.
            write(&control, &table).await;
            tokio::time::sleep(scale_pause(REWRITE_TIME, control.entry_count())).await;
            round = round.next_multiple_of(WRITES_PER_READ);
        }
    }
}

/// Waits for this entry's turn to write its row for the first time, in a fleet that is known to be large.
///
/// The rows share a partition, which takes some hundred writes a second. When all entries of a large fleet wrote theirs at
/// their start, a third of the writes was refused. The fleet's size becomes known meanwhile, and extends the wait.
async fn wait_for_first_write(control: &Control) {
    const POLL_INTERVAL: Duration = Duration::from_millis(100);
    let shared = control.shared();
    let fraction = random::fraction_of(&shared.settings.name);
    let wait = || scale_pause(FIRST_WRITE_SPREAD, control.entry_count()).mul_f64(fraction);
    while shared.clock.now().since(shared.started) < wait() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits for the interval between two writes, which grows while entries become known, or until the store is found restored
/// since `era`.
async fn wait_for_next_write(control: &Control, era: u64) {
    let written = control.shared().clock.now();
    let is_due = || control.shared().clock.now().since(written) >= write_interval(control);
    while !is_due() && control.store_era() == era {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Returns the interval between two writes of this entry's row.
fn write_interval(control: &Control) -> Duration {
    let interval = if control.is_large() {
        LARGE_FLEET_WRITE_INTERVAL
    } else {
        WRITE_INTERVAL
    };
    scale_pause(interval, control.entry_count())
}

/// Writes this entry's row; returns whether that succeeded.
async fn write(control: &Control, table: &Rc<dyn Table>) -> bool {
    let settings = &control.shared().settings;
    let asked = control.shared().clock.now();
    let row = Row {
        address: settings.peers_address(),
        at: control.shared().tally.unix_time().as_secs(),
        zone: settings.zone.clone(),
        core_share: control.core_share(),
        every: write_interval(control).as_secs(),
        busy: control.busy_organisations(),
        versions: control.versions(),
    };
    // What was declared in another era is forgotten by then.
    let Ok(body) = encode(&row, control.store_era()) else {
        return false;
    };
    let write = Write {
        key: Key::new(PARTITION, settings.name.as_str()),
        condition: Condition::Any,
        change: Change::Put(body),
    };
    let ending = table.transact(vec![write]).await;
    if ending != Ending::Applied {
        info!(control.shared().log.always(), "own row not written"; "ending" => ?ending);
        return false;
    }
    control.row_written(asked);
    true
}

/// Reads the list page by page, and adds the entries in it; returns whether all pages could be read.
async fn read(control: &Control, table: &Rc<dyn Table>) -> bool {
    let asked = control.shared().clock.now();
    let unix_time = control.shared().tally.unix_time();
    let mut after: Option<SmolStr> = None;
    let mut busy = Vec::new();
    let (mut others, mut has_own_row) = (0, false);
    loop {
        let page = match table.query(SmolStr::new_static(PARTITION), after, PAGE_SIZE).await {
            Ok(page) => page,
            Err(error) => {
                info!(control.shared().log.always(), "list of entries not read"; "cause" => %error);
                return false;
            }
        };
        for (name, row) in &page.rows {
            match decode(row) {
                Ok((row, _)) if unix_time.saturating_sub(Duration::from_secs(row.at)) < max_row_age(row.every) => {
                    busy.extend(row.busy);
                    control.add_versions(row.versions);
                    let is_own = *name == control.shared().settings.name.as_str();
                    has_own_row |= is_own;
                    others += usize::from(!is_own);
                    control.add_listed(&Contact {
                        entry: name::Entry::new(name),
                        address: row.address,
                        zone: row.zone,
                        core_share: row.core_share,
                    });
                }
                Ok(_) => {}
                Err(error) => {
                    info!(control.shared().log.always(), "row of an entry not read"; "entry" => name.as_str(),
                        "cause" => %error);
                }
            }
        }
        let Some(next) = page.next else {
            // An entry without a row of its own joins a fleet that already serves.
            let joins = others > 0 && !has_own_row;
            control.entry_list_read(asked, Some(busy).filter(|_| !joins));
            return true;
        };
        after = Some(next);
    }
}
