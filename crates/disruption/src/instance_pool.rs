//! Instance pools: machines that replace each other because they are of one type, zone and purchase model.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Machine type, zone and purchase model. Stored in the members of a drain.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct InstancePool {
    /// Machine type.
    #[serde(rename = "k")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether the machines are spot instances; otherwise they are on-demand.
    #[serde(rename = "s")]
    pub spot: bool,
}

impl fmt::Display for InstancePool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let purchase_model = if self.spot { "spot" } else { "ordinary" };
        write!(f, "{} in zone {}, {purchase_model}", self.machine_type, self.zone)
    }
}
