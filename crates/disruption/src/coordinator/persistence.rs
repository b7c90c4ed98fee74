//! Restores the durable records after an election and updates them after each reconciliation.

use super::machine_drain::MachineDrain;
use super::{Coordinator, ReconcileContext};
use crate::drain::{Drain, Member};
use crate::effect::Effect;
use crate::record_keys::{MACHINE_PREFIX, MEMBER_PREFIX, STATUS_PREFIX, machine_key, member_key, status_key};
use crate::records::{BudgetCharge, DrainStatus, MachineDrainRecord, MemberRecord};
use caperstile_types::MachineId;
use serde::Serialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

impl Coordinator {
    /// Restores the state that earlier leaders stored. Removes records that cannot be parsed or belong to no drain.
    pub(super) fn restore(&mut self) {
        self.records_restored = true;
        self.restore_drains();
        self.restore_machine_drains();
        self.update_desired_records();
        self.store.remove_undesired();
    }

    fn restore_drains(&mut self) {
        let stored = self.store.observed_with_prefix(STATUS_PREFIX);
        let statuses: Vec<(String, DrainStatus)> = stored
            .filter_map(|(key, value)| Some((key.strip_prefix(STATUS_PREFIX)?.to_string(), parse(value)?)))
            .collect();
        for (name, status) in statuses {
            let observed = self.store.requests().get(&name);
            let Some(request) = observed.and_then(|observed| observed.request.clone()) else { continue };
            let members = self.restore_members(&name);
            self.drains.insert(name, Drain { request, status, members, is_durable: true });
        }
    }

    fn restore_members(&self, name: &str) -> BTreeMap<MachineId, Member> {
        let prefix = format!("{MEMBER_PREFIX}{name}/");
        let stored = self.store.observed_with_prefix(&prefix);
        let records = stored.filter_map(|(_, value)| parse::<MemberRecord>(value));
        let members = records.flat_map(|record| {
            let pool = record.pool;
            let member = move |provisioned_at| Member { pool: pool.clone(), provisioned_at };
            record.machines.into_iter().map(move |machine| (machine.id, member(machine.provisioned_at)))
        });
        members.collect()
    }

    fn restore_machine_drains(&mut self) {
        let stored = self.store.observed_with_prefix(MACHINE_PREFIX);
        let machine_drains = stored.filter_map(|(key, value)| {
            let record: MachineDrainRecord = parse(value)?;
            Some((key.strip_prefix(MACHINE_PREFIX)?.parse().ok()?, MachineDrain::from(record)))
        });
        self.machine_drains = machine_drains.collect();
    }

    /// Sets the desired records to the current state. The store writes those that differ from the observed ones.
    pub(super) fn update_desired_records(&mut self) {
        let desired = self.desired_records();
        let keys: BTreeSet<&String> = desired.iter().map(|(key, _)| key).collect();
        let obsolete: Vec<String> = self.store.desired_keys().filter(|key| !keys.contains(key)).cloned().collect();
        obsolete.into_iter().for_each(|key| self.store.clear_desired(key));
        desired.into_iter().for_each(|(key, value)| self.store.set_desired(key, value));
    }

    /// Returns all records in the order in which to write them.
    fn desired_records(&self) -> Vec<(String, Value)> {
        let mut desired = Vec::new();
        for (name, drain) in &self.drains {
            // The members are written before the status, because a drain counts as accepted once its status is durable.
            let members = drain.member_records(self.max_value_bytes).into_iter().enumerate();
            desired.extend(members.filter_map(|(part, record)| entry(member_key(name, part), &record)));
            desired.extend(entry(status_key(name), &drain.status));
        }
        for (machine, machine_drain) in &self.machine_drains {
            desired.extend(entry(machine_key(*machine), &machine_drain.record()));
        }
        desired
    }

    /// Returns the durable charges of a machine. Only tasks with a durable charge may be evicted.
    pub(super) fn durable_charges(&self, machine: MachineId) -> Vec<BudgetCharge> {
        let record = self.store.observed(&machine_key(machine)).and_then(parse::<MachineDrainRecord>);
        record.map(|record| record.charges).unwrap_or_default()
    }

    /// Requests the cordon of each machine whose drain is durable.
    pub(super) fn cordon_machines(&self, context: &mut ReconcileContext<'_>) {
        let is_durable = |machine: &MachineId| self.store.observed(&machine_key(*machine)).is_some();
        let cordoned = self.draining_machines().into_iter().filter(is_durable);
        context.effects.extend(cordoned.map(Effect::Cordon));
    }
}

/// Serializes a record and pairs it with its key.
fn entry(key: String, record: &impl Serialize) -> Option<(String, Value)> {
    serde_json::to_value(record).ok().map(|value| (key, value))
}

/// Parses the value of a record. Returns `None` if it does not have the expected form.
fn parse<T: serde::de::DeserializeOwned>(value: &Value) -> Option<T> {
    serde_json::from_value(value.clone()).ok()
}
