//! The drain of a single machine.

use crate::drain::Drain;
use crate::records::{BudgetCharge, MachineDrainRecord};
use caperstile_types::WallClock;
use std::collections::{BTreeMap, BTreeSet};

/// The state of a machine's drain, which lasts from its start until the machine no longer exists and all of its charges
/// are released.
#[derive(Debug, Clone, Default)]
pub(super) struct MachineDrain {
    /// Name of the drain; `None` for a consolidation.
    pub(super) drain: Option<String>,
    /// Time when the drain of the machine started and the machine stopped accepting new tasks.
    pub(super) started_at: WallClock,
    /// Evictions on this machine that are charged to the budgets.
    pub(super) charges: BTreeSet<BudgetCharge>,
    /// Charges whose tasks this leader has evicted.
    pub(super) evicted: BTreeSet<BudgetCharge>,
    /// Whether the drain was cancelled. The machine accepts tasks again, and the state is kept only because charges
    /// remain.
    pub(super) uncordoned: bool,
}

impl MachineDrain {
    /// Whether further tasks on the machine may be evicted: its drain is running, or the machine is being consolidated.
    pub(super) fn is_active(&self, drains: &BTreeMap<String, Drain>) -> bool {
        let is_running = |name: &String| drains.get(name).is_some_and(Drain::is_running);
        !self.uncordoned && self.drain.as_ref().is_none_or(is_running)
    }

    /// Returns the record to be stored. It does not contain `evicted`, which each leader keeps for itself.
    pub(super) fn record(&self) -> MachineDrainRecord {
        MachineDrainRecord {
            drain: self.drain.clone(),
            started_at: self.started_at,
            charges: self.charges.iter().copied().collect(),
        }
    }
}

impl From<MachineDrainRecord> for MachineDrain {
    fn from(record: MachineDrainRecord) -> MachineDrain {
        MachineDrain {
            drain: record.drain,
            started_at: record.started_at,
            charges: record.charges.into_iter().collect(),
            ..MachineDrain::default()
        }
    }
}
