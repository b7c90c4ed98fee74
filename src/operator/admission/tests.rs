//! Checks the output of `admission status`, as lines and as JSON.

use super::*;
use crate::fixture::{self, example};
use crate::types::FencingToken;

const NOW: WallClock = WallClock::from_millis(1_700_000_020_000);

fn pair(class: &str, predicted_wait_s: Option<f64>) -> RefusedPair {
    RefusedPair {
        team: "crew".into(),
        class: class.into(),
        ratio: 0.25,
        demanded: 8.5,
        admitted: 2.125,
        predicted_wait_s,
        refused_for_s: 42.0,
    }
}

fn status(age_ms: u64, limit: Option<f64>, left_out: usize) -> AdmissionStatus {
    let refused = vec![pair("render", Some(300.0)), pair("live", None)];
    AdmissionStatus {
        token: FencingToken(41),
        sequence: 7,
        at: WallClock::from_millis(NOW.as_millis() - age_ms),
        limit,
        refused,
        left_out,
    }
}

#[test]
fn status_output_matches_the_fixture() {
    let cases = [
        ("refusing", Some(status(2500, Some(12.5), 3))),
        ("without-limit", Some(status(30_000, None, 0))),
        ("too-old", Some(status(30_001, Some(12.5), 0))),
        ("nothing", Some(AdmissionStatus { refused: Vec::new(), ..status(1000, None, 0) })),
        ("never-told", None),
    ];
    let mut examples = Vec::new();
    for (name, status) in cases {
        let report = StatusReport { status, now: NOW };
        examples.extend(report.lines().into_iter().map(|line| example(format!("{name}:line"), line)));
        examples.push(example(format!("{name}:json"), report.json().to_string()));
    }
    fixture::assert_examples("names/admission-shown.txt", &examples);
}
