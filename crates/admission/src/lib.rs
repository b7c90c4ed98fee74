//! Admission control of submissions under overload, consistent across all controllers and implemented as a pure state
//! machine.
//!
//! The leader measures its own load ([`CapacityRegulator`]) and the demand of each pair of team and class
//! ([`DemandMeter`]). While it is overloaded, it divides its capacity for submissions by weighted max-min fairness
//! ([`fair_share`]) and publishes the result as a numbered [`AdmissionTable`] ([`AdmissionControl`]). Each controller
//! keeps the newest table ([`TableView`]) and decides on submissions by it. The decision is a pure function of the
//! table and the submission: the same table yields the same decision on every node, and a submission that a follower
//! refuses costs the leader nothing.
//!
//! [`RequestQueue`] schedules the requests that are queued at one controller: each request class has a bounded queue
//! and a minimum share of the service.
//!
//! This crate performs no I/O and reads no clock; callers pass the current time.
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
