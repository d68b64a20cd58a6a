//! Weighted max-min division of a capacity by progressive filling.

/// Weight and demand of one organisation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claimant {
    /// Weight relative to the other organisations.
    pub weight: f64,
    /// Demand in units per second.
    pub demand: f64,
}

/// Divides a capacity by weighted max-min fairness and returns the share of each claimant.
///
/// Claimants are served in the order of demand per weight. Each one gets its demand or, if that is less, its weighted
/// part of the remaining capacity. Capacity beyond the total demand is not assigned.
pub fn divide(capacity: f64, claimants: &[Claimant]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..claimants.len())
        .filter(|index| claimants[*index].weight > 0.0)
        .collect();
    let demand_per_weight = |index: &usize| claimants[*index].demand / claimants[*index].weight;
    order.sort_by(|left, right| demand_per_weight(left).total_cmp(&demand_per_weight(right)));

    let mut remaining = capacity.max(0.0);
    let mut weights: f64 = order.iter().map(|index| claimants[*index].weight).sum();
    let mut shares = vec![0.0; claimants.len()];
    for index in order {
        let claimant = claimants[index];
        let part = remaining * (claimant.weight / weights).min(1.0);
        shares[index] = claimant.demand.min(part);
        remaining -= shares[index];
        weights -= claimant.weight;
    }
    shares
}
