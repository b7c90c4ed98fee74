//! Handles the cloud's responses: machines that have been provisioned, have failed or are gone.

use super::{InputContext, Leader};
use crate::cloud::{CloudEvent, PendingInstance};
use crate::effects::Effect;
use crate::store::ServiceResponse;
use crate::types::{MachineId, Timestamp, WallClock};
use crate::workers::DrainReason;
use crate::write_ahead_log::{LogRecord, MachineRecord};
use log::info;

impl Leader {
    /// Processes the cloud's response to the request with this id.
    pub fn handle_cloud_response(
        &mut self,
        context: InputContext,
        id: u64,
        response: &ServiceResponse,
        out: &mut Vec<Effect>,
    ) {
        let InputContext { now, wall, .. } = context;
        let mut events = Vec::new();
        let machines = &self.machines;
        let knew_machine_types = self.cloud.machine_types().is_some();
        self.cloud.handle_response(now, id, response, &|id| machines.contains_key(&id), &mut events);
        if !knew_machine_types && self.cloud.machine_types().is_some() {
            self.planning.changed_machines.extend(self.machines.keys());
        }
        self.apply_cloud_events(now, wall, events, out);
        self.schedule_if_due(context, out);
        self.flush(now, out);
    }

    pub(super) fn apply_cloud_events(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        events: Vec<CloudEvent>,
        out: &mut Vec<Effect>,
    ) {
        for event in events {
            match event {
                CloudEvent::Request(id, request) => out.push(Effect::CallCloud(self.token.0, id, request)),
                CloudEvent::MachineFailed(id) => self.machine_failed(id),
                CloudEvent::MachinesProvisioned(ids) => self.machines_provisioned(now, wall, &ids),
                CloudEvent::MachinesReleased(ids) => self.machines_released(now, &ids),
            }
        }
    }

    fn machine_failed(&mut self, id: MachineId) {
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.draining.get_or_insert(DrainReason::CloudFailure);
            self.planning.changed_machines.insert(id);
        }
        self.cloud.release(id, DrainReason::CloudFailure);
    }

    fn machines_provisioned(&mut self, now: Timestamp, wall: WallClock, ids: &[MachineId]) {
        for id in ids {
            if let Some(instance) = self.cloud.pending_instance(*id) {
                self.log.append(provisioning_record(*id, instance, now, wall));
            }
        }
    }

    fn machines_released(&mut self, now: Timestamp, ids: &[MachineId]) {
        self.planning.replan_needed = true;
        for id in ids {
            self.log.append(LogRecord::MachineGone(*id));
            self.planning.plans.remove_machine(*id);
            self.fencing.unfenced.remove(id);
            if let Some(mut machine) = self.machines.remove(id) {
                info!("machine gone machine={id}");
                let mut events = Vec::new();
                machine.drop_attempts(&mut events);
                self.apply_machine_events(now, *id, events);
            }
        }
    }
}

/// Returns the log record of a provisioned machine. It has no endpoint: the worker's first heartbeat contains its
/// address.
pub(super) fn provisioning_record(
    id: MachineId,
    instance: &PendingInstance,
    now: Timestamp,
    wall: WallClock,
) -> LogRecord {
    LogRecord::MachineProvisioned(MachineRecord {
        id,
        endpoint: String::new(),
        machine_type: instance.machine_type.clone(),
        zone: instance.zone.clone(),
        spot: instance.spot,
        provisioned_at: wall.at_timestamp(now, instance.requested_at),
    })
}
