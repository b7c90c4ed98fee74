//! Instance pools: groups of interchangeable machines of one machine type, zone and purchase model.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A pool of machines of one machine type, zone and purchase model. Stored in the member records of drains.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct InstancePool {
    /// Name of the machine type.
    #[serde(rename = "k")]
    pub machine_type: String,
    /// Name of the zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether the machines are spot instances; otherwise, they are on-demand instances.
    #[serde(rename = "s")]
    pub spot: bool,
}

impl fmt::Display for InstancePool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let purchase_model = if self.spot { "spot" } else { "ordinary" };
        write!(f, "{} in zone {}, {purchase_model}", self.machine_type, self.zone)
    }
}
