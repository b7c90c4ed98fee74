//! Durable records: read back by a new leader, and kept in step with what it decides.

use super::{Coordinator, Effect, Emptying, Round};
use crate::drain::{Drain, Member};
use crate::records::{
    Charge, EmptyingRecord, MACHINES, MEMBERS, MemberPart, STATUSES, Status, machine_key, member_key, status_key,
};
use caperstile_types::MachineId;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

impl Coordinator {
    /// Takes over what earlier leaders kept.
    pub(super) fn restore(&mut self) {
        self.restored = true;
        let statuses: Vec<(String, Status)> = self
            .store
            .stored_under(STATUSES)
            .filter_map(|(key, value)| Some((key.strip_prefix(STATUSES)?.to_string(), read(value)?)))
            .collect();
        for (name, status) in statuses {
            let asked = self.store.requests().get(&name).and_then(|asked| asked.request.clone());
            let Some(request) = asked else { continue };
            let members = self.restore_members(&name);
            self.drains.insert(name, Drain { request, status, members, durable: true });
        }
        let machines = self.store.stored_under(MACHINES).filter_map(|(key, value)| {
            let record: EmptyingRecord = read(value)?;
            let charges = record.charges.into_iter().collect();
            let emptying = Emptying { drain: record.drain, since: record.since, charges, ..Emptying::default() };
            Some((key.strip_prefix(MACHINES)?.parse().ok()?, emptying))
        });
        self.emptying = machines.collect();
        self.keep();
        self.store.drop_unwanted();
    }

    fn restore_members(&self, name: &str) -> BTreeMap<MachineId, Member> {
        let prefix = format!("{MEMBERS}{name}/");
        let parts = self.store.stored_under(&prefix).filter_map(|(_, value)| read::<MemberPart>(value));
        let members = parts.flat_map(|part| {
            let place = part.place;
            part.machines.into_iter().map(move |(id, rented_at)| (id, Member { place: place.clone(), rented_at }))
        });
        members.collect()
    }

    /// Wants the records to be what this leader knows; the store writes what differs.
    pub(super) fn keep(&mut self) {
        let mut wanted: Vec<(String, Value)> = Vec::new();
        for (name, drain) in &self.drains {
            // Its machines before its status: a drain without a status was not taken yet.
            let parts = drain.parts(self.value_bytes).into_iter().enumerate();
            wanted.extend(parts.filter_map(|(n, part)| Some((member_key(name, n), serde_json::to_value(part).ok()?))));
            wanted.extend(serde_json::to_value(&drain.status).ok().map(|value| (status_key(name), value)));
        }
        for (id, emptying) in &self.emptying {
            let record = EmptyingRecord {
                drain: emptying.drain.clone(),
                since: emptying.since,
                charges: emptying.charges.iter().copied().collect(),
            };
            wanted.extend(serde_json::to_value(record).ok().map(|value| (machine_key(*id), value)));
        }
        let keys: BTreeSet<&String> = wanted.iter().map(|(key, _)| key).collect();
        let strays: Vec<String> = self.store.wanted_keys().filter(|key| !keys.contains(key)).cloned().collect();
        strays.into_iter().for_each(|key| self.store.remove(key));
        wanted.into_iter().for_each(|(key, value)| self.store.put(key, value));
    }

    /// The charges of a machine that are durable, so that their tasks may be told to stop.
    pub(super) fn durable_charges(&self, id: MachineId) -> Vec<Charge> {
        let record = self.store.stored(&machine_key(id)).and_then(read::<EmptyingRecord>);
        record.map(|record| record.charges).unwrap_or_default()
    }

    /// Machines that are durably being emptied get no further work.
    pub(super) fn cordon(&self, round: &mut Round<'_>) {
        let durable = |id: &MachineId| self.store.stored(&machine_key(*id)).is_some();
        let cordoned = self.emptying.iter().filter(|(id, emptying)| !emptying.released && durable(id));
        round.effects.extend(cordoned.map(|(id, _)| Effect::Cordon(*id)));
    }
}

/// A value, if it has the expected form.
fn read<T: serde::de::DeserializeOwned>(value: &Value) -> Option<T> {
    serde_json::from_value(value.clone()).ok()
}
