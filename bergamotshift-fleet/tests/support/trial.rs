//! Measures the time in which updates reach all entries.

use std::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_fleet::prelude::*;
use rand::RngExt;

use super::Fleet;

/// Times after which the entries knew an update.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    pub times: Vec<Duration>,
    /// Entries that did not know it in time.
    pub missed: usize,
}

/// Returns the smallest value that at least this share of the values does not exceed.
pub fn percentile<T: Copy + Ord>(values: &[T], share: f64) -> Option<T> {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let index = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(index).copied()
}

impl Spread {
    fn record(&mut self, start: Instant, at: Option<Instant>) {
        match at {
            Some(at) => self.times.push(at.since(start)),
            None => self.missed += 1,
        }
    }

    /// Returns the 50th and 99th percentile and the maximum, in milliseconds.
    pub fn summary(&self) -> [u128; 3] {
        [0.5, 0.99, 1.0].map(|share| percentile(&self.times, share).unwrap_or_default().as_millis())
    }
}

impl Fleet {
    /// Lets one random entry per trial learn that an endpoint leaves, and measures when the others know.
    pub fn leaving_spread(&mut self, trials: usize, wait: Duration) -> Spread {
        let mut spread = Spread::default();
        for trial in 0..trials {
            let endpoint = self.endpoint(trial);
            let observer = self.random.random_range(0..self.nodes.len());
            let start = self.now;
            let event = Event::EndpointLeaving {
                endpoint: endpoint.clone(),
                source: mark::Source::Notice,
                notice_ms: Some(5_000),
            };
            self.event(observer, event);
            self.run(wait);
            for (_, node) in self.running() {
                spread.record(start, node.marked.get(&endpoint).copied());
            }
        }
        spread
    }

    /// Lets one random entry per trial announce a new configuration, and measures when the others know.
    pub fn note_spread(&mut self, trials: usize, wait: Duration) -> Spread {
        let mut spread = Spread::default();
        for version in 1..=trials as u64 {
            let first = self.random.random_range(0..self.nodes.len());
            let start = self.now;
            let event = Event::NotePublished {
                topic: note::Topic::CONFIG,
                key: 0,
                version,
                body: vec![7; 150],
            };
            self.event(first, event);
            self.run(wait);
            for (_, node) in self.running().filter(|(index, _)| *index != first) {
                spread.record(start, node.notes_received.get(&version).copied());
            }
        }
        spread
    }

    /// Kills one random entry per trial and measures when the others know.
    pub fn death_spread(&mut self, trials: usize, wait: Duration) -> Spread {
        let mut spread = Spread::default();
        for _ in 0..trials {
            let running: Vec<usize> = self.running().map(|(index, _)| index).collect();
            let victim = running[self.random.random_range(0..running.len())];
            let start = self.now;
            self.kill(victim);
            self.run(wait);
            let tag = self.nodes[victim].kernel.me().tag();
            for (_, node) in self.running() {
                let mut member_changes = node.member_changes.iter();
                let dead = member_changes
                    .find(|(at, record)| *at >= start && record.tag() == tag && record.state == member::State::Dead);
                spread.record(start, dead.map(|(at, _)| *at));
            }
        }
        spread
    }

    /// Returns the bytes that each entry sends and receives per second within a window, sorted.
    pub fn bytes_per_second(&mut self, window: Duration) -> Vec<u64> {
        self.traffic.reset();
        self.run(window);
        let both = self.traffic.bytes_sent.iter().zip(&self.traffic.bytes_received);
        let mut rates: Vec<u64> = both
            .map(|(sent, received)| (sent + received) / window.as_secs())
            .collect();
        rates.sort_unstable();
        rates
    }

    /// Returns the ages of the loads that entries hold of their own zone's endpoints, and the number of missing ones.
    pub fn load_ages(&self) -> Spread {
        let mut spread = Spread::default();
        for (_, node) in self.running() {
            let zone = &node.kernel.me().zone;
            for known in node.kernel.directory().iter().filter(|known| known.zone == *zone) {
                let load = node.kernel.load(&known.id);
                match load {
                    Some((_, at)) => spread.times.push(self.now.since(at)),
                    None => spread.missed += 1,
                }
            }
        }
        spread
    }

    /// Returns the length of the longest queue of updates.
    pub fn longest_queue(&self) -> usize {
        self.running()
            .map(|(_, node)| node.kernel.pending_updates())
            .max()
            .unwrap_or(0)
    }
}
