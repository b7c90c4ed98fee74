//! Weighted max-min fairness: what is to be divided goes to all by their weights, but to nobody more than it asks for.

/// Somebody who asks for a share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// Its weight; must be positive.
    pub weight: f64,
    /// What it asks for.
    pub demand: f64,
}

/// Divides `capacity` among the claims, in their order.
///
/// Progressive filling: all are raised in proportion to their weights; whoever has what it asks for drops out, and the others share what
/// is left. So nobody can get more without taking from one who has less for its weight.
pub fn max_min(capacity: f64, claims: &[Claim]) -> Vec<f64> {
    let mut shares = vec![0.0; claims.len()];
    let mut order: Vec<usize> = (0..claims.len()).collect();
    // Whoever asks for least by its weight is satisfied first.
    let level = |index: &usize| claims[*index].demand / claims[*index].weight;
    order.sort_by(|a, b| level(a).total_cmp(&level(b)));
    let mut left = capacity.max(0.0);
    let mut weights: f64 = claims.iter().map(|claim| claim.weight).sum();
    for index in order {
        let claim = claims[index];
        let fair = left * claim.weight / weights;
        shares[index] = claim.demand.min(fair);
        left -= shares[index];
        weights -= claim.weight;
    }
    shares
}
