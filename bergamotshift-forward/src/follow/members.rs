//! Keeps this entry's row in the list of entries, and reads the others'.

use core::net::SocketAddr;
use core::time::Duration;
use std::rc::Rc;

use bergamotshift_core::name;
use bergamotshift_core::table::Change;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Write;
use bergamotshift_platform::table::Table;
use serde::Deserialize;
use serde::Serialize;
use slog::info;
use smol_str::SmolStr;

use super::knowledge::scale_pause;
use crate::control::Control;
use crate::peers::Contact;

/// The partition of the list.
const PARTITION: &str = "entry";

/// The time between two writes of the own row in a small fleet. In a large one each entry writes less often: with 77 of
/// them these writes were a quarter of all calls of the store.
const WRITE_INTERVAL: Duration = Duration::from_secs(5);

/// How many writes lie between two readings. Entries name one another, so the list is for those that know nobody.
const WRITES_PER_READ: u32 = 3;

/// The time until the next try after a call failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// How old a row may be. Failure: a VM is gone for good and its row stays. Symptom: every entry that starts waits for an
/// entry that never speaks, and leaves its share of each limit unused. Two writes that failed, and clocks that differ by
/// seconds, stay below this many times the time between two writes, and this much more.
const MAX_ROW_AGE: (u32, Duration) = (3, Duration::from_secs(3));

/// The most rows of a page.
const PAGE_SIZE: u32 = 500;

/// An entry's row.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Row {
    /// Where it can be asked.
    address: SocketAddr,
    /// When it was written, in seconds since the start of 1970 by the writer's clock.
    at: u64,
    /// The writer's availability zone.
    zone: name::Zone,
    /// The part of a core that the writer may use, in thousandths.
    core_share: u16,
    /// How many seconds the writer waits until it writes again.
    every: u64,
    /// Organisations that asked for much of their limits lately.
    busy: Vec<name::Organisation>,
}

/// Returns how old a row may be whose writer waits for so many seconds between two writes.
fn max_row_age(every: u64) -> Duration {
    let (times, more) = MAX_ROW_AGE;
    Duration::from_secs(every).saturating_mul(times) + more
}

/// Keeps the row and reads the list for as long as the process lives.
pub async fn members(control: Control, table: Rc<dyn Table>) {
    let mut round = 0;
    loop {
        // The list is read first: the own row still says what the process before knew.
        let read = round % WRITES_PER_READ != 0 || read(&control, &table).await;
        let written = write(&control, &table).await;
        control.shared().metrics.called("entries", read && written);
        if read && written {
            round += 1;
            tokio::time::sleep(scale_pause(WRITE_INTERVAL, control.entry_count())).await;
        } else {
            tokio::time::sleep(scale_pause(RETRY_DELAY, control.entry_count())).await;
        }
    }
}

/// Writes this entry's row.
async fn write(control: &Control, table: &Rc<dyn Table>) -> bool {
    let settings = &control.shared().settings;
    let row = Row {
        address: settings.listen.peers,
        at: control.shared().tally.unix_time().as_secs(),
        zone: settings.zone.clone(),
        core_share: control.core_share(),
        every: scale_pause(WRITE_INTERVAL, control.entry_count()).as_secs(),
        busy: control.busy_organisations(),
    };
    let Ok(body) = postcard::to_stdvec(&row) else {
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
    }
    ending == Ending::Applied
}

async fn read(control: &Control, table: &Rc<dyn Table>) -> bool {
    let today = control.shared().tally.unix_time();
    let mut after: Option<SmolStr> = None;
    let mut busy = Vec::new();
    let (mut others, mut is_back) = (0, false);
    loop {
        let page = match table.query(SmolStr::new_static(PARTITION), after, PAGE_SIZE).await {
            Ok(page) => page,
            Err(error) => {
                info!(control.shared().log.always(), "list of entries not read"; "cause" => %error);
                return false;
            }
        };
        for (name, row) in &page.rows {
            match postcard::from_bytes::<Row>(&row.body) {
                Ok(row) if today.saturating_sub(Duration::from_secs(row.at)) < max_row_age(row.every) => {
                    busy.extend(row.busy);
                    let is_own = *name == control.shared().settings.name.as_str();
                    is_back |= is_own;
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
            // Where others serve and it has no row of its own, the entry joins them.
            let joins = others > 0 && !is_back;
            control.entry_list_read(Some(busy).filter(|_| !joins));
            return true;
        };
        after = Some(next);
    }
}
