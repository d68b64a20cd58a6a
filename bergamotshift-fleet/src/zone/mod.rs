//! Zones as the fleet sees them: their speakers, heartbeats and load summaries.
//!
//! A few members of each zone, its speakers, exchange updates with the speakers of the other zones. They are chosen by
//! a rendezvous hash of the zone's live members and of a term number, which a speaker raises at intervals. The role
//! thus rotates and needs no election.

mod view;

use bergamotshift_core::name;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::tag;
pub use view::View;

/// Term by which a zone's speakers are chosen; the highest number wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Term {
    /// Tag of the zone.
    pub zone: tag::Short,
    /// Number of the term.
    pub number: u32,
}

/// Heartbeat of a speaker, with the zones that it cannot reach.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// Tag of the speaker's zone.
    pub zone: tag::Short,
    /// Tag of the speaker.
    pub speaker: tag::Short,
    /// Sequence number of the speaker's heartbeats, modulo 2^16.
    pub sequence: u16,
    /// Zones that did not answer the speaker's last probes.
    pub lost: Vec<tag::Short>,
}

/// Load of a service in a zone, summed over its endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Summary {
    /// Tag of the zone.
    pub zone: tag::Short,
    /// Tag of the service.
    pub service: tag::Short,
    /// Sequence number of the zone's summaries, modulo 2^16.
    pub sequence: u16,
    /// Number of endpoints that accept work, on the scale of [`crate::load::quantise`].
    pub endpoints: u8,
    /// Number of slots of these endpoints, on the same scale.
    pub slots: u8,
    /// Number of requests that run or wait there, on the same scale.
    pub busy: u8,
    /// Number of prompt tokens not yet computed, on the same scale.
    pub prefill: u8,
}

/// Reachability of a zone from this entry's zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reach {
    /// The zone's entries answer.
    Direct,
    /// Only updates about the zone arrive, through a third zone.
    Relayed,
    /// Nothing arrives.
    Lost,
}

/// Returns the number of speakers of a zone with `members` live members.
///
/// One in ten, so that a speaker's share of the traffic between zones stays constant as the zone grows, but at least
/// two, so that one may fail, and at most four.
pub const fn speaker_count(members: usize) -> usize {
    const MEMBERS_PER_SPEAKER: usize = 10;
    const MIN_SPEAKERS: usize = 2;
    const MAX_SPEAKERS: usize = 4;
    let wanted = members.div_ceil(MEMBERS_PER_SPEAKER);
    if wanted < MIN_SPEAKERS {
        MIN_SPEAKERS
    } else if wanted > MAX_SPEAKERS {
        MAX_SPEAKERS
    } else {
        wanted
    }
}

/// Returns the key by which a zone's speakers are ranked in a term.
pub fn speaker_key(zone: &name::Zone, term: u32) -> u64 {
    xxh3_64_with_seed(zone.as_str().as_bytes(), u64::from(term))
}
