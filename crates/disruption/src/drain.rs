//! One drain: how it is taken or refused, and which machines belong to it.

use crate::allowance::wanted_by_scope;
use crate::budget::{Policy, Scope, scopes_of};
use crate::fleet::{Fleet, InstancePool, MachineView, TaskKind};
use crate::records::{
    Filter, MEMBER_BYTES, MemberPart, Mode, PART_BYTES, Phase, Request, Selector, Status, Wanted, valid_name,
};
use caperstile_types::{MachineId, WallClock};
use std::collections::{BTreeMap, BTreeSet};

/// Machines that a note names; of others only the number is told.
const NAMED: usize = 5;

/// A machine of a drain, as it was when the drain was taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Member {
    pub place: InstancePool,
    pub rented_at: WallClock,
}

/// A drain that was asked for.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Drain {
    pub request: Request,
    pub status: Status,
    /// Its machines, those that are gone included.
    pub members: BTreeMap<MachineId, Member>,
    /// Whether its status is stored, so that the next leader knows its machines.
    pub durable: bool,
}

/// Why a request is not taken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Refusal {
    #[error("the request cannot be read: it is of another version, or damaged")]
    Unreadable,
    #[error("`{0}` is no name for a drain: up to 40 of a to z, 0 to 9 and -")]
    BadName(String),
    #[error("no machine matches")]
    NothingMatches,
    #[error("none of these machines is there: {0}")]
    AllGone(String),
    #[error("machine {machine} holds {scope}, whose budget of {limit} is none of {wanted} at any time")]
    NoBudget { machine: MachineId, scope: Scope, limit: String, wanted: u32 },
}

impl Drain {
    /// Takes a request, or says why not.
    pub fn take(
        name: &str,
        request: &Request,
        revision: u64,
        wall: WallClock,
        fleet: &dyn Fleet,
        policy: &Policy,
        others: &BTreeMap<String, Drain>,
    ) -> Drain {
        let mut status = Status::asked_for(revision, wall);
        let taken = check_name(name).and_then(|()| select(&request.selector, wall, fleet, &mut status.notes));
        let checked = taken.and_then(|members| check_budgets(&members, fleet, policy).map(|()| members));
        let members = match checked {
            Ok(members) => members,
            Err(refusal) => {
                status.refuse(refusal.to_string());
                BTreeMap::new()
            }
        };
        status.total = members.len() as u32;
        note_overlaps(&members, others, &mut status.notes);
        let member = |machine: MachineView| Member { place: machine.place, rented_at: machine.rented_at };
        let members = members.into_iter().map(|(id, machine)| (id, member(machine))).collect();
        Drain { request: request.clone(), status, members, durable: false }
    }

    /// A request that cannot be read.
    pub fn unreadable(revision: u64, wall: WallClock) -> Drain {
        let request = Request { selector: Selector::Machines(Vec::new()), mode: Mode::Remove, wanted: Wanted::Run };
        let mut status = Status::asked_for(revision, wall);
        status.refuse(Refusal::Unreadable.to_string());
        Drain { request, status, members: BTreeMap::new(), durable: false }
    }

    /// Follows what the operators want now.
    pub fn follow(&mut self, request: &Request, revision: u64) {
        self.status.request = revision;
        self.request.wanted = request.wanted;
        if self.status.phase.is_live() {
            self.status.phase = match request.wanted {
                Wanted::Run => Phase::Running,
                Wanted::Pause => Phase::Paused,
                Wanted::Cancel => Phase::Cancelled,
            };
        }
    }

    /// Whether its machines are to be emptied now.
    pub fn runs(&self) -> bool {
        self.durable && self.status.phase == Phase::Running
    }

    /// Whether like machines are rented first.
    pub fn replaces(&self) -> bool {
        self.request.mode == Mode::Replace
    }

    /// Its machines in parts that fit into values of this size.
    pub fn parts(&self, value_bytes: usize) -> Vec<MemberPart> {
        let most = (value_bytes.saturating_sub(PART_BYTES) / MEMBER_BYTES).max(1);
        let mut by_place: BTreeMap<&InstancePool, Vec<(MachineId, WallClock)>> = BTreeMap::new();
        for (id, member) in &self.members {
            by_place.entry(&member.place).or_default().push((*id, member.rented_at));
        }
        let parts = by_place.into_iter().flat_map(|(place, machines)| {
            let parts = machines.chunks(most).map(<[_]>::to_vec).collect::<Vec<_>>();
            parts.into_iter().map(move |machines| MemberPart { place: place.clone(), machines })
        });
        parts.collect()
    }
}

fn check_name(name: &str) -> Result<(), Refusal> {
    if valid_name(name) { Ok(()) } else { Err(Refusal::BadName(name.chars().take(60).collect())) }
}

type Selected = BTreeMap<MachineId, MachineView>;

fn select(
    selector: &Selector,
    wall: WallClock,
    fleet: &dyn Fleet,
    notes: &mut Vec<String>,
) -> Result<Selected, Refusal> {
    match selector {
        Selector::Machines(ids) => select_named(ids, fleet, notes),
        Selector::Matching(filter) => select_matching(filter, wall, fleet),
    }
}

fn select_named(ids: &[MachineId], fleet: &dyn Fleet, notes: &mut Vec<String>) -> Result<Selected, Refusal> {
    let mut found = Selected::new();
    let mut gone = BTreeSet::new();
    for id in ids {
        match fleet.machine(*id).filter(|machine| !machine.leaving) {
            Some(machine) => drop(found.insert(*id, machine)),
            None => drop(gone.insert(*id)),
        }
    }
    match (found.is_empty(), gone.is_empty()) {
        (true, true) => Err(Refusal::NothingMatches),
        (true, false) => Err(Refusal::AllGone(some_of(&gone))),
        (false, true) => Ok(found),
        (false, false) => {
            notes.push(format!("gone already: {}", some_of(&gone)));
            Ok(found)
        }
    }
}

fn select_matching(filter: &Filter, wall: WallClock, fleet: &dyn Fleet) -> Result<Selected, Refusal> {
    let matches = |machine: &MachineView| {
        let age = wall.as_millis().saturating_sub(machine.rented_at.as_millis());
        !machine.leaving
            && filter.zone.as_ref().is_none_or(|zone| *zone == machine.place.zone)
            && filter.kind.as_ref().is_none_or(|kind| *kind == machine.place.kind)
            && filter.older_than.is_none_or(|least| age >= least.as_millis())
    };
    let all = fleet.machine_ids().into_iter().filter_map(|id| Some((id, fleet.machine(id)?)));
    let mut found: Vec<(MachineId, MachineView)> = all.filter(|(_, machine)| matches(machine)).collect();
    found.sort_by_key(|(id, machine)| (machine.rented_at, *id));
    found.truncate(filter.count.map_or(usize::MAX, |count| count as usize));
    if found.is_empty() { Err(Refusal::NothingMatches) } else { Ok(found.into_iter().collect()) }
}

/// Replicas under a budget that is 0 at any time cannot be moved; batch tasks end by themselves.
fn check_budgets(members: &Selected, fleet: &dyn Fleet, policy: &Policy) -> Result<(), Refusal> {
    let wanted = wanted_by_scope(&fleet.demand());
    for (machine, view) in members {
        let replicas = view.tasks.iter().filter(|task| task.kind == TaskKind::Replica);
        let classes: BTreeSet<_> = replicas.map(|task| &task.class).collect();
        for scope in classes.into_iter().flat_map(scopes_of) {
            let wanted = wanted.get(&scope).copied().unwrap_or(0);
            if let Some(limit) = policy.limit(&scope).filter(|limit| limit.of(wanted) == 0) {
                return Err(Refusal::NoBudget { machine: *machine, scope, limit: limit.to_string(), wanted });
            }
        }
    }
    Ok(())
}

fn note_overlaps(members: &Selected, others: &BTreeMap<String, Drain>, notes: &mut Vec<String>) {
    for (name, other) in others.iter().filter(|(_, other)| other.status.phase.is_live()) {
        let shared: BTreeSet<MachineId> = members.keys().filter(|id| other.members.contains_key(id)).copied().collect();
        if !shared.is_empty() {
            notes.push(format!("in drain {name} already: {}", some_of(&shared)));
        }
    }
}

fn some_of(machines: &BTreeSet<MachineId>) -> String {
    let named: Vec<String> = machines.iter().take(NAMED).map(MachineId::to_string).collect();
    match machines.len().saturating_sub(NAMED) {
        0 => named.join(", "),
        more => format!("{} and {more} more", named.join(", ")),
    }
}
