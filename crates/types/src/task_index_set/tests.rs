use super::*;

proptest::proptest! {
    #[test]
    fn ranges_behave_like_a_set(ops in proptest::collection::vec((0u32..40, proptest::bool::ANY), 0..200)) {
        let (mut ranges, mut set) = (TaskIndexSet::default(), std::collections::BTreeSet::new());
        for (n, add) in ops {
            if add {
                proptest::prop_assert_eq!(ranges.insert(n), set.insert(n));
            } else {
                proptest::prop_assert_eq!(ranges.remove(n), set.remove(&n));
            }
            proptest::prop_assert!(ranges.iter().eq(set.iter().copied()));
            proptest::prop_assert_eq!(ranges.len() as usize, set.len());
        }
    }
}
