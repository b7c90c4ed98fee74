//! What `admission status` prints, as lines and as JSON.

use super::*;
use crate::fixture::{self, example};
use crate::units::Token;

const NOW: Wall = Wall(1_700_000_020_000);

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
    AdmissionStatus { token: Token(41), sequence: 7, at: Wall(NOW.0 - age_ms), limit, refused, left_out }
}

#[test]
fn what_is_refused_is_shown_as_before() {
    let cases = [
        ("refusing", Some(status(2500, Some(12.5), 3))),
        ("without-limit", Some(status(30_000, None, 0))),
        ("too-old", Some(status(30_001, Some(12.5), 0))),
        ("nothing", Some(AdmissionStatus { refused: Vec::new(), ..status(1000, None, 0) })),
        ("never-told", None),
    ];
    let mut made = Vec::new();
    for (name, status) in cases {
        let shown = Shown { status, now: NOW };
        made.extend(shown.lines().into_iter().map(|line| example(format!("{name}:line"), line)));
        made.push(example(format!("{name}:json"), shown.json().to_string()));
    }
    fixture::assert_examples("names/admission-shown.txt", &made);
}
