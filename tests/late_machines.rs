//! Machines whose rental or return is executed late, under a leader that has changed since, and machines that come back
//! within a second. What runs on them is known, and the machines are used or returned in a bounded time.

mod support;

use serde_json::json;
use support::{LateRequests, Simulation, Site};

const JOB: &str = "job-000001";
const NEXT_JOB: &str = "job-000002";
const SEEDS: std::ops::Range<u64> = 0..3;
/// Delays of the cloud in milliseconds: seconds, more than a lease, and minutes.
const DELAYS_MS: [u64; 3] = [7_000, 30_000, 150_000];
/// Time within which a job must be done, and idle machines returned, once all requests have been executed.
const SETTLED_WITHIN_MS: u64 = 240_000;

/// Every delay, with and without a response.
fn late_requests() -> impl Iterator<Item = LateRequests> {
    DELAYS_MS.into_iter().flat_map(|delay_ms| [true, false].map(|answered| LateRequests { delay_ms, answered }))
}

fn submit(sim: &mut Simulation, id: &str) {
    sim.submit(id, &[("Pieces", json!(4)), ("Cores", json!(4.0)), ("RuntimeS", json!(15.0))]);
}

fn restart_leader(sim: &mut Simulation) {
    if let Some(leader) = sim.leader() {
        sim.restart_controller(leader, 3000);
    }
}

/// Runs until at least one request to the cloud will be executed late.
fn wait_for_late_request(sim: &mut Simulation, case: &str) {
    let end = sim.now + SETTLED_WITHIN_MS;
    while sim.cloud.late_requests == 0 {
        assert!(sim.now < end, "{case}: no request to the cloud");
        sim.run_until(sim.now + 50);
    }
}

/// Checks that a job is done, that no invariant is broken and that the leader knows every machine that is left.
fn assert_settled(sim: &mut Simulation, job: &str, case: &str) {
    sim.run_until(sim.now + SETTLED_WITHIN_MS);
    assert_eq!(sim.jobs[job].last_status, "done", "{case}");
    assert!(sim.violations.is_empty(), "{case}: {:?}", sim.violations);
    assert_eq!(sim.machines_unknown_to_leader(), Vec::<u64>::new(), "{case}: machines that the leader does not know");
    assert_eq!(sim.workers.len(), 0, "{case}: idle machines that are not returned");
}

/// Guards against machines that no controller knows of, or that nobody returns, after a late rental.
#[test]
fn a_late_rental_is_used_or_returned_under_the_next_leader() {
    for (seed, late) in SEEDS.flat_map(|seed| late_requests().map(move |late| (seed, late))) {
        let case = format!("seed {seed}, {late:?}");
        let mut sim = Simulation::with_site(Site { machines: 4, ..Site::small() }, seed);
        sim.run_until(8000);
        sim.cloud.late = Some(late);
        submit(&mut sim, JOB);
        wait_for_late_request(&mut sim, &case);
        restart_leader(&mut sim);
        sim.run_until(sim.now + 5000);
        sim.cloud.late = None;
        sim.run_until(sim.now + late.delay_ms);
        assert_settled(&mut sim, JOB, &case);
    }
}

/// Guards against tasks that are lost for good, or run twice, because their machine is returned late.
#[test]
fn a_late_return_under_the_next_leader_loses_no_task() {
    for (seed, late) in SEEDS.flat_map(|seed| late_requests().map(move |late| (seed, late))) {
        let case = format!("seed {seed}, {late:?}");
        let mut sim = Simulation::with_site(Site { machines: 4, ..Site::small() }, seed);
        submit(&mut sim, JOB);
        sim.run_until(30_000);
        sim.cloud.late = Some(late);
        wait_for_late_request(&mut sim, &case);
        restart_leader(&mut sim);
        submit(&mut sim, NEXT_JOB);
        sim.run_until(sim.now + 5000);
        sim.cloud.late = None;
        sim.run_until(sim.now + late.delay_ms);
        assert_settled(&mut sim, NEXT_JOB, &case);
    }
}

/// Guards against results and tasks that are forgotten because their machine was away for less than a second.
#[test]
fn a_machine_that_is_back_within_a_second_keeps_its_tasks_and_results_under_the_next_leader() {
    for (seed, away_ms) in SEEDS.flat_map(|seed| [100, 900].map(|away_ms| (seed, away_ms))) {
        let case = format!("seed {seed}, away for {away_ms} ms");
        let mut sim = Simulation::with_site(Site { machines: 4, ..Site::small() }, seed);
        submit(&mut sim, JOB);
        sim.run_until(30_000);
        let machines: Vec<u64> = sim.workers.keys().copied().collect();
        machines.iter().for_each(|machine| sim.partition_machine_for(*machine, away_ms));
        restart_leader(&mut sim);
        sim.run_until(sim.now + 60_000);
        let starts = sim.tasks.starts.iter().filter(|(task, _)| task.starts_with(JOB));
        assert!(starts.clone().count() == 4 && starts.clone().all(|(_, on)| on.len() == 1), "{case}: started again");
        assert_settled(&mut sim, JOB, &case);
    }
}
