//! Messages of the cloud: machine types, scale-out and scale-in requests, and the list of machines. The field names on
//! the wire are defined by PROTOCOL.

use serde::{Deserialize, Serialize};

/// A machine type as the cloud lists it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the machine type in requests and heartbeats.
    #[serde(rename = "Label")]
    pub name: String,
    /// Number of CPUs; 1.0 is a whole CPU.
    #[serde(rename = "Cores")]
    pub cpus: f64,
    /// Number of GPUs; 1.0 is a whole GPU.
    #[serde(rename = "Cards", default)]
    pub gpus: f64,
    /// Memory in GB.
    #[serde(rename = "MemoryGb")]
    pub memory_gb: f64,
    /// Size of a machine's image cache in GB.
    #[serde(rename = "LocalGb", default)]
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, in GB per second.
    #[serde(rename = "FetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price per hour as an on-demand instance.
    #[serde(rename = "Hourly", default)]
    pub price_per_hour: f64,
    /// Price per hour as a spot instance.
    #[serde(rename = "MarketPrice", default)]
    pub spot_price_per_hour: f64,
    /// Typical boot time in seconds.
    #[serde(rename = "BootS", default)]
    pub boot_s: f64,
    /// Zones in which the type is available.
    #[serde(rename = "Yards", default)]
    pub zones: Vec<String>,
}

/// Response to `GET /flavors`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineTypes {
    /// All machine types that the cloud offers.
    #[serde(rename = "Builds")]
    pub machine_types: Vec<MachineType>,
}

/// Body of `POST /hosts`: requests machines of one instance pool.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ScaleOutRequest {
    /// Name of the request, which makes it idempotent: the cloud provisions nothing for a duplicate under the same
    /// name.
    #[serde(rename = "Hire")]
    pub request_name: String,
    /// Requested machine type.
    #[serde(rename = "Build")]
    pub machine_type: String,
    /// Zone in which the machines are requested.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// Whether spot instances are requested; on-demand instances otherwise.
    #[serde(rename = "Loaners")]
    pub spot: bool,
    /// Number of requested machines, at most 50.
    #[serde(rename = "HowMany")]
    pub count: u32,
}

/// Response to `POST /hosts`, and body of `POST /hosts/return`, which releases machines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    /// Identifiers of the machines.
    #[serde(rename = "Hosts")]
    pub machines: Vec<String>,
}

/// An entry of the cloud's list of machines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Identifier of the machine.
    #[serde(rename = "Ref")]
    pub machine: String,
    /// Address at which its worker accepts direct commands; `None` until it is known.
    #[serde(rename = "Endpoint", default)]
    pub endpoint: Option<String>,
    /// Machine type.
    #[serde(rename = "Build")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// Whether the machine is a spot instance; on-demand otherwise.
    #[serde(rename = "Loaners", default)]
    pub spot: bool,
    /// State of the machine: `starting`, `running` or `failed`.
    #[serde(rename = "Status")]
    pub state: String,
    /// Time since the machine was requested, in seconds.
    #[serde(rename = "AgeS", default)]
    pub age_s: f64,
}

/// A page of the cloud's list of machines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachinePage {
    /// Machines in order of creation.
    #[serde(rename = "Hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are further pages after the last machine of this one.
    #[serde(rename = "More", default)]
    pub more: bool,
}
