//! Weighted max-min division of a capacity.

/// What one organisation asks for and how much it weighs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Its weight against the others.
    pub weight: f64,
    /// Units per second it asks for.
    pub demand: f64,
}

/// Divides a capacity so that nobody gets more than it asks for while another goes short.
///
/// Claims are met in the order of demand per weight; each time, the claim gets its demand or its weight's part of
/// what is left. What nobody asks for is not handed out.
pub fn fill(capacity: f64, claims: &[Claim]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..claims.len()).filter(|index| claims[*index].weight > 0.0).collect();
    let pressure = |index: &usize| claims[*index].demand / claims[*index].weight;
    order.sort_by(|left, right| pressure(left).total_cmp(&pressure(right)));

    let mut left = capacity.max(0.0);
    let mut weights: f64 = order.iter().map(|index| claims[*index].weight).sum();
    let mut shares = vec![0.0; claims.len()];
    for index in order {
        let claim = claims[index];
        let part = left * (claim.weight / weights).min(1.0);
        shares[index] = claim.demand.min(part);
        left -= shares[index];
        weights -= claim.weight;
    }
    shares
}
