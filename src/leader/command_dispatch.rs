//! Direct commands to workers: which machines need one, and how many may be in flight.

use crate::types::MachineId;
use std::collections::BTreeSet;

/// Direct commands that are to be sent or in flight.
#[derive(Debug, Default)]
pub(crate) struct CommandDispatch {
    /// Machines to which a command should be sent soon.
    pub(crate) waiting: BTreeSet<MachineId>,
    /// Commands that were sent and have neither an answer nor timed out.
    pub(crate) in_flight: usize,
    /// Commands that were sent by this leader; numbers them.
    pub(crate) issued: u64,
}
