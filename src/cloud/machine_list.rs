//! Reconciles the cloud's list of machines with the machines that this leader knows.

use super::{CloudEvent, CloudInstances, PendingInstance};
use crate::types::{Duration, MachineId, Timestamp};
use crate::wire::{ListedMachine, MachinePage};
use log::info;

/// State that the cloud lists for a machine that will never work again.
const FAILED_STATE: &str = "failed";

impl CloudInstances {
    /// Handles one page of the list: emits an event for each failed machine and adds unknown machines as pending
    /// instances. Machines that are released or being released are skipped.
    pub(super) fn reconcile_list(
        &mut self,
        now: Timestamp,
        page: MachinePage,
        is_known: &dyn Fn(MachineId) -> bool,
        out: &mut Vec<CloudEvent>,
    ) {
        for listed in page.machines {
            let Ok(id) = listed.machine.parse::<MachineId>() else { continue };
            if self.is_released(id) || self.is_releasing(id) {
                continue;
            }
            if listed.state == FAILED_STATE {
                out.push(CloudEvent::MachineFailed(id));
            } else if !is_known(id) && !self.pending.contains_key(&id) {
                self.adopt_listed(now, id, listed);
            }
        }
    }

    /// Adds an unknown machine as a pending instance. An earlier leader requested it, or a delayed duplicate of a
    /// scale-out request provisioned it. It is used once it sends heartbeats, and released if it does not boot in time.
    fn adopt_listed(&mut self, now: Timestamp, id: MachineId, listed: ListedMachine) {
        info!("unknown instance listed machine={id} type={} zone={}", listed.machine_type, listed.zone);
        let age = Duration::from_secs_f64(listed.age_s) + self.list_lag;
        let instance = PendingInstance {
            machine_type: listed.machine_type,
            zone: listed.zone,
            spot: listed.spot,
            requested_at: now.saturating_sub(age),
        };
        self.adopt_pending(id, instance);
    }
}
