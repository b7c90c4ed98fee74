//! Weighted max-min fairness: what it promises, for any claims.

use caperstile_admission::fair_share::{Claim, max_min};
use proptest::prelude::*;

const EXACT: f64 = 1e-6;

fn claims() -> impl Strategy<Value = Vec<Claim>> {
    prop::collection::vec((0.01f64..100.0, 0.0f64..50.0), 1..40)
        .prop_map(|pairs| pairs.into_iter().map(|(weight, demand)| Claim { weight, demand }).collect())
}

#[test]
fn what_one_does_not_ask_for_goes_to_the_others() {
    let claim = |weight, demand| Claim { weight, demand };
    assert_eq!(max_min(9.0, &[claim(1.0, 1.0), claim(1.0, 100.0), claim(1.0, 100.0)]), [1.0, 4.0, 4.0]);
    assert_eq!(max_min(9.0, &[claim(1.0, 100.0), claim(2.0, 100.0)]), [3.0, 6.0]);
    assert_eq!(max_min(9.0, &[claim(1.0, 2.0), claim(1.0, 3.0)]), [2.0, 3.0]);
    assert!(max_min(9.0, &[]).is_empty());
}

proptest! {
    #[test]
    fn nobody_gets_more_than_asked_and_nothing_is_wasted(capacity in 0.0f64..500.0, claims in claims()) {
        let shares = max_min(capacity, &claims);
        let (given, asked): (f64, f64) = (shares.iter().sum(), claims.iter().map(|claim| claim.demand).sum());
        prop_assert!((given - capacity.min(asked)).abs() < EXACT * (1.0 + capacity));
        for (share, claim) in shares.iter().zip(&claims) {
            prop_assert!(*share <= claim.demand + EXACT);
        }
    }

    #[test]
    fn whoever_gets_less_than_asked_has_no_less_for_its_weight_than_anybody_else(
        capacity in 0.0f64..500.0,
        claims in claims(),
    ) {
        let shares = max_min(capacity, &claims);
        let level = |index: usize| shares[index] / claims[index].weight;
        for short in (0..claims.len()).filter(|index| shares[*index] < claims[*index].demand - EXACT) {
            for other in 0..claims.len() {
                prop_assert!(level(short) >= level(other) - EXACT * (1.0 + level(other)));
            }
        }
    }
}
