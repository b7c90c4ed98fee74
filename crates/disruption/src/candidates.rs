//! Which machines a step may choose from, and in which order.

use crate::allowance::{Allowances, Load};
use crate::choose::Candidate;
use crate::drain::Drain;
use crate::fleet::{Fleet, MachineView, TaskKind, TaskView};
use caperstile_types::{AttemptId, Duration, MachineId, WallClock};
use std::collections::{BTreeMap, BTreeSet};

/// Machines of which a step looks at the tasks; with more, others have their turn a second later.
const LOOKS: usize = 64;
/// A machine whose batch tasks take longer than this stalls its drain.
pub(crate) const STALL: Duration = Duration::from_secs(60);

/// A machine that a step might begin to empty.
#[derive(Debug, Clone)]
pub(crate) struct Ready {
    pub drain: String,
    pub machine: MachineId,
    pub replicas: Vec<AttemptId>,
    pub load: Load,
    /// Whether batch tasks would keep it waiting for long.
    pub stalls: bool,
}

/// How far a drain is, as the order of turns: the one of which least is done comes first, then the one asked for first.
pub(crate) type Turn = (u64, u64);

/// Shares of a drain are counted in millionths.
const SHARE_UNIT: u64 = 1_000_000;

/// Replicas of a machine that were not told to stop.
pub(crate) fn replicas(view: &MachineView) -> impl Iterator<Item = &TaskView> {
    view.tasks.iter().filter(|task| task.kind == TaskKind::Replica && !task.stopping)
}

/// The load of these tasks: what is unavailable already takes nothing more.
pub(crate) fn load_of<'a>(tasks: impl Iterator<Item = &'a TaskView>) -> Load {
    let mut load = Load::new();
    for task in tasks.filter(|task| !task.counted) {
        *load.entry(task.class.clone()).or_default() += 1;
    }
    load
}

/// The longest time that a machine's batch tasks take until they end by themselves.
pub(crate) fn longest_batch(view: &MachineView) -> Option<(&TaskView, Duration)> {
    let batch = view.tasks.iter().filter(|task| task.kind != TaskKind::Replica);
    batch.map(|task| (task, task.ends_in.unwrap_or_default())).max_by_key(|(task, left)| (*left, task.key))
}

/// Machines of running drains that are not being emptied yet, in the order of turns.
pub(crate) fn waiting(
    drains: &BTreeMap<String, Drain>,
    emptying: &BTreeSet<MachineId>,
    fleet: &dyn Fleet,
    wall: WallClock,
) -> Vec<(String, MachineId)> {
    let mut seen = BTreeSet::new();
    let mut found: Vec<((Turn, u64), String, MachineId)> = Vec::new();
    let mut running: Vec<(&String, &Drain)> = drains.iter().filter(|(_, drain)| drain.runs()).collect();
    running.sort_by_key(|(_, drain)| drain.status.created);
    for (name, drain) in running {
        let left: Vec<MachineId> = drain.members.keys().copied().filter(|id| fleet.exists(*id)).collect();
        let begun = (drain.members.len() - left.len() + left.iter().filter(|id| emptying.contains(id)).count()) as u64;
        let size = drain.members.len().max(1) as u64;
        let mut nth = 0;
        for id in left.into_iter().filter(|id| !emptying.contains(id)) {
            if seen.insert(id) {
                // As if those before it were begun already, so that drains take turns within a step as well.
                let share = (begun + nth) * SHARE_UNIT / size;
                found.push((((share, drain.status.created), nth), name.clone(), id));
                nth += 1;
            }
        }
    }
    found.sort();
    turned(found.into_iter().map(|(_, name, id)| (name, id)).collect(), wall)
}

/// Of very many machines others come first each second, so that those without a budget do not hide the rest for ever.
fn turned(mut waiting: Vec<(String, MachineId)>, wall: WallClock) -> Vec<(String, MachineId)> {
    if waiting.len() > LOOKS {
        let windows = waiting.len().div_ceil(LOOKS) as u64;
        let from = (wall.as_millis() / 1000 % windows) as usize * LOOKS;
        waiting.rotate_left(from);
        waiting.truncate(LOOKS);
    }
    waiting
}

/// Looks at the tasks of those that wait; what is out of reach or leaves anyhow is passed over.
pub(crate) fn ready(waiting: Vec<(String, MachineId)>, fleet: &dyn Fleet) -> Vec<Ready> {
    let look = |(drain, machine): (String, MachineId)| {
        let view = fleet.machine(machine).filter(|view| view.reachable && !view.leaving)?;
        let replicas_of = replicas(&view).map(|task| task.key).collect();
        let load = load_of(replicas(&view));
        let stalls = longest_batch(&view).is_some_and(|(_, left)| left > STALL);
        Some(Ready { drain, machine, replicas: replicas_of, load, stalls })
    };
    waiting.into_iter().filter_map(look).collect()
}

/// What the solver is told of a machine.
pub(crate) fn candidate(ready: &Ready, drains: &BTreeMap<String, Drain>) -> Candidate {
    let drain = drains.get(&ready.drain).filter(|drain| drain.replaces());
    let replaced_at = drain.and_then(|drain| drain.members.get(&ready.machine)).map(|member| member.place.clone());
    Candidate { machine: ready.machine, load: ready.load.clone(), replaced_at }
}

/// Of a machine whose load never fits its budgets at once: as many of its tasks as may be evicted now.
pub(crate) fn part_of<'a>(tasks: impl Iterator<Item = &'a TaskView>, allowances: &Allowances) -> Vec<&'a TaskView> {
    let mut load = Load::new();
    let mut part = Vec::new();
    for task in tasks {
        if task.counted {
            part.push(task);
            continue;
        }
        *load.entry(task.class.clone()).or_default() += 1;
        if allowances.check(&load).is_ok() {
            part.push(task);
        } else if let Some(count) = load.get_mut(&task.class) {
            *count -= 1;
        }
    }
    part
}
