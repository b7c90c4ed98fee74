//! Submissions as users may spell them: PROTOCOL and the JSON standard say which bodies are sound. A long run draws more:
//!
//!     SUBMISSION_SEEDS=4000 cargo test --locked --test submissions

mod support;

use caperstile::api::UserRequest;
use caperstile::jobs::parse_submission;
use caperstile::types::WallClock;
use caperstile::wire::SubmissionRequest;
use caperstile::write_ahead_log::LogRecord;
use serde_json::{Value, json};
use support::submission_generator::{Generator, SoundSubmission};
use support::{Simulation, Site};

const JOB: &str = "job-498895";
/// Environment variable with the number of seeds of a long run.
const SEEDS_VARIABLE: &str = "SUBMISSION_SEEDS";
const SUBMISSIONS_PER_SEED: u64 = 60;

/// Returns the seeds to run: this many, or as many as the environment says.
fn seeds(in_ci: u64) -> std::ops::Range<u64> {
    let count = std::env::var(SEEDS_VARIABLE).map_or(in_ci, |count| count.parse().expect("a number of seeds"));
    0..count
}

/// Guards against 400 for an estimate that is positive but less than half a millisecond.
#[test]
fn a_sound_job_is_not_refused_because_its_estimate_rounds_to_zero() {
    let mut sim = Simulation::new(1);
    sim.submit(JOB, &[("RuntimeS", json!(1e-60))]);
    sim.run_until(60_000);
    assert_eq!(sim.jobs[JOB].last_status, "done");
}

/// Whether the reader of the version in production accepts the amounts, names and counts of a submission.
fn is_accepted_by_production_version(body: &[u8]) -> bool {
    let body: Value = serde_json::from_slice(body).expect("JSON");
    let amount = |name: &str, smallest: f64| (smallest..=1e9).contains(&body[name].as_f64().expect("a number"));
    let smallest_estimate = if body["Shape"] == "standing" { 0.0 } else { 0.001 };
    let name = |name: &str| (1..=200).contains(&body[name].as_str().expect("a name").len());
    amount("Cores", 0.001)
        && amount("MemoryGb", 0.001)
        && amount("RuntimeS", smallest_estimate)
        && ["Cards", "ImageGb", "BookmarkS", "StashS"].iter().all(|field| amount(field, 0.0))
        && (body["DueS"].is_null() || amount("DueS", 0.001))
        && body["Pieces"].as_u64().is_some_and(|count| (1..=100_000).contains(&count))
        && name("Lane")
        && name("Reel")
}

fn assert_read_alike(spellings: &[Vec<u8>]) {
    let first = SubmissionRequest::read(spellings[0].clone());
    for body in spellings {
        let text = || String::from_utf8_lossy(body).into_owned();
        let request = SubmissionRequest::read(body.clone());
        assert!(matches!(request, SubmissionRequest::Valid(_)), "{request:?}: {}", text());
        assert_eq!(request, first, "another spelling is another job: {}", text());
        let forwarded = request.encode();
        assert!(is_accepted_by_production_version(&forwarded), "{}", String::from_utf8_lossy(&forwarded));
        assert_eq!(SubmissionRequest::read(forwarded), first, "forwarded as another job: {}", text());
    }
    let spec = parse_submission(&spellings[0], WallClock::from_millis(7)).expect("a sound submission");
    let record = LogRecord::JobAccepted(spec);
    let stored = serde_json::to_string(&record).expect("JSON");
    assert_eq!(serde_json::from_str::<LogRecord>(&stored).expect("a record"), record);
}

/// Guards against sound submissions that are refused, or read as different jobs, because of their spelling or values.
#[test]
fn sound_submissions_are_read_alike_in_every_spelling() {
    for seed in seeds(200) {
        let mut generator = Generator::new(seed);
        for number in 0..SUBMISSIONS_PER_SEED {
            let submission = generator.sound(number, false);
            let spellings: Vec<Vec<u8>> = (0..3).map(|_| generator.spell(&submission)).collect();
            assert_read_alike(&spellings);
        }
    }
}

/// Guards against accepting a submission that lacks a field, has an invalid one, or is not JSON.
#[test]
fn broken_submissions_are_malformed() {
    for seed in seeds(200) {
        let mut generator = Generator::new(seed);
        for number in 0..SUBMISSIONS_PER_SEED {
            let submission = generator.sound(number, false);
            let (what, body) = generator.broken(&submission);
            let request = SubmissionRequest::read(body.clone());
            let text = String::from_utf8_lossy(&body);
            assert!(matches!(request, SubmissionRequest::Malformed(_)), "seed {seed}, {what}: {text}");
            assert_eq!(request.encode(), body, "seed {seed}: a malformed body is forwarded as it is");
        }
    }
}

/// Repeats a submission in another spelling at each node, and checks the responses.
fn repeat_at_every_node(sim: &mut Simulation, generator: &mut Generator, submission: &SoundSubmission, case: &str) {
    for node in 0..sim.site.nodes {
        let body = generator.spell(submission);
        sim.send_user_request(node, submission.id.clone(), UserRequest::submit(body));
        sim.run_until(sim.now + 200);
        assert_eq!(sim.jobs[&submission.id].submit_status, 200, "{case}: {} repeated at node {node}", submission.id);
    }
}

/// Guards against values that cannot be logged, planned or loaded again, and repeats that are refused after a change of
/// leader.
#[test]
fn sound_jobs_stay_known_in_every_spelling_at_every_node_and_leader() {
    for seed in seeds(12) {
        let case = format!("seed {seed}");
        let mut generator = Generator::new(seed);
        let mut sim = Simulation::with_site(Site { machines: 0, snapshot_every: 20, ..Site::small() }, seed);
        sim.run_until(8000);
        let jobs: Vec<SoundSubmission> = (0..20).map(|number| generator.sound(number, true)).collect();
        for (number, submission) in jobs.iter().enumerate() {
            sim.submit_body(number % 3, &submission.id, generator.spell(submission));
            sim.run_until(sim.now + 100);
        }
        sim.run_until(sim.now + 5000);
        for submission in &jobs {
            let status = &sim.jobs[&submission.id].last_status;
            assert!(sim.jobs[&submission.id].accepted, "{case}: {status}: {submission:?}");
            repeat_at_every_node(&mut sim, &mut generator, submission, &case);
        }
        let leader = sim.leader().expect("a leader");
        sim.restart_controller(leader, 6000);
        sim.run_until(sim.now + 15_000);
        for submission in &jobs {
            repeat_at_every_node(&mut sim, &mut generator, submission, &case);
        }
        for number in 900_000..900_010 {
            assert_not_accepted(&mut sim, &mut generator, number, &case);
        }
        assert!(sim.violations.is_empty(), "{case}: {:?}", sim.violations);
    }
}

/// Submits a broken submission, and checks that it is refused for good and that its job is unknown.
fn assert_not_accepted(sim: &mut Simulation, generator: &mut Generator, number: u64, case: &str) {
    let submission = generator.sound(number, true);
    let (what, body) = generator.broken(&submission);
    sim.submit_body(number as usize % 3, &submission.id, body);
    sim.run_until(sim.now + 500);
    assert_eq!(sim.jobs[&submission.id].submit_status, 400, "{case}: {what}");
    sim.send_user_request(0, submission.id.clone(), UserRequest::Get(submission.id.clone()));
    sim.run_until(sim.now + 500);
    assert_eq!(sim.jobs[&submission.id].last_status, "404", "{case}: {what}");
}
