//! The admission status that a leader stores for operators. Admission tables are sent between controllers and not
//! stored: see `frames`.

use crate::fixture::{self, example, example_of};
use caperstile::types::{FencingToken, WallClock};
use caperstile_admission::{AdmissionStatus, RefusedPair, STATUS_KEY};

const FILE: &str = "stored/admission.txt";

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

fn status(limit: Option<f64>, refused: Vec<RefusedPair>, left_out: usize) -> AdmissionStatus {
    AdmissionStatus {
        token: FencingToken(41),
        sequence: 7,
        at: WallClock::from_millis(1_700_000_000_123),
        limit,
        refused,
        left_out,
    }
}

#[test]
fn the_admission_status_keeps_its_key_and_format() {
    let statuses = [
        ("refusing", status(Some(12.5), vec![pair("render", Some(300.0)), pair("live", None)], 3)),
        ("not-refusing", status(None, Vec::new(), 0)),
    ];
    let encoded = |status| serde_json::to_value(status).expect("JSON").to_string();
    let mut actual = vec![example("key", STATUS_KEY)];
    actual.extend(statuses.iter().map(|(name, status)| example(*name, encoded(status))));
    fixture::assert_examples(FILE, &actual);
    for (name, status) in statuses {
        let read: AdmissionStatus = serde_json::from_str(&example_of(FILE, name)).expect("a status");
        assert_eq!(read, status, "{name}");
    }
}

#[test]
fn omitted_fields_of_an_admission_status_get_their_defaults() {
    let text = r#"{"token":41,"sequence":7,"at":1700000000123,"refused":[{"team":"crew","class":"live","ratio":0.25,
        "demanded":8.5,"admitted":2.125,"refused_for_s":42.0}]}"#;
    let read: AdmissionStatus = serde_json::from_str(text).expect("a status");
    assert_eq!(read, status(None, vec![pair("live", None)], 0));
}
