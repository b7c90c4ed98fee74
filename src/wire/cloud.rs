//! Messages of the cloud: machine types, scaling out and in, and the list of machines. Field names on the wire are those of the
//! PROTOCOL page.

use serde::{Deserialize, Serialize};

/// A machine type as the cloud lists it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineType {
    /// Name, as requests and heartbeats give it.
    #[serde(rename = "Label")]
    pub name: String,
    /// CPUs, in whole units.
    #[serde(rename = "Cores")]
    pub cpus: f64,
    /// GPUs, in whole units.
    #[serde(rename = "Cards", default)]
    pub gpus: f64,
    /// Memory in GB.
    #[serde(rename = "MemoryGb")]
    pub memory_gb: f64,
    /// Size of the image cache in GB.
    #[serde(rename = "LocalGb", default)]
    pub cache_gb: f64,
    /// Rate at which images are fetched, in GB per second.
    #[serde(rename = "FetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price per hour on demand.
    #[serde(rename = "Hourly", default)]
    pub price_per_hour: f64,
    /// Price per hour as a spot machine.
    #[serde(rename = "MarketPrice", default)]
    pub spot_price_per_hour: f64,
    /// Usual boot time in seconds.
    #[serde(rename = "BootS", default)]
    pub boot_s: f64,
    /// Zones in which it is offered.
    #[serde(rename = "Yards", default)]
    pub zones: Vec<String>,
}

/// Response to `GET /flavors`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineTypes {
    /// All machine types.
    #[serde(rename = "Builds")]
    pub machine_types: Vec<MachineType>,
}

/// Body of `POST /hosts`: asks for machines of one pool.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ScaleOutRequest {
    /// Name of the request: a repeat under the same name rents nothing twice.
    #[serde(rename = "Hire")]
    pub request_name: String,
    /// Machine type.
    #[serde(rename = "Build")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// Spot, else on-demand.
    #[serde(rename = "Loaners")]
    pub spot: bool,
    /// How many machines, at most 50.
    #[serde(rename = "HowMany")]
    pub count: u32,
}

/// Response to `POST /hosts` and body of `POST /hosts/return`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines.
    #[serde(rename = "Hosts")]
    pub machines: Vec<String>,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Machine name.
    #[serde(rename = "Ref")]
    pub machine: String,
    /// Where its worker takes direct commands, if that is known.
    #[serde(rename = "Endpoint", default)]
    pub endpoint: Option<String>,
    /// Machine type.
    #[serde(rename = "Build")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// Spot, else on-demand.
    #[serde(rename = "Loaners", default)]
    pub spot: bool,
    /// `starting`, `running` or `failed`.
    #[serde(rename = "Status")]
    pub state: String,
    /// Time since it was asked for, in seconds.
    #[serde(rename = "AgeS", default)]
    pub age_s: f64,
}

/// A page of the cloud's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachinePage {
    /// Machines in order of creation.
    #[serde(rename = "Hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether more machines follow the last one.
    #[serde(rename = "More", default)]
    pub more: bool,
}
