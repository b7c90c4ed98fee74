//! Gangs: all tasks run at the same time or none does, in each of their states and across the troubles of the operators' page.
//! The rules are checked from outside, by what workers did and users were told.

mod support;

use serde_json::{Value, json};
use support::Simulation;

const GANG: &str = "job-000001";

/// The fields of a gang of three tasks that saves every two seconds.
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

/// A world whose controllers take gangs.
fn ready(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed);
    sim.run_until(8000);
    sim
}

/// Plays until a condition holds, for so long at most; whether it did.
fn until(sim: &mut Simulation, ms: u64, holds: impl Fn(&Simulation) -> bool) -> bool {
    let end = sim.now + ms;
    while sim.now < end && !holds(sim) {
        sim.run_until(sim.now + 5);
    }
    holds(sim)
}

fn gathers(sim: &Simulation) -> bool {
    !sim.machines_awaiting_gang(GANG).is_empty() && sim.running_tasks(GANG) == 0
}

fn runs(sim: &Simulation) -> bool {
    sim.running_tasks(GANG) == 3
}

fn kept(sim: &Simulation, story: &str) {
    assert!(sim.violations.is_empty(), "{story}: {:?}", sim.violations);
}

/// A state of a gang in which a trouble meets it.
#[derive(Debug, Clone, Copy, PartialEq)]
enum When {
    /// Its start is ordered, and nothing has its image yet.
    Ordered,
    /// A task waits for the others.
    Gathering,
    Running,
    /// A task saves because its machine will be taken back.
    Stopping,
}

const EACH: [When; 4] = [When::Ordered, When::Gathering, When::Running, When::Stopping];

/// A world whose gang is in this state, with a machine that holds one of its tasks.
fn world(seed: u64, when: When) -> (Simulation, u64) {
    let mut sim = ready(seed);
    // Tasks have their image at different moments.
    sim.tasks.fetch_jitter_ms = 2000;
    sim.submit(GANG, &gang(&[("Cores", json!(4.0)), ("Loaners", json!(when == When::Stopping))]));
    let reached = match when {
        When::Ordered => until(&mut sim, 60_000, |s| s.tasks_on_machines(GANG) > 0),
        When::Gathering => until(&mut sim, 60_000, gathers),
        When::Running => until(&mut sim, 60_000, runs),
        When::Stopping => {
            assert!(until(&mut sim, 60_000, runs), "seed {seed}: it runs");
            sim.run_until(sim.now + 3000);
            let machine = sim.machine_running("job-000001/0").expect("it runs");
            sim.send_reclaim_notice(machine, 4);
            until(&mut sim, 8000, |s| s.checkpointing_tasks(GANG) > 0)
        }
    };
    assert!(reached, "seed {seed} {when:?}");
    let machine = sim.machine_holding(GANG).expect("a machine holds a task of it");
    (sim, machine)
}

#[test]
fn a_gang_runs_as_a_whole_and_is_done_as_a_whole() {
    let mut sim = ready(1);
    sim.submit(GANG, &gang(&[]));
    let mut told_running = false;
    while sim.now < 80_000 && sim.jobs[GANG].last_status != "done" {
        sim.run_until(sim.now + 20);
        assert!(matches!(sim.running_tasks(GANG), 0 | 3), "some run and some do not");
        told_running |= sim.jobs[GANG].last_status == "running";
    }
    kept(&sim, "a quiet day");
    assert_eq!((sim.jobs[GANG].last_status.as_str(), told_running), ("done", true));
    assert_eq!(sim.gang_attempts(GANG), 1, "one attempt was enough");
}

#[test]
fn what_a_gang_needs_in_all_is_checked_at_once() {
    let mut sim = ready(2);
    sim.submit("job-000002", &gang(&[("Crew", json!("small")), ("Cores", json!(2.0))]));
    sim.submit("job-000003", &gang(&[("Crew", json!("small")), ("Cores", json!(1.0))]));
    sim.submit("job-000004", &gang(&[("Yard", json!("nowhere"))]));
    sim.submit("job-000005", &gang(&[("Spread", json!(true))]));
    sim.run_until(70_000);
    let status = |id: &str| sim.jobs[id].submit_status;
    assert_eq!(status("job-000002"), 422, "three times two cores are more than the team's four");
    assert_eq!((status("job-000004"), status("job-000005")), (422, 422));
    assert_eq!(sim.jobs["job-000003"].last_status, "done");
    kept(&sim, "limits");
}

/// A cancellation falls into each state, alone and right before or after the leader ends.
#[test]
fn cancelled_in_each_state_across_a_change_of_leader() {
    for (seed, when) in EACH.into_iter().enumerate() {
        for leader_ends in [None, Some(0), Some(40), Some(300)] {
            let story = format!("{when:?}, leader ends {leader_ends:?}");
            let (mut sim, _) = world(seed as u64, when);
            sim.cancel(GANG);
            if let Some(ms) = leader_ends {
                sim.run_until(sim.now + ms);
                let leader = sim.leader().expect("somebody leads");
                sim.restart_controller(leader, 3000);
            }
            sim.run_until(sim.now + 60_000);
            kept(&sim, &story);
            assert_eq!(sim.jobs[GANG].last_status, "aborted", "{story}");
            assert_eq!(sim.tasks_on_machines(GANG), 0, "{story}");
        }
    }
}

/// What becomes of the machine.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Trouble {
    Lost,
    Hangs,
    HearsNothing,
    Unheard,
    CutOff,
    ForgetsForAMoment,
    LeaderEnds,
    AllEnd,
}

/// Each trouble meets each state; when it is over the gang is run to its end, and no two attempts were mixed.
#[test]
fn a_machine_or_leader_in_trouble_in_each_state() {
    use Trouble::*;
    for (n, when) in EACH.into_iter().enumerate() {
        for (m, trouble) in
            [Lost, Hangs, HearsNothing, Unheard, CutOff, ForgetsForAMoment, LeaderEnds, AllEnd].into_iter().enumerate()
        {
            let story = format!("{when:?} {trouble:?}");
            let (mut sim, machine) = world((10 * n + m) as u64, when);
            match trouble {
                Lost => sim.kill_machine(machine),
                Hangs => sim.hang_machine(machine, 11_000),
                HearsNothing => drop(sim.faults.inbound_lost.insert(machine)),
                Unheard => drop(sim.faults.outbound_lost.insert(machine)),
                CutOff => sim.partition_machine(machine),
                ForgetsForAMoment => sim.partition_machine_for(machine, 400),
                LeaderEnds => {
                    let leader = sim.leader().expect("somebody leads");
                    sim.restart_controller(leader, 5000);
                }
                AllEnd => (0..3).for_each(|node| sim.restart_controller(node, 4000)),
            }
            sim.run_until(sim.now + 30_000);
            sim.end_all_faults();
            sim.run_until(sim.now + 120_000);
            kept(&sim, &story);
            assert_eq!(sim.jobs[GANG].last_status, "done", "{story}");
            assert_eq!(
                sim.gangs.incomplete_tasks, 0,
                "{story}: a gang that cannot be complete is stopped before its workers give up"
            );
        }
    }
}

/// A waiting task that is lost with its machine is started again under the number of the others, which wait on.
#[test]
fn a_lost_waiting_task_is_replaced_under_the_same_attempt() {
    let mut replaced = 0;
    for seed in 0..6 {
        let mut sim = ready(seed);
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
        let partly = |sim: &Simulation| {
            gathers(sim) && sim.tasks_on_machines(GANG) == 3 && sim.machines_awaiting_gang(GANG).len() < 3
        };
        assert!(until(&mut sim, 40_000, partly), "seed {seed}");
        let waits = sim.machines_awaiting_gang(GANG);
        let machine = sim.machine_holding_except(GANG, &waits).expect("another machine still fetches");
        sim.kill_machine(machine);
        sim.run_until(sim.now + 120_000);
        kept(&sim, &format!("seed {seed}"));
        assert_eq!(sim.jobs[GANG].last_status, "done", "seed {seed}");
        replaced += u64::from(sim.gang_attempts(GANG) == 1);
    }
    assert!(replaced >= 4, "{replaced} of 6 gangs were completed by a replacement");
}

/// A machine that is taken back stops the whole gang in time: nothing that was done before is lost.
#[test]
fn a_notice_saves_the_whole_gang() {
    for seed in 0..5 {
        let mut sim = ready(seed);
        sim.submit(GANG, &gang(&[("Cores", json!(4.0)), ("Loaners", json!(true)), ("RuntimeS", json!(40.0))]));
        assert!(until(&mut sim, 60_000, runs), "seed {seed}");
        sim.run_until(sim.now + 7100);
        let machine = sim.machine_running("job-000001/1").expect("it runs");
        sim.send_reclaim_notice(machine, 6);
        sim.run_until(sim.now + 8000);
        let saved = sim.gangs.saved_progress_ms.get(GANG).copied().unwrap_or(0);
        assert!(saved > 7000, "seed {seed}: {saved} ms of more than 7,000 were saved");
        sim.kill_machine(machine);
        sim.run_until(sim.now + 100_000);
        kept(&sim, &format!("seed {seed}"));
        assert_eq!((sim.jobs[GANG].last_status.as_str(), sim.gangs.aborted_checkpoints), ("done", 0), "seed {seed}");
    }
}

/// The leader ends while a gang saves: the next one leaves it the time and starts it again only when nothing of it is left.
#[test]
fn stopped_across_a_change_of_leader() {
    for seed in 0..5 {
        let (mut sim, _) = world(seed, When::Stopping);
        let leader = sim.leader().expect("somebody leads");
        sim.restart_controller(leader, 4000);
        sim.run_until(sim.now + 100_000);
        kept(&sim, &format!("seed {seed}"));
        assert_eq!((sim.jobs[GANG].last_status.as_str(), sim.gangs.aborted_checkpoints), ("done", 0), "seed {seed}");
    }
}

/// The leader ends when it has told two machines of a gang to stop and the third has not heard it. The next one finds two tasks that save, and
/// gives the third one the time to save as well, within `gang_peer_s`.
#[test]
fn a_stop_that_was_begun_by_an_earlier_leader_is_completed_in_time() {
    for seed in 0..4 {
        let mut sim = ready(seed);
        let slow_to_save = [("Cores", json!(4.0)), ("RuntimeS", json!(60.0)), ("Loaners", json!(true))];
        let never_by_itself = [("BookmarkS", json!(90.0)), ("StashS", json!(6.0))];
        sim.submit(GANG, &gang(&[&slow_to_save[..], &never_by_itself[..]].concat()));
        assert!(until(&mut sim, 60_000, runs), "seed {seed}");
        sim.run_until(sim.now + 8000);
        let noticed = sim.machine_running("job-000001/0").expect("it runs");
        let inbound_lost = sim.machine_running("job-000001/2").expect("it runs");
        sim.faults.inbound_lost.insert(inbound_lost);
        sim.send_reclaim_notice(noticed, 14);
        assert!(until(&mut sim, 14_000, |s| s.checkpointing_tasks(GANG) == 2), "seed {seed}");
        let leader = sim.leader().expect("somebody leads");
        sim.restart_controller(leader, 6000);
        sim.faults.inbound_lost.remove(&inbound_lost);
        sim.run_until(sim.now + 9000);
        let saved = sim.gangs.saved_progress_ms.get(GANG).copied().unwrap_or(0);
        assert!(saved > 8000, "seed {seed}: {saved} ms of more than 8,000 were saved");
        sim.kill_machine(noticed);
        sim.run_until(sim.now + 150_000);
        kept(&sim, &format!("seed {seed}"));
        assert_eq!((sim.jobs[GANG].last_status.as_str(), sim.gangs.aborted_checkpoints), ("done", 0), "seed {seed}");
    }
}

/// The leader ends while a machine of the gang is out of reach for some seconds: until that machine has answered, the next leader does not
/// take the gang for incomplete, and it runs on.
#[test]
fn a_new_leader_waits_for_all_machines_before_it_judges_a_gang() {
    for seed in 0..5 {
        let mut sim = ready(seed);
        sim.submit(GANG, &gang(&[("Cores", json!(4.0)), ("RuntimeS", json!(30.0))]));
        assert!(until(&mut sim, 60_000, runs), "seed {seed}");
        let leader = sim.leader().expect("somebody leads");
        sim.restart_controller(leader, 8000);
        let machine = sim.machine_running("job-000001/1").expect("it runs");
        sim.partition_machine_for(machine, 4200);
        sim.run_until(sim.now + 60_000);
        kept(&sim, &format!("seed {seed}"));
        assert_eq!((sim.jobs[GANG].last_status.as_str(), sim.gang_attempts(GANG)), ("done", 1), "seed {seed}");
    }
}

/// A machine hangs within its lease and cannot be given back: the gang's other tasks notice and are over, and nothing of the next attempt
/// starts, although there are idle machines, until the one that hangs is surely over as well.
#[test]
fn nothing_starts_again_while_a_task_hangs() {
    for seed in 0..4 {
        let mut sim = ready(seed);
        // Idle machines with the image.
        sim.submit("job-000009", &[("Pieces", json!(7)), ("RuntimeS", json!(1.0)), ("Cores", json!(4.0))]);
        sim.run_until(20_000);
        sim.submit(GANG, &gang(&[("Cores", json!(4.0)), ("RuntimeS", json!(30.0)), ("Together", json!(false))]));
        assert!(until(&mut sim, 30_000, runs), "seed {seed}");
        sim.run_until(sim.now + 1000);
        let machine = sim.machine_holding(GANG).expect("it runs");
        sim.cloud.unavailable = true;
        sim.hang_machine(machine, 14_500);
        sim.run_until(sim.now + 14_400);
        kept(&sim, &format!("seed {seed}"));
        assert_eq!(sim.gang_attempts(GANG), 1, "seed {seed}");
        sim.run_until(sim.now + 20_000);
        sim.end_all_faults();
        sim.run_until(sim.now + 120_000);
        kept(&sim, &format!("seed {seed}"));
        assert_eq!(sim.jobs[GANG].last_status, "done", "seed {seed}");
    }
}

/// Late copies of reports, delayed and repeated commands: no attempt is taken for another one.
#[test]
fn copies_and_repeats_of_an_earlier_attempt() {
    for seed in 0..6 {
        let mut sim = ready(seed);
        (sim.faults.duplicate_heartbeats, sim.faults.duplicate_requests) = ((60, 30_000), (60, 30_000));
        sim.submit(GANG, &gang(&[("Cores", json!(4.0)), ("RuntimeS", json!(30.0))]));
        for _ in 0..3 {
            assert!(until(&mut sim, 90_000, runs), "seed {seed}");
            sim.run_until(sim.now + 2500);
            let machine = sim.machine_holding(GANG).expect("it runs");
            sim.faults.commands_held.insert(machine);
            sim.partition_machine_for(machine, 18_000);
            sim.run_until(sim.now + 9000);
        }
        sim.end_all_faults();
        sim.run_until(sim.now + 150_000);
        kept(&sim, &format!("seed {seed}"));
        assert_eq!(sim.jobs[GANG].last_status, "done", "seed {seed}");
    }
}

/// A gang at its team's limit, whose zone is cut off and whose leader changes: nothing of it starts elsewhere while it may still run.
#[test]
fn together_at_the_limit_with_the_zone_cut_off() {
    for seed in 0..5 {
        let mut sim = ready(seed);
        let limited =
            [("Crew", json!("small")), ("Cores", json!(1.0)), ("Pieces", json!(4)), ("RuntimeS", json!(60.0))];
        sim.submit(GANG, &gang(&limited));
        sim.submit("job-000002", &[("Crew", json!("small")), ("Cores", json!(1.0)), ("RuntimeS", json!(3.0))]);
        assert!(until(&mut sim, 60_000, |s| s.running_tasks(GANG) == 4), "seed {seed}");
        let zone = sim.zone_of_machine(sim.machine_holding(GANG).expect("it runs"));
        let leader = sim.leader().expect("somebody leads");
        sim.isolate_zone(&zone, leader);
        sim.run_until(sim.now + 40_000);
        kept(&sim, &format!("seed {seed}"));
        sim.heal_zone(&zone);
        sim.end_all_faults();
        sim.run_until(sim.now + 200_000);
        kept(&sim, &format!("seed {seed}"));
        for id in [GANG, "job-000002"] {
            assert_eq!(sim.jobs[id].last_status, "done", "seed {seed}: {id}");
        }
    }
}

/// A gang that fills the machines of a zone begins although small jobs of the same rank keep coming, and two such gangs do not hold
/// room against each other.
#[test]
fn large_gangs_are_not_starved_and_do_not_block_each_other() {
    let mut sim = ready(3);
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
    kept(&sim, "crowded");
    for (id, job) in &sim.jobs {
        assert_eq!(job.last_status, "done", "{id}");
    }
    for id in [GANG, "job-000002"] {
        let waited = sim.jobs[id].first_task_started_at.expect("it began") - sim.jobs[id].accepted_at;
        assert!(waited < 150_000, "{id} waited {waited} ms");
        assert_eq!(sim.gang_attempts(id), 1, "{id} began before all of it had room");
    }
}

/// A gang that fails on every machine is tried less and less often, and the machines go on serving others.
#[test]
fn a_gang_that_always_fails_does_not_wear_out_the_machines() {
    let mut sim = ready(4);
    sim.tasks.failing_jobs.insert(GANG.into());
    sim.submit(GANG, &gang(&[]));
    for n in 0..40 {
        sim.submit(&format!("job-{:06}", 100 + n), &[("Pieces", json!(2)), ("RuntimeS", json!(3.0))]);
        sim.run_until(sim.now + 3000);
    }
    sim.run_until(sim.now + 30_000);
    kept(&sim, "a faulty gang");
    let done = sim.jobs.values().filter(|j| j.last_status == "done").count();
    assert_eq!(done, 40, "all others");
    assert!((2..16).contains(&sim.gang_attempts(GANG)), "{} attempts in 150 s", sim.gang_attempts(GANG));
}
