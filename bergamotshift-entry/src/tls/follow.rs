//! Task that reads the certificate again at an interval.

use std::sync::Arc;

use slog::info;
use slog::warn;

use super::Certificate;
use super::Change;
use crate::worker::Shared;

/// Replaces the certificate when its source changes. A repeated error is logged once; a different error, or one that
/// follows a success, is logged again.
pub async fn follow(certificate: Arc<Certificate>, shared: Arc<Shared>) {
    let logger = &shared.settings.logger;
    let mut logged_error = None;
    loop {
        tokio::time::sleep(certificate.settings().reread).await;
        // The files may be on a slow mount, and blocking this thread would delay its other tasks.
        let reader = Arc::clone(&certificate);
        let Ok(result) = ntex::rt::spawn_blocking(move || reader.reread()).await else {
            return;
        };
        shared.metrics.certificate_refused.set(i64::from(result.is_err()));
        match result {
            Ok(change) => {
                if change == Change::Replaced {
                    shared.metrics.certificates.inc();
                    info!(logger, "another certificate is in use");
                }
                logged_error = None;
            }
            Err(error) => {
                let text = error.to_string();
                if logged_error.as_ref() != Some(&text) {
                    warn!(logger, "the certificate before stays in use"; "error" => &text);
                    logged_error = Some(text);
                }
            }
        }
    }
}
