use super::*;

proptest::proptest! {
    #[test]
    fn set_behaves_like_a_btree_set(ops in proptest::collection::vec((0u32..40, proptest::bool::ANY), 0..200)) {
        let (mut set, mut expected) = (TaskIndexSet::default(), std::collections::BTreeSet::new());
        for (index, insert) in ops {
            if insert {
                proptest::prop_assert_eq!(set.insert(index), expected.insert(index));
            } else {
                proptest::prop_assert_eq!(set.remove(index), expected.remove(&index));
            }
            proptest::prop_assert!(set.iter().eq(expected.iter().copied()));
            proptest::prop_assert_eq!(set.len() as usize, expected.len());
        }
    }
}
