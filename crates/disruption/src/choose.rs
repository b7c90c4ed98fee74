//! Which machines a step takes: as many as budgets, room and the cloud allow.
//!
//! A small integer program, solved by branch and bound with a limit on nodes, so that every leader gets the same answer from the
//! same facts. Machines with like loads are one variable. The greedy way is the fallback and the comparison.

use crate::allowance::{Allowances, Load, by_scope};
use crate::budget::Scope;
use crate::fleet::InstancePool;
use caperstile_types::MachineId;
use microlp::{ComparisonOp, OptimizationDirection, Problem, SolveOptions, Variable};
use std::collections::{BTreeMap, BTreeSet};

/// Kinds of machines that one step chooses from; others have their turn in the next.
const GROUPS: usize = 32;
/// Nodes of the search. Steps of this size take a few dozen.
const NODES: u64 = 500;

/// A machine that might be emptied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The machine.
    pub machine: MachineId,
    /// What would be evicted at once.
    pub load: Load,
    /// Where a like machine must have been rented before, if at all.
    pub replaced_at: Option<InstancePool>,
}

/// What a step may use.
#[derive(Debug, Clone)]
pub struct StepLimits<'a> {
    /// Budgets.
    pub allowances: &'a Allowances,
    /// Machines.
    pub machines: u32,
    /// Replacements that are ready, by place.
    pub ready: BTreeMap<InstancePool, u32>,
}

impl StepLimits<'_> {
    /// Whether all of these fit together.
    fn fit(&self, chosen: &[&Candidate]) -> bool {
        let mut load = Load::new();
        let mut places: BTreeMap<&InstancePool, u32> = BTreeMap::new();
        for candidate in chosen {
            add(&mut load, &candidate.load);
            if let Some(place) = &candidate.replaced_at {
                *places.entry(place).or_default() += 1;
            }
        }
        chosen.len() <= self.machines as usize
            && self.allowances.check(&load).is_ok()
            && places.into_iter().all(|(place, count)| count <= self.ready.get(place).copied().unwrap_or(0))
    }
}

/// Adds one load to another.
pub fn add(load: &mut Load, more: &Load) {
    for (class, count) in more {
        *load.entry(class.clone()).or_default() += count;
    }
}

/// Candidates in order as long as they fit.
pub fn greedy(candidates: &[Candidate], limits: &StepLimits<'_>) -> Vec<MachineId> {
    let mut chosen: Vec<&Candidate> = Vec::new();
    for candidate in candidates {
        chosen.push(candidate);
        if !limits.fit(&chosen) {
            chosen.pop();
        }
    }
    chosen.into_iter().map(|candidate| candidate.machine).collect()
}

/// As many candidates as fit, the first one that fits alone always among them, so that nobody's turn is passed over.
pub fn choose(candidates: &[Candidate], limits: &StepLimits<'_>) -> Vec<MachineId> {
    let Some(first) = candidates.iter().find(|candidate| limits.fit(&[candidate])) else { return Vec::new() };
    let by_order = greedy(candidates, limits);
    let Some(solved) = solve(candidates, first, limits) else { return by_order };
    // The solver works with floating-point numbers: what it says is checked with whole ones.
    let taken: BTreeSet<MachineId> = solved.iter().copied().collect();
    let chosen: Vec<&Candidate> = candidates.iter().filter(|c| taken.contains(&c.machine)).collect();
    if solved.len() > by_order.len() && limits.fit(&chosen) { solved } else { by_order }
}

/// Machines that are alike for the solver.
type Group<'a> = (&'a Load, Option<&'a InstancePool>);

fn groups(candidates: &[Candidate]) -> Vec<(Group<'_>, Vec<MachineId>)> {
    let mut order: Vec<(Group<'_>, Vec<MachineId>)> = Vec::new();
    let mut index: BTreeMap<Group<'_>, usize> = BTreeMap::new();
    for candidate in candidates {
        let group = (&candidate.load, candidate.replaced_at.as_ref());
        match index.get(&group) {
            Some(at) => order[*at].1.push(candidate.machine),
            None if order.len() < GROUPS => {
                index.insert(group, order.len());
                order.push((group, vec![candidate.machine]));
            }
            None => {}
        }
    }
    order
}

fn solve(candidates: &[Candidate], first: &Candidate, limits: &StepLimits<'_>) -> Option<Vec<MachineId>> {
    let groups = groups(candidates);
    let mut problem = Problem::new(OptimizationDirection::Maximize);
    let mut rows: BTreeMap<Row<'_>, Vec<(Variable, f64)>> = BTreeMap::new();
    let mut variables = Vec::new();
    for ((load, place), machines) in &groups {
        let most = machines.len().min(limits.machines as usize);
        let least = i32::from(machines.contains(&first.machine));
        let variable = problem.add_integer_var(1.0, (least, i32::try_from(most).ok()?));
        variables.push(variable);
        rows.entry(Row::Machines).or_default().push((variable, 1.0));
        if let Some(place) = place {
            rows.entry(Row::Ready(place)).or_default().push((variable, 1.0));
        }
        for (scope, count) in by_scope(load) {
            rows.entry(Row::Budget(scope)).or_default().push((variable, f64::from(count)));
        }
    }
    for (row, terms) in rows {
        let most = match &row {
            Row::Machines => limits.machines,
            Row::Ready(place) => limits.ready.get(*place).copied().unwrap_or(0),
            Row::Budget(scope) => limits.allowances.left(scope),
        };
        problem.add_constraint(terms, ComparisonOp::Le, f64::from(most));
    }
    let mut options = SolveOptions::default();
    options.node_limit = Some(NODES);
    let outcome = problem.solve_with(options).ok()?;
    let solution = outcome.solution()?;
    let mut chosen = Vec::new();
    for ((_, machines), variable) in groups.iter().zip(variables) {
        let count = solution.var_value(variable).round().max(0.0) as usize;
        chosen.extend(machines.iter().take(count));
    }
    Some(chosen)
}

/// A constraint of the integer program.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Row<'a> {
    Machines,
    Ready(&'a InstancePool),
    Budget(Scope),
}
