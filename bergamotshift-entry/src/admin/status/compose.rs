//! Assembles the status from the snapshot, the endpoints and the reports.

use std::collections::BTreeMap;

use bergamotshift_config::accept::record::Version;
use bergamotshift_config::config::Config;
use bergamotshift_core::prelude::*;
use smol_str::SmolStr;

use super::Endpoint;
use super::Health;
use super::Member;
use super::Status;
use super::Zone;
use crate::worker::Shared;

impl Status {
    /// Returns the status of the entry, given the accepted configuration version and the known endpoints.
    pub fn of(shared: &Shared, config: Option<Version>, endpoints: Vec<Endpoint>) -> Self {
        let snapshot = shared.publisher.current();
        let reports = &shared.reports;
        let members = reports.members().map(|members| members.to_vec());
        Self {
            name: shared.settings.name.clone(),
            zone: shared.settings.zone.clone(),
            version: SmolStr::new_static(env!("CARGO_PKG_VERSION")),
            snapshot: snapshot.number,
            config,
            ready: shared.is_ready(),
            draining: shared.is_draining(),
            active: u64::try_from(shared.metrics.active.get()).unwrap_or(0),
            zones: zones(&snapshot.config, &endpoints, members.as_deref().unwrap_or_default()),
            endpoints,
            members,
            leases: reports.leases().to_vec(),
            platform: reports.platform(),
        }
    }
}

/// Counts the endpoints of each availability zone and marks the zones that are cut off.
///
/// A zone is cut off when endpoints or entries are known there and none of them can be reached. Endpoints that are
/// leaving and unreachable, and entries that left, do not count as known.
pub(super) fn zones(config: &Config, endpoints: &[Endpoint], members: &[Member]) -> Vec<Zone> {
    let mut zones: BTreeMap<&name::Zone, Zone> = BTreeMap::new();
    let empty = |name: &name::Zone, region| Zone {
        name: name.clone(),
        region,
        live: 0,
        leaving: 0,
        unreachable: 0,
        cut_off: false,
    };
    for (name, zone) in &config.zones {
        zones.insert(name, empty(name, Some(zone.region.clone())));
    }
    let mut reachability: BTreeMap<&name::Zone, bool> = BTreeMap::new();
    for endpoint in endpoints {
        let name = &endpoint.zone;
        let zone = zones.entry(name).or_insert_with(|| empty(name, None));
        match endpoint {
            Endpoint { leaving: true, .. } => zone.leaving += 1,
            Endpoint { reachable: false, .. } => zone.unreachable += 1,
            Endpoint { .. } => zone.live += 1,
        }
        // A VM that announced its departure is expected to become unreachable.
        if endpoint.reachable || !endpoint.leaving {
            *reachability.entry(name).or_default() |= endpoint.reachable;
        }
    }
    for member in members.iter().filter(|member| member.health != Health::Left) {
        let name = &member.zone;
        zones.entry(name).or_insert_with(|| empty(name, None));
        *reachability.entry(name).or_default() |= member.health.is_live();
    }
    for (name, reachable) in reachability {
        if let Some(zone) = zones.get_mut(name) {
            zone.cut_off = !reachable;
        }
    }
    zones.into_values().collect()
}
