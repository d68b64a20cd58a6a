//! Reads the certificate again, as long as the entry runs.

use std::sync::Arc;

use slog::info;
use slog::warn;

use super::Certificate;
use super::Change;
use crate::worker::Shared;

/// Takes a changed pair for the handshakes to come; of a broken one it tells once.
pub async fn follow(certificate: Arc<Certificate>, shared: Arc<Shared>) {
    let logger = &shared.settings.logger;
    let mut told = None;
    loop {
        tokio::time::sleep(certificate.settings().reread).await;
        // Files may lie on a slow mount, and this thread has other work.
        let reading = Arc::clone(&certificate);
        let Ok(read) = ntex::rt::spawn_blocking(move || reading.reread()).await else {
            return;
        };
        shared.metrics.certificate_refused.set(i64::from(read.is_err()));
        match read {
            Ok(change) => {
                if change == Change::Taken {
                    shared.metrics.certificates.inc();
                    info!(logger, "another certificate is in use");
                }
                told = None;
            }
            Err(error) => {
                let text = error.to_string();
                if told.as_ref() != Some(&text) {
                    warn!(logger, "the certificate before stays in use"; "error" => &text);
                    told = Some(text);
                }
            }
        }
    }
}
