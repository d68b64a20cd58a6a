//! The status, as other programs read it.

use core::time::Duration;

use bergamotshift_core::name;
use bergamotshift_entry::Settings;
use bergamotshift_entry::admin::status::Status;
use bergamotshift_entry::settings::Platform;

use crate::closed::Port;
use crate::site::Layout;
use crate::site::Site;

/// Soon enough that a test sees an endpoint's death by its load reports alone.
const REPORTS: Duration = Duration::from_millis(20);

async fn until(site: &Site, holds: impl Fn(&Status) -> bool) -> Status {
    loop {
        let status: Status = serde_json::from_value(site.status().await).unwrap();
        if holds(&status) {
            return status;
        }
    }
}

#[ntex::test]
async fn the_status_shows_zones_and_endpoints() {
    let site = Site::start(Layout::default()).await;
    let status = until(&site, |status| {
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
async fn a_zone_that_is_lost_shows_as_cut_off() {
    // All endpoints of one zone die unannounced. Load reports fail one by one; when the last of them is gone the zone
    // shows as cut off, and the other one does not.
    let mut layout = Layout::default();
    layout.settings.watch.report_interval = REPORTS;
    let site = Site::start(layout).await;
    site.engines[0].kill();
    site.plains[0].kill();
    let status = until(&site, |status| status.cut_off().count() > 0).await;
    let cut_off: Vec<_> = status.cut_off().map(name::Zone::as_str).collect();
    assert_eq!(cut_off, ["zone-a"]);
    assert_eq!(status.zones[0].unreachable, 2);
    assert_eq!(status.zones[1].unreachable, 0);
}

#[ntex::test]
async fn a_platform_that_is_down_shows() {
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
    let status = until(&site, |status| !status.platform.is_empty()).await;
    assert_eq!(status.platform[0].name, "vms");
    assert!(!status.platform[0].answers);
}
