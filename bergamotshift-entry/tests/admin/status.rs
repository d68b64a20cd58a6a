//! Tests of the status document.

use core::time::Duration;

use bergamotshift_core::name;
use bergamotshift_entry::Settings;
use bergamotshift_entry::admin::status::Status;
use bergamotshift_entry::settings::Platform;

use crate::closed::Port;
use crate::site::Layout;
use crate::site::Site;

/// Interval of load reports, short enough that a test detects a dead endpoint by missing reports alone.
const REPORT_INTERVAL: Duration = Duration::from_millis(20);

/// Polls the status until it satisfies `condition`.
async fn wait_for_status(site: &Site, condition: impl Fn(&Status) -> bool) -> Status {
    loop {
        let status: Status = serde_json::from_value(site.status().await).unwrap();
        if condition(&status) {
            return status;
        }
    }
}

#[ntex::test]
async fn status_shows_zones_and_endpoints() {
    let site = Site::start(Layout::default()).await;
    let status = wait_for_status(&site, |status| {
        status.endpoints.iter().all(|endpoint| endpoint.reachable)
    })
    .await;
    assert!(status.ready && !status.draining);
    assert_eq!((status.active, status.config), (0, None));
    assert_eq!(status.members, None);
    assert_eq!(status.cut_off().count(), 0);
    let zones: Vec<_> = status
        .zones
        .iter()
        .map(|zone| (zone.name.as_str(), zone.live))
        .collect();
    assert_eq!(zones, [("zone-a", 2), ("zone-b", 2)]);
    assert_eq!(status.zones[0].region.as_ref().unwrap().as_str(), "region");
}

#[ntex::test]
async fn lost_zone_is_shown_as_cut_off() {
    // All endpoints of one zone die without notice and their load reports fail one by one. The zone is cut off once the
    // last endpoint is unreachable; the other zone is not.
    let mut layout = Layout::default();
    layout.settings.watch.report_interval = REPORT_INTERVAL;
    let site = Site::start(layout).await;
    site.engines[0].kill();
    site.plains[0].kill();
    let status = wait_for_status(&site, |status| status.cut_off().count() > 0).await;
    let cut_off: Vec<_> = status.cut_off().map(name::Zone::as_str).collect();
    assert_eq!(cut_off, ["zone-a"]);
    assert_eq!(status.zones[0].unreachable, 2);
    assert_eq!(status.zones[1].unreachable, 0);
}

#[ntex::test]
async fn unreachable_platform_is_shown() {
    let closed = Port::hold();
    let defaults = Layout::default();
    let site = Site::start(Layout {
        settings: Settings {
            platform: Platform {
                vms: Some(closed.address()),
                ..Platform::default()
            },
            ..defaults.settings
        },
        ..defaults
    })
    .await;
    let status = wait_for_status(&site, |status| !status.platform.is_empty()).await;
    assert_eq!(status.platform[0].name, "vms");
    assert!(!status.platform[0].answers);
}
