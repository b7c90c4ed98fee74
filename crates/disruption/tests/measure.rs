//! The solver beside the greedy way. Prints what it measures, so CI leaves it out:
//!
//!     cargo test --release -p caperstile-disruption --test measure -- --ignored --nocapture

use caperstile_disruption::allowance::{Allowances, DisruptionState, LastEvictions};
use caperstile_disruption::selection::{Candidate, SelectionLimits, select_greedily, select_machines};
use caperstile_disruption::{Budget, ClassAvailability, EvictionLoad, Limit, Policy, TaskClass};
use caperstile_types::{MachineId, Timestamp, WallClock};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const CLASSES: u64 = 6;
const STEPS: u64 = 400;

/// Numbers that look random and are the same in each run.
struct Numbers(u64);

impl Numbers {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }
}

fn class(n: u64) -> TaskClass {
    TaskClass { team: format!("team-{}", n % 2), class: format!("class-{n}") }
}

fn step(numbers: &mut Numbers, machines: u64) -> (Allowances, Vec<Candidate>) {
    let budget = |limit: u64| Budget { max_unavailable: Some(Limit::Count(limit as u32)), ..Budget::default() };
    let classes = (0..CLASSES).map(|n| (class(n), budget(4 + numbers.below(machines / 4)))).collect();
    let policy = Policy { classes, ..Policy::default() };
    let availability = (0..CLASSES).map(|n| (class(n), ClassAvailability { desired: 4000, unavailable: 0 })).collect();
    let state = DisruptionState {
        now: Timestamp::ZERO,
        wall: WallClock::from_millis(0),
        availability: &availability,
        charges: &[],
        last_evictions: &LastEvictions::new(Timestamp::ZERO),
    };
    let allowances = Allowances::new(&policy, &state);
    let candidate = |n: u64, numbers: &mut Numbers| {
        let load: EvictionLoad =
            (0..1 + numbers.below(3)).map(|_| (class(numbers.below(CLASSES)), 1 + numbers.below(4) as u32)).collect();
        Candidate { machine: MachineId(n), load, replacement_pool: None }
    };
    let candidates = (0..machines).map(|n| candidate(n, numbers)).collect();
    (allowances, candidates)
}

#[test]
#[ignore = "prints a measurement"]
fn machines_of_a_step_by_the_solver_and_by_the_greedy_way() {
    for machines in [16, 64, 256] {
        let mut numbers = Numbers(77);
        let (mut by_order, mut solved, mut better) = (0, 0, 0);
        let mut times: Vec<Duration> = Vec::new();
        for _ in 0..STEPS {
            let (allowances, candidates) = step(&mut numbers, machines);
            let limits =
                SelectionLimits { allowances: &allowances, max_machines: 400, ready_replacements: BTreeMap::new() };
            let greedy = select_greedily(&candidates, &limits).len();
            let begin = Instant::now();
            let chosen = select_machines(&candidates, &limits).len();
            times.push(begin.elapsed());
            by_order += greedy;
            solved += chosen;
            better += usize::from(chosen > greedy);
        }
        times.sort();
        println!(
            "{machines} machines, {STEPS} steps: greedy {:.2} a step, solver {:.2}, larger in {better}; time median {:?}, 99% {:?}, longest {:?}",
            by_order as f64 / STEPS as f64,
            solved as f64 / STEPS as f64,
            times[times.len() / 2],
            times[times.len() * 99 / 100],
            times[times.len() - 1]
        );
    }
}
