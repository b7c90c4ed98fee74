//! Late copies of direct commands. A direct command is executed after any delay while the worker's fencing token and
//! epoch match, also if it was executed and answered before. No copy may start a task that was moved, cancelled or
//! stopped since.

mod support;

use serde_json::{Value, json};
use support::{Simulation, Site};

const SERVICE: &str = "job-000001";
const JOB: &str = "job-000002";
const TASK: &str = "job-000002/0";
const URGENT_SERVICE: &str = "job-000003";
/// A delay much longer than any lease, timeout or interval, in milliseconds.
const LATE_MS: u64 = 180_000;
const SEEDS: std::ops::Range<u64> = 0..4;

fn service(zone: &str, cores: f64) -> Vec<(&'static str, Value)> {
    vec![
        ("Shape", json!("standing")),
        ("Rank", json!("prod")),
        ("RuntimeS", json!(0)),
        ("Pieces", json!(1)),
        ("Cores", json!(cores)),
        ("MemoryGb", json!(1.0)),
        ("Yard", json!(zone)),
    ]
}

fn batch(tasks: u64, cores: f64, zone: Option<&str>) -> Vec<(&'static str, Value)> {
    vec![
        ("Pieces", json!(tasks)),
        ("Cores", json!(cores)),
        ("MemoryGb", json!(cores / 2.0)),
        ("RuntimeS", json!(5000.0)),
        ("Yard", json!(zone)),
    ]
}

/// Runs until a condition holds; fails after `ms`.
fn wait_for(sim: &mut Simulation, case: &str, ms: u64, holds: impl Fn(&Simulation) -> bool) {
    let end = sim.now + ms;
    while !holds(sim) {
        assert!(sim.now < end, "{case}: not reached within {ms} ms");
        sim.run_until(sim.now + 20);
    }
}

/// A simulation with one on-demand machine per zone. A service in zone `a` keeps the machine there for good.
fn one_machine_per_zone(seed: u64) -> (Simulation, u64) {
    let mut sim = Simulation::with_site(Site { machines: 1, ..Site::small() }, seed);
    sim.faults.record_commands = true;
    let machine = machine_of_service(&mut sim);
    (sim, machine)
}

/// Submits the service, and returns the machine that runs it.
fn machine_of_service(sim: &mut Simulation) -> u64 {
    sim.submit(SERVICE, &service("a", 1.0));
    sim.run_until(25_000);
    sim.machine_running(&format!("{SERVICE}/0")).expect("the service runs")
}

/// Submits a job of one task, which is started by a direct command beside the service.
fn start_directly(sim: &mut Simulation, machine: u64, case: &str) {
    sim.submit(JOB, &batch(1, 3.0, None));
    wait_for(sim, case, 20_000, |s| s.machine_running(TASK) == Some(machine));
    assert!(sim.was_started_directly(TASK), "{case}: the task was started by a heartbeat response");
}

/// Moves the task to the other zone: a service of higher priority takes its place for a while.
fn move_task(sim: &mut Simulation, machine: u64, case: &str) {
    sim.submit(URGENT_SERVICE, &service("a", 3.0));
    wait_for(sim, case, 60_000, |s| s.machine_running(TASK).is_some_and(|other| other != machine));
    sim.cancel(URGENT_SERVICE);
}

fn cancel_job(sim: &mut Simulation, case: &str) {
    sim.cancel(JOB);
    wait_for(sim, case, 20_000, |s| s.jobs[JOB].last_status == "aborted" && s.running_tasks(JOB) == 0);
}

/// Checks that all workers have forgotten what has ended, so that they would take a copy for a new start.
fn assert_all_forgotten(sim: &Simulation, case: &str) {
    assert_eq!(sim.exited_attempts(), 0, "{case}: workers still report ended attempts");
}

/// Delivers a copy of every direct command, and checks that no task starts.
fn assert_copies_start_nothing(sim: &mut Simulation, case: &str) {
    let starts = sim.tasks.starts.clone();
    sim.repeat_recorded_commands();
    sim.run_until(sim.now + 5000);
    assert!(sim.violations.is_empty(), "{case}: {:?}", sim.violations);
    assert_eq!(sim.tasks.starts, starts, "{case}: a copy of a direct command has started a task");
}

/// Guards against `ran_twice`: a copy of an executed start command came after the worker had forgotten the attempt, and
/// the task ran there beside its next attempt on another machine.
#[test]
fn a_late_copy_does_not_start_a_task_that_was_moved() {
    for seed in SEEDS {
        let case = format!("seed {seed}");
        let (mut sim, machine) = one_machine_per_zone(seed);
        start_directly(&mut sim, machine, &case);
        move_task(&mut sim, machine, &case);
        // As soon as the worker has forgotten the attempt, and long after.
        wait_for(&mut sim, &case, LATE_MS, |s| s.exited_attempts() == 0 && s.running_tasks(URGENT_SERVICE) == 0);
        assert_copies_start_nothing(&mut sim, &case);
        sim.run_until(sim.now + LATE_MS);
        assert_all_forgotten(&sim, &case);
        assert_copies_start_nothing(&mut sim, &case);
    }
}

/// Guards against `ran_cancelled`: the same copy, for a job that was cancelled.
#[test]
fn a_late_copy_does_not_start_a_task_that_was_cancelled() {
    for seed in SEEDS {
        let case = format!("seed {seed}");
        let (mut sim, machine) = one_machine_per_zone(seed);
        start_directly(&mut sim, machine, &case);
        cancel_job(&mut sim, &case);
        sim.run_until(sim.now + LATE_MS);
        assert_all_forgotten(&sim, &case);
        assert_copies_start_nothing(&mut sim, &case);
    }
}

/// Guards against both, when the leader, or the machine's network, is back within a second and the copies arrive
/// before, during and after the election.
#[test]
fn a_late_copy_starts_nothing_when_a_controller_or_machine_comes_back_within_a_second() {
    for (seed, moved, leader_restarts) in
        SEEDS.flat_map(|seed| [(seed, true, true), (seed, false, true), (seed, true, false), (seed, false, false)])
    {
        let case = format!("seed {seed}, moved {moved}, leader restarts {leader_restarts}");
        let (mut sim, machine) = one_machine_per_zone(seed);
        start_directly(&mut sim, machine, &case);
        if moved {
            move_task(&mut sim, machine, &case);
        } else {
            cancel_job(&mut sim, &case);
        }
        sim.run_until(sim.now + LATE_MS);
        assert_all_forgotten(&sim, &case);
        if leader_restarts {
            let leader = sim.leader().expect("a leader");
            sim.restart_controller(leader, 300);
        } else {
            sim.partition_machine_for(machine, 700);
        }
        for _ in 0..4 {
            assert_copies_start_nothing(&mut sim, &case);
        }
    }
}

/// Guards against `ran_cancelled` on a machine with more ended attempts than a heartbeat should list: the oldest ones
/// were forgotten at once.
#[test]
fn late_copies_start_nothing_on_a_machine_with_many_ended_attempts() {
    for seed in SEEDS {
        let case = format!("seed {seed}");
        let (mut sim, _) = one_machine_per_zone(seed);
        sim.submit(JOB, &batch(260, 0.01, Some("a")));
        wait_for(&mut sim, &case, 60_000, |s| s.running_tasks(JOB) == 260);
        assert!(sim.was_started_directly(TASK), "{case}");
        cancel_job(&mut sim, &case);
        sim.run_until(sim.now + 10_000);
        assert_copies_start_nothing(&mut sim, &case);
        sim.run_until(sim.now + LATE_MS);
        assert_all_forgotten(&sim, &case);
        assert_copies_start_nothing(&mut sim, &case);
    }
}

/// Guards against a gang task that starts beside the gang's next attempt, or after the gang was cancelled.
#[test]
fn late_copies_start_no_task_of_a_gang() {
    let mut directly_started = 0;
    for (seed, cancelled) in SEEDS.flat_map(|seed| [(seed, true), (seed, false)]) {
        let case = format!("seed {seed}, cancelled {cancelled}");
        let mut sim = Simulation::new(seed);
        sim.faults.record_commands = true;
        for (id, zone) in [("job-000011", "a"), ("job-000012", "b")] {
            sim.submit(id, &[&service(zone, 1.0)[..], &[("Pieces", json!(2))]].concat());
        }
        sim.run_until(25_000);
        let gang =
            [("Shape", json!("group")), ("Pieces", json!(3)), ("RuntimeS", json!(5000.0)), ("Cores", json!(1.0))];
        sim.submit(JOB, &gang);
        wait_for(&mut sim, &case, 60_000, |s| s.running_tasks(JOB) == 3);
        directly_started += u64::from(sim.was_started_directly(TASK));
        if cancelled {
            cancel_job(&mut sim, &case);
        } else {
            let machine = sim.machine_running(TASK).expect("the gang runs");
            sim.send_reclaim_notice(machine, 8);
            wait_for(&mut sim, &case, 60_000, |s| s.gang_attempts(JOB) == 2 && s.running_tasks(JOB) == 3);
        }
        sim.run_until(sim.now + LATE_MS);
        assert_all_forgotten(&sim, &case);
        assert_copies_start_nothing(&mut sim, &case);
    }
    assert!(directly_started > 0, "no gang was started by direct commands");
}

/// Guards against a machine that no longer gets a task: its direct start was held up without a response, and the stopped
/// attempt was never forgotten.
#[test]
fn an_attempt_whose_direct_start_got_no_response_is_forgotten_and_not_started_late() {
    for seed in SEEDS {
        let case = format!("seed {seed}");
        let (mut sim, machine) = one_machine_per_zone(seed);
        sim.faults.commands_held.insert(machine);
        start_directly(&mut sim, machine, &case);
        move_task(&mut sim, machine, &case);
        sim.run_until(sim.now + 30_000);
        assert_all_forgotten(&sim, &case);
        let starts = sim.tasks.starts.clone();
        sim.heal_machine(machine);
        sim.run_until(sim.now + 5000);
        assert_eq!((sim.violations.len(), &sim.tasks.starts), (0, &starts), "{case}: {:?}", sim.violations);
        assert_copies_start_nothing(&mut sim, &case);
    }
}

/// While the state service is down no higher token is to be had, so an ended attempt is kept; afterwards it is forgotten.
#[test]
fn ended_attempts_are_kept_while_the_state_service_is_down() {
    for seed in SEEDS {
        let case = format!("seed {seed}");
        let (mut sim, machine) = one_machine_per_zone(seed);
        sim.submit(URGENT_SERVICE, &service("b", 1.0));
        sim.run_until(sim.now + 25_000);
        sim.workers.get_mut(&machine).expect("the machine").tasks_fail = true;
        sim.submit(JOB, &batch(1, 3.0, None));
        wait_for(&mut sim, &case, 30_000, |s| s.tasks.starts.get(TASK).is_some_and(|on| on.contains(&machine)));
        assert!(sim.was_started_directly(TASK), "{case}");
        sim.store.down = true;
        wait_for(&mut sim, &case, 30_000, |s| s.machine_running(TASK).is_some_and(|other| other != machine));
        sim.run_until(sim.now + LATE_MS);
        assert_copies_start_nothing(&mut sim, &case);
        sim.store.down = false;
        sim.run_until(sim.now + 20_000);
        assert_all_forgotten(&sim, &case);
        assert_copies_start_nothing(&mut sim, &case);
    }
}

/// Leaders of the version in production use only the revision of their leader key as their token. Their tokens and those
/// of this version's leaders keep the order of the terms, so that workers obey each leader that follows.
#[test]
fn workers_obey_a_leader_of_the_version_in_production_after_one_that_raised_its_token() {
    for seed in SEEDS {
        let case = format!("seed {seed}");
        let mut sim = Simulation::with_site(Site { machines: 1, ..Site::small() }, seed);
        sim.faults.record_commands = true;
        // The third controller has not started in this version, so the leader key is not relocated.
        sim.crash_controller(2);
        let machine = machine_of_service(&mut sim);
        let token_of_term = sim.controllers.highest_token;
        start_directly(&mut sim, machine, &case);
        cancel_job(&mut sim, &case);
        sim.run_until(sim.now + 10_000);
        assert_all_forgotten(&sim, &case);
        let raised_token = sim.highest_worker_token();
        assert!(raised_token > token_of_term, "{case}: the leader has issued no further token");
        sim.start_production_version(2);
        [0, 1].into_iter().for_each(|node| sim.restart_controller(node, 6000));
        sim.run_until(sim.now + 5000);
        let production_token = sim.controllers.production_version[&2].token.expect("the old version leads");
        assert!(production_token > raised_token, "{case}: {production_token} after {raised_token}");
        sim.upgrade_controller(2, 1000);
        sim.run_until(sim.now + 60_000);
        assert!(sim.controllers.highest_token > production_token && sim.all_machines_fenced(), "{case}");
        assert_copies_start_nothing(&mut sim, &case);
    }
}

/// Submits a job whose image is cached, and holds back its direct start.
fn hold_back_direct_start(sim: &mut Simulation, machine: u64, case: &str) {
    sim.faults.commands_held.insert(machine);
    sim.submit(JOB, &batch(1, 3.0, Some("a")));
    wait_for(sim, case, 20_000, |s| s.was_started_directly(TASK));
}

fn wait_for_cancellation(sim: &mut Simulation, case: &str) {
    sim.cancel(JOB);
    wait_for(sim, case, 30_000, |s| s.jobs[JOB].last_status == "aborted");
}

/// Checks that no task of the job starts, neither by an order of a controller nor by commands that were held back until
/// long after the cancellation.
fn assert_cancelled_job_never_starts(sim: &mut Simulation, case: &str) {
    sim.run_until(sim.now + sim.site.cancel_ms + 20_000);
    let starts = |s: &Simulation| s.tasks.starts.keys().filter(|task| task.starts_with(JOB)).count();
    assert_eq!(starts(sim), 0, "{case}: a controller ordered the start of a cancelled job");
    let machines: Vec<u64> = sim.workers.keys().copied().collect();
    machines.into_iter().for_each(|machine| sim.heal_machine(machine));
    sim.run_until(sim.now + 10_000);
    assert_eq!(starts(sim), 0, "{case}: a held-up command started a cancelled job");
    assert!(sim.violations.is_empty(), "{case}: {:?}", sim.violations);
}

/// Guards against a heartbeat response that orders `run` and `kill` of an attempt whose job is confirmed as cancelled.
#[test]
fn a_start_in_doubt_is_not_ordered_after_its_cancellation_was_confirmed() {
    for seed in SEEDS {
        let case = format!("seed {seed}");
        let (mut sim, machine) = one_machine_per_zone(seed);
        hold_back_direct_start(&mut sim, machine, &case);
        wait_for_cancellation(&mut sim, &case);
        assert_cancelled_job_never_starts(&mut sim, &case);
    }
}

/// Guards against the same when the leader ends, or the state service is down, right after the confirmation.
#[test]
fn a_start_in_doubt_is_not_ordered_by_the_next_leader_or_in_an_outage() {
    for (seed, outage) in SEEDS.flat_map(|seed| [(seed, true), (seed, false)]) {
        let case = format!("seed {seed}, outage {outage}");
        let (mut sim, machine) = one_machine_per_zone(seed);
        hold_back_direct_start(&mut sim, machine, &case);
        wait_for_cancellation(&mut sim, &case);
        if outage {
            sim.store.down = true;
        } else {
            let leader = sim.leader().expect("a leader");
            sim.restart_controller(leader, 300);
        }
        assert_cancelled_job_never_starts(&mut sim, &case);
    }
}

/// Guards against an earlier leader that goes on without having learnt that its commit of the cancellation was executed.
#[test]
fn a_start_in_doubt_is_not_ordered_by_a_leader_that_another_one_has_replaced() {
    for seed in SEEDS {
        let case = format!("seed {seed}");
        let (mut sim, machine) = one_machine_per_zone(seed);
        hold_back_direct_start(&mut sim, machine, &case);
        sim.faults.writes_without_response = (100, true);
        sim.cancel(JOB);
        sim.run_until(sim.now + 400);
        let leader = sim.leader().expect("a leader");
        sim.isolate_controller(leader);
        sim.faults.writes_without_response = (0, false);
        wait_for(&mut sim, &case, 30_000, |s| s.jobs[JOB].last_status == "aborted");
        assert_cancelled_job_never_starts(&mut sim, &case);
    }
}

/// Guards against the same for a gang, and for a task that was to be moved when its job was cancelled.
#[test]
fn starts_in_doubt_of_gangs_and_moved_tasks_are_not_ordered_after_the_cancellation() {
    for (seed, gang) in SEEDS.flat_map(|seed| [(seed, true), (seed, false)]) {
        let case = format!("seed {seed}, gang {gang}");
        let (mut sim, machine) = one_machine_per_zone(seed);
        if gang {
            sim.faults.commands_held.insert(machine);
            let fields = [("Shape", json!("group")), ("Pieces", json!(2)), ("Together", json!(true))];
            sim.submit(JOB, &[batch(2, 1.0, Some("a")), fields.to_vec()].concat());
            wait_for(&mut sim, &case, 30_000, |s| s.was_started_directly(TASK));
        } else {
            hold_back_direct_start(&mut sim, machine, &case);
            sim.submit(URGENT_SERVICE, &service("a", 3.0));
            sim.run_until(sim.now + 100);
        }
        wait_for_cancellation(&mut sim, &case);
        assert_cancelled_job_never_starts(&mut sim, &case);
    }
}
