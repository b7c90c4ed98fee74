//! Which machines may be drained next, and in which order.

use crate::allowance::Allowances;
use crate::drain::Drain;
use crate::eviction_load::EvictionLoad;
use crate::fleet::{Fleet, MachineView, TaskKind, TaskView};
use crate::selection::Candidate;
use caperstile_types::{AttemptId, Duration, MachineId, WallClock};
use std::collections::{BTreeMap, BTreeSet};

/// Machines whose tasks are examined in one reconciliation; with more, others come first a second later.
const MAX_MACHINES_EXAMINED: usize = 64;
/// A machine whose batch tasks take longer than this holds up its drain.
const LONG_BATCH_REMAINING: Duration = Duration::from_secs(60);
/// Progress of a drain is counted in millionths.
const PROGRESS_UNIT: u64 = 1_000_000;

/// A machine of a running drain that is not being drained yet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WaitingMachine {
    pub drain: String,
    pub machine: MachineId,
}

/// A machine whose draining could start now.
#[derive(Debug, Clone)]
pub(crate) struct DrainableMachine {
    pub drain: String,
    pub machine: MachineId,
    pub replicas: Vec<AttemptId>,
    pub load: EvictionLoad,
    /// Whether batch tasks would keep it waiting for long.
    pub has_long_batch: bool,
}

/// The order in which machines of several drains come: the drain with the least progress first, then the one requested first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    progress: u64,
    created_revision: u64,
    index: u64,
}

/// Replicas of a machine that were not told to stop.
pub(crate) fn replicas(view: &MachineView) -> impl Iterator<Item = &TaskView> {
    view.tasks.iter().filter(|task| task.kind == TaskKind::Replica && !task.stopping)
}

/// The batch task of a machine that takes longest until it ends by itself, and how long that is.
pub(crate) fn longest_batch_task(view: &MachineView) -> Option<(&TaskView, Duration)> {
    let batch = view.tasks.iter().filter(|task| task.kind != TaskKind::Replica);
    let with_remaining = batch.map(|task| (task, task.predicted_remaining.unwrap_or_default()));
    with_remaining.max_by_key(|(task, remaining)| (*remaining, task.attempt))
}

/// Whether batch tasks keep a machine from becoming empty for long.
pub(crate) fn has_long_batch(view: &MachineView) -> bool {
    longest_batch_task(view).is_some_and(|(_, remaining)| remaining > LONG_BATCH_REMAINING)
}

/// Machines of running drains that are not being drained yet, in the order in which they come.
pub(crate) fn waiting_machines(
    drains: &BTreeMap<String, Drain>,
    draining: &BTreeSet<MachineId>,
    fleet: &dyn Fleet,
    wall: WallClock,
) -> Vec<WaitingMachine> {
    let mut seen = BTreeSet::new();
    let mut waiting: Vec<(Position, WaitingMachine)> = Vec::new();
    let mut running: Vec<(&String, &Drain)> = drains.iter().filter(|(_, drain)| drain.is_running()).collect();
    running.sort_by_key(|(_, drain)| drain.status.created_revision);
    for (name, drain) in running {
        let left: Vec<MachineId> = drain.members.keys().copied().filter(|id| fleet.exists(*id)).collect();
        let gone = drain.members.len() - left.len();
        let started = (gone + left.iter().filter(|id| draining.contains(id)).count()) as u64;
        let size = drain.members.len().max(1) as u64;
        let mut index = 0;
        for machine in left.into_iter().filter(|id| !draining.contains(id)) {
            if seen.insert(machine) {
                // As if those before it were started already, so that drains alternate within one reconciliation as well.
                let progress = (started + index) * PROGRESS_UNIT / size;
                let position = Position { progress, created_revision: drain.status.created_revision, index };
                waiting.push((position, WaitingMachine { drain: name.clone(), machine }));
                index += 1;
            }
        }
    }
    waiting.sort();
    rotate_window(waiting.into_iter().map(|(_, waiting)| waiting).collect(), wall)
}

/// Of very many machines others come first each second, so that those without a budget do not hide the rest for ever.
fn rotate_window(mut waiting: Vec<WaitingMachine>, wall: WallClock) -> Vec<WaitingMachine> {
    if waiting.len() > MAX_MACHINES_EXAMINED {
        let windows = waiting.len().div_ceil(MAX_MACHINES_EXAMINED) as u64;
        let start = (wall.as_millis() / 1000 % windows) as usize * MAX_MACHINES_EXAMINED;
        waiting.rotate_left(start);
        waiting.truncate(MAX_MACHINES_EXAMINED);
    }
    waiting
}

/// Examines the tasks of waiting machines. One that is unreachable or leaves anyhow is passed over.
pub(crate) fn drainable_machines(waiting: Vec<WaitingMachine>, fleet: &dyn Fleet) -> Vec<DrainableMachine> {
    let examine = |WaitingMachine { drain, machine }| {
        let view = fleet.machine(machine).filter(|view| view.reachable && !view.terminating)?;
        Some(DrainableMachine {
            drain,
            machine,
            replicas: replicas(&view).map(|task| task.attempt).collect(),
            load: EvictionLoad::of_tasks(replicas(&view)),
            has_long_batch: has_long_batch(&view),
        })
    };
    waiting.into_iter().filter_map(examine).collect()
}

/// What the selection has to know of a machine.
pub(crate) fn candidate(drainable: &DrainableMachine, drains: &BTreeMap<String, Drain>) -> Candidate {
    let drain = drains.get(&drainable.drain).filter(|drain| drain.replaces_machines());
    let member = drain.and_then(|drain| drain.members.get(&drainable.machine));
    let replacement_pool = member.map(|member| member.pool.clone());
    Candidate { machine: drainable.machine, load: drainable.load.clone(), replacement_pool }
}

/// As many of these tasks as may be evicted now, for a machine whose load never fits its budgets at once.
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
