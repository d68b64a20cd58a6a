//! An entry's view of the fleet, for operators.

use bergamotshift_core::clock::Instant;
use bergamotshift_core::name;
use serde::Deserialize;
use serde::Serialize;

use super::Kernel;
use crate::member;
use crate::zone::Reach;

/// One zone as an entry sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Zone {
    /// Name of the zone.
    pub name: name::Zone,
    /// Reachability of the zone.
    pub reach: Reach,
    /// Speakers of the zone.
    pub speakers: Vec<name::Entry>,
}

/// An entry's view of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// Entry that the view belongs to.
    pub entry: name::Entry,
    /// All members, ordered by name.
    pub members: Vec<member::Record>,
    /// All zones.
    pub zones: Vec<Zone>,
    /// Number of endpoints that the VM list shows.
    pub endpoints: usize,
    /// Number of endpoints that leave.
    pub leaving: usize,
    /// Number of pauses detected in this entry's own clock.
    pub pauses: u64,
    /// Number of frames that could not be decoded.
    pub unreadable: u64,
}

impl Kernel {
    /// Returns this entry's view of the fleet.
    pub fn status(&self, now: Instant) -> Status {
        let zones = self.zones.keys().map(|zone| Zone {
            name: zone.clone(),
            reach: self.reach(now, zone),
            speakers: self.speaker_names(zone),
        });
        Status {
            entry: self.me.name.clone(),
            members: self.members.iter().map(|(_, record)| record.clone()).collect(),
            zones: zones.collect(),
            endpoints: self.directory.len(),
            leaving: self.marks.len(),
            pauses: self.pauses,
            unreadable: self.unreadable,
        }
    }

    /// Returns the names of a zone's speakers.
    pub fn speaker_names(&self, zone: &name::Zone) -> Vec<name::Entry> {
        self.speakers_of(zone)
            .iter()
            .filter_map(|key| self.members.get(*key))
            .map(|record| record.name.clone())
            .collect()
    }
}
