//! Selects which machines to drain next: as many as budgets and ready replacements allow. The caller then checks the
//! selected machines against spare capacity.
//!
//! The selection is a small integer program that is solved by branch and bound. The search is limited by a number of
//! nodes rather than by time, so that every leader gets the same result from the same input. Machines with equal loads
//! and replacement pools share one variable. The greedy selection is used if the solver finds no larger selection.

use crate::allowance::Allowances;
use crate::budget::Scope;
use crate::eviction_load::EvictionLoad;
use crate::instance_pool::InstancePool;
use caperstile_types::MachineId;
use microlp::{ComparisonOp, OptimizationDirection, Problem, SolveOptions, Variable};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of groups of equal machines in one selection. Machines in further groups are left to later
/// selections.
const MAX_CANDIDATE_GROUPS: usize = 32;
/// Maximum number of nodes in the branch-and-bound search. Problems of this size usually need a few dozen.
const MAX_SEARCH_NODES: u64 = 500;

/// A machine that may be selected for draining.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// ID of the machine.
    pub machine: MachineId,
    /// The tasks that would be evicted at once.
    pub load: EvictionLoad,
    /// The pool in which a replacement must be ready; `None` if the machine is not replaced.
    pub replacement_pool: Option<InstancePool>,
}

/// Upper bounds for one selection.
#[derive(Debug, Clone)]
pub struct SelectionLimits<'a> {
    /// What the disruption budgets allow.
    pub allowances: &'a Allowances,
    /// Maximum number of selected machines.
    pub max_machines: u32,
    /// Number of replacements that are ready, by pool.
    pub ready_replacements: BTreeMap<InstancePool, u32>,
}

impl SelectionLimits<'_> {
    /// Whether all of these machines may be drained together.
    fn allow(&self, selected: &[&Candidate]) -> bool {
        let mut load = EvictionLoad::default();
        let mut replaced: BTreeMap<&InstancePool, u32> = BTreeMap::new();
        for candidate in selected {
            load.add(&candidate.load);
            if let Some(pool) = &candidate.replacement_pool {
                *replaced.entry(pool).or_default() += 1;
            }
        }
        selected.len() <= self.max_machines as usize
            && self.allowances.check(&load).is_ok()
            && replaced.into_iter().all(|(pool, count)| count <= self.replacements_in(pool))
    }

    fn replacements_in(&self, pool: &InstancePool) -> u32 {
        self.ready_replacements.get(pool).copied().unwrap_or(0)
    }
}

/// Selects candidates in order, skipping each that does not fit together with those selected before it.
pub fn select_greedily(candidates: &[Candidate], limits: &SelectionLimits<'_>) -> Vec<MachineId> {
    let mut selected: Vec<&Candidate> = Vec::new();
    for candidate in candidates {
        selected.push(candidate);
        if !limits.allow(&selected) {
            selected.pop();
        }
    }
    selected.into_iter().map(|candidate| candidate.machine).collect()
}

/// Selects as many candidates as fit. The first candidate that fits on its own is always selected, so that no drain
/// starves.
pub fn select_machines(candidates: &[Candidate], limits: &SelectionLimits<'_>) -> Vec<MachineId> {
    let Some(first) = candidates.iter().find(|candidate| limits.allow(&[candidate])) else { return Vec::new() };
    let greedy = select_greedily(candidates, limits);
    let Some(solved) = solve(candidates, first, limits) else { return greedy };
    // The solver uses floating-point arithmetic, so its solution is checked again with integers.
    let solved_ids: BTreeSet<MachineId> = solved.iter().copied().collect();
    let selected: Vec<&Candidate> =
        candidates.iter().filter(|candidate| solved_ids.contains(&candidate.machine)).collect();
    if solved.len() > greedy.len() && limits.allow(&selected) { solved } else { greedy }
}

/// The properties by which the solver tells machines apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct GroupKey<'a> {
    load: &'a EvictionLoad,
    replacement_pool: Option<&'a InstancePool>,
}

/// Machines with the same load and replacement pool.
#[derive(Debug)]
struct CandidateGroup<'a> {
    key: GroupKey<'a>,
    machines: Vec<MachineId>,
}

/// Groups the candidates. Groups are in the order of their first machine; those beyond `MAX_CANDIDATE_GROUPS` are left
/// out.
fn group_candidates(candidates: &[Candidate]) -> Vec<CandidateGroup<'_>> {
    let mut groups: Vec<CandidateGroup<'_>> = Vec::new();
    let mut index: BTreeMap<GroupKey<'_>, usize> = BTreeMap::new();
    for candidate in candidates {
        let key = GroupKey { load: &candidate.load, replacement_pool: candidate.replacement_pool.as_ref() };
        match index.get(&key) {
            Some(at) => groups[*at].machines.push(candidate.machine),
            None if groups.len() < MAX_CANDIDATE_GROUPS => {
                index.insert(key, groups.len());
                groups.push(CandidateGroup { key, machines: vec![candidate.machine] });
            }
            None => {}
        }
    }
    groups
}

/// A resource that constrains the integer program.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Constraint<'a> {
    Machines,
    Replacements(&'a InstancePool),
    Budget(Scope),
}

impl Constraint<'_> {
    fn upper_bound(&self, limits: &SelectionLimits<'_>) -> u32 {
        match self {
            Constraint::Machines => limits.max_machines,
            Constraint::Replacements(pool) => limits.replacements_in(pool),
            Constraint::Budget(scope) => limits.allowances.remaining(scope),
        }
    }
}

/// Returns the machines that the integer program selects, or `None` if the solver finds no solution.
fn solve(candidates: &[Candidate], first: &Candidate, limits: &SelectionLimits<'_>) -> Option<Vec<MachineId>> {
    let groups = group_candidates(candidates);
    let mut problem = Problem::new(OptimizationDirection::Maximize);
    let variables = add_variables(&mut problem, &groups, first, limits)?;
    add_constraints(&mut problem, &groups, &variables, limits);
    let mut options = SolveOptions::default();
    options.node_limit = Some(MAX_SEARCH_NODES);
    let outcome = problem.solve_with(options).ok()?;
    let solution = outcome.solution()?;
    let mut selected = Vec::new();
    for (group, variable) in groups.iter().zip(variables) {
        let count = solution.var_value(variable).round().max(0.0) as usize;
        selected.extend(group.machines.iter().take(count));
    }
    Some(selected)
}

/// Adds one variable per group: the number of selected machines. At least one is selected from the group of `first`.
fn add_variables(
    problem: &mut Problem,
    groups: &[CandidateGroup<'_>],
    first: &Candidate,
    limits: &SelectionLimits<'_>,
) -> Option<Vec<Variable>> {
    let mut variables = Vec::new();
    for group in groups {
        let max_count = group.machines.len().min(limits.max_machines as usize);
        let min_count = i32::from(group.machines.contains(&first.machine));
        variables.push(problem.add_integer_var(1.0, (min_count, i32::try_from(max_count).ok()?)));
    }
    Some(variables)
}

fn add_constraints(
    problem: &mut Problem,
    groups: &[CandidateGroup<'_>],
    variables: &[Variable],
    limits: &SelectionLimits<'_>,
) {
    let mut constraints: BTreeMap<Constraint<'_>, Vec<(Variable, f64)>> = BTreeMap::new();
    for (group, variable) in groups.iter().zip(variables) {
        constraints.entry(Constraint::Machines).or_default().push((*variable, 1.0));
        if let Some(pool) = group.key.replacement_pool {
            constraints.entry(Constraint::Replacements(pool)).or_default().push((*variable, 1.0));
        }
        for (scope, count) in group.key.load.by_scope() {
            constraints.entry(Constraint::Budget(scope)).or_default().push((*variable, f64::from(count)));
        }
    }
    for (constraint, terms) in constraints {
        let upper_bound = constraint.upper_bound(limits);
        problem.add_constraint(terms, ComparisonOp::Le, f64::from(upper_bound));
    }
}
