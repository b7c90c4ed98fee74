//! Steps: which machines are emptied next, and which are rented to replace them.

use super::{Coordinator, Effect, Round};
use crate::allowance::Allowances;
use crate::candidates::{self, Ready};
use crate::choose::{self, Candidate, StepLimits};
use crate::drain::Drain;
use crate::fleet::{Fleet, InstancePool, Supply, TaskView};
use caperstile_types::{MachineId, Timestamp, WallClock};
use std::collections::{BTreeMap, BTreeSet};

/// Machines without room for their replicas that a step tries, and rents room for.
const HOMELESS: usize = 8;

/// How the machines of a place are being replaced, over all drains that do so.
#[derive(Debug, Default)]
struct Replacement {
    /// Machines to be replaced that are gone or being emptied.
    used: u32,
    /// Those that are still to come.
    left: u32,
    supply: Supply,
}

impl Coordinator {
    /// Begins to empty as many machines as budgets, room and replacements allow.
    pub(super) fn begin(&mut self, round: &mut Round<'_>, allowances: &mut Allowances) {
        let busy = self.busy();
        let waiting = candidates::waiting(&self.drains, &busy, round.fleet, round.wall);
        let ready = candidates::ready(waiting, round.fleet);
        let most = self.policy.parallel.of(round.fleet.machine_ids().len() as u32).max(1);
        let replacements = self.replacements(&busy, round.fleet);
        self.rent_ahead(round, &replacements, most);
        let replaced =
            replacements.into_iter().map(|(place, state)| (place, state.supply.up.saturating_sub(state.used)));
        let mut places: BTreeMap<InstancePool, u32> = replaced.collect();
        let stalled = busy.iter().filter(|id| stalls(**id, round.fleet)).count() as u32;
        let working = busy.len() as u32 - stalled;
        // Machines that batch tasks hold up have as many places of their own, so that they do not hold up the others.
        for (held_up, taken) in [(false, working), (true, stalled)] {
            let some: Vec<&Ready> = ready.iter().filter(|ready| ready.stalls == held_up).collect();
            self.begin_some(round, &some, most.saturating_sub(taken), &mut places, allowances);
        }
    }

    fn begin_some(
        &mut self,
        round: &mut Round<'_>,
        ready: &[&Ready],
        most: u32,
        places: &mut BTreeMap<InstancePool, u32>,
        allowances: &mut Allowances,
    ) {
        if ready.is_empty() || most == 0 {
            return;
        }
        let candidates: Vec<Candidate> = ready.iter().map(|ready| candidates::candidate(ready, &self.drains)).collect();
        let limits = StepLimits { allowances, machines: most, ready: places.clone() };
        let chosen: BTreeSet<MachineId> = choose::choose(&candidates, &limits).into_iter().collect();
        let busy = self.emptying.keys().copied().chain(chosen.iter().copied()).collect();
        let mut rooms = (!chosen.is_empty()).then(|| round.fleet.rooms(&busy));
        let (mut begun, mut homeless) = (0, 0);
        for (ready, candidate) in ready.iter().zip(&candidates) {
            if !chosen.contains(&ready.machine) {
                if let Err(blocked) = allowances.check(&ready.load) {
                    round.wait(Some(&ready.drain), blocked.to_string());
                }
            } else if homeless >= HOMELESS {
                // Where so many found no room others are not tried in this step.
            } else if !ready.replicas.is_empty()
                && !rooms.as_mut().is_some_and(|rooms| rooms.take(ready.machine, &ready.replicas))
            {
                homeless += 1;
                self.lacks_room(round, Some(&ready.drain), ready.machine, &ready.replicas);
            } else {
                begun += 1;
                use_replacement(candidate, places);
                self.begin_machine(round, ready, allowances);
            }
        }
        if begun == 0 {
            self.begin_in_parts(round, ready, &candidates, places, allowances);
        }
    }

    /// Begins to empty a machine with all of its replicas.
    fn begin_machine(&mut self, round: &Round<'_>, ready: &Ready, allowances: &mut Allowances) {
        self.enter(ready.machine, Some(ready.drain.clone()), round.wall);
        if let Some(view) = round.fleet.machine(ready.machine) {
            let replicas: Vec<&TaskView> = candidates::replicas(&view).collect();
            self.charge(ready.machine, &replicas, allowances);
        }
    }

    /// A machine that holds more of a class than may ever be out at once is emptied in parts, one machine of a drain at a time.
    fn begin_in_parts(
        &mut self,
        round: &Round<'_>,
        ready: &[&Ready],
        candidates: &[Candidate],
        places: &mut BTreeMap<InstancePool, u32>,
        allowances: &Allowances,
    ) {
        let replaced = |candidate: &Candidate| match &candidate.replaced_at {
            Some(place) => places.get(place).is_some_and(|left| *left > 0),
            None => true,
        };
        let begins = |ready: &Ready| {
            let view = round.fleet.machine(ready.machine);
            let first = view.as_ref().map(|view| candidates::part_of(candidates::replicas(view), allowances).len());
            allowances.never_at_once(&ready.load) && first.is_some_and(|count| count > 0)
        };
        let has_replicas =
            |id: &MachineId| round.fleet.machine(*id).is_some_and(|view| candidates::replicas(&view).next().is_some());
        // One that only waits for batch tasks to end holds no other up.
        let moving = self.emptying.iter().filter(|(id, _)| has_replicas(id));
        let busy: BTreeSet<&String> = moving.filter_map(|(_, emptying)| emptying.drain.as_ref()).collect();
        let found = ready
            .iter()
            .zip(candidates)
            .find(|(ready, candidate)| !busy.contains(&ready.drain) && replaced(candidate) && begins(ready));
        if let Some((ready, candidate)) = found {
            use_replacement(candidate, places);
            let (id, drain) = (ready.machine, ready.drain.clone());
            self.enter(id, Some(drain), round.wall);
        }
    }

    /// Empties a machine whose services fit elsewhere, if the budgets allow it now; false: not now.
    pub fn consolidate(&mut self, now: Timestamp, wall: WallClock, id: MachineId, fleet: &dyn Fleet) -> bool {
        let ready = self.policy.enabled && self.restored && fleet.settled() && fleet.lost_zone().is_none();
        let Some(view) = fleet.machine(id).filter(|_| ready && !self.emptying.contains_key(&id)) else { return false };
        let demand = fleet.demand();
        let round = Round { now, wall, fleet, demand, waits: BTreeMap::new(), effects: Vec::new() };
        let mut allowances = self.allowances(&round);
        let replicas: Vec<&TaskView> = candidates::replicas(&view).collect();
        if allowances.check(&candidates::load_of(replicas.iter().copied())).is_err() {
            return false;
        }
        self.enter(id, None, wall);
        self.charge(id, &replicas, &mut allowances);
        self.keep();
        true
    }

    /// Whether a machine is being consolidated.
    pub fn consolidates(&self) -> bool {
        self.emptying.values().any(|emptying| emptying.drain.is_none())
    }

    /// How far replacing is, by place.
    ///
    /// Only machines that were there when the first of these drains was taken need a replacement: one that was rented since, and
    /// is drained by a later drain, takes its own share of the supply along when it goes.
    fn replacements(&self, busy: &BTreeSet<MachineId>, fleet: &dyn Fleet) -> BTreeMap<InstancePool, Replacement> {
        let replacing: Vec<&Drain> = self.drains.values().filter(|drain| drain.runs() && drain.replaces()).collect();
        let Some(since) = replacing.iter().map(|drain| drain.status.accepted_at).min() else { return BTreeMap::new() };
        let mut places: BTreeMap<InstancePool, Replacement> = BTreeMap::new();
        let mut seen = BTreeSet::new();
        for (id, member) in replacing.iter().flat_map(|drain| &drain.members) {
            if !seen.insert(*id) {
                continue;
            }
            let replacement = places.entry(member.place.clone()).or_default();
            if fleet.exists(*id) && !busy.contains(id) {
                replacement.left += 1;
            } else if member.rented_at < since {
                replacement.used += 1;
            }
        }
        for (place, replacement) in &mut places {
            replacement.supply = fleet.supply(place, since, busy);
        }
        places
    }

    /// Rents for the next step what is not on its way yet.
    fn rent_ahead(&self, round: &mut Round<'_>, replacements: &BTreeMap<InstancePool, Replacement>, most: u32) {
        for (place, state) in replacements {
            let wanted = state.used + state.left.min(most);
            let missing = wanted.saturating_sub(state.supply.up + state.supply.booting);
            if missing == 0 {
                continue;
            }
            if state.supply.refused {
                self.wait_for_place(round, place);
            } else {
                round.effects.push(Effect::Rent(place.clone(), missing));
            }
        }
    }

    fn wait_for_place(&self, round: &mut Round<'_>, place: &InstancePool) {
        let concerned = |drain: &&Drain| {
            drain.runs() && drain.replaces() && drain.members.values().any(|member| member.place == *place)
        };
        let names: Vec<String> =
            self.drains.iter().filter(|(_, drain)| concerned(drain)).map(|(name, _)| name.clone()).collect();
        for name in names {
            round.wait(Some(&name), format!("the cloud has no {place}"));
        }
    }
}

/// A machine that is begun takes one of the replacements that are ready in its place.
fn use_replacement(candidate: &Candidate, places: &mut BTreeMap<InstancePool, u32>) {
    if let Some(left) = candidate.replaced_at.as_ref().and_then(|place| places.get_mut(place)) {
        *left = left.saturating_sub(1);
    }
}

fn stalls(id: MachineId, fleet: &dyn Fleet) -> bool {
    let view = fleet.machine(id);
    view.as_ref().and_then(candidates::longest_batch).is_some_and(|(_, left)| left > candidates::STALL)
}
