//! Writes whose only purpose is a higher revision, which the leader issues as a fencing token.
//!
//! Every confirmed write of the log provides such a revision. A separate write is needed only while there is nothing
//! else to write.

use super::LogEvent;
use super::WriteAheadLog;
use super::requests::RequestPurpose;
use crate::store::StoreRequest;
use crate::types::{Duration, Timestamp};
use crate::wire::StoreWrite;
use serde_json::json;

/// The key that is written. Nobody reads it.
const REVISION_KEY: &str = "fencing/revision";
/// Minimum interval between two of these writes.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// State of the writes that raise the revision.
#[derive(Debug, Default)]
pub(super) struct RevisionWrite {
    /// Whether a higher revision was requested since the last confirmed write.
    pub(super) requested: bool,
    /// When the last of these writes was sent; `None` before the first.
    sent_at: Option<Timestamp>,
    /// Number of these writes. Part of the value, so that each write changes the key.
    count: u64,
}

impl WriteAheadLog {
    /// Requests a revision that is higher than all confirmed ones. It is reported by [`LogEvent::WriteConfirmed`].
    pub fn request_higher_revision(&mut self) {
        self.revision_write.requested = true;
    }

    /// Sends the write if a higher revision was requested and no other write will provide one.
    pub(super) fn write_revision_if_due(&mut self, now: Timestamp, out: &mut Vec<LogEvent>) {
        let interval_passed = self.revision_write.sent_at.is_none_or(|at| now.since(at) >= MIN_WRITE_INTERVAL);
        let other_write_pending = !self.urgent_queue.is_empty()
            || !self.background_queue.is_empty()
            || self.in_flight.has(RequestPurpose::Commit)
            || self.in_flight.has(RequestPurpose::RaiseRevision);
        if !self.revision_write.requested
            || !interval_passed
            || other_write_pending
            || self.write_budget.available() < 1.0
        {
            return;
        }
        self.revision_write.sent_at = Some(now);
        self.revision_write.count += 1;
        self.write_budget.take(1.0);
        let value = json!({"token": self.token.0, "write": self.revision_write.count});
        let write = StoreWrite::Put { key: REVISION_KEY.into(), value, lease: None };
        let swap = self.conditional_on_leadership(vec![write]);
        self.in_flight.send(now, RequestPurpose::RaiseRevision, StoreRequest::CompareAndSwap(swap), out);
    }
}
