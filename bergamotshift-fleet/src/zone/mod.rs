//! Zones as the fleet sees them: their speakers, heartbeats and load summaries.
//!
//! A few members of each zone, its speakers, exchange news with the speakers of the other zones. They follow from a
//! rendezvous hash over the zone's live members and a term number that a speaker raises now and then, so that the
//! duty goes round and no election is needed.

mod view;

use bergamotshift_core::name;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::tag;
pub use view::View;

/// Raises the number by which a zone's speakers are chosen; the highest wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Term {
    /// The zone.
    pub zone: tag::Short,
    /// The number.
    pub number: u32,
}

/// A speaker's sign of life, with the zones that it cannot reach.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Beat {
    /// The speaker's zone.
    pub zone: tag::Short,
    /// The speaker.
    pub speaker: tag::Short,
    /// Counts the speaker's beats, modulo 2^16.
    pub sequence: u16,
    /// The zones that did not answer the speaker's last probes.
    pub lost: Vec<tag::Short>,
}

/// The load of a service in a zone, summed over its endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Summary {
    /// The zone.
    pub zone: tag::Short,
    /// The service.
    pub service: tag::Short,
    /// Counts the zone's summaries, modulo 2^16.
    pub sequence: u16,
    /// Endpoints that take work, on the scale of [`crate::load::quantise`].
    pub endpoints: u8,
    /// Slots of these endpoints, on the same scale.
    pub slots: u8,
    /// Requests that run or wait there, on the same scale.
    pub busy: u8,
    /// Prompt tokens not yet computed, on the same scale.
    pub prefill: u8,
}

/// How a zone can be reached from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reach {
    /// Its entries answer.
    Direct,
    /// Only news of it arrives, by way of a third zone.
    Relayed,
    /// Nothing arrives.
    Lost,
}

/// Returns how many speakers a zone of this size has.
///
/// One in ten, so that a speaker's share of the traffic between zones stays flat as the zone grows, and two at
/// least, so that one may fail.
pub const fn speaker_count(members: usize) -> usize {
    const MEMBERS_PER_SPEAKER: usize = 10;
    const LEAST: usize = 2;
    const MOST: usize = 4;
    let wanted = members.div_ceil(MEMBERS_PER_SPEAKER);
    if wanted < LEAST {
        LEAST
    } else if wanted > MOST {
        MOST
    } else {
        wanted
    }
}

/// Returns the key under which a zone's speakers are ranked in a term.
pub fn speaker_key(zone: &name::Zone, term: u32) -> u64 {
    xxh3_64_with_seed(zone.as_str().as_bytes(), u64::from(term))
}
