//! Where drains meet the term: what the coordinator is shown of the fleet, and how its effects are carried out.

mod fleet;
mod rooms;

use crate::cloud::{InstancePool, MAX_INSTANCES_PER_REQUEST};
use crate::effects::{Effect, StoreCaller};
use crate::leader::Leader;
use crate::leader::provisioning::MachineDemand;
use crate::leadership::StepDownReason;
use crate::settings::Settings;
use crate::store::{ServiceResponse, StoreRequest, condition};
use crate::types::{FencingToken, MachineId, Revision, Timestamp, WallClock};
use crate::upgrade::Format;
use crate::wire::{CompareAndSwap, CompareAndSwapResponse, KeyPage, StoreWrite};
use crate::workers::{DrainReason, Machine, TaskAttempt};
use caperstile_disruption::store::{Answer, Call, Entry, Write};
use caperstile_disruption::{self as disruption, Coordinator, Policy, Stop};
use fleet::{FleetView, place_of};
use log::info;
pub(crate) use rooms::RoomPlanner;
use std::collections::BTreeSet;

/// Share of the state service's changes that drains may use: the log has three quarters, elections need the rest.
const WRITE_SHARE: f64 = 0.15;
/// Bytes of a value that are not used, as in the log.
const VALUE_MARGIN: usize = 64;

/// The drains of a leader.
pub(super) struct DrainState {
    /// `None` while the operators have not switched them on.
    pub(super) coordinator: Option<Coordinator>,
    pub(super) last_round_at: Timestamp,
}

impl DrainState {
    /// The drains of a new leader.
    pub(super) fn new(settings: &Settings, now: Timestamp) -> DrainState {
        DrainState { coordinator: coordinator(settings, now), last_round_at: Timestamp::ZERO }
    }
}

/// The coordinator of a new leader's drains, if the operators have switched them on.
fn coordinator(settings: &Settings, now: Timestamp) -> Option<Coordinator> {
    let state = &settings.deployment.state;
    let value_bytes = ((state.value_kb_always() * 1024.0) as usize).saturating_sub(VALUE_MARGIN);
    let rate = state.write_rates().1 * WRITE_SHARE;
    let new = || Coordinator::new(settings.policy.clone(), now, value_bytes, state.txn_ops_always(), rate);
    settings.policy.enabled.then(new)
}

impl Leader {
    /// The drains, if they are switched on.
    pub fn drains(&self) -> Option<&Coordinator> {
        self.drain_state.coordinator.as_ref()
    }

    /// The operators have changed their budgets.
    pub fn set_policy(&mut self, now: Timestamp, policy: Policy) {
        self.settings.policy = policy.clone();
        match &mut self.drain_state.coordinator {
            Some(drains) => drains.set_policy(policy),
            None => self.drain_state.coordinator = coordinator(&self.settings, now),
        }
    }

    /// Reads and writes the drains' records.
    pub(crate) fn sync_drain_records(&mut self, now: Timestamp, lease_valid: bool, out: &mut Vec<Effect>) {
        if !lease_valid || !self.is_loaded() {
            return;
        }
        let call = self
            .drain_state
            .coordinator
            .as_mut()
            .filter(|drains| drains.enabled())
            .and_then(|drains| drains.store().tick(now));
        self.send_drain_call(call, out);
    }

    fn send_drain_call(&self, call: Option<(u64, Call)>, out: &mut Vec<Effect>) {
        if let Some((id, call)) = call {
            let call = state_call(call, self.format(), self.token);
            out.push(Effect::QueryStore(StoreCaller::Drains(self.token.0), id, call));
        }
    }

    /// The state service answered a call for the drains.
    pub fn handle_drain_store_response(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        lease_valid: bool,
        id: u64,
        reply: &ServiceResponse,
        out: &mut Vec<Effect>,
    ) {
        let answer = answer_of(reply);
        if answer == Answer::Conflict && names_leader_key(reply, self.format()) {
            self.step_down_reason = Some(StepDownReason::LeaderKeyChanged);
            return;
        }
        let Some(drains) = &mut self.drain_state.coordinator else { return };
        let wrote = matches!(answer, Answer::Written { .. });
        let next = drains.store().reply(now, id, answer);
        self.send_drain_call(next, out);
        if wrote && lease_valid {
            // What was charged may be stopped now, without waiting for the next round.
            self.run_drain_round(now, wall, out);
            self.flush(now, out);
        }
    }

    /// A round of drains; only while no other node can have been elected.
    pub(crate) fn run_drain_round(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        let Some(mut drains) = self.drain_state.coordinator.take_if(|drains| !drains.is_idle()) else { return };
        let effects = drains.round(now, wall, &FleetView::new(self, now, wall));
        self.drain_state.coordinator = Some(drains);
        for effect in effects {
            self.apply_drain_effect(now, wall, effect, out);
        }
    }

    fn apply_drain_effect(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        effect: disruption::Effect,
        out: &mut Vec<Effect>,
    ) {
        match effect {
            disruption::Effect::Cordon(id) => self.cordon(id),
            disruption::Effect::Uncordon(id) => self.uncordon(id),
            disruption::Effect::Stop(Stop::Task { machine, key }) => {
                let Some(job) = self.jobs.get(key.task.job) else { return };
                let grace = if job.spec.is_service { 0.0 } else { job.spec.checkpoint_duration.as_secs_f64() };
                info!("evicting {key} machine={machine}");
                self.stop_attempt(machine, key, grace);
            }
            disruption::Effect::Stop(Stop::Gang(id)) => {
                let Some(save) = self.jobs.get(id).map(|job| job.spec.checkpoint_duration) else { return };
                info!("evicting gang {id}");
                self.stop_gang(id, save);
            }
            disruption::Effect::Rent(place, count) => self.rent_replacements(now, wall, place, count, out),
        }
    }

    fn cordon(&mut self, id: MachineId) {
        // What is on a machine that has not answered this leader is not known: it would be taken for empty and returned.
        let known = |machine: &&mut Machine| machine.fenced && machine.draining.is_none();
        let Some(machine) = self.machines.get_mut(&id).filter(known) else { return };
        info!("draining machine={id}");
        machine.draining = Some(DrainReason::Drained);
        self.planning.plans.remove_machine(id);
        self.planning.changed_machines.insert(id);
    }

    fn uncordon(&mut self, id: MachineId) {
        let returning = self.cloud.is_releasing(id);
        let drained =
            self.machines.get_mut(&id).filter(|machine| machine.draining == Some(DrainReason::Drained) && !returning);
        let Some(machine) = drained else { return };
        info!("not draining any more machine={id}");
        machine.draining = None;
        self.planning.changed_machines.insert(id);
        self.planning.replan_needed = true;
    }

    fn rent_replacements(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        place: disruption::InstancePool,
        count: u32,
        out: &mut Vec<Effect>,
    ) {
        if self.cloud.scale_out_in_flight() || self.cloud.available_requests() == 0 {
            return;
        }
        let pool = InstancePool::from(place);
        let mut events = Vec::new();
        self.cloud.scale_out(now, &pool, count.min(MAX_INSTANCES_PER_REQUEST), &mut events);
        self.apply_cloud_events(now, wall, events, out);
    }

    /// Ordinary machines for replicas that have to leave theirs and have no place to go to, neither on machines that are up nor on
    /// those on their way.
    pub(crate) fn demands_of_drains(&self, now: Timestamp) -> Vec<MachineDemand> {
        let waiting = self.drain_state.coordinator.as_ref().map(Coordinator::without_room).unwrap_or_default();
        if waiting.is_empty() {
            return Vec::new();
        }
        let leaving = waiting.iter().map(|(id, _)| *id).collect();
        let mut rooms = RoomPlanner::with_booting(self, &leaving);
        let holds = waiting.iter().filter_map(|(id, key)| self.machines.get(id)?.attempts.get(key));
        let homeless = holds.filter(|hold| !rooms.take_all([*hold].into_iter()));
        homeless.filter_map(|hold| self.demand_for_replica(now, hold)).collect()
    }

    fn demand_for_replica(&self, now: Timestamp, hold: &TaskAttempt) -> Option<MachineDemand> {
        let job = self.jobs.get(hold.task.job)?;
        let record = &job.spec;
        let there = self.planning_view().tasks_by_zone(job);
        let count = |zone: &str| {
            self.planning.names.zone_index_of(zone).and_then(|zone| there.get(&zone).copied()).unwrap_or(0)
        };
        let zones: BTreeSet<&String> =
            self.cloud.machine_types().into_iter().flatten().flat_map(|f| &f.zones).collect();
        let open = zones.into_iter().filter(|zone| self.zone_unreachable_since(zone, now).is_none());
        let allowed = open.filter(|zone| record.zone.as_ref().is_none_or(|only| only == *zone));
        let zone = allowed.min_by_key(|zone| count(zone))?;
        Some(MachineDemand {
            job: record.id,
            resources: record.resources,
            count: 1,
            allows_spot: false,
            allows_on_demand: true,
            machine_types: record.machine_types.clone(),
            zone: Some(zone.clone()),
            max_per_zone: u32::MAX,
            colocate_in_zone: false,
        })
    }

    /// Whether a machine is a replacement that waits for its turn in a drain.
    pub(crate) fn is_replacement(&self, id: MachineId) -> bool {
        let Some(drains) = &self.drain_state.coordinator else { return false };
        self.machines.get(&id).is_some_and(|m| drains.keeps_idle(id, &place_of(&m.record), m.record.rented_at))
    }

    /// Empties a machine whose services fit elsewhere through the budgets, where these are in force; false: not at this time.
    pub(crate) fn consolidate_within_budgets(&mut self, now: Timestamp, wall: WallClock, id: MachineId) -> bool {
        let Some(mut drains) = self.drain_state.coordinator.take() else { return false };
        let taken = drains.consolidate(now, wall, id, &FleetView::new(self, now, wall));
        self.drain_state.coordinator = Some(drains);
        taken
    }
}

fn state_call(call: Call, format: Format, token: FencingToken) -> StoreRequest {
    match call {
        Call::Scan { prefix, after } => StoreRequest::Scan { prefix, after },
        Call::Write(write) => StoreRequest::CompareAndSwap(transaction(write, format, token)),
    }
}

/// A write of the drains, on condition that this node still leads.
fn transaction(write: Write, format: Format, token: FencingToken) -> CompareAndSwap {
    let leads = condition(format.leader_key(), Revision(token.0));
    let own = write.conditions.iter().map(|(key, revision)| condition(key, Revision(*revision)));
    let puts = write.puts.into_iter().map(|(key, value)| StoreWrite::Put { key, value, lease: None });
    let removals = write.removals.into_iter().map(|key| StoreWrite::Delete { key });
    CompareAndSwap { conditions: [leads].into_iter().chain(own).collect(), writes: puts.chain(removals).collect() }
}

fn answer_of(reply: &ServiceResponse) -> Answer {
    match reply.status {
        200 => page_of(reply).or_else(|| written_of(reply)).unwrap_or(Answer::Lost),
        409 => Answer::Conflict,
        0 => Answer::Lost,
        _ => Answer::Refused,
    }
}

fn page_of(reply: &ServiceResponse) -> Option<Answer> {
    let page: KeyPage = reply.parse()?;
    let entries = page.items.into_iter();
    let entries = entries.map(|item| Entry { key: item.key, value: item.value, revision: item.revision }).collect();
    Some(Answer::Page { entries, more: page.more })
}

fn written_of(reply: &ServiceResponse) -> Option<Answer> {
    Some(Answer::Written { revision: reply.parse::<CompareAndSwapResponse>()?.revision })
}

fn names_leader_key(reply: &ServiceResponse, format: Format) -> bool {
    reply
        .parse::<CompareAndSwapResponse>()
        .is_some_and(|answer| answer.failed_keys.iter().any(|key| key == format.leader_key()))
}

#[cfg(test)]
mod tests;
