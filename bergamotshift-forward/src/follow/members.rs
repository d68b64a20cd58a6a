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
use slog::info;
use smol_str::SmolStr;

use crate::control::Control;

/// The partition of the list.
const PARTITION: &str = "entry";

/// The time between two readings. Entries name one another, so the list is for those that know nobody.
const LOOK: Duration = Duration::from_secs(10);

/// The time between two readings until the list has been read once.
const PAUSE: Duration = Duration::from_millis(500);

/// The most rows of a page.
const PAGE: u32 = 500;

/// Keeps the row and reads the list for as long as the process lives.
pub async fn members(control: Control, table: Rc<dyn Table>) {
    let mut written = false;
    loop {
        if !written {
            written = write(&control, &table).await;
        }
        let read = read(&control, &table).await;
        control.shared().metrics.called("entries", read);
        tokio::time::sleep(if read && written { LOOK } else { PAUSE }).await;
    }
}

/// Writes this entry's row, unless it says the same already.
async fn write(control: &Control, table: &Rc<dyn Table>) -> bool {
    let settings = &control.shared().settings;
    let write = Write {
        key: Key::new(PARTITION, settings.name.as_str()),
        condition: Condition::Any,
        change: Change::Put(settings.listen.peers.to_string().into_bytes()),
    };
    let ending = table.transact(vec![write]).await;
    if ending != Ending::Applied {
        info!(control.shared().log.always(), "own row not written"; "ending" => ?ending);
    }
    ending == Ending::Applied
}

async fn read(control: &Control, table: &Rc<dyn Table>) -> bool {
    let mut after: Option<SmolStr> = None;
    loop {
        let page = match table.query(SmolStr::new_static(PARTITION), after, PAGE).await {
            Ok(page) => page,
            Err(error) => {
                info!(control.shared().log.always(), "list of entries not read"; "cause" => %error);
                return false;
            }
        };
        for (name, row) in &page.rows {
            let address = core::str::from_utf8(&row.body)
                .ok()
                .and_then(|text| text.parse::<SocketAddr>().ok());
            if let Some(address) = address {
                control.named(&name::Entry::new(name), address);
            }
        }
        let Some(next) = page.next else {
            control.listed();
            return true;
        };
        after = Some(next);
    }
}
