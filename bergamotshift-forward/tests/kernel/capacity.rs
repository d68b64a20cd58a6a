//! How many endpoints are ordered.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;
use bergamotshift_forward::capacity::Planner;
use bergamotshift_forward::capacity::Present;
use bergamotshift_forward::capacity::Settings;
use bergamotshift_forward::capacity::cover;
use bergamotshift_forward::document::Scale;
use bergamotshift_forward::outside::Order;

use crate::support::at;

const ZONES: [&str; 4] = ["a", "b", "c", "d"];

fn scale() -> Scale {
    let prices = [1.0, 0.8, 1.25, 0.9];
    let prices = ZONES
        .iter()
        .zip(prices)
        .map(|(zone, price)| (name::Zone::new(zone), price));
    Scale {
        min: 1,
        max: 6,
        boot: Duration::from_secs(4),
        reclaimable_price: Some(0.15),
        zone_prices: prices.collect(),
    }
}

fn present(counts: [(u32, u32); 4]) -> BTreeMap<name::Zone, Present> {
    let present = |(on_demand, reclaimable)| Present {
        on_demand,
        reclaimable,
        ..Present::default()
    };
    let pairs = ZONES.iter().zip(counts);
    pairs
        .map(|(zone, counts)| (name::Zone::new(zone), present(counts)))
        .collect()
}

fn planner() -> Planner {
    Planner::new(Settings {
        reclaimable: 4,
        least: 7,
        ..Settings::default()
    })
}

fn plan(planner: &mut Planner, now: Instant, counts: [(u32, u32); 4]) -> Vec<Order> {
    planner.plan(now, &"planner".into(), &scale(), &present(counts), 10_000.0)
}

fn of(orders: &[Order], market: Market) -> Vec<(&str, u32)> {
    let kind = orders.iter().filter(|order| order.market == market);
    kind.map(|order| (order.zone.as_str(), order.count)).collect()
}

#[test]
fn on_demand_endpoints_stay_until_reclaimable_ones_serve() {
    let mut planner = planner();
    let orders = plan(&mut planner, at(0), [(3, 0); 4]);
    assert!(of(&orders, Market::OnDemand).is_empty());
    assert_eq!(of(&orders, Market::Reclaimable).len(), 4);
    let orders = plan(&mut planner, at(5_000), [(3, 3); 4]);
    let given_back = of(&orders, Market::OnDemand);
    assert_eq!(given_back.len(), 4);
    assert!(given_back.iter().all(|(_, count)| *count == 0));
}

#[test]
fn an_order_is_not_repeated_while_its_endpoints_boot() {
    let mut planner = planner();
    assert!(!plan(&mut planner, at(0), [(3, 0); 4]).is_empty());
    assert!(plan(&mut planner, at(1_000), [(3, 0); 4]).is_empty());
    assert!(!plan(&mut planner, at(8_000), [(3, 0); 4]).is_empty());
}

/// A zone's reclaimable endpoints are taken away, and the platform has none left anywhere. Callers see no overload when
/// the next zone goes too: on-demand endpoints are ordered for that loss, before it comes.
#[test]
fn while_none_are_to_be_had_the_next_zone_is_made_up_for_ahead() {
    let mut planner = planner();
    let all = [(0, 4); 4];
    plan(&mut planner, at(0), all);
    plan(&mut planner, at(5_000), all);
    let one_gone = [(0, 4), (0, 4), (0, 4), (0, 0)];
    let two_gone = [(0, 4), (0, 4), (0, 0), (0, 0)];
    let orders = plan(&mut planner, at(10_000), one_gone);
    assert_eq!(of(&orders, Market::Reclaimable), [("d", 4)]);
    planner.refused(at(10_000), &orders[0]);
    let orders = plan(&mut planner, at(10_250), one_gone);
    assert!(
        of(&orders, Market::OnDemand).is_empty(),
        "8 of 12 would be left, 7 are needed"
    );
    let orders = plan(&mut planner, at(12_000), two_gone);
    let ordered: u32 = of(&orders, Market::OnDemand).iter().map(|(_, count)| count).sum();
    assert_eq!(
        ordered, 4,
        "none would be left if both went, and half of 7 is to be left"
    );
}

#[test]
fn the_refusals_of_a_dry_zone_do_not_give_on_demand_endpoints_back() {
    let mut planner = planner();
    let present = [(2, 4), (2, 4), (0, 0), (0, 0)];
    let orders = plan(&mut planner, at(0), present);
    for order in &orders {
        planner.refused(at(0), order);
    }
    for step in 1..40 {
        for order in plan(&mut planner, at(step * 250), present) {
            assert!(order.market != Market::OnDemand || order.count > 0, "{order:?}");
            if order.market == Market::Reclaimable {
                planner.refused(at(step * 250), &order);
            }
        }
    }
}

#[test]
fn a_service_without_reclaimable_endpoints_is_left_alone() {
    let scale = Scale {
        reclaimable_price: None,
        ..scale()
    };
    let orders = planner().plan(at(0), &"planner".into(), &scale, &present([(3, 0); 4]), 10_000.0);
    assert!(orders.is_empty());
}

#[test]
fn no_zone_is_asked_for_more_than_its_most() {
    let mut planner = planner();
    for (now, counts) in [(0, [(3, 0); 4]), (9_000, [(6, 0); 4]), (18_000, [(5, 1); 4])] {
        let orders = planner.plan(at(now), &"planner".into(), &scale(), &present(counts), 1e6);
        assert!(orders.iter().all(|order| order.count <= 6), "{orders:?}");
    }
}

/// An entry holds the duties from its first second on, before it has read the endpoints' registrations. It orders
/// nothing then: taken for a service without endpoints and without demand, a fleet of sixty would be brought down to the
/// fewest, and its first callers would wait for others to boot.
#[test]
fn nothing_is_ordered_before_the_endpoints_are_known() {
    let mut planner = planner();
    let wide = Scale { max: 30, ..scale() };
    let nothing = planner.plan(at(0), &"planner".into(), &wide, &BTreeMap::new(), 0.0);
    assert!(nothing.is_empty(), "{nothing:?}");
    let first = present([(1, 0), (0, 0), (0, 0), (0, 0)]);
    planner.plan(at(500), &"planner".into(), &wide, &first, 0.0);
    let provided = present([(15, 0); 4]);
    let orders = planner.plan(at(1_000), &"planner".into(), &wide, &provided, 0.0);
    assert!(orders.iter().all(|order| order.count >= 15), "{orders:?}");
}

/// All entries are killed and start again. The first to take the duties over has measured next to no demand, while
/// callers come back at once: what serves stays until the demand of a while is known.
#[test]
fn a_new_holder_gives_nothing_back_before_it_knows_the_demand() {
    let mut planner = planner();
    let wide = Scale { max: 30, ..scale() };
    let serving = present([(0, 20); 4]);
    for (now, reading) in [(0, 0.0), (1_000, 20_000.0), (14_000, 20_000.0)] {
        let orders = planner.plan(at(now), &"planner".into(), &wide, &serving, reading);
        assert!(orders.is_empty(), "{orders:?}");
    }
    let orders = planner.plan(at(16_000), &"planner".into(), &wide, &serving, 20_000.0);
    assert_eq!(orders.len(), 4, "{orders:?}");
}

/// A fleet starts with the endpoints that its operators ordered, and nobody has asked for anything yet. They are not
/// given back for want of demand: callers who come a moment later would meet an overload until others have booted.
#[test]
fn what_operators_provided_stays_until_demand_is_known() {
    let mut planner = planner();
    let provided = [(10, 0); 4];
    let wide = Scale { max: 20, ..scale() };
    let plan = |planner: &mut Planner, now, counts, reading| {
        planner.plan(at(now), &"planner".into(), &wide, &present(counts), reading)
    };
    let orders = plan(&mut planner, 0, provided, 0.0);
    let ordered: u32 = of(&orders, Market::Reclaimable).iter().map(|(_, count)| count).sum();
    assert!(ordered >= 40, "{ordered} reclaimable ones for 40 that were provided");
    plan(&mut planner, 60_000, [(0, 14); 4], 0.0);
    assert!(plan(&mut planner, 61_000, [(0, 14); 4], 10_000.0).is_empty());
    let orders = plan(&mut planner, 90_000, [(0, 14); 4], 10_000.0);
    assert!(
        orders.iter().all(|order| order.count < 14) && !orders.is_empty(),
        "{orders:?}"
    );
}

/// Two zones have no room for reclaimable endpoints, and on-demand ones are ordered up to all that a zone may have. There
/// is no place left to ask for reclaimable ones, so no answer ever says that there is room again; the on-demand ones must
/// be given back all the same, one zone after the other, or they are paid for the rest of the day.
#[test]
fn on_demand_endpoints_that_fill_a_zone_are_given_back() {
    let mut planner = planner();
    for zone in ["a", "b"] {
        planner.refused(
            at(0),
            &Order {
                service: "planner".into(),
                zone: zone.into(),
                market: Market::Reclaimable,
                count: 4,
            },
        );
    }
    let full = [(6, 0), (6, 0), (0, 4), (0, 4)];
    for now in [1_000, 10_000] {
        let orders = plan(&mut planner, at(now), full);
        assert!(
            of(&orders, Market::OnDemand).iter().all(|(_, count)| *count > 0),
            "{orders:?}"
        );
    }
    let orders = plan(&mut planner, at(16_000), full);
    assert!(of(&orders, Market::OnDemand).contains(&("a", 0)), "{orders:?}");
    let orders = plan(&mut planner, at(17_000), [(0, 0), (6, 0), (0, 4), (0, 4)]);
    assert!(of(&orders, Market::Reclaimable).contains(&("a", 4)), "{orders:?}");
    let orders = plan(&mut planner, at(22_000), [(0, 4), (6, 0), (0, 4), (0, 4)]);
    assert!(of(&orders, Market::OnDemand).contains(&("b", 0)), "{orders:?}");
}

/// Two zones of four are reclaimed, and then the other two within a second, on a notice that is shorter than endpoints
/// take to boot. Callers meet half of what they need instead of nothing: that half was ordered when the second zone went.
#[test]
fn two_zones_at_once_leave_half_of_what_is_needed() {
    assert_eq!(cover::on_demand(9, &[9, 9, 9, 9], 0), 0);
    assert_eq!(cover::on_demand(9, &[9, 9, 9, 0], 1), 0);
    assert_eq!(cover::on_demand(9, &[9, 9, 0, 0], 2), 5);
    assert_eq!(cover::on_demand(9, &[9, 0, 0, 0], 3), 9);
    assert_eq!(cover::on_demand(9, &[0, 0, 0, 0], 4), 9);
}

/// A zone's notice comes. The loss is made up for in the same look, not after the platform has refused to replace it: the
/// notice is shorter than the time to boot, so each second counts.
#[test]
fn a_zone_that_is_reclaimed_is_made_up_for_at_once() {
    let mut planner = planner();
    let all = [(0, 4); 4];
    plan(&mut planner, at(0), all);
    plan(&mut planner, at(5_000), all);
    let orders = plan(&mut planner, at(10_000), [(0, 4), (0, 0), (0, 0), (0, 0)]);
    let ordered: u32 = of(&orders, Market::OnDemand).iter().map(|(_, count)| count).sum();
    assert_eq!(ordered, 7, "{orders:?}");
}

/// All reclaimable endpoints boot at the start, and one zone's are ready before another's. The others are on their way:
/// nothing is ordered for them.
#[test]
fn zones_that_boot_are_not_made_up_for() {
    let mut planner = planner();
    for order in plan(&mut planner, at(0), [(0, 0); 4]) {
        planner.accepted(&order);
    }
    let orders = plan(&mut planner, at(4_000), [(0, 4), (0, 0), (0, 0), (0, 0)]);
    assert!(of(&orders, Market::OnDemand).is_empty(), "{orders:?}");
}

/// A fleet starts with on-demand endpoints that leave its zones little room for reclaimable ones. Fewer of those fit than are
/// needed, so the on-demand ones stayed for good. Those that the reclaimable ones make up for are given back, and each step
/// makes room for more, until nobody is paid for twice.
#[test]
fn on_demand_endpoints_give_way_in_steps_where_zones_have_little_room() {
    let mut planner = planner();
    let plan =
        |planner: &mut Planner, now, counts| planner.plan(at(now), &"planner".into(), &scale(), &present(counts), 0.0);
    let orders = plan(&mut planner, 0, [(4, 0); 4]);
    assert!(of(&orders, Market::OnDemand).is_empty(), "{orders:?}");
    let mut counts = [(4, 0); 4];
    for step in 1..8_u64 {
        // What was ordered has booted.
        for order in plan(&mut planner, step * 5_000, counts) {
            let zone = ZONES
                .iter()
                .position(|zone| *zone == order.zone.as_str())
                .expect("it is one");
            match order.market {
                Market::OnDemand => counts[zone].0 = order.count,
                Market::Reclaimable => counts[zone].1 = order.count,
            }
        }
        let serving: u32 = counts
            .iter()
            .map(|(on_demand, reclaimable)| on_demand + reclaimable)
            .sum();
        assert!(serving >= 16, "{counts:?} serve where 16 were provided");
    }
    let on_demand: u32 = counts.iter().map(|(on_demand, _)| on_demand).sum();
    assert_eq!(on_demand, 0, "{counts:?}");
}

/// Zones are reclaimed in turn and have no room for seconds. On-demand endpoints that the zones left do not need are given
/// back meanwhile where reclaimable ones serve; those of the zone without room stay.
#[test]
fn on_demand_endpoints_beyond_the_cover_are_given_back_while_a_zone_is_dry() {
    let mut planner = planner();
    plan(&mut planner, at(0), [(3, 4); 4]);
    let order = Order {
        service: "planner".into(),
        zone: "d".into(),
        market: Market::Reclaimable,
        count: 4,
    };
    planner.refused(at(16_000), &order);
    let orders = plan(&mut planner, at(16_250), [(3, 4), (3, 4), (3, 4), (3, 0)]);
    let given_back = of(&orders, Market::OnDemand);
    assert_eq!(
        given_back,
        [("a", 0), ("b", 0), ("c", 0)],
        "8 would serve without one more zone, 7 are needed"
    );
}

/// Guards against orders that count beside the endpoints of a version that is rolled out: together they are held to a zone's
/// most, so an order for what serves takes nearly all of it away.
#[test]
fn nothing_is_ordered_in_a_zone_while_a_version_is_rolled_out_there() {
    let mut planner = planner();
    plan(&mut planner, at(0), [(0, 4); 4]);
    let mut counts = present([(0, 4); 4]);
    for here in counts.values_mut() {
        here.foreign = 4;
    }
    for now in [1_000, 20_000, 40_000] {
        let orders = planner.plan(at(now), &"planner".into(), &scale(), &counts, 10_000.0);
        assert!(orders.is_empty(), "{orders:?}");
    }
}

/// Guards against a fleet that is brought down to the fewest within a second, since endpoints of others came to stand in its
/// zones and left no room.
#[test]
fn what_serves_stays_though_others_fill_its_zone() {
    let mut planner = planner();
    plan(&mut planner, at(0), [(0, 4); 4]);
    let orders = plan(&mut planner, at(1_000), [(5, 4); 4]);
    assert!(of(&orders, Market::Reclaimable).is_empty(), "{orders:?}");
}

/// Guards against on-demand endpoints that were started for a new version and are all paid for after it was completed.
#[test]
fn a_completed_version_keeps_as_many_on_demand_endpoints_as_are_needed() {
    let wide = Scale { max: 46, ..scale() };
    let mut planner = planner();
    let plan = |planner: &mut Planner, now, counts| {
        planner.plan(at(now), &"planner".into(), &wide, &present(counts), 200_000.0)
    };
    plan(&mut planner, 0, [(0, 4); 4]);
    let orders = plan(&mut planner, 20_000, [(45, 0); 4]);
    let left: u32 = of(&orders, Market::OnDemand).iter().map(|(_, count)| count).sum();
    assert!((8..=12).contains(&left), "8 are needed: {orders:?}");
    assert_eq!(of(&orders, Market::OnDemand).len(), 4);
}

/// Has a planner see a demand for so many endpoints every quarter of a second up to a time, and returns its last orders.
fn follow(planner: &mut Planner, seconds: core::ops::Range<u64>, needed: f64) -> Vec<Order> {
    let reading = needed * Settings::default().reads - 1.0;
    let mut orders = Vec::new();
    for millis in (seconds.start * 1_000..seconds.end * 1_000).step_by(250) {
        let here = present([(0, 6); 4]);
        let due = planner.plan(at(millis), &"planner".into(), &scale(), &here, reading);
        orders.extend(due);
    }
    orders
}

/// Guards against endpoints that are given back in the trough of a wave, when the last peak is as old as is remembered although
/// demand was as high a few seconds ago.
#[test]
fn endpoints_stay_for_the_most_of_the_last_while() {
    let mut planner = planner();
    follow(&mut planner, 0..2, 12.0);
    let before = follow(&mut planner, 2..15, 11.0);
    let in_the_trough = follow(&mut planner, 15..25, 2.0);
    assert_eq!(before, in_the_trough, "nothing changes while the wave is remembered");
    assert!(!follow(&mut planner, 25..45, 2.0).is_empty(), "the wave is over");
}
