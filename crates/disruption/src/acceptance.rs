//! Accepts or refuses requests for new drains and selects their machines.

use crate::allowance::desired_by_scope;
use crate::budget::{Policy, scopes_for_class};
use crate::drain::{Drain, DrainRefusal, Member};
use crate::fleet::{Fleet, MachineView, TaskKind};
use crate::record_keys::is_valid_drain_name;
use crate::records::{DrainRequest, DrainStatus, MachineFilter, MachineSelector};
use caperstile_types::{MachineId, WallClock};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of machines that a note or refusal lists by name. Of further machines it gives only the number.
const MAX_MACHINES_NAMED: usize = 5;
/// Maximum number of characters of an invalid name that a refusal quotes.
const MAX_INVALID_NAME_CHARS: usize = 60;

/// The state that a new request is checked against.
pub(crate) struct RequestContext<'a> {
    pub wall: WallClock,
    pub fleet: &'a dyn Fleet,
    pub policy: &'a Policy,
    /// All other known drains, including those that have ended or were refused.
    pub other_drains: &'a BTreeMap<String, Drain>,
}

/// The machines that a request selects, as they are when the request is accepted.
type SelectedMachines = BTreeMap<MachineId, MachineView>;

/// Creates the drain for a new request. If the request is refused, the status gives the reason.
pub(crate) fn accept_request(name: &str, request: &DrainRequest, revision: u64, context: &RequestContext<'_>) -> Drain {
    let mut status = DrainStatus::requested(revision, context.wall);
    let selected = select_machines(name, &request.selector, context, &mut status.notes);
    let machines = selected.unwrap_or_else(|refusal| {
        status.refuse(refusal.to_string());
        SelectedMachines::new()
    });
    status.machine_count = machines.len() as u32;
    add_overlap_notes(&machines, context.other_drains, &mut status.notes);
    let member = |machine: MachineView| Member { pool: machine.pool, provisioned_at: machine.provisioned_at };
    let members = machines.into_iter().map(|(id, machine)| (id, member(machine))).collect();
    Drain { request: request.clone(), status, members, is_durable: false }
}

fn select_machines(
    name: &str,
    selector: &MachineSelector,
    context: &RequestContext<'_>,
    notes: &mut Vec<String>,
) -> Result<SelectedMachines, DrainRefusal> {
    if !is_valid_drain_name(name) {
        return Err(DrainRefusal::InvalidName(name.chars().take(MAX_INVALID_NAME_CHARS).collect()));
    }
    let machines = match selector {
        MachineSelector::Machines(ids) => select_by_id(ids, context.fleet, notes),
        MachineSelector::Matching(filter) => select_matching(filter, context.wall, context.fleet),
    }?;
    check_budgets(&machines, context.fleet, context.policy)?;
    Ok(machines)
}

fn select_by_id(
    ids: &[MachineId],
    fleet: &dyn Fleet,
    notes: &mut Vec<String>,
) -> Result<SelectedMachines, DrainRefusal> {
    let mut found = SelectedMachines::new();
    let mut gone = BTreeSet::new();
    for id in ids {
        match fleet.machine(*id).filter(|machine| !machine.terminating) {
            Some(machine) => {
                found.insert(*id, machine);
            }
            None => {
                gone.insert(*id);
            }
        }
    }
    match (found.is_empty(), gone.is_empty()) {
        (true, true) => Err(DrainRefusal::NoMachineMatches),
        (true, false) => Err(DrainRefusal::AllMachinesGone(format_machine_list(&gone))),
        (false, true) => Ok(found),
        (false, false) => {
            notes.push(format!("gone already: {}", format_machine_list(&gone)));
            Ok(found)
        }
    }
}

fn select_matching(
    filter: &MachineFilter,
    wall: WallClock,
    fleet: &dyn Fleet,
) -> Result<SelectedMachines, DrainRefusal> {
    let matches = |machine: &MachineView| {
        let age = wall.as_millis().saturating_sub(machine.provisioned_at.as_millis());
        !machine.terminating
            && filter.zone.as_ref().is_none_or(|zone| *zone == machine.pool.zone)
            && filter.machine_type.as_ref().is_none_or(|wanted_type| *wanted_type == machine.pool.machine_type)
            && filter.older_than.is_none_or(|min_age| age >= min_age.as_millis())
    };
    let all = fleet.machine_ids().into_iter().filter_map(|id| Some((id, fleet.machine(id)?)));
    let mut found: Vec<(MachineId, MachineView)> = all.filter(|(_, machine)| matches(machine)).collect();
    found.sort_by_key(|(id, machine)| (machine.provisioned_at, *id));
    found.truncate(filter.count.map_or(usize::MAX, |count| count as usize));
    if found.is_empty() { Err(DrainRefusal::NoMachineMatches) } else { Ok(found.into_iter().collect()) }
}

/// Refuses machines with replicas whose budget is 0 at all times, since the drain could never evict these. Batch tasks
/// need no such check, because they end on their own.
fn check_budgets(machines: &SelectedMachines, fleet: &dyn Fleet, policy: &Policy) -> Result<(), DrainRefusal> {
    let desired = desired_by_scope(&fleet.availability());
    for (machine, view) in machines {
        let replicas = view.tasks.iter().filter(|task| task.kind == TaskKind::Replica);
        let classes: BTreeSet<_> = replicas.map(|task| &task.class).collect();
        for scope in classes.into_iter().flat_map(scopes_for_class) {
            let desired = desired.get(&scope).copied().unwrap_or(0);
            if let Some(limit) = policy.base_limit(&scope).filter(|limit| limit.resolve(desired) == 0) {
                let limit = limit.to_string();
                return Err(DrainRefusal::ZeroBudget { machine: *machine, scope, limit, desired });
            }
        }
    }
    Ok(())
}

/// Adds a note for each open drain that includes some of the same machines.
fn add_overlap_notes(machines: &SelectedMachines, other_drains: &BTreeMap<String, Drain>, notes: &mut Vec<String>) {
    for (name, other) in other_drains.iter().filter(|(_, other)| other.status.phase.is_open()) {
        let shared: BTreeSet<MachineId> =
            machines.keys().filter(|id| other.members.contains_key(id)).copied().collect();
        if !shared.is_empty() {
            notes.push(format!("in drain {name} already: {}", format_machine_list(&shared)));
        }
    }
}

fn format_machine_list(machines: &BTreeSet<MachineId>) -> String {
    let named: Vec<String> = machines.iter().take(MAX_MACHINES_NAMED).map(MachineId::to_string).collect();
    match machines.len().saturating_sub(MAX_MACHINES_NAMED) {
        0 => named.join(", "),
        more => format!("{} and {more} more", named.join(", ")),
    }
}
