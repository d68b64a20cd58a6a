//! Reads the platform's VM list and its notices.

use core::time::Duration;
use std::rc::Rc;

use bergamotshift_platform::vms::Vms;
use slog::Logger;
use slog::debug;

use super::Event;
use crate::control::Sender;

/// Tells the control thread what the VM list says, until it ends.
///
/// A list that cannot be read changes nothing: endpoints that are known are served on.
pub async fn list(vms: Rc<dyn Vms>, interval: Duration, sender: Sender, logger: Logger) {
    loop {
        match vms.list().await {
            Ok(listings) => sender.send(Event::Listed(listings)),
            Err(error) => debug!(logger, "cannot read the VM list"; "error" => %error),
        }
        tokio::time::sleep(interval).await;
    }
}

/// Tells the control thread of notices, until it ends.
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
