//! State that exists during one reconciliation only.

use crate::budget::TaskClass;
use crate::effect::Effect;
use crate::fleet::{ClassAvailability, Fleet};
use caperstile_types::{Timestamp, WallClock};
use std::collections::BTreeMap;

/// The inputs of one reconciliation, and the wait reasons and effects that it produces.
pub(super) struct ReconcileContext<'a> {
    pub(super) now: Timestamp,
    pub(super) wall: WallClock,
    pub(super) fleet: &'a dyn Fleet,
    /// Number of desired and unavailable tasks of each class when the reconciliation began.
    pub(super) availability: BTreeMap<TaskClass, ClassAvailability>,
    /// Conditions that each drain is waiting for, by name of the drain.
    pub(super) wait_reasons: BTreeMap<String, Vec<String>>,
    pub(super) effects: Vec<Effect>,
}

impl<'a> ReconcileContext<'a> {
    /// Creates the context of a new reconciliation.
    pub(super) fn new(now: Timestamp, wall: WallClock, fleet: &'a dyn Fleet) -> ReconcileContext<'a> {
        let availability = fleet.availability();
        ReconcileContext { now, wall, fleet, availability, wait_reasons: BTreeMap::new(), effects: Vec::new() }
    }

    /// Adds a wait reason to a drain. Does nothing if `drain` is `None`: a consolidation has no status to show the
    /// reason in.
    pub(super) fn add_wait_reason(&mut self, drain: Option<&String>, reason: String) {
        if let Some(name) = drain {
            self.wait_reasons.entry(name.clone()).or_default().push(reason);
        }
    }
}
