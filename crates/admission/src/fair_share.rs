//! Weighted max-min fairness: divides a capacity in proportion to weights and gives no claim more than its demand.

/// A claim on a share of the capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// Weight of the claim; must be positive.
    pub weight: f64,
    /// Requested amount, and the maximum that is assigned.
    pub demand: f64,
}

/// Divides `capacity` among the claims. Returns the shares in the order of the claims.
///
/// Uses progressive filling: all shares grow in proportion to their weights; a claim whose demand is met stops growing,
/// and the others divide the rest. Therefore no share can be increased without reducing another one that is not larger
/// relative to its weight.
pub fn max_min(capacity: f64, claims: &[Claim]) -> Vec<f64> {
    let mut shares = vec![0.0; claims.len()];
    let mut fill_order: Vec<usize> = (0..claims.len()).collect();
    // The claims with the lowest demand relative to their weight are satisfied first.
    let normalized_demand = |index: &usize| claims[*index].demand / claims[*index].weight;
    fill_order.sort_by(|a, b| normalized_demand(a).total_cmp(&normalized_demand(b)));
    let mut remaining = capacity.max(0.0);
    let mut remaining_weight: f64 = claims.iter().map(|claim| claim.weight).sum();
    for index in fill_order {
        let claim = claims[index];
        let fair_portion = remaining * claim.weight / remaining_weight;
        shares[index] = claim.demand.min(fair_portion);
        remaining -= shares[index];
        remaining_weight -= claim.weight;
    }
    shares
}
