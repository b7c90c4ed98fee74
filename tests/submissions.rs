//! Submissions as users may spell them: PROTOCOL and the JSON standard say which bodies are sound.

mod support;

use serde_json::json;
use support::Simulation;

const JOB: &str = "job-498895";

/// Guards against 400 for an estimate that is positive but less than half a millisecond.
#[test]
fn a_sound_job_is_not_refused_because_its_estimate_rounds_to_zero() {
    let mut sim = Simulation::new(1);
    sim.submit(JOB, &[("RuntimeS", json!(1e-60))]);
    sim.run_until(60_000);
    assert_eq!(sim.jobs[JOB].last_status, "done");
}
