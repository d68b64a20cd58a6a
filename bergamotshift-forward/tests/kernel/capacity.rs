//! Plans for the number of endpoints of a service.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;
use bergamotshift_forward::capacity::Counts;
use bergamotshift_forward::capacity::Planner;
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

fn present(counts: [(u32, u32); 4]) -> BTreeMap<name::Zone, Counts> {
    let present = |(on_demand, reclaimable)| Counts {
        on_demand,
        reclaimable,
        ..Counts::default()
    };
    let pairs = ZONES.iter().zip(counts);
    pairs
        .map(|(zone, counts)| (name::Zone::new(zone), present(counts)))
        .collect()
}

fn planner() -> Planner {
    Planner::new(Settings {
        min_reclaimable: 4,
        min_endpoints: 7,
        ..Settings::default()
    })
}

fn plan(planner: &mut Planner, now: Instant, counts: [(u32, u32); 4]) -> Vec<Order> {
    planner.plan(now, &"planner".into(), &scale(), &present(counts), 10_000.0)
}

fn of(orders: &[Order], market: Market) -> Vec<(&str, u32)> {
    let of_market = orders.iter().filter(|order| order.market == market);
    of_market.map(|order| (order.zone.as_str(), order.count)).collect()
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

/// Guards against an overload when a second zone is reclaimed while the platform has no reclaimable endpoints left.
/// On-demand endpoints are ordered for that loss before it comes.
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
fn refusals_in_a_zone_without_capacity_do_not_give_on_demand_endpoints_back() {
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
fn nothing_is_ordered_for_a_service_without_reclaimable_endpoints() {
    let scale = Scale {
        reclaimable_price: None,
        ..scale()
    };
    let orders = planner().plan(at(0), &"planner".into(), &scale, &present([(3, 0); 4]), 10_000.0);
    assert!(orders.is_empty());
}

#[test]
fn no_order_exceeds_the_limit_of_a_zone() {
    let mut planner = planner();
    for (now, counts) in [(0, [(3, 0); 4]), (9_000, [(6, 0); 4]), (18_000, [(5, 1); 4])] {
        let orders = planner.plan(at(now), &"planner".into(), &scale(), &present(counts), 1e6);
        assert!(orders.iter().all(|order| order.count <= 6), "{orders:?}");
    }
}

/// Guards against orders of an entry that holds the duties from its first second on, before it has read the endpoints'
/// registrations. It would bring a fleet of sixty down to the minimum, and its first callers would wait for others to
/// boot.
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

/// Guards against endpoints that are given back after all entries were killed and started again. The new holder of the
/// duties has measured next to no demand, while callers come back at once.
#[test]
fn a_new_holder_gives_nothing_back_before_it_knows_the_demand() {
    let mut planner = planner();
    let wide = Scale { max: 30, ..scale() };
    let serving = present([(0, 20); 4]);
    for (now, demand) in [(0, 0.0), (1_000, 20_000.0), (14_000, 20_000.0)] {
        let orders = planner.plan(at(now), &"planner".into(), &wide, &serving, demand);
        assert!(orders.is_empty(), "{orders:?}");
    }
    let orders = planner.plan(at(16_000), &"planner".into(), &wide, &serving, 20_000.0);
    assert_eq!(orders.len(), 4, "{orders:?}");
}

/// Guards against endpoints that operators ordered for a new fleet and that are given back before its first request.
/// Callers who come a moment later would meet an overload until others have booted.
#[test]
fn endpoints_provided_by_operators_stay_until_demand_is_known() {
    let mut planner = planner();
    let provided = [(10, 0); 4];
    let wide = Scale { max: 20, ..scale() };
    let plan = |planner: &mut Planner, now, counts, demand| {
        planner.plan(at(now), &"planner".into(), &wide, &present(counts), demand)
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

/// Guards against on-demand endpoints that are paid for the rest of the day, as they fill two zones which had no
/// capacity for reclaimable ones. No reclaimable ones can be ordered there any more, so no answer shows that there is
/// capacity again.
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

/// Guards against a fleet without endpoints when two zones of four are reclaimed, and then the other two within a
/// second, on a notice that is shorter than the time to boot. Half of the needed endpoints are ordered when the second
/// zone goes.
#[test]
fn two_zones_at_once_leave_half_of_what_is_needed() {
    assert_eq!(cover::on_demand(9, &[9, 9, 9, 9], 0), 0);
    assert_eq!(cover::on_demand(9, &[9, 9, 9, 0], 1), 0);
    assert_eq!(cover::on_demand(9, &[9, 9, 0, 0], 2), 5);
    assert_eq!(cover::on_demand(9, &[9, 0, 0, 0], 3), 9);
    assert_eq!(cover::on_demand(9, &[0, 0, 0, 0], 4), 9);
}

/// Guards against a loss that is covered only after the platform has refused to replace a reclaimed zone. The notice is
/// shorter than the time to boot, so each second counts.
#[test]
fn the_loss_of_a_reclaimed_zone_is_covered_at_once() {
    let mut planner = planner();
    let all = [(0, 4); 4];
    plan(&mut planner, at(0), all);
    plan(&mut planner, at(5_000), all);
    let orders = plan(&mut planner, at(10_000), [(0, 4), (0, 0), (0, 0), (0, 0)]);
    let ordered: u32 = of(&orders, Market::OnDemand).iter().map(|(_, count)| count).sum();
    assert_eq!(ordered, 7, "{orders:?}");
}

/// Guards against on-demand orders for zones whose reclaimable endpoints are still booting at the start, while those of
/// another zone are ready.
#[test]
fn zones_whose_endpoints_are_booting_are_not_covered() {
    let mut planner = planner();
    for order in plan(&mut planner, at(0), [(0, 0); 4]) {
        planner.accepted(&order);
    }
    let orders = plan(&mut planner, at(4_000), [(0, 4), (0, 0), (0, 0), (0, 0)]);
    assert!(of(&orders, Market::OnDemand).is_empty(), "{orders:?}");
}

/// Guards against on-demand endpoints that stay for good, as a fleet starts with so many that fewer reclaimable ones
/// fit into its zones than are needed. Those that reclaimable ones replace are given back, and each step makes space
/// for more.
#[test]
fn on_demand_endpoints_give_way_in_steps_where_zones_have_little_room() {
    let mut planner = planner();
    let plan =
        |planner: &mut Planner, now, counts| planner.plan(at(now), &"planner".into(), &scale(), &present(counts), 0.0);
    let orders = plan(&mut planner, 0, [(4, 0); 4]);
    assert!(of(&orders, Market::OnDemand).is_empty(), "{orders:?}");
    let mut counts = [(4, 0); 4];
    for step in 1..8_u64 {
        // The ordered endpoints have booted.
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

/// Guards against on-demand endpoints that are not needed and stay in every zone while one zone was reclaimed and has
/// no capacity. They are given back where reclaimable ones serve; those of the zone without capacity stay.
#[test]
fn unneeded_on_demand_endpoints_are_given_back_while_a_zone_has_no_capacity() {
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

/// Guards against an order for as many endpoints as serve that takes nearly all of them away, since the platform counts
/// them together with those of a version that is being rolled out against the zone's limit.
#[test]
fn nothing_is_ordered_in_a_zone_while_a_version_is_rolled_out_there() {
    let mut planner = planner();
    plan(&mut planner, at(0), [(0, 4); 4]);
    let mut counts = present([(0, 4); 4]);
    for here in counts.values_mut() {
        here.rolling_out = 4;
    }
    for now in [1_000, 20_000, 40_000] {
        let orders = planner.plan(at(now), &"planner".into(), &scale(), &counts, 10_000.0);
        assert!(orders.is_empty(), "{orders:?}");
    }
}

/// Guards against a fleet that is brought down to the minimum within a second, since on-demand endpoints in its zones
/// left no space for its reclaimable ones.
#[test]
fn serving_endpoints_stay_while_others_fill_their_zone() {
    let mut planner = planner();
    plan(&mut planner, at(0), [(0, 4); 4]);
    let orders = plan(&mut planner, at(1_000), [(5, 4); 4]);
    assert!(of(&orders, Market::Reclaimable).is_empty(), "{orders:?}");
}

/// Guards against on-demand endpoints that were started for a new version and all stay after its rollout was completed.
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

/// Runs a planner every quarter of a second over a span, with a demand for `needed` endpoints; returns its orders.
fn run(planner: &mut Planner, seconds: core::ops::Range<u64>, needed: f64) -> Vec<Order> {
    let demand = needed * Settings::default().prefill_rate - 1.0;
    let mut orders = Vec::new();
    for millis in (seconds.start * 1_000..seconds.end * 1_000).step_by(250) {
        let here = present([(0, 6); 4]);
        let due = planner.plan(at(millis), &"planner".into(), &scale(), &here, demand);
        orders.extend(due);
    }
    orders
}

/// Guards against endpoints that are given back in the trough of a wave, since its peak lies at the beginning of the
/// window, although demand was nearly as high a few seconds ago.
#[test]
fn endpoints_stay_for_the_peak_demand_of_the_window() {
    let mut planner = planner();
    run(&mut planner, 0..2, 12.0);
    let before = run(&mut planner, 2..15, 11.0);
    let in_the_trough = run(&mut planner, 15..25, 2.0);
    assert_eq!(before, in_the_trough, "nothing changes while the wave is remembered");
    assert!(!run(&mut planner, 25..45, 2.0).is_empty(), "the wave is over");
}
