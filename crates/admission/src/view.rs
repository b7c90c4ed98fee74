//! The admission table by which one node decides.

use crate::submission::Submission;
use crate::table::{AdmissionTable, Decision};
use caperstile_types::{Duration, FencingToken, Timestamp};

/// Time after its receipt at which a table expires, so that a node that has lost contact with the leader stops refusing
/// submissions.
const VALIDITY_PERIOD: Duration = Duration::from_secs(5);

/// Maximum age of the predecessor's table when a new leader takes it over.
const INHERITANCE_PERIOD: Duration = Duration::from_secs(15);

/// Holds the newest admission table that a node has received.
#[derive(Debug, Default)]
pub struct TableView {
    newest: Option<(AdmissionTable, Timestamp)>,
}

impl TableView {
    /// Stores a table unless its number is not higher than that of the stored one. Returns whether it was stored.
    ///
    /// A duplicate does not change the time of receipt: a delayed copy must not extend the table's validity.
    pub fn receive(&mut self, now: Timestamp, table: AdmissionTable) -> bool {
        if self.newest.as_ref().is_some_and(|(newest, _)| table.number <= newest.number) {
            return false;
        }
        self.newest = Some((table, now));
        true
    }

    /// Returns the table in force under the leader with this fencing token; `None` if the newest table is from another
    /// leader or has expired.
    pub fn in_force(&self, now: Timestamp, leader: FencingToken) -> Option<&AdmissionTable> {
        let (table, received_at) = self.newest.as_ref()?;
        (table.number.token == leader && now.since(*received_at) < VALIDITY_PERIOD).then_some(table)
    }

    /// Returns the predecessor's table for a new leader to start with; `None` if it was received too long ago.
    pub fn inheritable(&self, now: Timestamp) -> Option<&AdmissionTable> {
        let (table, received_at) = self.newest.as_ref()?;
        (now.since(*received_at) < INHERITANCE_PERIOD).then_some(table)
    }

    /// Decides on a submission under the leader with this fencing token. Without a table in force, every submission is
    /// admitted.
    pub fn decide(&self, now: Timestamp, leader: FencingToken, submission: &Submission) -> Decision {
        self.in_force(now, leader).map_or(Decision::Admit, |table| table.decide(submission))
    }
}
