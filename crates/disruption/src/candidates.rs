//! Determines which machines of the running drains may be drained next, and in which order.

use crate::allowance::Allowances;
use crate::drain::Drain;
use crate::eviction_load::EvictionLoad;
use crate::fleet::{Fleet, MachineView, TaskKind, TaskView};
use crate::selection::Candidate;
use caperstile_types::{AttemptId, Duration, MachineId, WallClock};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of machines whose tasks are examined in one reconciliation. If more are pending, the examined ones
/// change every second.
const MAX_MACHINES_EXAMINED: usize = 64;
/// A machine with a batch task that is predicted to run longer than this is counted as blocked by batch tasks.
const LONG_BATCH_REMAINING: Duration = Duration::from_secs(60);
/// The progress of a drain is expressed in millionths of its machines.
const PROGRESS_SCALE: u64 = 1_000_000;

/// A machine that belongs to a running drain and is not being drained yet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PendingMachine {
    pub drain: String,
    pub machine: MachineId,
}

/// A pending machine that could be drained now, as far as its own state is concerned.
#[derive(Debug, Clone)]
pub(crate) struct DrainableMachine {
    pub drain: String,
    pub machine: MachineId,
    pub replicas: Vec<AttemptId>,
    pub load: EvictionLoad,
    /// Whether batch tasks would keep the machine from becoming empty for longer than `LONG_BATCH_REMAINING`.
    pub has_long_batch_task: bool,
}

/// Sort key for the pending machines of all drains: the drain with the least progress comes first; on equal progress,
/// the one that was requested first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DrainOrder {
    progress: u64,
    created_revision: u64,
    index: u64,
}

/// Returns the replicas on a machine that are not being stopped.
pub(crate) fn replicas(view: &MachineView) -> impl Iterator<Item = &TaskView> {
    view.tasks.iter().filter(|task| task.kind == TaskKind::Replica && !task.stopping)
}

/// Returns the batch task with the longest predicted remaining run time on a machine, and that time.
pub(crate) fn longest_batch_task(view: &MachineView) -> Option<(&TaskView, Duration)> {
    let batch = view.tasks.iter().filter(|task| task.kind != TaskKind::Replica);
    let with_remaining = batch.map(|task| (task, task.predicted_remaining.unwrap_or_default()));
    with_remaining.max_by_key(|(task, remaining)| (*remaining, task.attempt))
}

/// Whether batch tasks are predicted to keep a machine from becoming empty for longer than `LONG_BATCH_REMAINING`.
pub(crate) fn has_long_batch_task(view: &MachineView) -> bool {
    longest_batch_task(view).is_some_and(|(_, remaining)| remaining > LONG_BATCH_REMAINING)
}

/// Returns the machines of running drains that are not being drained yet, in the order in which to drain them.
pub(crate) fn pending_machines(
    drains: &BTreeMap<String, Drain>,
    draining: &BTreeSet<MachineId>,
    fleet: &dyn Fleet,
    wall: WallClock,
) -> Vec<PendingMachine> {
    let mut seen = BTreeSet::new();
    let mut pending: Vec<(DrainOrder, PendingMachine)> = Vec::new();
    let mut running: Vec<(&String, &Drain)> = drains.iter().filter(|(_, drain)| drain.is_running()).collect();
    running.sort_by_key(|(_, drain)| drain.status.created_revision);
    for (name, drain) in running {
        let existing: Vec<MachineId> = drain.members.keys().copied().filter(|id| fleet.exists(*id)).collect();
        let gone = drain.members.len() - existing.len();
        let started = (gone + existing.iter().filter(|id| draining.contains(id)).count()) as u64;
        let size = drain.members.len().max(1) as u64;
        let mut index = 0;
        for machine in existing.into_iter().filter(|id| !draining.contains(id)) {
            if seen.insert(machine) {
                // Counts the drain's earlier pending machines as started, so that drains also alternate within one
                // reconciliation.
                let progress = (started + index) * PROGRESS_SCALE / size;
                let order = DrainOrder { progress, created_revision: drain.status.created_revision, index };
                pending.push((order, PendingMachine { drain: name.clone(), machine }));
                index += 1;
            }
        }
    }
    pending.sort();
    limit_examined_machines(pending.into_iter().map(|(_, pending)| pending).collect(), wall)
}

/// Limits the list to `MAX_MACHINES_EXAMINED` machines and moves on to the next ones every second. Otherwise machines
/// whose budgets allow no evictions could keep the others from ever being examined.
fn limit_examined_machines(mut pending: Vec<PendingMachine>, wall: WallClock) -> Vec<PendingMachine> {
    if pending.len() > MAX_MACHINES_EXAMINED {
        let groups = pending.len().div_ceil(MAX_MACHINES_EXAMINED) as u64;
        let start = (wall.as_millis() / 1000 % groups) as usize * MAX_MACHINES_EXAMINED;
        pending.rotate_left(start);
        pending.truncate(MAX_MACHINES_EXAMINED);
    }
    pending
}

/// Examines the tasks of pending machines. Skips machines that are unreachable or are terminating already.
pub(crate) fn drainable_machines(pending: Vec<PendingMachine>, fleet: &dyn Fleet) -> Vec<DrainableMachine> {
    let examine = |PendingMachine { drain, machine }| {
        let view = fleet.machine(machine).filter(|view| view.reachable && !view.terminating)?;
        Some(DrainableMachine {
            drain,
            machine,
            replicas: replicas(&view).map(|task| task.attempt).collect(),
            load: EvictionLoad::of_tasks(replicas(&view)),
            has_long_batch_task: has_long_batch_task(&view),
        })
    };
    pending.into_iter().filter_map(examine).collect()
}

/// Returns the properties of a machine on which the selection depends.
pub(crate) fn candidate(drainable: &DrainableMachine, drains: &BTreeMap<String, Drain>) -> Candidate {
    let drain = drains.get(&drainable.drain).filter(|drain| drain.replaces_machines());
    let member = drain.and_then(|drain| drain.members.get(&drainable.machine));
    let replacement_pool = member.map(|member| member.pool.clone());
    Candidate { machine: drainable.machine, load: drainable.load.clone(), replacement_pool }
}

/// Returns those tasks that may be evicted together now, chosen in order. Tasks that are already unavailable are always
/// included. Used for machines whose tasks cannot all be evicted at once.
pub(crate) fn evictable_subset<'a>(
    tasks: impl Iterator<Item = &'a TaskView>,
    allowances: &Allowances,
) -> Vec<&'a TaskView> {
    let mut load = EvictionLoad::default();
    let mut subset = Vec::new();
    for task in tasks {
        if task.already_unavailable {
            subset.push(task);
            continue;
        }
        load.add_task(&task.class);
        if allowances.check(&load).is_ok() {
            subset.push(task);
        } else {
            load.remove_task(&task.class);
        }
    }
    subset
}
