//! Tests of the conditions under which an availability zone is cut off.

use bergamotshift_config::config::Config;
use bergamotshift_core::prelude::*;

use super::Endpoint;
use super::Health;
use super::Member;
use super::compose::zones;

const ZONE: name::Zone = name::Zone::new_static("zone-a");

/// State of an endpoint: reachable, leaving.
type State = (bool, bool);

fn endpoint((reachable, leaving): State) -> Endpoint {
    Endpoint {
        vm: name::Vm::new_static("vm"),
        incarnation: Incarnation::default(),
        service: name::Service::new_static("app"),
        zone: ZONE,
        leaving,
        reachable,
        in_flight: 0,
    }
}

fn member(health: Health) -> Member {
    Member {
        name: name::Entry::new_static("entry-2"),
        zone: ZONE,
        address: "127.0.0.1:1".parse().unwrap(),
        health,
    }
}

#[test]
fn zone_is_cut_off_when_no_known_endpoint_or_entry_is_reachable() {
    const LIVE: State = (true, false);
    const LEAVING: State = (true, true);
    const LOST: State = (false, false);
    const LEFT: State = (false, true);
    let cases: &[(&[State], &[Health], bool)] = &[
        (&[LIVE], &[], false),
        (&[LOST], &[], true),
        (&[LIVE, LOST], &[], false),
        (&[LEFT], &[], false),
        (&[LEFT, LOST], &[], true),
        (&[LEAVING], &[], false),
        (&[LOST], &[Health::Alive], false),
        (&[LOST], &[Health::Suspect], false),
        (&[LOST], &[Health::Dead], true),
        (&[LOST], &[Health::Left], true),
        (&[], &[Health::Dead], true),
    ];
    for (states, healths, cut_off) in cases {
        let endpoints: Vec<_> = states.iter().map(|state| endpoint(*state)).collect();
        let members: Vec<_> = healths.iter().map(|health| member(*health)).collect();
        let zones = zones(&Config::default(), &endpoints, &members);
        assert_eq!(zones.len(), 1);
        assert_eq!(zones[0].cut_off, *cut_off, "{states:?} {healths:?}");
    }
}

#[test]
fn zone_without_known_endpoints_or_entries_is_not_cut_off() {
    let left = [member(Health::Left)];
    assert_eq!(zones(&Config::default(), &[], &left), []);
}
