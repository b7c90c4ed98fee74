//! Properties of weighted max-min fairness, tested with arbitrary claims.

use caperstile_admission::fair_share::{Claim, max_min};
use proptest::prelude::*;

const TOLERANCE: f64 = 1e-6;

fn claims() -> impl Strategy<Value = Vec<Claim>> {
    prop::collection::vec((0.01f64..100.0, 0.0f64..50.0), 1..40)
        .prop_map(|pairs| pairs.into_iter().map(|(weight, demand)| Claim { weight, demand }).collect())
}

#[test]
fn capacity_beyond_the_demand_of_a_claim_is_divided_among_the_others() {
    let claim = |weight, demand| Claim { weight, demand };
    assert_eq!(max_min(9.0, &[claim(1.0, 1.0), claim(1.0, 100.0), claim(1.0, 100.0)]), [1.0, 4.0, 4.0]);
    assert_eq!(max_min(9.0, &[claim(1.0, 100.0), claim(2.0, 100.0)]), [3.0, 6.0]);
    assert_eq!(max_min(9.0, &[claim(1.0, 2.0), claim(1.0, 3.0)]), [2.0, 3.0]);
    assert!(max_min(9.0, &[]).is_empty());
}

proptest! {
    #[test]
    fn no_share_exceeds_its_demand_and_no_demanded_capacity_is_left(capacity in 0.0f64..500.0, claims in claims()) {
        let shares = max_min(capacity, &claims);
        let (assigned, demanded): (f64, f64) = (shares.iter().sum(), claims.iter().map(|claim| claim.demand).sum());
        prop_assert!((assigned - capacity.min(demanded)).abs() < TOLERANCE * (1.0 + capacity));
        for (share, claim) in shares.iter().zip(&claims) {
            prop_assert!(*share <= claim.demand + TOLERANCE);
        }
    }

    #[test]
    fn a_claim_with_unmet_demand_has_the_highest_share_per_weight(
        capacity in 0.0f64..500.0,
        claims in claims(),
    ) {
        let shares = max_min(capacity, &claims);
        let share_per_weight = |index: usize| shares[index] / claims[index].weight;
        for unmet in (0..claims.len()).filter(|index| shares[*index] < claims[*index].demand - TOLERANCE) {
            for other in 0..claims.len() {
                prop_assert!(
                    share_per_weight(unmet) >= share_per_weight(other) - TOLERANCE * (1.0 + share_per_weight(other))
                );
            }
        }
    }
}
