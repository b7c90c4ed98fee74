//! Builders of the fields in which a submitted job differs from the default, a batch job of two tasks in the class
//! `render`.

use serde_json::{Value, json};

/// Fields of a submission with their values.
pub type JobFields = Vec<(&'static str, Value)>;

/// A production service of the class `live` whose replicas are spread over zones; `image` selects its image.
pub fn spread_service(replicas: u64, cores: f64, image: u64) -> JobFields {
    vec![
        ("Lane", json!("live")),
        ("Shape", json!("standing")),
        ("Rank", json!("prod")),
        ("RuntimeS", json!(0)),
        ("Pieces", json!(replicas)),
        ("Spread", json!(true)),
        ("Cores", json!(cores)),
        ("Reel", json!(format!("live-{image}"))),
    ]
}

/// A batch array that may run on spot instances.
pub fn spot_array(tasks: u64, cores: f64, run_s: f64, rank: &str) -> JobFields {
    vec![
        ("Pieces", json!(tasks)),
        ("Rank", json!(rank)),
        ("Cores", json!(cores)),
        ("RuntimeS", json!(run_s)),
        ("Loaners", json!(true)),
    ]
}

/// A production service of three replicas with one core each, spread so that a zone has at most two.
pub fn three_spread_replicas() -> JobFields {
    vec![
        ("Shape", json!("standing")),
        ("Rank", json!("prod")),
        ("RuntimeS", json!(0)),
        ("Pieces", json!(3)),
        ("Spread", json!(true)),
        ("Cores", json!(1.0)),
    ]
}
