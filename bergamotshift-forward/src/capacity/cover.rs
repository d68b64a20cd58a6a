//! Computes how many on-demand endpoints cover for reclaimable ones that are gone or may be reclaimed next.
//!
//! Zones are reclaimed one after the other: once one is gone, the next one follows within seconds more often than not,
//! and new endpoints take longer to boot than the notice lasts. So each lost zone adds one more loss that is covered
//! ahead: after the first, the loss of one more zone; from the second on, the loss of two more, which sometimes come
//! within a second of each other.

/// Fraction of the needed endpoints that must remain when zero, one or two more zones are reclaimed before other
/// endpoints have booted. With half of them, the most valuable requests are still served; with none, every request
/// would be refused.
const MIN_REMAINING: [f64; 3] = [1.0, 1.0, 0.5];

/// Returns the number of on-demand endpoints that are wanted, where `needed` endpoints serve all requests, `zones`
/// holds the expected number of reclaimable endpoints in each zone, and `lost` zones have lost theirs.
pub fn on_demand(needed: u32, zones: &[u32], lost: usize) -> u32 {
    let mut largest_first = zones.to_vec();
    largest_first.sort_unstable_by(|a, b| b.cmp(a));
    let wanted = MIN_REMAINING
        .iter()
        .take(lost + 1)
        .enumerate()
        .map(|(losses, fraction)| {
            let remaining: u32 = largest_first.iter().skip(losses).sum();
            let required = (f64::from(needed) * fraction).ceil() as u32;
            required.saturating_sub(remaining)
        });
    wanted.max().unwrap_or_default()
}
