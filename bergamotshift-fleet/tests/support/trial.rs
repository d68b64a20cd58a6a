//! Measures how long news takes to reach every entry.

use std::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_fleet::prelude::*;
use rand::RngExt;

use super::Fleet;

/// Times until the entries knew something.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    pub times: Vec<Duration>,
    /// Entries that did not know in time.
    pub missed: usize,
}

/// Returns the value below which this share of the sorted values lies.
pub fn percentile<T: Copy + Ord>(values: &[T], share: f64) -> Option<T> {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let index = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(index).copied()
}

impl Spread {
    fn take(&mut self, start: Instant, at: Option<Instant>) {
        match at {
            Some(at) => self.times.push(at.since(start)),
            None => self.missed += 1,
        }
    }

    /// Returns p50, p99 and the largest time in milliseconds.
    pub fn summary(&self) -> [u128; 3] {
        [0.5, 0.99, 1.0].map(|share| percentile(&self.times, share).unwrap_or_default().as_millis())
    }
}

impl Fleet {
    /// Lets one entry after the other learn that an endpoint leaves, and times the others.
    pub fn leaving_spread(&mut self, trials: usize, wait: Duration) -> Spread {
        let mut spread = Spread::default();
        for trial in 0..trials {
            let endpoint = self.endpoint(trial);
            let learner = self.random.random_range(0..self.nodes.len());
            let start = self.now;
            let event = Event::EndpointLeaving {
                endpoint: endpoint.clone(),
                source: mark::Source::Notice,
                notice_ms: Some(5_000),
            };
            self.event(learner, event);
            self.run(wait);
            for (_, node) in self.running() {
                spread.take(start, node.marked.get(&endpoint).copied());
            }
        }
        spread
    }

    /// Lets one entry after the other announce a new configuration, and times the others.
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
                spread.take(start, node.noted.get(&version).copied());
            }
        }
        spread
    }

    /// Kills one entry after the other and times until the others know.
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
                let mut opinions = node.opinions.iter();
                let dead = opinions
                    .find(|(at, record)| *at >= start && record.tag() == tag && record.state == member::State::Dead);
                spread.take(start, dead.map(|(at, _)| *at));
            }
        }
        spread
    }

    /// Counts traffic for a while: sent and received bytes per second and entry, sorted.
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

    /// Returns how old the loads are that the entries hold of their own zone's endpoints, and how many are missing.
    pub fn load_ages(&self) -> Spread {
        let mut spread = Spread::default();
        for (_, node) in self.running() {
            let zone = &node.kernel.me().zone;
            for known in node.kernel.directory().iter().filter(|known| known.zone == *zone) {
                let heard = node.kernel.load(&known.id);
                match heard {
                    Some((_, at)) => spread.times.push(self.now.since(at)),
                    None => spread.missed += 1,
                }
            }
        }
        spread
    }

    /// Returns the most news that waits at any entry.
    pub fn longest_queue(&self) -> usize {
        self.running()
            .map(|(_, node)| node.kernel.pending_news())
            .max()
            .unwrap_or(0)
    }
}
