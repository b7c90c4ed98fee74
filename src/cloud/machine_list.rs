//! Reconciling the cloud's list of machines with what this leader knows.

use super::{CloudEvent, CloudInstances, PendingInstance};
use crate::types::{Duration, MachineId, Timestamp};
use crate::wire::{ListedMachine, MachinePage};
use log::info;

/// The state in which the cloud lists a machine that will never work again.
const FAILED_STATE: &str = "failed";

impl CloudInstances {
    /// Takes one page of the list: failed machines are reported, and machines that nobody here knows become pending instances.
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

    /// An unknown machine was rented by an earlier leader, or is a late copy of a request to scale out: it is used, or
    /// released when it does not come up.
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
