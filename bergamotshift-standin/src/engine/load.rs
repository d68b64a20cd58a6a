//! Load reports that are some reports behind.

use std::collections::VecDeque;

use bergamotshift_core::load::Report;

use super::batch;
use super::batch::Batch;
use super::settings::Settings;

/// Reports made so far, as many as the lag needs.
#[derive(Debug, Default)]
pub(super) struct Reports {
    made: u64,
    recent: VecDeque<Report>,
}

impl Reports {
    /// Makes a report of how things are and returns the one that is due.
    pub(super) fn next(&mut self, settings: &Settings, batch: &Batch, cached_blocks: usize, leaving: bool) -> Report {
        self.made += 1;
        self.recent
            .push_back(report(settings, batch, cached_blocks, leaving, self.made));
        while self.recent.len() > settings.load_lag + 1 {
            self.recent.pop_front();
        }
        self.recent.front().copied().unwrap_or_default()
    }
}

fn report(settings: &Settings, batch: &Batch, cached_blocks: usize, leaving: bool, sequence: u64) -> Report {
    let (running, waiting) = batch.sizes();
    let interval = batch::interval(settings, running as usize).as_secs_f64();
    let rate = if interval > 0.0 {
        f64::from(running) / interval
    } else {
        0.0
    };
    let cached = cached_blocks as u64 * u64::from(settings.block_tokens);
    Report {
        sequence,
        running,
        waiting,
        slots: settings.slots,
        prefill_backlog: batch.backlog(),
        decode_rate: rate as u32,
        cache_permille: (cached * 1000 / u64::from(settings.cache_tokens.max(1))).min(1000) as u16,
        leaving,
    }
}
