use super::*;

/// Guards against planning without pauses: under a flood of jobs, rounds took up to 0.8 s each and ran back to back,
/// which delayed heartbeats and the renewal of the leader's lease.
#[test]
fn planning_uses_at_most_a_third_of_the_time_regardless_of_round_duration() {
    for took in [10, 100, 400, 800, 3000] {
        let mut pacing = Pacing::default();
        pacing.note_slow_input(Duration::from_millis(took));
        assert!(
            pacing.round_interval().as_millis() >= 3 * took,
            "after a round of {took} ms, the next one may begin after {:?}",
            pacing.round_interval()
        );
        // After a round that was not slow, the minimum interval applies again.
        pacing.begin_round();
        assert_eq!(pacing.round_interval(), MIN_ROUND_INTERVAL);
    }
}

#[test]
fn evaluation_budget_shrinks_after_slow_rounds_and_recovers_after_quick_ones() {
    let mut pacing = Pacing::default();
    let full = pacing.evaluation_budget(700);
    assert_eq!(full, 20_000);
    // Each evaluation takes 40 microseconds, so that a full round takes 800 ms.
    for _ in 0..10 {
        pacing.note_slow_input(Duration::from_millis(pacing.evaluation_budget(700) as u64 * 40 / 1000));
        pacing.begin_round();
    }
    let took = pacing.evaluation_budget(700) * 40 / 1000;
    assert!((80..=200).contains(&took), "a full round takes {took} ms");
    // The budget grows back once evaluations are quick, as with short queues.
    for _ in 0..20 {
        pacing.begin_round();
    }
    assert_eq!(pacing.evaluation_budget(700), full);
    for _ in 0..50 {
        pacing.note_slow_input(Duration::from_secs(60));
        pacing.begin_round();
    }
    assert!(pacing.evaluation_budget(700) >= 2, "each half of the budget keeps at least one evaluation");
}

#[test]
fn intervals_grow_with_input_delay_up_to_their_maximum() {
    let delayed = |ms| Pacing { input_delay: Duration::from_millis(ms), ..Pacing::default() };
    assert_eq!((delayed(0).round_interval().as_millis(), delayed(0).provisioning_interval().as_millis()), (100, 500));
    assert_eq!(
        (delayed(300).round_interval().as_millis(), delayed(300).provisioning_interval().as_millis()),
        (700, 1100)
    );
    assert_eq!(
        (delayed(9000).round_interval().as_millis(), delayed(9000).provisioning_interval().as_millis()),
        (1000, 3000)
    );
}
