//! Polls the platform's VM list and notices.

use core::time::Duration;
use std::rc::Rc;

use bergamotshift_platform::vms::Vms;
use slog::Logger;
use slog::debug;

use super::Event;
use crate::control::Sender;

/// Reads the VM list at each interval and sends it to the control thread until the task is cancelled.
///
/// A list that cannot be read is skipped: known endpoints stay in use.
pub async fn list(vms: Rc<dyn Vms>, interval: Duration, sender: Sender, logger: Logger) {
    loop {
        match vms.list().await {
            Ok(listings) => sender.send(Event::Listed(listings)),
            Err(error) => debug!(logger, "cannot read the VM list"; "error" => %error),
        }
        tokio::time::sleep(interval).await;
    }
}

/// Reads new notices at each interval and sends them to the control thread until the task is cancelled.
pub async fn notices(vms: Rc<dyn Vms>, interval: Duration, sender: Sender, logger: Logger) {
    let mut since = 0;
    loop {
        match vms.notices(since).await {
            Ok(notices) if notices.is_empty() => {}
            Ok(notices) => {
                since = notices.iter().map(|notice| notice.sequence).max().unwrap_or(since);
                sender.send(Event::Noticed(notices));
            }
            Err(error) => debug!(logger, "cannot read the notices"; "error" => %error),
        }
        tokio::time::sleep(interval).await;
    }
}
