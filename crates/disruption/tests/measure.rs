//! Compares the solver with the greedy selection. It prints measurements instead of checking them, so CI does not run
//! it:
//!
//!     cargo test --release -p caperstile-disruption --test measure -- --ignored --nocapture

use caperstile_disruption::allowance::{Allowances, DisruptionState, LastEvictions};
use caperstile_disruption::selection::{Candidate, SelectionLimits, select_greedily, select_machines};
use caperstile_disruption::{Budget, ClassAvailability, EvictionLoad, Limit, Policy, TaskClass};
use caperstile_types::{MachineId, Timestamp, WallClock};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const CLASSES: u64 = 6;
const SELECTIONS: u64 = 400;

/// Deterministic pseudo-random number generator (xorshift).
struct Prng(u64);

impl Prng {
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

fn random_selection(prng: &mut Prng, machines: u64) -> (Allowances, Vec<Candidate>) {
    let budget = |limit: u64| Budget { max_unavailable: Some(Limit::Count(limit as u32)), ..Budget::default() };
    let classes = (0..CLASSES).map(|n| (class(n), budget(4 + prng.below(machines / 4)))).collect();
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
    let candidate = |n: u64, prng: &mut Prng| {
        let load: EvictionLoad =
            (0..1 + prng.below(3)).map(|_| (class(prng.below(CLASSES)), 1 + prng.below(4) as u32)).collect();
        Candidate { machine: MachineId(n), load, replacement_pool: None }
    };
    let candidates = (0..machines).map(|n| candidate(n, prng)).collect();
    (allowances, candidates)
}

#[test]
#[ignore = "prints a measurement"]
fn compare_solver_with_greedy_selection() {
    for machines in [16, 64, 256] {
        let mut prng = Prng(77);
        let (mut greedy_total, mut solver_total, mut larger_count) = (0, 0, 0);
        let mut times: Vec<Duration> = Vec::new();
        for _ in 0..SELECTIONS {
            let (allowances, candidates) = random_selection(&mut prng, machines);
            let limits =
                SelectionLimits { allowances: &allowances, max_machines: 400, ready_replacements: BTreeMap::new() };
            let greedy = select_greedily(&candidates, &limits).len();
            let started_at = Instant::now();
            let selected = select_machines(&candidates, &limits).len();
            times.push(started_at.elapsed());
            greedy_total += greedy;
            solver_total += selected;
            larger_count += usize::from(selected > greedy);
        }
        times.sort();
        println!(
            "{machines} machines, {SELECTIONS} selections: mean size greedy {:.2}, solver {:.2}, solver larger in {larger_count}; solver time median {:?}, 99% {:?}, max {:?}",
            greedy_total as f64 / SELECTIONS as f64,
            solver_total as f64 / SELECTIONS as f64,
            times[times.len() / 2],
            times[times.len() * 99 / 100],
            times[times.len() - 1]
        );
    }
}
