//! The cloud's machine types and its capacity.

use crate::json::{Json, object};

#[derive(Debug, Clone)]
pub struct Kind {
    pub name: &'static str,
    pub cores: f64,
    pub memory_gb: f64,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    pub spot_price: f64,
    pub boot_s: f64,
    pub local_gb: f64,
}

/// Machine types of the smaller deployment of the pages.
pub const KINDS: [Kind; 3] = [
    Kind {
        name: "kibanda",
        cores: 4.0,
        memory_gb: 16.0,
        fetch_gb_per_s: 0.8,
        price: 0.26,
        spot_price: 0.1,
        boot_s: 15.0,
        local_gb: 70.0,
    },
    Kind {
        name: "nyumba",
        cores: 16.0,
        memory_gb: 64.0,
        fetch_gb_per_s: 1.0,
        price: 0.99,
        spot_price: 0.38,
        boot_s: 20.0,
        local_gb: 40.0,
    },
    Kind {
        name: "jengo",
        cores: 64.0,
        memory_gb: 512.0,
        fetch_gb_per_s: 0.3,
        price: 4.79,
        spot_price: 1.83,
        boot_s: 15.0,
        local_gb: 50.0,
    },
];

pub const YARDS: [&str; 2] = ["nyali", "westlands"];

/// Machines of a pool that the cloud has, as in the site file.
pub fn capacity(kind: &str, yard: &str, spot: bool) -> usize {
    match (kind, yard, spot) {
        ("kibanda", "westlands", false) => 9,
        ("kibanda", "nyali", false) => 10,
        ("kibanda", "westlands", true) => 2,
        ("kibanda", "nyali", true) => 3,
        _ => 1,
    }
}

pub fn flavors() -> Json {
    let build = |kind: &Kind| {
        object([
            ("Label", kind.name.into()),
            ("Cores", kind.cores.into()),
            ("Cards", 0.0.into()),
            ("MemoryGb", kind.memory_gb.into()),
            ("LocalGb", kind.local_gb.into()),
            ("FetchGbPerS", kind.fetch_gb_per_s.into()),
            ("Hourly", kind.price.into()),
            ("MarketPrice", kind.spot_price.into()),
            ("BootS", kind.boot_s.into()),
            ("Yards", YARDS.iter().map(|yard| Json::from(*yard)).collect::<Vec<_>>().into()),
        ])
    };
    object([("Builds", KINDS.iter().map(build).collect::<Vec<_>>().into())])
}
