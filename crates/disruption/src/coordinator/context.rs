//! What one reconciliation knows and gathers.

use crate::budget::TaskClass;
use crate::effect::Effect;
use crate::fleet::{ClassAvailability, Fleet};
use caperstile_types::{Timestamp, WallClock};
use std::collections::BTreeMap;

/// What one reconciliation knows and gathers.
pub(super) struct ReconcileContext<'a> {
    pub(super) now: Timestamp,
    pub(super) wall: WallClock,
    pub(super) fleet: &'a dyn Fleet,
    /// What is desired and unavailable at its beginning.
    pub(super) availability: BTreeMap<TaskClass, ClassAvailability>,
    /// What each drain waits for, by name.
    pub(super) wait_reasons: BTreeMap<String, Vec<String>>,
    pub(super) effects: Vec<Effect>,
}

impl<'a> ReconcileContext<'a> {
    /// The begin of a reconciliation.
    pub(super) fn new(now: Timestamp, wall: WallClock, fleet: &'a dyn Fleet) -> ReconcileContext<'a> {
        let availability = fleet.availability();
        ReconcileContext { now, wall, fleet, availability, wait_reasons: BTreeMap::new(), effects: Vec::new() }
    }

    /// Notes why a drain waits; consolidation has no status to show it in.
    pub(super) fn note_wait(&mut self, drain: Option<&String>, reason: String) {
        if let Some(name) = drain {
            self.wait_reasons.entry(name.clone()).or_default().push(reason);
        }
    }
}
