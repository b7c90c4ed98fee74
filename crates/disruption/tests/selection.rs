//! Tests the selection of machines: it never exceeds a limit, and is never smaller than the greedy selection.

use caperstile_disruption::allowance::{Allowances, DisruptionState, LastEvictions};
use caperstile_disruption::selection::{Candidate, SelectionLimits, select_greedily, select_machines};
use caperstile_disruption::{Budget, ClassAvailability, EvictionLoad, InstancePool, Limit, Policy, TaskClass};
use caperstile_types::{MachineId, Timestamp, WallClock};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn class(n: usize) -> TaskClass {
    TaskClass { team: format!("team-{}", n % 2), class: format!("class-{n}") }
}

/// Returns allowances with one limit per class.
fn allowances(limits: &[u32]) -> Allowances {
    let budget = |limit: &u32| Budget { max_unavailable: Some(Limit::Count(*limit)), ..Budget::default() };
    let classes = limits.iter().enumerate().map(|(n, limit)| (class(n), budget(limit))).collect();
    let policy = Policy { classes, ..Policy::default() };
    let availability =
        (0..limits.len()).map(|n| (class(n), ClassAvailability { desired: 100, unavailable: 0 })).collect();
    let state = DisruptionState {
        now: Timestamp::ZERO,
        wall: WallClock::from_millis(0),
        availability: &availability,
        charges: &[],
        last_evictions: &LastEvictions::new(Timestamp::ZERO),
    };
    Allowances::new(&policy, &state)
}

fn candidate(machine: usize, counts: &[u32]) -> Candidate {
    let load: EvictionLoad =
        counts.iter().enumerate().filter(|(_, n)| **n > 0).map(|(n, count)| (class(n), *count)).collect();
    Candidate { machine: MachineId(machine as u64), load, replacement_pool: None }
}

fn limits(allowances: &Allowances, max_machines: u32) -> SelectionLimits<'_> {
    SelectionLimits { allowances, max_machines, ready_replacements: BTreeMap::new() }
}

#[test]
fn the_solver_finds_larger_selections_than_the_greedy_algorithm() {
    let allowances = allowances(&[2, 2]);
    // Machines 1 and 2 each hold a task of both classes, machine 3 two of the first class, machine 4 two of the second.
    let candidates = [candidate(1, &[1, 1]), candidate(2, &[1, 1]), candidate(3, &[2, 0]), candidate(4, &[0, 2])];
    let large_first = [candidate(3, &[2, 0]), candidate(5, &[0, 1]), candidate(6, &[0, 1])];
    assert_eq!(select_machines(&candidates, &limits(&allowances, 10)).len(), 2);
    assert_eq!(select_machines(&large_first, &limits(&allowances, 10)).len(), 3);
    let greedy_trap = [candidate(1, &[0, 1]), candidate(2, &[2, 0]), candidate(3, &[1, 0]), candidate(4, &[1, 0])];
    assert_eq!(select_greedily(&greedy_trap, &limits(&allowances, 10)).len(), 2);
    assert_eq!(select_machines(&greedy_trap, &limits(&allowances, 10)).len(), 3);
}

#[test]
fn the_first_candidate_that_fits_is_always_selected() {
    let allowances = allowances(&[2]);
    // The two small machines would make a larger selection, but the large one is first in order.
    let candidates = [candidate(1, &[2]), candidate(2, &[1]), candidate(3, &[1])];
    assert_eq!(select_machines(&candidates, &limits(&allowances, 10)), vec![MachineId(1)]);
}

#[test]
fn ready_replacements_limit_a_selection() {
    let allowances = allowances(&[9]);
    let pool = InstancePool { machine_type: "g8".into(), zone: "a".into(), spot: false };
    let at = |machine| Candidate { replacement_pool: Some(pool.clone()), ..candidate(machine, &[1]) };
    let with_replacements =
        SelectionLimits { ready_replacements: BTreeMap::from([(pool.clone(), 2)]), ..limits(&allowances, 10) };
    assert_eq!(select_machines(&[at(1), at(2), at(3)], &with_replacements).len(), 2);
    assert!(select_machines(&[at(1)], &limits(&allowances, 10)).is_empty(), "selected without a ready replacement");
}

#[test]
fn thousands_of_equal_machines_are_selected_as_one_group() {
    let allowances = allowances(&[300]);
    let candidates: Vec<Candidate> = (0..4000).map(|n| candidate(n, &[1])).collect();
    assert_eq!(select_machines(&candidates, &limits(&allowances, 4000)).len(), 300);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_selection_exceeds_a_budget_or_is_smaller_than_the_greedy_one(
        budgets in proptest::collection::vec(0u32..6, 4),
        loads in proptest::collection::vec(proptest::collection::vec(0u32..4, 4), 1..24),
        machines in 1u32..12,
    ) {
        let allowances = allowances(&budgets);
        let candidates: Vec<Candidate> = loads.iter().enumerate().map(|(n, counts)| candidate(n, counts)).collect();
        let limits = limits(&allowances, machines);
        let selected = select_machines(&candidates, &limits);
        prop_assert!(selected.len() <= machines as usize);
        for (class, budget) in budgets.iter().enumerate() {
            let evicted: u32 = selected.iter().map(|id| loads[id.0 as usize][class]).sum();
            prop_assert!(evicted <= *budget, "{evicted} tasks of class {class} selected, {budget} allowed");
        }
        prop_assert!(selected.len() >= select_greedily(&candidates, &limits).len());
        prop_assert_eq!(&selected, &select_machines(&candidates, &limits), "the same input gave different selections");
    }
}
