//! The cloud: machine types, scaling out and in, and the list of machines.

use serde::{Deserialize, Serialize};

/// A machine type as the cloud lists it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineType {
    /// Name.
    #[serde(rename = "Label")]
    pub name: String,
    /// CPUs.
    #[serde(rename = "Cores")]
    pub cpus: f64,
    /// GPUs.
    #[serde(rename = "Cards", default)]
    pub gpus: f64,
    /// Memory.
    #[serde(rename = "MemoryGb")]
    pub memory_gb: f64,
    /// Image cache.
    #[serde(rename = "LocalGb", default)]
    pub cache_gb: f64,
    /// Image fetch rate.
    #[serde(rename = "FetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price per hour.
    #[serde(rename = "Hourly", default)]
    pub price_per_hour: f64,
    /// Price per hour as a spot machine.
    #[serde(rename = "MarketPrice", default)]
    pub spot_price_per_hour: f64,
    /// Usual boot time.
    #[serde(rename = "BootS", default)]
    pub boot_s: f64,
    /// Zones that have it.
    #[serde(rename = "Yards", default)]
    pub zones: Vec<String>,
}

/// Answer of `GET /flavors`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineTypes {
    /// The types.
    #[serde(rename = "Builds")]
    pub machine_types: Vec<MachineType>,
}

/// Body of `POST /hosts`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ScaleOutRequest {
    /// Request name, never used again.
    #[serde(rename = "Hire")]
    pub request_name: String,
    /// Machine type.
    #[serde(rename = "Build")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "Loaners")]
    pub spot: bool,
    /// How many, 50 at most.
    #[serde(rename = "HowMany")]
    pub count: u32,
}

/// Answer of `POST /hosts` and body of `POST /hosts/return`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    /// Machine names.
    #[serde(rename = "Hosts")]
    pub machines: Vec<String>,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name.
    #[serde(rename = "Ref")]
    pub machine: String,
    /// Where its worker takes direct commands.
    #[serde(rename = "Endpoint", default)]
    pub endpoint: Option<String>,
    /// Type.
    #[serde(rename = "Build")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "Loaners", default)]
    pub spot: bool,
    /// `starting`, `running` or `failed`.
    #[serde(rename = "Status")]
    pub state: String,
    /// Age since the rental request.
    #[serde(rename = "AgeS", default)]
    pub age_s: f64,
}

/// A page of the cloud's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachinePage {
    /// Machines in order of creation.
    #[serde(rename = "Hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are more.
    #[serde(rename = "More", default)]
    pub more: bool,
}
