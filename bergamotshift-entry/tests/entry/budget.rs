//! Retries under a wave of failures.

use bergamotshift_standin::fault::Fault;
use ntex::http::Method;

use crate::site::Layout;
use crate::site::Site;

#[ntex::test]
async fn attempts_stay_under_the_budget_while_a_third_of_the_endpoints_fail() {
    // Two of six endpoints accept every request and cut it. Most callers notice nothing; the attempts in all stay
    // under 1.2 times the requests, whatever fails, and those that go without get an answer at once.
    const REQUESTS: usize = 600;
    let site = Site::start(Layout {
        engines: 0,
        plains: 6,
        ..Layout::default()
    })
    .await;
    for plain in &site.plains[..2] {
        plain.fault(Fault::Reset);
    }
    let mut served = 0;
    for number in 0..REQUESTS {
        let reply = site.send(Method::GET, &format!("/app/{number}"), &[], "").await;
        served += usize::from(reply.status.is_success());
    }
    let attempts = site.counter("bergamotshift_attempts_total{service=\"app\"}").await;
    assert!(attempts * 10 < REQUESTS as u64 * 12, "{attempts} attempts");
    assert!(served * 10 >= REQUESTS * 7, "{served} served");
}
