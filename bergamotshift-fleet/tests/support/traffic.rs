//! Counts the traffic that the frames would cause on the wire.

use std::collections::BTreeMap;
use std::time::Duration;

use bergamotshift_core::clock::Instant;

/// Overhead of a packet in bytes: IP and UDP headers, QUIC's short header, frame header and seal.
const PACKET: u64 = 28 + 30;
/// Bytes of an acknowledgement, in a packet with another frame and in one of its own.
const ACK_ALONG: u64 = 5;
const ACK_ALONE: u64 = PACKET + ACK_ALONG;
/// Payload of a full packet in bytes.
const FULL: usize = 1_150;
/// Time that QUIC may delay an acknowledgement.
const ACK_DELAY: Duration = Duration::from_millis(25);
/// Idle time after which a connection is closed.
const IDLE: Duration = Duration::from_mins(10);
/// Bytes of a handshake with certificates on both sides in each direction: padded first flights and two chains.
const HANDSHAKE: u64 = 3_600;

/// Traffic per entry.
#[derive(Clone, Debug)]
pub struct Traffic {
    pub bytes_sent: Vec<u64>,
    pub bytes_received: Vec<u64>,
    pub packets: Vec<u64>,
    pub frames: Vec<u64>,
    pub handshakes: u64,
    pending: BTreeMap<(usize, usize), Instant>,
    connections: BTreeMap<(usize, usize), Instant>,
}

impl Traffic {
    pub fn new(entries: usize) -> Self {
        Self {
            bytes_sent: vec![0; entries],
            bytes_received: vec![0; entries],
            packets: vec![0; entries],
            frames: vec![0; entries],
            handshakes: 0,
            pending: BTreeMap::new(),
            connections: BTreeMap::new(),
        }
    }

    /// Resets the counters; connections stay open.
    pub fn reset(&mut self) {
        for counts in [
            &mut self.bytes_sent,
            &mut self.bytes_received,
            &mut self.packets,
            &mut self.frames,
        ] {
            counts.fill(0);
        }
        self.handshakes = 0;
    }

    pub(super) fn sent(&mut self, now: Instant, from: usize, to: usize, length: usize) {
        self.connect(now, from, to);
        let packets = length.div_ceil(FULL).max(1) as u64;
        let along = self.pending.remove(&(from, to)).map_or(0, |_| ACK_ALONG);
        let bytes = length as u64 + packets * PACKET + along;
        self.bytes_sent[from] += bytes;
        self.packets[from] += packets;
        self.frames[from] += 1;
    }

    /// Counts a received frame and returns the time at which its acknowledgement is due.
    pub(super) fn received(&mut self, now: Instant, from: usize, to: usize, length: usize) -> Instant {
        let packets = length.div_ceil(FULL).max(1) as u64;
        self.bytes_received[to] += length as u64 + packets * PACKET;
        self.packets[to] += packets;
        // Every second packet is acknowledged at once.
        for _ in 0..packets / 2 {
            self.count_ack(to, from);
        }
        if packets.is_multiple_of(2) {
            return now;
        }
        if self.pending.remove(&(to, from)).is_some() {
            self.count_ack(to, from);
            return now;
        }
        let due = now + ACK_DELAY;
        self.pending.insert((to, from), due);
        due
    }

    pub(super) fn acknowledge(&mut self, now: Instant, node: usize, peer: usize) {
        if self.pending.get(&(node, peer)).is_some_and(|due| *due <= now) {
            self.pending.remove(&(node, peer));
            self.count_ack(node, peer);
        }
    }

    fn count_ack(&mut self, from: usize, to: usize) {
        self.bytes_sent[from] += ACK_ALONE;
        self.bytes_received[to] += ACK_ALONE;
        self.packets[from] += 1;
        self.packets[to] += 1;
    }

    fn connect(&mut self, now: Instant, from: usize, to: usize) {
        let pair = (from.min(to), from.max(to));
        let last = self.connections.insert(pair, now);
        if last.is_some_and(|last| now.since(last) < IDLE) {
            return;
        }
        self.handshakes += 1;
        for end in [from, to] {
            self.bytes_sent[end] += HANDSHAKE;
            self.bytes_received[end] += HANDSHAKE;
        }
    }
}
