//! A machine that is being drained.

use crate::drain::Drain;
use crate::records::{BudgetCharge, MachineDrainRecord};
use caperstile_types::WallClock;
use std::collections::{BTreeMap, BTreeSet};

/// The drain of one machine, from its cordon until the machine is gone and its charges are released.
#[derive(Debug, Clone, Default)]
pub(super) struct MachineDrain {
    /// For which drain; none: consolidation.
    pub(super) drain: Option<String>,
    /// Since when the machine takes no new work.
    pub(super) started_at: WallClock,
    /// Evictions that are charged to the budgets.
    pub(super) charges: BTreeSet<BudgetCharge>,
    /// Charges whose tasks this leader told to stop.
    pub(super) evicted: BTreeSet<BudgetCharge>,
    /// Its drain was cancelled: it takes work again, and only its charges are still counted.
    pub(super) uncordoned: bool,
}

impl MachineDrain {
    /// Whether more of it is to be evicted: its drain runs, or it is being consolidated.
    pub(super) fn is_active(&self, drains: &BTreeMap<String, Drain>) -> bool {
        let is_running = |name: &String| drains.get(name).is_some_and(Drain::is_running);
        !self.uncordoned && self.drain.as_ref().is_none_or(is_running)
    }

    /// Its durable form.
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
