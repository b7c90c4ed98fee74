//! Charges: made for what may be evicted, carried out once durable, returned once a replacement runs.

use super::{Coordinator, Effect, Emptying, Round, Stop};
use crate::allowance::{Allowances, Load};
use crate::budget::{BatchEviction, TaskClass, scopes_of};
use crate::candidates::{load_of, part_of};
use crate::fleet::{ChargeState, Fleet, MachineView, Rooms, TaskKind, TaskView};
use crate::records::{CHARGE_BYTES, Charge, MACHINE_BYTES};
use caperstile_types::{AttemptId, Duration, MachineId, TaskId, WallClock};
use std::collections::BTreeSet;

impl Coordinator {
    /// Returns the charges of what runs again or is over, and of what a drain at rest has charged and not stopped.
    pub(super) fn return_charges(&mut self, fleet: &dyn Fleet) {
        let drains = &self.drains;
        for emptying in self.emptying.values_mut() {
            let goes_on = emptying.goes_on(drains);
            let commanded = &emptying.commanded;
            emptying.charges.retain(|charge| match fleet.charge_state(charge) {
                ChargeState::Returned => false,
                ChargeState::Standing { .. } => goes_on || commanded.contains(charge),
                ChargeState::Out { .. } => true,
            });
            let charges = &emptying.charges;
            emptying.commanded.retain(|charge| charges.contains(charge));
        }
    }

    /// Gives charges up whose tasks were not told to stop yet, where more is out than the budget now allows.
    ///
    /// All machines are fenced, so that nothing which an earlier leader sent can stop such a task any more.
    pub(super) fn drop_what_exceeds(&mut self, round: &Round<'_>) {
        let allowances = self.allowances(round);
        for emptying in self.emptying.values_mut() {
            let commanded = &emptying.commanded;
            emptying.charges.retain(|charge| match round.fleet.charge_state(charge) {
                ChargeState::Standing { class, .. } => commanded.contains(charge) || !allowances.is_exceeded(&class),
                _ => true,
            });
        }
    }

    /// Tells the tasks whose charge is durable to stop; those that exceed a budget by now were given up before.
    pub(super) fn command(&mut self, round: &mut Round<'_>) {
        let mut due: Vec<(MachineId, Charge, TaskClass)> = Vec::new();
        for (id, emptying) in self.emptying.iter().filter(|(_, emptying)| emptying.goes_on(&self.drains)) {
            let durable = self.durable_charges(*id);
            for charge in emptying.charges.difference(&emptying.commanded).filter(|charge| durable.contains(charge)) {
                if let ChargeState::Standing { class, .. } = round.fleet.charge_state(charge) {
                    due.push((*id, *charge, class));
                }
            }
        }
        for (id, charge, class) in due {
            for scope in scopes_of(&class) {
                self.last.note(round.now, scope);
            }
            round.effects.push(Effect::Stop(stop_of(id, &charge)));
            if let Some(emptying) = self.emptying.get_mut(&id) {
                emptying.commanded.insert(charge);
            }
        }
    }

    /// Charges what is left on machines that are being emptied, as far as the budgets go.
    pub(super) fn charge_more(&mut self, round: &mut Round<'_>, allowances: &mut Allowances) {
        let going = self.emptying.iter().filter(|(_, emptying)| emptying.goes_on(&self.drains));
        let mut ids: Vec<(WallClock, MachineId)> = going.map(|(id, emptying)| (emptying.since, *id)).collect();
        if ids.is_empty() {
            return;
        }
        ids.sort();
        let without: BTreeSet<MachineId> = ids.iter().map(|(_, id)| *id).collect();
        let mut rooms = round.fleet.rooms(&without);
        for (since, id) in ids {
            let Some(view) = round.fleet.machine(id).filter(|view| view.reachable) else { continue };
            self.charge_replicas(round, id, &view, rooms.as_mut(), allowances);
            self.charge_batch(round, id, since, &view, allowances);
        }
    }

    fn charge_replicas(
        &mut self,
        round: &mut Round<'_>,
        id: MachineId,
        view: &MachineView,
        rooms: &mut dyn Rooms,
        allowances: &mut Allowances,
    ) {
        let drain = self.emptying.get(&id).and_then(|emptying| emptying.drain.clone());
        let left: Vec<&TaskView> = crate::candidates::replicas(view).filter(|task| !self.is_charged(task)).collect();
        if left.is_empty() {
            return;
        }
        let part = part_of(left.iter().copied(), allowances);
        if part.len() < left.len()
            && let Err(blocked) = allowances.check(&load_of(left.iter().copied()))
        {
            round.wait(drain.as_ref(), blocked.to_string());
        }
        let keys: Vec<AttemptId> = part.iter().map(|task| task.key).collect();
        if keys.is_empty() {
        } else if rooms.take(id, &keys) {
            self.charge(id, &part, allowances);
        } else {
            self.lacks_room(round, drain.as_ref(), id, &keys);
        }
    }

    /// Notes that replicas of a machine have no place to go to.
    pub(super) fn lacks_room(
        &mut self,
        round: &mut Round<'_>,
        drain: Option<&String>,
        id: MachineId,
        replicas: &[AttemptId],
    ) {
        self.without_room.extend(replicas.iter().map(|key| (id, *key)));
        round.wait(drain, format!("no room elsewhere for {} replicas of {id}", replicas.len()));
    }

    /// Batch tasks are left to end for as long as their class says, then stopped if it allows that.
    fn charge_batch(
        &mut self,
        round: &mut Round<'_>,
        id: MachineId,
        since: WallClock,
        view: &MachineView,
        allowances: &mut Allowances,
    ) {
        let drain = self.emptying.get(&id).and_then(|emptying| emptying.drain.clone());
        let waited = Duration::from_millis(round.wall.as_millis().saturating_sub(since.as_millis()));
        if let Some((task, left)) = crate::candidates::longest_batch(view) {
            // Rounded, so that the status does not change all the time.
            let tens = left.as_secs_f64().div_euclid(10.0) * 10.0 + 10.0;
            round.wait(drain.as_ref(), format!("{} of {} on {id} ends within {tens} s", task.key.task, task.class));
        }
        let batch = view.tasks.iter().filter(|task| task.kind != TaskKind::Replica && !task.stopping);
        for task in batch {
            if waited < self.policy.batch_wait(&task.class) || !self.may_evict(task) || self.is_charged(task) {
                continue;
            }
            match allowances.check(&Load::from([(task.class.clone(), charge_of(task).count)])) {
                Ok(()) => self.charge(id, &[task], allowances),
                Err(blocked) => round.wait(drain.as_ref(), blocked.to_string()),
            }
        }
    }

    /// Whether a task is charged already, perhaps with its gang on another machine.
    fn is_charged(&self, task: &TaskView) -> bool {
        let charge = charge_of(task);
        self.emptying.values().any(|emptying| emptying.charges.contains(&charge))
    }

    fn may_evict(&self, task: &TaskView) -> bool {
        let saves = match task.kind {
            TaskKind::Replica => false,
            TaskKind::Batch { saves } | TaskKind::Gang { saves, .. } => saves,
        };
        match self.policy.batch_eviction(&task.class) {
            BatchEviction::Never => false,
            BatchEviction::Checkpointed => saves,
            BatchEviction::Always => true,
        }
    }

    /// Charges tasks of a machine, as many as its record has space for; the others follow when some of those are returned.
    pub(super) fn charge(&mut self, id: MachineId, tasks: &[&TaskView], allowances: &mut Allowances) {
        let most = self.charges_per_machine();
        let Some(emptying) = self.emptying.get_mut(&id) else { return };
        for task in tasks {
            if emptying.charges.len() >= most {
                return;
            }
            let charge = charge_of(task);
            if emptying.charges.insert(charge) && !task.counted {
                allowances.take(&Load::from([(task.class.clone(), charge.count)]));
            }
        }
    }

    fn charges_per_machine(&self) -> usize {
        (self.value_bytes.saturating_sub(MACHINE_BYTES) / CHARGE_BYTES).max(1)
    }

    /// Puts a machine among those that are being emptied.
    pub(super) fn enter(&mut self, id: MachineId, drain: Option<String>, since: WallClock) {
        let earlier = self.emptying.remove(&id).unwrap_or_default();
        // Charges that are left from a drain that was called off still count.
        let Emptying { charges, commanded, .. } = earlier;
        self.emptying.insert(id, Emptying { drain, since, charges, commanded, released: false });
    }
}

/// The charge of a task; of a gang's task that of the whole gang.
pub(super) fn charge_of(task: &TaskView) -> Charge {
    let (index, count) = match task.kind {
        TaskKind::Gang { tasks, .. } => (None, tasks),
        _ => (Some(task.key.task.index), 1),
    };
    Charge { job: task.key.task.job, index, attempt: task.key.attempt, count }
}

fn stop_of(machine: MachineId, charge: &Charge) -> Stop {
    match charge.index {
        Some(index) => {
            let key = AttemptId { attempt: charge.attempt, task: TaskId { job: charge.job, index } };
            Stop::Task { machine, key }
        }
        None => Stop::Gang(charge.job),
    }
}
