//! Where drains meet the term: what the coordinator is shown of the fleet, and how its effects are carried out.

mod fleet;
mod rooms;

use crate::controller::{Effect, Slot};
use crate::inventory::{Demand, Place, RENT_LIMIT};
use crate::settings::Settings;
use crate::store::{Reply, StateCall, condition};
use crate::term::{Over, Term};
use crate::units::{MachineId, Revision, Time, Token, Wall};
use crate::upgrade::Format;
use crate::wire::{Change, KeyPage, Txn, TxnAnswer};
use crate::workers::{Hold, Machine};
use caperstile_disruption::store::{Answer, Call, Entry, Write};
use caperstile_disruption::{self as disruption, Coordinator, Policy, Stop};
use fleet::{FleetView, place_of};
use log::info;
pub(crate) use rooms::RoomPlanner;
use std::collections::BTreeSet;

/// Why a machine is drained that operators or consolidation empty.
const DRAINED: &str = "drained";
/// Share of the state service's changes that drains may use: the log has three quarters, elections need the rest.
const WRITE_SHARE: f64 = 0.15;
/// Bytes of a value that are not used, as in the log.
const VALUE_MARGIN: usize = 64;

/// The drains of a new term, if the operators have switched them on.
pub(crate) fn coordinator(settings: &Settings, now: Time) -> Option<Coordinator> {
    let state = &settings.deployment.state;
    let value_bytes = ((state.value_kb_always() * 1024.0) as usize).saturating_sub(VALUE_MARGIN);
    let rate = state.write_rates().1 * WRITE_SHARE;
    let new = || Coordinator::new(settings.policy.clone(), now, value_bytes, state.txn_ops_always(), rate);
    settings.policy.enabled.then(new)
}

impl Term {
    /// The drains, if they are switched on.
    pub fn drains(&self) -> Option<&Coordinator> {
        self.drains.as_ref()
    }

    /// The operators have changed their budgets.
    pub fn set_policy(&mut self, now: Time, policy: Policy) {
        self.settings.policy = policy.clone();
        match &mut self.drains {
            Some(drains) => drains.set_policy(policy),
            None => self.drains = coordinator(&self.settings, now),
        }
    }

    /// Reads and writes the drains' records.
    pub(crate) fn sync_drains(&mut self, now: Time, certain: bool, out: &mut Vec<Effect>) {
        if !certain || !self.loaded() {
            return;
        }
        let call = self.drains.as_mut().filter(|drains| drains.enabled()).and_then(|drains| drains.store().tick(now));
        self.send_drain_call(call, out);
    }

    fn send_drain_call(&self, call: Option<(u64, Call)>, out: &mut Vec<Effect>) {
        if let Some((id, call)) = call {
            let call = state_call(call, self.format(), self.token);
            out.push(Effect::State(Slot::Drains(self.token.0), id, call));
        }
    }

    /// The state service answered a call for the drains.
    pub fn drain_reply(&mut self, now: Time, wall: Wall, certain: bool, id: u64, reply: &Reply, out: &mut Vec<Effect>) {
        let answer = answer_of(reply);
        if answer == Answer::Conflict && names_leader_key(reply, self.format()) {
            self.over = Some(Over::KeyChanged);
            return;
        }
        let Some(drains) = &mut self.drains else { return };
        let wrote = matches!(answer, Answer::Written { .. });
        let next = drains.store().reply(now, id, answer);
        self.send_drain_call(next, out);
        if wrote && certain {
            // What was charged may be stopped now, without waiting for the next round.
            self.tend_drains(now, wall, out);
            self.flush(now, out);
        }
    }

    /// A round of drains; only while no other node can have been elected.
    pub(crate) fn tend_drains(&mut self, now: Time, wall: Wall, out: &mut Vec<Effect>) {
        let Some(mut drains) = self.drains.take_if(|drains| !drains.is_idle()) else { return };
        let effects = drains.round(now, wall, &FleetView::new(self, now, wall));
        self.drains = Some(drains);
        for effect in effects {
            self.carry_out(now, wall, effect, out);
        }
    }

    fn carry_out(&mut self, now: Time, wall: Wall, effect: disruption::Effect, out: &mut Vec<Effect>) {
        match effect {
            disruption::Effect::Cordon(id) => self.cordon(id),
            disruption::Effect::Uncordon(id) => self.uncordon(id),
            disruption::Effect::Stop(Stop::Task { machine, key }) => {
                let Some(job) = self.jobs.get(key.task.job) else { return };
                let grace = if job.record.service { 0.0 } else { job.record.save.as_secs() };
                info!("evicting {key} machine={machine}");
                self.stop(machine, key, grace);
            }
            disruption::Effect::Stop(Stop::Gang(id)) => {
                let Some(save) = self.jobs.get(id).map(|job| job.record.save) else { return };
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
        machine.draining = Some(DRAINED);
        self.plans.remove(id);
        self.changed.insert(id);
    }

    fn uncordon(&mut self, id: MachineId) {
        let returning = self.inventory.is_returning(id);
        let drained = self.machines.get_mut(&id).filter(|machine| machine.draining == Some(DRAINED) && !returning);
        let Some(machine) = drained else { return };
        info!("not draining any more machine={id}");
        machine.draining = None;
        self.changed.insert(id);
        self.dirty = true;
    }

    fn rent_replacements(
        &mut self,
        now: Time,
        wall: Wall,
        place: disruption::Place,
        count: u32,
        out: &mut Vec<Effect>,
    ) {
        if self.inventory.renting() || self.inventory.calls_left() == 0 {
            return;
        }
        let place: Place = (place.kind, place.zone, place.spot);
        let mut events = Vec::new();
        self.inventory.rent(now, &place, count.min(RENT_LIMIT), &mut events);
        self.hired(now, wall, events, out);
    }

    /// Ordinary machines for replicas that have to leave theirs and have no place to go to, neither on machines that are up nor on
    /// those on their way.
    pub(crate) fn demands_of_drains(&self, now: Time) -> Vec<Demand> {
        let waiting = self.drains.as_ref().map(Coordinator::without_room).unwrap_or_default();
        if waiting.is_empty() {
            return Vec::new();
        }
        let leaving = waiting.iter().map(|(id, _)| *id).collect();
        let mut rooms = RoomPlanner::with_booting(self, &leaving);
        let holds = waiting.iter().filter_map(|(id, key)| self.machines.get(id)?.holds.get(key));
        let homeless = holds.filter(|hold| !rooms.take_all([*hold].into_iter()));
        homeless.filter_map(|hold| self.demand_for_replica(now, hold)).collect()
    }

    fn demand_for_replica(&self, now: Time, hold: &Hold) -> Option<Demand> {
        let job = self.jobs.get(hold.task.job)?;
        let record = &job.record;
        let there = self.parts().by_zone(job);
        let count = |zone: &str| self.names.zone(zone).and_then(|zone| there.get(&zone).copied()).unwrap_or(0);
        let zones: BTreeSet<&String> = self.inventory.flavors().into_iter().flatten().flat_map(|f| &f.zones).collect();
        let open = zones.into_iter().filter(|zone| self.lost_since(zone, now).is_none());
        let allowed = open.filter(|zone| record.zone.as_ref().is_none_or(|only| only == *zone));
        let zone = allowed.min_by_key(|zone| count(zone))?;
        Some(Demand {
            job: record.id,
            need: record.need,
            count: 1,
            spot: false,
            ordinary: true,
            types: record.types.clone(),
            zone: Some(zone.clone()),
            zone_cap: u32::MAX,
            one_zone: false,
        })
    }

    /// Whether a machine is a replacement that waits for its turn in a drain.
    pub(crate) fn is_replacement(&self, id: MachineId) -> bool {
        let Some(drains) = &self.drains else { return false };
        self.machines.get(&id).is_some_and(|m| drains.keeps_idle(id, &place_of(&m.record), m.record.at))
    }

    /// Empties a machine whose services fit elsewhere through the budgets, where these are in force; false: not at this time.
    pub(crate) fn consolidate_within_budgets(&mut self, now: Time, wall: Wall, id: MachineId) -> bool {
        let Some(mut drains) = self.drains.take() else { return false };
        let taken = drains.consolidate(now, wall, id, &FleetView::new(self, now, wall));
        self.drains = Some(drains);
        taken
    }
}

fn state_call(call: Call, format: Format, token: Token) -> StateCall {
    match call {
        Call::Scan { prefix, after } => StateCall::Scan { prefix, after },
        Call::Write(write) => StateCall::Txn(transaction(write, format, token)),
    }
}

/// A write of the drains, on condition that this node still leads.
fn transaction(write: Write, format: Format, token: Token) -> Txn {
    let leads = condition(format.leader_key(), Revision(token.0));
    let own = write.conditions.iter().map(|(key, revision)| condition(key, Revision(*revision)));
    let puts = write.puts.into_iter().map(|(key, value)| Change::Put { key, value, lease: None });
    let removals = write.removals.into_iter().map(|key| Change::Delete { key });
    Txn { conditions: [leads].into_iter().chain(own).collect(), changes: puts.chain(removals).collect() }
}

fn answer_of(reply: &Reply) -> Answer {
    match reply.status {
        200 => page_of(reply).or_else(|| written_of(reply)).unwrap_or(Answer::Lost),
        409 => Answer::Conflict,
        0 => Answer::Lost,
        _ => Answer::Refused,
    }
}

fn page_of(reply: &Reply) -> Option<Answer> {
    let page: KeyPage = reply.parse()?;
    let entries = page.items.into_iter();
    let entries = entries.map(|item| Entry { key: item.key, value: item.value, revision: item.version }).collect();
    Some(Answer::Page { entries, more: page.more })
}

fn written_of(reply: &Reply) -> Option<Answer> {
    Some(Answer::Written { revision: reply.parse::<TxnAnswer>()?.revision })
}

fn names_leader_key(reply: &Reply, format: Format) -> bool {
    reply.parse::<TxnAnswer>().is_some_and(|answer| answer.failed.iter().any(|key| key == format.leader_key()))
}

#[cfg(test)]
mod tests;
