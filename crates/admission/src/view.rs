//! The table that one node decides by.

use crate::submission::Submission;
use crate::table::{AdmissionTable, Decision};
use caperstile_types::{Duration, FencingToken, Timestamp};

/// A table is not used for longer than this after it came: a node that hears nothing refuses nothing.
const VALIDITY: Duration = Duration::from_secs(5);

/// A new leader begins with the table of the one before if that came no longer ago.
const INHERITED: Duration = Duration::from_secs(15);

/// The newest table that a node has received.
#[derive(Debug, Default)]
pub struct TableView {
    newest: Option<(AdmissionTable, Timestamp)>,
}

impl TableView {
    /// Takes a table unless a newer one has come; whether it was taken.
    ///
    /// The same table again keeps its time: a late copy must not make it valid for longer.
    pub fn receive(&mut self, now: Timestamp, table: AdmissionTable) -> bool {
        if self.newest.as_ref().is_some_and(|(known, _)| table.number <= known.number) {
            return false;
        }
        self.newest = Some((table, now));
        true
    }

    /// The table in force under the leader with this token; `None` if it is another leader's or too old.
    pub fn in_force(&self, now: Timestamp, leader: FencingToken) -> Option<&AdmissionTable> {
        let (table, received) = self.newest.as_ref()?;
        (table.number.token == leader && now.since(*received) < VALIDITY).then_some(table)
    }

    /// The table that a new leader begins with: that of the leader before, if it came not long ago.
    pub fn inheritable(&self, now: Timestamp) -> Option<&AdmissionTable> {
        let (table, received) = self.newest.as_ref()?;
        (now.since(*received) < INHERITED).then_some(table)
    }

    /// Decides on a submission under the leader with this token; without a table in force nothing is refused.
    pub fn decide(&self, now: Timestamp, leader: FencingToken, submission: &Submission) -> Decision {
        self.in_force(now, leader).map_or(Decision::Admit, |table| table.decide(submission))
    }
}
