//! The leader's view of all drains: what is charged, which machines are being emptied, and what comes next.
//!
//! Each round settles what is over, follows the operators, stops what is charged durably, and charges what the budgets leave. A
//! task is told to stop only in a round after its charge was written, and only if the budgets still allow it then.

mod charges;
mod durable;
mod operators;
mod steps;

use crate::allowance::{Allowances, LastEvictions};
use crate::budget::{Policy, TaskClass};
use crate::drain::Drain;
use crate::fleet::{ChargeState, Demand, Fleet, InstancePool};
use crate::records::{Charge, Phase, Status};
use crate::store::Store;
use caperstile_types::{AttemptId, JobId, MachineId, Timestamp, WallClock};
use std::collections::{BTreeMap, BTreeSet};

/// What is told to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stop {
    /// One task.
    Task {
        /// Its machine.
        machine: MachineId,
        /// The attempt.
        key: AttemptId,
    },
    /// All tasks of a gang.
    Gang(JobId),
}

/// What a round wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Plan nothing more on this machine, and return it once it is empty.
    Cordon(MachineId),
    /// Plan on it again.
    Uncordon(MachineId),
    /// Stop a task, or a gang.
    Stop(Stop),
    /// Rent so many machines.
    Rent(InstancePool, u32),
}

/// A machine that is being emptied.
#[derive(Debug, Clone, Default)]
struct Emptying {
    /// For which drain; none: consolidation.
    drain: Option<String>,
    since: WallClock,
    charges: BTreeSet<Charge>,
    /// Charges whose tasks this leader told to stop.
    commanded: BTreeSet<Charge>,
    /// Its drain was called off: it takes work again, and only its charges are still counted.
    released: bool,
}

impl Emptying {
    /// Whether it is to be emptied further: its drain runs, or it is being consolidated.
    fn goes_on(&self, drains: &BTreeMap<String, Drain>) -> bool {
        let runs = |name: &String| drains.get(name).is_some_and(Drain::runs);
        !self.released && self.drain.as_ref().is_none_or(runs)
    }
}

/// What a round knows and gathers.
struct Round<'a> {
    now: Timestamp,
    wall: WallClock,
    fleet: &'a dyn Fleet,
    demand: BTreeMap<TaskClass, Demand>,
    /// For whom or what each drain waits.
    waits: BTreeMap<String, Vec<String>>,
    effects: Vec<Effect>,
}

impl Round<'_> {
    /// Notes why a drain waits.
    fn wait(&mut self, drain: Option<&String>, reason: String) {
        if let Some(name) = drain {
            self.waits.entry(name.clone()).or_default().push(reason);
        }
    }
}

/// State of all drains under one leader.
#[derive(Debug)]
pub struct Coordinator {
    policy: Policy,
    store: Store,
    value_bytes: usize,
    restored: bool,
    drains: BTreeMap<String, Drain>,
    emptying: BTreeMap<MachineId, Emptying>,
    last: LastEvictions,
    /// Replicas for which no room was found in the last round, with their machines.
    without_room: Vec<(MachineId, AttemptId)>,
    told: Timestamp,
}

impl Coordinator {
    /// A leader's, at the begin of its term. `value_bytes`, `ops` and `rate` are what the state service takes.
    pub fn new(policy: Policy, now: Timestamp, value_bytes: usize, ops: usize, rate: f64) -> Coordinator {
        Coordinator {
            policy,
            store: Store::new(now, ops, rate),
            value_bytes,
            restored: false,
            drains: BTreeMap::new(),
            emptying: BTreeMap::new(),
            last: LastEvictions::new(now),
            without_room: Vec::new(),
            told: Timestamp::ZERO,
        }
    }

    /// The durable records.
    pub fn store(&mut self) -> &mut Store {
        &mut self.store
    }

    /// Takes other budgets over. What is out already counts against them.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Whether drains are carried out at all.
    pub fn enabled(&self) -> bool {
        self.policy.enabled
    }

    /// Whether there is nothing to do in a round.
    pub fn is_idle(&self) -> bool {
        let answered = |(name, asked): (&String, &crate::store::Asked)| {
            self.drains.get(name).is_some_and(|drain| drain.status.request == asked.revision)
        };
        let live = self.drains.values().any(|drain| drain.status.phase.is_live());
        !self.policy.enabled
            || (self.restored
                && self.emptying.is_empty()
                && self.store.settled()
                && !live
                && self.store.requests().iter().all(answered))
    }

    /// How a drain stands.
    pub fn status(&self, name: &str) -> Option<&Status> {
        self.drains.get(name).map(|drain| &drain.status)
    }

    /// Whether a machine belongs to a drain that runs.
    pub fn is_member(&self, id: MachineId) -> bool {
        self.drains.values().any(|drain| drain.runs() && drain.members.contains_key(&id))
    }

    /// Replicas that wait for room, which is to be rented for them, with their machines.
    pub fn without_room(&self) -> &[(MachineId, AttemptId)] {
        &self.without_room
    }

    /// Whether a machine was rented to replace one of a running drain, so that it is kept although it is idle.
    pub fn keeps_idle(&self, id: MachineId, place: &InstancePool, rented_at: WallClock) -> bool {
        let replaces = |drain: &Drain| {
            drain.runs()
                && drain.replaces()
                && rented_at >= drain.status.accepted_at
                && !drain.members.contains_key(&id)
                && drain.members.values().any(|member| member.place == *place)
        };
        self.drains.values().any(replaces)
    }

    /// One round; to be called again after each write.
    pub fn round(&mut self, now: Timestamp, wall: WallClock, fleet: &dyn Fleet) -> Vec<Effect> {
        if !self.policy.enabled || !self.store.loaded() {
            return Vec::new();
        }
        if !self.restored {
            self.restore();
        }
        let demand = fleet.demand();
        let mut round = Round { now, wall, fleet, demand, waits: BTreeMap::new(), effects: Vec::new() };
        self.follow_requests(&round);
        self.release_cancelled(&mut round);
        self.without_room.clear();
        if fleet.settled() {
            self.settle(fleet);
            self.step(&mut round);
        } else {
            self.wait_all(&mut round, "machines that an earlier leader commanded have not answered yet");
        }
        self.cordon(&mut round);
        self.tell(&round);
        self.keep();
        round.effects
    }

    fn step(&mut self, round: &mut Round<'_>) {
        let goes_on = |emptying: &Emptying| emptying.goes_on(&self.drains);
        let active = self.emptying.values().any(goes_on) || self.drains.values().any(Drain::runs);
        if !active {
            return;
        }
        if let Some(zone) = round.fleet.lost_zone() {
            return self.wait_all(round, &format!("zone {zone} is out of reach"));
        }
        self.drop_what_exceeds(round);
        self.command(round);
        // Again, since charges were dropped and evictions noted.
        let mut allowances = self.allowances(round);
        self.charge_more(round, &mut allowances);
        self.begin(round, &mut allowances);
    }

    fn wait_all(&self, round: &mut Round<'_>, reason: &str) {
        for (name, _) in self.drains.iter().filter(|(_, drain)| drain.runs()) {
            round.wait(Some(name), reason.to_string());
        }
    }

    /// Machines that take no work because they are being emptied.
    fn busy(&self) -> BTreeSet<MachineId> {
        self.emptying.iter().filter(|(_, emptying)| !emptying.released).map(|(id, _)| *id).collect()
    }

    fn allowances(&self, round: &Round<'_>) -> Allowances {
        let charges: Vec<(ChargeState, u32)> = self
            .emptying
            .values()
            .flat_map(|emptying| &emptying.charges)
            .map(|charge| (round.fleet.charge_state(charge), charge.count))
            .collect();
        let counted = charges.iter().map(|(state, count)| (state, *count));
        Allowances::new(&self.policy, round.now, round.wall, &round.demand, counted, &self.last)
    }

    /// Returns charges, forgets machines that are gone, and ends drains.
    fn settle(&mut self, fleet: &dyn Fleet) {
        self.return_charges(fleet);
        self.emptying.retain(|id, emptying| !emptying.charges.is_empty() || (!emptying.released && fleet.exists(*id)));
        for drain in self.drains.values_mut().filter(|drain| drain.runs()) {
            if !drain.members.keys().any(|id| fleet.exists(*id)) {
                drain.status.phase = Phase::Done;
            }
        }
    }
}
