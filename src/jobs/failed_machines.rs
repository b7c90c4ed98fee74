//! The machines on which tasks of a job have failed, and until when the job avoids each of them.

use crate::types::{Duration, MachineId, Timestamp};

/// How long a job avoids a machine on which one of its tasks failed. It may be the only machine that fits, and the fault
/// may lie in the job or have ended, so this is well below the 90 s for which a job may wait beside free resources.
const AVOIDANCE: Duration = Duration::from_secs(45);

#[derive(Debug, Clone, Copy)]
struct FailedMachine {
    id: MachineId,
    avoid_until: Timestamp,
}

/// The machines on which tasks of a job failed since its last backoff.
#[derive(Debug, Default)]
pub struct FailedMachines {
    machines: Vec<FailedMachine>,
}

impl FailedMachines {
    /// Records a failure on this machine, which the job avoids from now on.
    pub fn add(&mut self, now: Timestamp, id: MachineId) {
        let avoid_until = now + AVOIDANCE;
        match self.machines.iter_mut().find(|machine| machine.id == id) {
            Some(machine) => machine.avoid_until = avoid_until,
            None => self.machines.push(FailedMachine { id, avoid_until }),
        }
    }

    /// Returns the number of machines on which tasks failed, whether or not they are still avoided.
    pub fn count(&self) -> usize {
        self.machines.len()
    }

    /// Removes all machines, so that none is avoided.
    pub fn clear(&mut self) {
        self.machines.clear();
    }

    /// Whether the job avoids this machine now.
    pub fn avoids(&self, now: Timestamp, id: MachineId) -> bool {
        self.avoided(now).any(|avoided| avoided == id)
    }

    /// Whether the job avoids any machine now.
    pub fn avoids_any(&self, now: Timestamp) -> bool {
        self.avoided(now).next().is_some()
    }

    /// The machines that the job avoids now.
    pub fn avoided(&self, now: Timestamp) -> impl Iterator<Item = MachineId> {
        self.machines.iter().filter(move |machine| now < machine.avoid_until).map(|machine| machine.id)
    }
}
