//! Operators' commands: they write conditional keys to the state service, which the leader follows.

pub(crate) mod drain;
mod report;
mod request;
