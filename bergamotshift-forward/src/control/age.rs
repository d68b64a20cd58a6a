//! Reports how old this entry's copies of the store's contents are.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use slog::info;

use super::inner::Inner;
use crate::follow::Alarm;
use crate::follow::Checkpoint;
use crate::follow::Transition;
use crate::view::Shared;

impl Inner {
    /// Updates the metrics of the ages, and logs when a copy becomes outdated and when it is current again.
    pub(super) fn update_ages(&mut self, now: Instant, shared: &Shared) {
        let seconds = |checkpoint: &Checkpoint| checkpoint.age(now).as_ref().map_or(0.0, Duration::as_secs_f64);
        let metrics = &shared.metrics;
        metrics.document_age.set(seconds(&self.document_checkpoint));
        metrics.registrations_age.set(seconds(&self.registrations_checkpoint));
        report(
            now,
            shared,
            "document",
            &self.document_checkpoint,
            &mut self.document_alarm,
        );
        let checkpoint = &self.registrations_checkpoint;
        report(now, shared, "registrations", checkpoint, &mut self.registrations_alarm);
    }
}

fn report(now: Instant, shared: &Shared, copy: &'static str, checkpoint: &Checkpoint, alarm: &mut Alarm) {
    let log = shared.log.always();
    let age = checkpoint.age(now);
    match alarm.update(now, age) {
        Some(Transition::Outdated) => info!(log, "copy outdated"; "copy" => copy,
            "age_ms" => age.unwrap_or_default().as_millis() as u64, "cursor" => %checkpoint.cursor()),
        Some(Transition::Renewed(span)) => info!(log, "copy current"; "copy" => copy,
            "outdated_ms" => span.as_millis() as u64, "cursor" => %checkpoint.cursor()),
        None => {}
    }
}
