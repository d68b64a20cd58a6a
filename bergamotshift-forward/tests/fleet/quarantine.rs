//! Requests that crash endpoints, in fleets whose entries tell each other of the deaths.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_forward::endpoint::Endpoint;
use bergamotshift_limit::prelude::*;
use tokio::time::sleep;

use crate::model::Fleet;
use crate::model::Node;
use crate::model::Size;
use crate::model::registration;
use crate::model::run;

const CRASHING: Fingerprint = Fingerprint::new(1);

/// Time in which a fleet has started.
const START: Duration = Duration::from_secs(6);

/// Time within which all entries have to refuse a request that crashed three endpoints; operators state it as the time
/// after which a fleet is stable.
const REFUSED_WITHIN: Duration = Duration::from_secs(3);

/// Time within which all entries learn of a change of a registration.
const LEARNED_WITHIN: Duration = Duration::from_secs(10);

fn refuses(node: &Node) -> bool {
    node.control().is_some_and(|control| {
        let view = control.shared().view.load();
        let verdict = view.suspects.verdict(control.shared().clock.now(), CRASHING);
        matches!(verdict, Verdict::Refused { .. })
    })
}

/// Crashes an endpoint with a request that an entry sent to it.
fn crash(fleet: &Fleet, entry: usize, endpoint: usize) {
    let hash = Endpoint::new(registration(endpoint)).hash;
    let control = fleet.nodes[entry].control().expect("the entry runs");
    control.endpoint_died(hash, control.shared().clock.now(), CRASHING, true);
}

/// Guards against a crashing request that is admitted again as soon as the registrations of the endpoints that it crashed
/// lapse, because the removal of a registration was taken for an announcement that the endpoint leaves.
#[test]
fn a_crashing_request_stays_refused_when_the_registrations_of_its_endpoints_lapse() {
    /// Time after its last heartbeat at which a registration is removed.
    const LAPSE: Duration = Duration::from_millis(3_600);
    for entries in [8, 30] {
        run(async move {
            let fleet = Fleet::new(Size::of(entries));
            fleet.start().await;
            sleep(START).await;
            for endpoint in 0..3 {
                crash(&fleet, 1, endpoint);
                sleep(Duration::from_millis(300)).await;
            }
            fleet.wait_for_all("the refusal", REFUSED_WITHIN, refuses).await;
            sleep(LAPSE).await;
            for endpoint in 0..3 {
                fleet.remove(&registration(endpoint).id);
            }
            sleep(REFUSED_WITHIN).await;
            let admitting = fleet.nodes.iter().filter(|node| !refuses(node)).count();
            assert_eq!(admitting, 0, "of {entries} entries");
        });
    }
}

/// Guards against a crashing request that goes on because its endpoints' registrations had lapsed for a time before, behind a
/// cut from the store: a removal that was undone still excused every death.
#[test]
fn a_crashing_request_is_refused_although_the_registrations_of_its_endpoints_lapsed_before() {
    for entries in [4, 20, 66] {
        run(async move {
            let fleet = Fleet::new(Size::of(entries));
            fleet.start().await;
            sleep(START).await;
            for endpoint in 0..3 {
                fleet.remove(&registration(endpoint).id);
            }
            let lapsed = |node: &Node| (0..3).all(|endpoint| node.has_left(Endpoint::new(registration(endpoint)).hash));
            fleet.wait_for_all("the lapse", LEARNED_WITHIN, lapsed).await;
            for endpoint in 0..3 {
                fleet.write(registration(endpoint));
            }
            let returned =
                |node: &Node| !(0..3).any(|endpoint| node.has_left(Endpoint::new(registration(endpoint)).hash));
            fleet.wait_for_all("the return", LEARNED_WITHIN, returned).await;
            for endpoint in 0..3 {
                crash(&fleet, endpoint % entries, endpoint);
                sleep(Duration::from_millis(300)).await;
            }
            fleet.wait_for_all("the refusal", REFUSED_WITHIN, refuses).await;
        });
    }
}
