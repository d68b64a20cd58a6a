//! Tests of a configuration change, from the operator to the entries, against stand-ins of the platform.

mod gossip;
mod site;

use std::time::Duration;

use bergamotshift_config::accept::proposer::Outcome;
use bergamotshift_standin::fault::Fault;

use site::Site;
use site::folder;

#[ntex::test]
async fn an_accepted_change_is_in_force_in_every_zone() {
    let site = Site::start(&["zone-a", "zone-b"]).await;
    let accepted = site.apply(&folder::empty(), &folder::with_key("first")).await;
    assert!(
        matches!(accepted, Outcome::Accepted { revision, .. } if revision.version.get() == 1),
        "{accepted:?}"
    );
    site.wait_in_force(1).await;
    site.assert_keys("first", "second").await;
    let changed = site
        .apply(&folder::with_key("first"), &folder::with_key("second"))
        .await;
    assert!(
        matches!(changed, Outcome::Accepted { revision, .. } if revision.version.get() == 2),
        "{changed:?}"
    );
    site.wait_in_force(2).await;
    site.assert_keys("second", "first").await;
}

#[ntex::test]
async fn a_lost_answer_to_the_accepting_write_accepts_once() {
    // Writes take effect but their answers are lost. A proposer that took these writes for failed would propose the
    // change twice; it has to read the rows back and report one acceptance.
    let site = Site::start(&["zone-a"]).await;
    site.table.fault(Fault::LoseAnswerAfterWrite { count: 3 });
    let accepted = site.apply(&folder::empty(), &folder::with_key("first")).await;
    assert!(
        matches!(accepted, Outcome::Accepted { revision, .. } if revision.version.get() == 1),
        "{accepted:?}"
    );
    site.wait_in_force(1).await;
    assert_eq!(site.version_count(), 1);
}

#[ntex::test]
async fn two_operators_at_once_lose_no_change() {
    // Two operators start from the same version and change different files: both changes come into force, as two
    // versions. A third change, to a file that was changed meanwhile, is refused with the name of that file.
    let site = Site::start(&["zone-a"]).await;
    let base = folder::with_key("first");
    site.apply(&folder::empty(), &base).await;
    let (ours, theirs) = (folder::with_key("second"), folder::with_class("first"));
    let both = [site.apply(&base, &ours).await, site.apply(&base, &theirs).await];
    assert!(
        both.iter().all(|outcome| matches!(outcome, Outcome::Accepted { .. })),
        "{both:?}"
    );
    site.wait_in_force(3).await;
    site.assert_keys("second", "first").await;
    let third = site.apply(&base, &folder::with_key("third")).await;
    assert_eq!(third, Outcome::Conflict(vec!["20-organisations.toml".into()]));
}

#[ntex::test]
async fn a_table_that_is_down_refuses_the_change_and_serving_goes_on() {
    // The table refuses connections. The operator is told that nothing was proposed, callers are still served with the
    // version in force, and a change is accepted again after the outage.
    let site = Site::start(&["zone-a"]).await;
    site.apply(&folder::empty(), &folder::with_key("first")).await;
    site.wait_in_force(1).await;
    site.table.fault(Fault::Down);
    let refused = site
        .apply_within(&folder::with_key("first"), &folder::with_key("second"), Duration::ZERO)
        .await;
    assert_eq!(refused, Outcome::Unreachable);
    site.assert_keys("first", "second").await;
    site.table.fault(Fault::Up);
    site.apply(&folder::with_key("first"), &folder::with_key("second"))
        .await;
    site.wait_in_force(2).await;
}

#[ntex::test]
async fn a_fresh_entry_is_not_ready_before_it_has_a_configuration() {
    // An entry that starts before the first version exists answers its readiness check with 503, so the load balancer
    // sends it no callers until a version is in force.
    let site = Site::start(&["zone-a"]).await;
    assert_eq!(site.ready().await, [503]);
    site.apply(&folder::empty(), &folder::with_key("first")).await;
    site.wait_in_force(1).await;
    assert_eq!(site.ready().await, [200]);
}
