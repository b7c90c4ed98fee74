//! A fake fleet whose machines, tasks and availability the test sets.

use super::START_MS;
use caperstile_disruption::records::BudgetCharge;
use caperstile_disruption::{
    ChargeState, ClassAvailability, Effect, Eviction, Fleet, InstancePool, MachineView, ReplacementSupply,
    SpareCapacity, TaskClass, TaskKind, TaskView,
};
use caperstile_types::{AttemptId, AttemptNumber, Duration, JobId, MachineId, TaskId, WallClock};
use std::collections::{BTreeMap, BTreeSet};

pub fn class(name: &str) -> TaskClass {
    TaskClass { team: "crew".into(), class: name.into() }
}

/// A fake fleet. The test sets its machines and how many further replicas are unavailable.
#[derive(Clone)]
pub struct FakeFleet {
    pub machines: BTreeMap<MachineId, MachineView>,
    pub desired: u32,
    /// Number of replicas that are unavailable for reasons other than an eviction.
    pub lost: u32,
    pub is_complete: bool,
    pub unreachable_zone: Option<String>,
    pub has_capacity: bool,
}

impl FakeFleet {
    /// Creates a fleet of machines that each hold `replicas` replicas of class `web`.
    pub fn with_replicas(machines: u64, replicas: u32) -> FakeFleet {
        let mut fleet = FakeFleet {
            machines: BTreeMap::new(),
            desired: machines as u32 * replicas,
            lost: 0,
            is_complete: true,
            unreachable_zone: None,
            has_capacity: true,
        };
        for id in 1..=machines {
            let tasks = (0..replicas).map(|n| fleet.task(id, n, "web", TaskKind::Replica, None)).collect();
            fleet.add(id, tasks);
        }
        fleet
    }

    pub fn task(&self, machine: u64, index: u32, name: &str, kind: TaskKind, ends_in: Option<Duration>) -> TaskView {
        let task = TaskId { job: JobId(machine), index };
        let key = AttemptId { attempt: AttemptNumber(machine * 1000 + u64::from(index)), task };
        TaskView {
            attempt: key,
            class: class(name),
            kind,
            stopping: false,
            already_unavailable: false,
            predicted_remaining: ends_in,
        }
    }

    pub fn add(&mut self, id: u64, tasks: Vec<TaskView>) {
        let pool = InstancePool { machine_type: "g8".into(), zone: "a".into(), spot: false };
        let view = MachineView {
            pool,
            provisioned_at: WallClock::from_millis(START_MS - 1000),
            reachable: true,
            terminating: false,
            tasks,
        };
        self.machines.insert(MachineId(id), view);
    }

    /// Executes the evictions of single tasks: marks these tasks as stopping.
    pub fn evict(&mut self, effects: &[Effect]) {
        for effect in effects {
            if let Effect::Evict(Eviction::Task { machine, attempt }) = effect {
                let view = self.machines.get_mut(machine).expect("a machine");
                view.tasks.iter_mut().filter(|task| task.attempt == *attempt).for_each(|task| task.stopping = true);
            }
        }
    }

    pub fn find(&self, charge: &BudgetCharge) -> Option<&TaskView> {
        let tasks = self.machines.values().flat_map(|view| &view.tasks);
        let index = |task: &&TaskView| charge.index.is_none_or(|index| index == task.attempt.task.index);
        tasks.filter(index).find(|task| task.attempt.task.job == charge.job && task.attempt.attempt == charge.attempt)
    }
}

/// Has capacity for all replicas if true, otherwise for none.
struct FixedCapacity(bool);

impl SpareCapacity for FixedCapacity {
    fn reserve(&mut self, _: MachineId, _: &[AttemptId]) -> bool {
        self.0
    }
}

impl Fleet for FakeFleet {
    fn is_complete(&self) -> bool {
        self.is_complete
    }
    fn unreachable_zone(&self) -> Option<String> {
        self.unreachable_zone.clone()
    }
    fn machine_ids(&self) -> Vec<MachineId> {
        self.machines.keys().copied().collect()
    }
    fn exists(&self, id: MachineId) -> bool {
        self.machines.contains_key(&id)
    }
    fn machine(&self, id: MachineId) -> Option<MachineView> {
        self.machines.get(&id).cloned()
    }
    fn availability(&self) -> BTreeMap<TaskClass, ClassAvailability> {
        let tasks = self.machines.values().flat_map(|view| &view.tasks);
        let running = tasks.filter(|task| task.kind == TaskKind::Replica && !task.stopping).count() as u32;
        let web = ClassAvailability { desired: self.desired, unavailable: self.desired - running + self.lost };
        BTreeMap::from([(class("web"), web), (class("render"), ClassAvailability { desired: 100, unavailable: 0 })])
    }
    fn charge_state(&self, charge: &BudgetCharge) -> ChargeState {
        // Jobs with IDs from 900 on are batch jobs.
        let replica = charge.job.0 < 900;
        let class = class(if replica { "web" } else { "render" });
        match self.find(charge) {
            Some(task) if !task.stopping => ChargeState::Pending { class, already_unavailable: false },
            // A replica that is no longer on its machine is assumed to run on another one.
            None if replica => ChargeState::Released,
            _ => ChargeState::Disrupted { class, already_unavailable: replica },
        }
    }
    fn spare_capacity<'a>(&'a self, _: &BTreeSet<MachineId>) -> Box<dyn SpareCapacity + 'a> {
        Box::new(FixedCapacity(self.has_capacity))
    }
    fn replacement_supply(&self, _: &InstancePool, _: WallClock, _: &BTreeSet<MachineId>) -> ReplacementSupply {
        ReplacementSupply::default()
    }
}
