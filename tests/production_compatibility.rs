//! Compatibility with state and frames that the version in production wrote, and with lowered limits of the state
//! service.
//!
//! `fixtures/production.json` was written by the commit that `deploy/service.toml` names as `production` (fab6b36): the
//! keys of its state service in the middle of a simulated run (without the leader key, which expires with its lease),
//! the job states that its users had received, and the bytes of its frames. `fixtures/production-1b55767.json` is the
//! same of an earlier version, whose data must stay readable.

mod support;

use caperstile::api::{ApiResponse, UserRequest};
use caperstile::peers::{Frame, HEADER_BYTES};
use serde_json::{Value, json};
use support::{Simulation, Site};

const FIXTURES: [&str; 2] = ["production", "production-1b55767"];

fn fixture(name: &str) -> Value {
    let path = format!("{}/tests/fixtures/{name}.json", env!("CARGO_MANIFEST_DIR"));
    serde_json::from_str(&std::fs::read_to_string(path).expect("the fixture")).expect("JSON")
}

/// A leader of this version loads the log and the snapshot: every job has the state that its user had received, and
/// continues.
#[test]
fn state_of_the_production_version_is_loaded() {
    for name in FIXTURES {
        check_loaded_state(&fixture(name));
    }
}

fn check_loaded_state(fixture: &Value) {
    let mut sim = Simulation::new(1);
    let keys = fixture["keys"].as_array().expect("keys");
    sim.store.restore(keys.iter().map(|k| {
        (k["K"].as_str().expect("a key").to_string(), k["V"].clone(), k["Stamp"].as_u64().expect("a revision"))
    }));
    sim.run_until(8000);
    let leader = sim.leader().expect("a leader");
    let term = sim.controllers.processes[leader].as_ref().and_then(|c| c.leader()).expect("a term");
    assert!(term.is_loaded());
    for received in fixture["told"].as_array().expect("pairs") {
        let (id, status) = (received[0].as_str().expect("an id"), received[1].as_str().expect("a status"));
        let id = id.parse().expect("an id");
        let response = term.jobs().status(id).unwrap_or_else(|| panic!("{id} is forgotten"));
        let state = serde_json::to_value(response).expect("a JSON value");
        match status {
            "done" | "aborted" => assert_eq!(state["Status"], status, "{id}"),
            _ => assert!(term.jobs().terminal_state(id).is_none(), "{id} is {state}"),
        }
    }
    let job = |id: &str| term.jobs().get(id.parse().expect("an id")).expect("an open job").spec.clone();
    assert!(job("job-000001").is_service && !job("job-000001").is_gang);
    assert!(
        job("job-000030").colocate_in_zone && job("job-000030").team == "small" && job("job-000030").task_count == 9
    );
}

/// Frames between nodes are encoded to the bytes of the production version, and these are decoded to the same frames.
#[test]
fn frames_match_those_of_the_production_version() {
    let response = ApiResponse { status: 503, retry_after: 10, body: "{\"error\":\"x\"}".into() };
    let frames = [
        ("submit", Frame::Request(7, UserRequest::submit(b"{\"Ref\":\"job-000001\"}".to_vec()))),
        ("get", Frame::Request(8, UserRequest::Get("job-000001".into()))),
        ("cancel", Frame::Request(9, UserRequest::Cancel("job-000001".into()))),
        ("answer", Frame::Response(7, response)),
        ("leads", Frame::LeaderAnnouncement(41, "n1".into())),
    ];
    for (fixture, (name, frame)) in FIXTURES.iter().flat_map(|f| frames.iter().map(move |frame| (fixture(f), frame))) {
        let text = fixture["frames"][name].as_str().expect("hexadecimal");
        let bytes: Vec<u8> =
            (0..text.len()).step_by(2).map(|i| u8::from_str_radix(&text[i..i + 2], 16).expect("a byte")).collect();
        assert_eq!(frame.encode(), bytes, "{name}");
        let header = Frame::header(bytes[..HEADER_BYTES].try_into().expect("a header")).expect("a header");
        assert_eq!(Frame::decode(&header, bytes[HEADER_BYTES..].to_vec()), Ok(frame.clone()), "{name}");
    }
}

/// Values of 8 KiB and transactions of 16 operations are written; then the limits fall to 1 KiB and 4 operations during
/// the run, as the settings of the nodes announce. Stored values stay readable, no write is rejected permanently, and
/// the snapshot is rewritten.
#[test]
fn the_state_service_lowers_its_limits() {
    for seed in 0..4 {
        let before = Site { value_kb: 8.0, page: 1000, snapshot_every: 30, ..Site::small() };
        let mut sim = Simulation::with_site(before.clone(), seed);
        // Submissions during the relocation of the leader key are rejected and retried one by one, so that no large
        // value would be written.
        sim.run_until(6000);
        let submit = |sim: &mut Simulation, from: u64, every: u64| {
            for n in from..from + 60 {
                let id = format!("job-{n:06}");
                sim.submit(&id, &[("Pieces", json!(1)), ("RuntimeS", json!(1.0)), ("Cores", json!(1.0))]);
                sim.run_until(sim.now + every);
            }
        };
        submit(&mut sim, 0, 5);
        let large = sim.store.keys.values().filter(|v| v.0.to_string().len() > 1024).count();
        assert!(large > 0, "seed {seed}: no value above 1 KiB is stored");
        // The nodes restart with settings that announce the lower limits.
        sim.site = Site { next: Some((1.0, 4, 15.0)), ..before };
        for node in 0..3 {
            sim.restart_controller(node, 300);
            sim.run_until(sim.now + 4000);
        }
        submit(&mut sim, 100, 5);
        (sim.store.value_bytes, sim.store.txn_ops) = (1024, 4);
        let leader = sim.leader().expect("a leader");
        sim.restart_controller(leader, 300);
        submit(&mut sim, 200, 150);
        sim.end_all_faults();
        sim.run_until(sim.now + 60_000);
        assert!(sim.violations.is_empty(), "seed {seed}: {:?}", sim.violations);
        for (id, job) in &sim.jobs {
            assert_eq!(job.last_status, "done", "seed {seed}: {id}");
        }
        let large = sim.store.keys.values().filter(|v| v.0.to_string().len() > 1024).count();
        assert_eq!(large, 0, "seed {seed}: values above 1 KiB are left");
    }
}
