//! Failures of tasks: a machine on which they fail is kept from work, and neither the machine nor the job on which a
//! failure casts suspicion stays suspected for good. All cases play in a cloud that has no further machine.

mod support;

use proptest::prelude::*;
use serde_json::{Value, json};
use support::Simulation;

/// Longest time for which a job may wait beside a machine with room once all troubles are over, in milliseconds.
const MAX_WAIT_MS: u64 = 90_000;
const SERVICE: &str = "job-000001";

fn service(zone: &str) -> Vec<(&'static str, Value)> {
    let shape = [("Shape", json!("standing")), ("Rank", json!("prod")), ("RuntimeS", json!(0))];
    shape.into_iter().chain([("Pieces", json!(1)), ("Cores", json!(1.0)), ("Yard", json!(zone))]).collect()
}

fn batch(tasks: u64, run_s: f64) -> Vec<(&'static str, Value)> {
    vec![("Pieces", json!(tasks)), ("Cores", json!(1.0)), ("RuntimeS", json!(run_s)), ("Yard", json!("a"))]
}

/// The cloud's only machine, four cores in zone a, on which a service runs.
fn simulation_with_one_machine(seed: u64) -> (Simulation, u64) {
    let mut sim = Simulation::new(seed);
    sim.cloud.capacity = [(("a".to_string(), false), 1)].into();
    sim.submit(SERVICE, &service("a"));
    sim.run_until(20_000);
    let machine = sim.machine_running("job-000001/0").expect("the service runs");
    (sim, machine)
}

/// Submits two jobs that fail wherever they run, and cancels them once both have failed.
fn fail_and_cancel_two_jobs(sim: &mut Simulation) {
    let mistaken = ["job-000002", "job-000003"];
    for id in mistaken {
        sim.tasks.failing_jobs.insert(id.into());
        sim.submit(id, &batch(1, 0.5));
        sim.run_until(sim.now + 3000);
    }
    mistaken.iter().for_each(|id| sim.cancel(id));
    sim.run_until(sim.now + 1000);
}

/// Ends all faults and checks that a job starts within the time for which it may wait, and then that no rule was
/// broken and that the service ran all the time.
fn assert_starts_in_time(sim: &mut Simulation, id: &str) {
    sim.end_all_faults();
    sim.run_until(sim.now + MAX_WAIT_MS);
    assert!(sim.running_tasks(id) > 0 || sim.jobs[id].last_status == "done", "{id} waits beside a machine with room");
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    assert_eq!(sim.tasks.starts["job-000001/0"].len(), 1, "the service was moved");
}

/// Number of tasks that have been started on a machine, except the service's.
fn starts_on(sim: &Simulation, machine: u64) -> usize {
    sim.tasks.starts.values().flatten().filter(|id| **id == machine).count() - 1
}

/// Guards against a sound machine that gets no task for good after two jobs with a mistake have failed there.
#[test]
fn a_sound_machine_takes_tasks_again_after_mistaken_jobs_have_failed_there() {
    let (mut sim, _) = simulation_with_one_machine(1);
    fail_and_cancel_two_jobs(&mut sim);
    sim.submit("job-000004", &batch(1, 2.0));
    assert_starts_in_time(&mut sim, "job-000004");
}

/// Guards against a gang, or a service, for which a machine in quarantine is never tried again.
#[test]
fn a_machine_in_quarantine_is_tried_with_whatever_waits_for_it() {
    let gang = vec![("Shape", json!("group")), ("Pieces", json!(2)), ("Cores", json!(1.0)), ("RuntimeS", json!(5.0))];
    for waiting in [gang, service("a")] {
        let (mut sim, _) = simulation_with_one_machine(2);
        fail_and_cancel_two_jobs(&mut sim);
        sim.submit("job-000004", &waiting);
        sim.submit("job-000005", &batch(1, 2.0));
        assert_starts_in_time(&mut sim, "job-000004");
        assert_eq!(sim.jobs["job-000005"].last_status, "done", "after the trial the machine takes all that fits");
    }
}

/// Guards against work for a machine that really is faulty: after two failures it gets none until its trial, and then
/// one task at a time, two in each trial. Jobs that have failed three times without a success come each 45 s on top.
#[test]
fn a_faulty_machine_is_kept_from_work_but_for_single_trials() {
    let (mut sim, machine) = simulation_with_one_machine(3);
    sim.workers.get_mut(&machine).expect("the machine").tasks_fail = true;
    for id in 2..4 {
        sim.submit(&format!("job-{id:06}"), &batch(1, 2.0));
        sim.run_until(sim.now + 3000);
    }
    let quarantined_at = sim.now;
    (4..8).for_each(|id| sim.submit(&format!("job-{id:06}"), &batch(4, 2.0)));
    for (after_ms, starts) in [(8_000, 2), (25_000, 4), (60_000, 6), (100_000, 8), (300_000, 40)] {
        while sim.now < quarantined_at + after_ms {
            sim.run_until(sim.now + 10);
            let running: usize = (2..8).map(|id| sim.running_tasks(&format!("job-{id:06}"))).sum();
            assert!(running <= 1, "{running} tasks run on a faulty machine at {} ms", sim.now);
        }
        let started = starts_on(&sim, machine);
        assert!(started <= starts, "{started} tasks were started on a faulty machine within {after_ms} ms");
    }
    sim.workers.get_mut(&machine).expect("the machine").tasks_fail = false;
    sim.submit("job-000008", &batch(1, 2.0));
    assert_starts_in_time(&mut sim, "job-000008");
}

/// Guards against a job that is never tried again on the only machine that fits, because a task of it failed there.
#[test]
fn a_job_is_tried_again_on_the_machine_on_which_it_failed() {
    let (mut sim, machine) = simulation_with_one_machine(4);
    sim.workers.get_mut(&machine).expect("the machine").tasks_fail = true;
    sim.submit("job-000002", &batch(2, 2.0));
    sim.run_until(sim.now + 3000);
    assert!(starts_on(&sim, machine) >= 1, "no task has failed");
    sim.workers.get_mut(&machine).expect("the machine").tasks_fail = false;
    assert_starts_in_time(&mut sim, "job-000002");
}

/// Guards against a job that is left out of planning because an earlier one, which avoids a machine, found no place.
#[test]
fn a_job_that_avoids_a_machine_keeps_no_other_job_from_it() {
    let (mut sim, machine) = simulation_with_one_machine(5);
    sim.tasks.failing_jobs.insert("job-000002".into());
    let anywhere = [("Pieces", json!(1)), ("Cores", json!(1.0)), ("RuntimeS", json!(0.5))];
    sim.submit("job-000002", &anywhere);
    sim.run_until(sim.now + 3000);
    assert_eq!(starts_on(&sim, machine), 1, "the first job has failed");
    sim.submit("job-000003", &anywhere);
    sim.run_until(sim.now + 10_000);
    assert_eq!(sim.jobs["job-000003"].last_status, "done", "nothing speaks against the machine or the second job");
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
}

/// Plays steps of a pause in milliseconds, an action and a choice: sound and mistaken jobs are submitted, mistaken ones
/// cancelled, machines turn faulty or sound. Returns the mistaken jobs that stay after all machines are sound.
fn play(sim: &mut Simulation, steps: &[(u64, u8, u64)], mistaken_are_cancelled: bool) -> Vec<String> {
    let mut mistaken = Vec::new();
    for (number, (pause_ms, action, choice)) in (100..).zip(steps) {
        let id = format!("job-{number:06}");
        let zone = [json!("a"), Value::Null][*choice as usize % 2].clone();
        let run_s = 0.5 + 4.0 * *choice as f64;
        let size = [("Pieces", json!(1 + choice % 3)), ("Cores", json!(1.0))];
        let fields: Vec<_> = size.into_iter().chain([("Yard", zone), ("RuntimeS", json!(run_s))]).collect();
        match action {
            0 | 1 => sim.submit(&id, &fields),
            2 => {
                sim.tasks.failing_jobs.insert(id.clone());
                sim.submit(&id, &fields);
                mistaken.push(id);
            }
            3 => mistaken.pop().iter().for_each(|id| sim.cancel(id)),
            _ => sim.workers.values_mut().take(1 + *choice as usize % 2).for_each(|w| w.tasks_fail = *choice < 4),
        }
        sim.run_until(sim.now + pause_ms);
    }
    sim.workers.values_mut().for_each(|worker| worker.tasks_fail = false);
    if mistaken_are_cancelled {
        mistaken.drain(..).for_each(|id| sim.cancel(&id));
    }
    sim.end_all_faults();
    sim.run_until(sim.now + 400_000);
    mistaken
}

/// The first broken invariant that is not about one of these jobs.
fn violation_of_others<'a>(sim: &'a Simulation, mistaken: &[String]) -> Option<&'a String> {
    sim.violations.iter().find(|violation| !mistaken.iter().any(|id| violation.contains(id.as_str())))
}

/// Guards against a sound job that waits beside room since many mistaken jobs, which stay, fail the trials of the only
/// machine. Found by 1,500 drawn cases with seed 61.
#[test]
fn many_mistaken_jobs_that_stay_leave_no_sound_job_waiting() {
    let (mut sim, _) = simulation_with_one_machine(84);
    let first = [(1640, 2, 2), (2580, 2, 0), (3131, 2, 0), (8425, 2, 0), (0, 3, 0), (0, 4, 0), (1323, 2, 0)];
    let second = [(6782, 2, 0), (3002, 0, 6), (5664, 2, 1), (7682, 0, 1), (7641, 0, 4), (4459, 0, 2), (9721, 0, 0)];
    let third = [(3883, 2, 0), (3841, 0, 0), (4062, 0, 0), (214, 4, 0), (1966, 3, 0), (6085, 0, 0)];
    let mistaken = play(&mut sim, &[&first[..], &second, &third].concat(), false);
    assert_eq!(violation_of_others(&sim, &mistaken), None);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        rng_seed: proptest::test_runner::RngSeed::Fixed(55),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against any order of mistaken jobs, cancellations and faults of machines after which a sound job waits
    /// beside a machine with room, also if mistaken jobs stay.
    #[test]
    fn no_order_of_failures_leaves_a_sound_job_waiting(
        seed in 0u64..1000,
        mistaken_are_cancelled in any::<bool>(),
        steps in proptest::collection::vec((0u64..12_000, 0u8..5, 0u64..8), 10..40),
    ) {
        let (mut sim, _) = simulation_with_one_machine(seed);
        sim.cloud.capacity.insert(("b".into(), false), seed as u32 % 2);
        let mistaken = play(&mut sim, &steps, mistaken_are_cancelled);
        prop_assert_eq!(violation_of_others(&sim, &mistaken), None);
        for (id, job) in sim.jobs.iter().filter(|(id, _)| mistaken_are_cancelled && *id != SERVICE) {
            prop_assert!(["done", "aborted"].contains(&job.last_status.as_str()), "{id} is {}", job.last_status);
        }
    }
}
