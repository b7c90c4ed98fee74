//! Overload admission that all controllers agree on, as a pure state machine.
//!
//! The leading controller measures how busy it is ([`CapacityRegulator`]) and how much each team and class asks for
//! ([`DemandMeter`]). While it is overloaded it divides what it can admit by weighted max-min fairness ([`fair_share`]) and publishes the
//! result as a numbered [`AdmissionTable`] ([`AdmissionControl`]). Every controller keeps the newest table ([`TableView`]) and decides on
//! submissions by it: the decision is a pure function of the table and the submission, so the same table gives the same answer on every
//! node, and a refused submission costs the leader nothing.
//!
//! [`RequestQueue`] orders what waits for one controller: each class of requests has a bounded queue and a least share of the service.
//!
//! There is no I/O and no clock here.
#![forbid(unsafe_code)]

mod backlog;
mod capacity;
mod codec;
mod control;
mod decay;
mod demand;
pub mod fair_share;
mod hash;
mod policy;
mod queue;
mod report;
mod status;
mod submission;
mod table;
mod view;

pub use backlog::{BacklogMeter, PairBacklog};
pub use capacity::{CapacityRegulator, Utilization};
pub use codec::DecodeError;
pub use control::{AdmissionControl, PairStatus, RefusalChange};
pub use demand::DemandMeter;
pub use policy::{AdmissionPolicy, AdmissionPolicyError, BacklogBound};
pub use queue::{Popped, RequestClass, RequestQueue, ShedReason};
pub use report::{DemandReport, RefusedDemand};
pub use status::{AdmissionStatus, RefusedPair, STATUS_KEY};
pub use submission::{Cost, Submission, TeamClassPair};
pub use table::{AdmissionTable, Decision, Ratio, TableEntry, TableNumber};
pub use view::TableView;
