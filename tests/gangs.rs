//! Gangs: all tasks run at the same time or none does, in each of their states and under the faults of the operators'
//! page. The invariants are checked from outside, on what workers executed and which responses users received.

mod support;

use serde_json::{Value, json};
use support::Simulation;

const GANG: &str = "job-000001";

/// The fields of a gang of three tasks that writes a checkpoint every two seconds, with some of them changed.
fn gang(change: &[(&str, Value)]) -> Vec<(&'static str, Value)> {
    let mut fields = vec![
        ("Shape", json!("group")),
        ("Pieces", json!(3)),
        ("RuntimeS", json!(12.0)),
        ("Together", json!(true)),
        ("BookmarkS", json!(2.0)),
        ("StashS", json!(1.0)),
    ];
    for (name, value) in change {
        let name = [
            "Pieces",
            "RuntimeS",
            "Crew",
            "Cores",
            "Together",
            "Spread",
            "Loaners",
            "Yard",
            "Rank",
            "BookmarkS",
            "StashS",
        ]
        .into_iter()
        .find(|n| n == name)
        .expect("a field");
        fields.retain(|(n, _)| *n != name);
        fields.push((name, value.clone()));
    }
    fields
}

/// A simulation whose controllers already accept gangs.
fn simulation_with_leader(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed);
    sim.run_until(8000);
    sim
}

/// Runs until a condition holds, for at most `ms`. Returns whether it holds.
fn run_until_condition(sim: &mut Simulation, ms: u64, holds: impl Fn(&Simulation) -> bool) -> bool {
    let end = sim.now + ms;
    while sim.now < end && !holds(sim) {
        sim.run_until(sim.now + 5);
    }
    holds(sim)
}

fn is_gathering(sim: &Simulation) -> bool {
    !sim.machines_awaiting_gang(GANG).is_empty() && sim.running_tasks(GANG) == 0
}

fn all_run(sim: &Simulation) -> bool {
    sim.running_tasks(GANG) == 3
}

fn assert_no_violation(sim: &Simulation, case: &str) {
    assert!(sim.violations.is_empty(), "{case}: {:?}", sim.violations);
}

/// State of the gang when a fault or cancellation occurs.
#[derive(Debug, Clone, Copy, PartialEq)]
enum GangState {
    /// Workers have the start commands, but the image is not fetched on any machine yet.
    Starting,
    /// A task has its image and waits for the others.
    Gathering,
    Running,
    /// A task writes a checkpoint because its machine will be reclaimed.
    Checkpointing,
}

const STATES: [GangState; 4] =
    [GangState::Starting, GangState::Gathering, GangState::Running, GangState::Checkpointing];

/// A simulation whose gang is in this state, and a machine that holds one of its tasks.
fn simulation_in_state(seed: u64, state: GangState) -> (Simulation, u64) {
    let mut sim = simulation_with_leader(seed);
    // Tasks finish fetching their image at different times.
    sim.tasks.fetch_jitter_ms = 2000;
    sim.submit(GANG, &gang(&[("Cores", json!(4.0)), ("Loaners", json!(state == GangState::Checkpointing))]));
    let reached = match state {
        GangState::Starting => run_until_condition(&mut sim, 60_000, |s| s.tasks_on_machines(GANG) > 0),
        GangState::Gathering => run_until_condition(&mut sim, 60_000, is_gathering),
        GangState::Running => run_until_condition(&mut sim, 60_000, all_run),
        GangState::Checkpointing => {
            assert!(run_until_condition(&mut sim, 60_000, all_run), "seed {seed}: the gang does not run");
            sim.run_until(sim.now + 3000);
            let machine = sim.machine_running("job-000001/0").expect("a running task of the gang");
            sim.send_reclaim_notice(machine, 4);
            run_until_condition(&mut sim, 8000, |s| s.checkpointing_tasks(GANG) > 0)
        }
    };
    assert!(reached, "seed {seed} {state:?}");
    let machine = sim.machine_holding(GANG).expect("a machine holds a task of it");
    (sim, machine)
}

#[test]
fn all_tasks_of_a_gang_run_and_finish_together() {
    let mut sim = simulation_with_leader(1);
    sim.submit(GANG, &gang(&[]));
    let mut reported_running = false;
    while sim.now < 80_000 && sim.jobs[GANG].last_status != "done" {
        sim.run_until(sim.now + 20);
        assert!(matches!(sim.running_tasks(GANG), 0 | 3), "only some of the tasks run");
        reported_running |= sim.jobs[GANG].last_status == "running";
    }
    assert_no_violation(&sim, "without faults");
    assert_eq!((sim.jobs[GANG].last_status.as_str(), reported_running), ("done", true));
    assert_eq!(sim.gang_attempts(GANG), 1, "the gang needed more than one attempt");
}

#[test]
fn the_total_demand_of_a_gang_is_checked_on_submission() {
    let mut sim = simulation_with_leader(2);
    sim.submit("job-000002", &gang(&[("Crew", json!("small")), ("Cores", json!(2.0))]));
    sim.submit("job-000003", &gang(&[("Crew", json!("small")), ("Cores", json!(1.0))]));
    sim.submit("job-000004", &gang(&[("Yard", json!("nowhere"))]));
    sim.submit("job-000005", &gang(&[("Spread", json!(true))]));
    sim.run_until(70_000);
    let status = |id: &str| sim.jobs[id].submit_status;
    assert_eq!(status("job-000002"), 422, "three tasks of two cores exceed the team's limit of four");
    assert_eq!((status("job-000004"), status("job-000005")), (422, 422));
    assert_eq!(sim.jobs["job-000003"].last_status, "done");
    assert_no_violation(&sim, "total demand");
}

/// A gang is cancelled in each state, without a change of leader and shortly before the leader crashes.
#[test]
fn cancelled_in_each_state_across_a_change_of_leader() {
    for (seed, state) in STATES.into_iter().enumerate() {
        for crash_after_ms in [None, Some(0), Some(40), Some(300)] {
            let case = format!("{state:?}, leader crashes after {crash_after_ms:?} ms");
            let (mut sim, _) = simulation_in_state(seed as u64, state);
            sim.cancel(GANG);
            if let Some(ms) = crash_after_ms {
                sim.run_until(sim.now + ms);
                let leader = sim.leader().expect("a leader");
                sim.restart_controller(leader, 3000);
            }
            sim.run_until(sim.now + 60_000);
            assert_no_violation(&sim, &case);
            assert_eq!(sim.jobs[GANG].last_status, "aborted", "{case}");
            assert_eq!(sim.tasks_on_machines(GANG), 0, "{case}");
        }
    }
}

/// Fault of a machine that holds a task of the gang, or of the controllers.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    Crashes,
    Hangs,
    InboundLost,
    OutboundLost,
    Unreachable,
    BrieflyUnreachable,
    LeaderCrashes,
    AllControllersCrash,
}

/// Injects each fault in each state: afterwards the gang finishes, and tasks of two attempts never run together.
#[test]
fn a_machine_or_leader_in_trouble_in_each_state() {
    use Fault::*;
    for (n, state) in STATES.into_iter().enumerate() {
        for (m, fault) in [
            Crashes,
            Hangs,
            InboundLost,
            OutboundLost,
            Unreachable,
            BrieflyUnreachable,
            LeaderCrashes,
            AllControllersCrash,
        ]
        .into_iter()
        .enumerate()
        {
            let case = format!("{state:?} {fault:?}");
            let (mut sim, machine) = simulation_in_state((10 * n + m) as u64, state);
            match fault {
                Crashes => sim.kill_machine(machine),
                Hangs => sim.hang_machine(machine, 11_000),
                InboundLost => drop(sim.faults.inbound_lost.insert(machine)),
                OutboundLost => drop(sim.faults.outbound_lost.insert(machine)),
                Unreachable => sim.partition_machine(machine),
                BrieflyUnreachable => sim.partition_machine_for(machine, 400),
                LeaderCrashes => {
                    let leader = sim.leader().expect("a leader");
                    sim.restart_controller(leader, 5000);
                }
                AllControllersCrash => (0..3).for_each(|node| sim.restart_controller(node, 4000)),
            }
            sim.run_until(sim.now + 30_000);
            sim.end_all_faults();
            sim.run_until(sim.now + 120_000);
            assert_no_violation(&sim, &case);
            assert_eq!(sim.jobs[GANG].last_status, "done", "{case}");
            assert_eq!(
                sim.gangs.incomplete_tasks, 0,
                "{case}: workers timed out in an incomplete gang that the leader has to stop before"
            );
        }
    }
}

/// A gathering task that is lost with its machine is started again under the attempt number of the other tasks, which
/// keep waiting.
#[test]
fn a_lost_waiting_task_is_replaced_under_the_same_attempt() {
    let mut replaced = 0;
    for seed in 0..6 {
        let mut sim = simulation_with_leader(seed);
        sim.tasks.fetch_jitter_ms = 2000;
        // Machines with and without the image, some of them idle.
        sim.submit(
            "job-000009",
            &[("Pieces", json!(6)), ("RuntimeS", json!(1.0)), ("Cores", json!(4.0)), ("Reel", json!("img-2"))],
        );
        sim.run_until(18_000);
        sim.submit("job-000008", &[("Pieces", json!(1)), ("RuntimeS", json!(1.0)), ("Cores", json!(4.0))]);
        sim.run_until(24_000);
        sim.submit(GANG, &gang(&[("Cores", json!(4.0)), ("Together", json!(false))]));
        let partly_gathered = |sim: &Simulation| {
            is_gathering(sim) && sim.tasks_on_machines(GANG) == 3 && sim.machines_awaiting_gang(GANG).len() < 3
        };
        assert!(run_until_condition(&mut sim, 40_000, partly_gathered), "seed {seed}");
        let gathering = sim.machines_awaiting_gang(GANG);
        let machine = sim.machine_holding_except(GANG, &gathering).expect("no machine is still fetching the image");
        sim.kill_machine(machine);
        sim.run_until(sim.now + 120_000);
        assert_no_violation(&sim, &format!("seed {seed}"));
        assert_eq!(sim.jobs[GANG].last_status, "done", "seed {seed}");
        replaced += u64::from(sim.gang_attempts(GANG) == 1);
    }
    assert!(replaced >= 4, "{replaced} of 6 gangs were completed by a replacement");
}

/// A reclaim notice for one machine stops the whole gang early enough to checkpoint: no progress from before the notice
/// is lost.
#[test]
fn a_notice_saves_the_whole_gang() {
    for seed in 0..5 {
        let mut sim = simulation_with_leader(seed);
        sim.submit(GANG, &gang(&[("Cores", json!(4.0)), ("Loaners", json!(true)), ("RuntimeS", json!(40.0))]));
        assert!(run_until_condition(&mut sim, 60_000, all_run), "seed {seed}");
        sim.run_until(sim.now + 7100);
        let machine = sim.machine_running("job-000001/1").expect("a running task of the gang");
        sim.send_reclaim_notice(machine, 6);
        sim.run_until(sim.now + 8000);
        let saved = sim.gangs.saved_progress_ms.get(GANG).copied().unwrap_or(0);
        assert!(saved > 7000, "seed {seed}: checkpoint of {saved} ms of progress, expected more than 7,000 ms");
        sim.kill_machine(machine);
        sim.run_until(sim.now + 100_000);
        assert_no_violation(&sim, &format!("seed {seed}"));
        assert_eq!((sim.jobs[GANG].last_status.as_str(), sim.gangs.aborted_checkpoints), ("done", 0), "seed {seed}");
    }
}

/// The leader crashes while a gang writes its checkpoint: the successor lets it finish and restarts the gang only when
/// none of its tasks is left.
#[test]
fn stopped_across_a_change_of_leader() {
    for seed in 0..5 {
        let (mut sim, _) = simulation_in_state(seed, GangState::Checkpointing);
        let leader = sim.leader().expect("a leader");
        sim.restart_controller(leader, 4000);
        sim.run_until(sim.now + 100_000);
        assert_no_violation(&sim, &format!("seed {seed}"));
        assert_eq!((sim.jobs[GANG].last_status.as_str(), sim.gangs.aborted_checkpoints), ("done", 0), "seed {seed}");
    }
}

/// The leader crashes when two machines of a gang have received its stop command and the third has not. The successor
/// finds two tasks that write a checkpoint and must give the third one the time to do so as well, within `gang_peer_s`.
#[test]
fn a_stop_that_was_begun_by_an_earlier_leader_is_completed_in_time() {
    for seed in 0..4 {
        let mut sim = simulation_with_leader(seed);
        let long_running = [("Cores", json!(4.0)), ("RuntimeS", json!(60.0)), ("Loaners", json!(true))];
        let rare_slow_checkpoints = [("BookmarkS", json!(90.0)), ("StashS", json!(6.0))];
        sim.submit(GANG, &gang(&[&long_running[..], &rare_slow_checkpoints[..]].concat()));
        assert!(run_until_condition(&mut sim, 60_000, all_run), "seed {seed}");
        sim.run_until(sim.now + 8000);
        let noticed = sim.machine_running("job-000001/0").expect("a running task of the gang");
        let inbound_lost = sim.machine_running("job-000001/2").expect("a running task of the gang");
        sim.faults.inbound_lost.insert(inbound_lost);
        sim.send_reclaim_notice(noticed, 14);
        assert!(run_until_condition(&mut sim, 14_000, |s| s.checkpointing_tasks(GANG) == 2), "seed {seed}");
        let leader = sim.leader().expect("a leader");
        sim.restart_controller(leader, 6000);
        sim.faults.inbound_lost.remove(&inbound_lost);
        sim.run_until(sim.now + 9000);
        let saved = sim.gangs.saved_progress_ms.get(GANG).copied().unwrap_or(0);
        assert!(saved > 8000, "seed {seed}: checkpoint of {saved} ms of progress, expected more than 8,000 ms");
        sim.kill_machine(noticed);
        sim.run_until(sim.now + 150_000);
        assert_no_violation(&sim, &format!("seed {seed}"));
        assert_eq!((sim.jobs[GANG].last_status.as_str(), sim.gangs.aborted_checkpoints), ("done", 0), "seed {seed}");
    }
}

/// The leader crashes while a machine of the gang is unreachable for some seconds. Until that machine has responded,
/// the successor must not consider the gang incomplete, so that the gang keeps running.
#[test]
fn a_new_leader_waits_for_all_machines_before_it_judges_a_gang() {
    for seed in 0..5 {
        let mut sim = simulation_with_leader(seed);
        sim.submit(GANG, &gang(&[("Cores", json!(4.0)), ("RuntimeS", json!(30.0))]));
        assert!(run_until_condition(&mut sim, 60_000, all_run), "seed {seed}");
        let leader = sim.leader().expect("a leader");
        sim.restart_controller(leader, 8000);
        let machine = sim.machine_running("job-000001/1").expect("a running task of the gang");
        sim.partition_machine_for(machine, 4200);
        sim.run_until(sim.now + 60_000);
        assert_no_violation(&sim, &format!("seed {seed}"));
        assert_eq!((sim.jobs[GANG].last_status.as_str(), sim.gang_attempts(GANG)), ("done", 1), "seed {seed}");
    }
}

/// A machine hangs for less than its lease and cannot be released. The gang's other tasks detect this and end, but no
/// task of the next attempt may start, although machines are idle, before the task on the hanging machine has certainly
/// ended as well.
#[test]
fn nothing_starts_again_while_a_task_hangs() {
    for seed in 0..4 {
        let mut sim = simulation_with_leader(seed);
        // Provides idle machines that have the image.
        sim.submit("job-000009", &[("Pieces", json!(7)), ("RuntimeS", json!(1.0)), ("Cores", json!(4.0))]);
        sim.run_until(20_000);
        sim.submit(GANG, &gang(&[("Cores", json!(4.0)), ("RuntimeS", json!(30.0)), ("Together", json!(false))]));
        assert!(run_until_condition(&mut sim, 30_000, all_run), "seed {seed}");
        sim.run_until(sim.now + 1000);
        let machine = sim.machine_holding(GANG).expect("a running task of the gang");
        sim.cloud.unavailable = true;
        sim.hang_machine(machine, 14_500);
        sim.run_until(sim.now + 14_400);
        assert_no_violation(&sim, &format!("seed {seed}"));
        assert_eq!(sim.gang_attempts(GANG), 1, "seed {seed}");
        sim.run_until(sim.now + 20_000);
        sim.end_all_faults();
        sim.run_until(sim.now + 120_000);
        assert_no_violation(&sim, &format!("seed {seed}"));
        assert_eq!(sim.jobs[GANG].last_status, "done", "seed {seed}");
    }
}

/// Delayed duplicates of heartbeats and delayed and duplicate commands: no attempt is mistaken for another one.
#[test]
fn copies_and_repeats_of_an_earlier_attempt() {
    for seed in 0..6 {
        let mut sim = simulation_with_leader(seed);
        (sim.faults.duplicate_heartbeats, sim.faults.duplicate_requests) = ((60, 30_000), (60, 30_000));
        sim.submit(GANG, &gang(&[("Cores", json!(4.0)), ("RuntimeS", json!(30.0))]));
        for _ in 0..3 {
            assert!(run_until_condition(&mut sim, 90_000, all_run), "seed {seed}");
            sim.run_until(sim.now + 2500);
            let machine = sim.machine_holding(GANG).expect("a running task of the gang");
            sim.faults.commands_held.insert(machine);
            sim.partition_machine_for(machine, 18_000);
            sim.run_until(sim.now + 9000);
        }
        sim.end_all_faults();
        sim.run_until(sim.now + 150_000);
        assert_no_violation(&sim, &format!("seed {seed}"));
        assert_eq!(sim.jobs[GANG].last_status, "done", "seed {seed}");
    }
}

/// The zone of a gang at its team's limit is isolated and the leader changes: no task of the gang starts elsewhere
/// while the gang may still run.
#[test]
fn together_at_the_limit_with_the_zone_cut_off() {
    for seed in 0..5 {
        let mut sim = simulation_with_leader(seed);
        let limited =
            [("Crew", json!("small")), ("Cores", json!(1.0)), ("Pieces", json!(4)), ("RuntimeS", json!(60.0))];
        sim.submit(GANG, &gang(&limited));
        sim.submit("job-000002", &[("Crew", json!("small")), ("Cores", json!(1.0)), ("RuntimeS", json!(3.0))]);
        assert!(run_until_condition(&mut sim, 60_000, |s| s.running_tasks(GANG) == 4), "seed {seed}");
        let zone = sim.zone_of_machine(sim.machine_holding(GANG).expect("a running task of the gang"));
        let leader = sim.leader().expect("a leader");
        sim.isolate_zone(&zone, leader);
        sim.run_until(sim.now + 40_000);
        assert_no_violation(&sim, &format!("seed {seed}"));
        sim.heal_zone(&zone);
        sim.end_all_faults();
        sim.run_until(sim.now + 200_000);
        assert_no_violation(&sim, &format!("seed {seed}"));
        for id in [GANG, "job-000002"] {
            assert_eq!(sim.jobs[id].last_status, "done", "seed {seed}: {id}");
        }
    }
}

/// A gang that needs all machines of a zone starts although small jobs of the same priority keep arriving, and two such
/// gangs do not block each other by reserving capacity.
#[test]
fn large_gangs_are_not_starved_and_do_not_block_each_other() {
    let mut sim = simulation_with_leader(3);
    sim.cloud.capacity.values_mut().for_each(|left| *left = 4);
    let whole_zone = [("Cores", json!(4.0)), ("Pieces", json!(4)), ("RuntimeS", json!(5.0))];
    for n in 0..150 {
        if n == 20 {
            sim.submit(GANG, &gang(&whole_zone));
            sim.submit("job-000002", &gang(&whole_zone));
        }
        sim.submit(
            &format!("job-{:06}", 100 + n),
            &[("Pieces", json!(3)), ("Cores", json!(2.0)), ("RuntimeS", json!(4.0))],
        );
        sim.run_until(sim.now + 800);
    }
    sim.run_until(sim.now + 100_000);
    assert_no_violation(&sim, "large gangs among small jobs");
    for (id, job) in &sim.jobs {
        assert_eq!(job.last_status, "done", "{id}");
    }
    for id in [GANG, "job-000002"] {
        let waited = sim.jobs[id].first_task_started_at.expect("the gang has not begun") - sim.jobs[id].accepted_at;
        assert!(waited < 150_000, "{id} waited {waited} ms");
        assert_eq!(sim.gang_attempts(id), 1, "{id} was started before there was capacity for all of its tasks");
    }
}

/// A gang that fails on every machine is retried with backoff, and its failures do not quarantine machines that other
/// jobs use.
#[test]
fn a_failing_gang_is_retried_with_backoff_and_other_jobs_still_run() {
    let mut sim = simulation_with_leader(4);
    sim.tasks.failing_jobs.insert(GANG.into());
    sim.submit(GANG, &gang(&[]));
    for n in 0..40 {
        sim.submit(&format!("job-{:06}", 100 + n), &[("Pieces", json!(2)), ("RuntimeS", json!(3.0))]);
        sim.run_until(sim.now + 3000);
    }
    sim.run_until(sim.now + 30_000);
    assert_no_violation(&sim, "a failing gang");
    let done = sim.jobs.values().filter(|j| j.last_status == "done").count();
    assert_eq!(done, 40, "other jobs that are done");
    assert!((2..16).contains(&sim.gang_attempts(GANG)), "{} attempts in 150 s", sim.gang_attempts(GANG));
}
