//! Drains in simulated time: disruption budgets hold under every fault, and every machine that can be emptied is
//! emptied.

mod support;

use serde_json::{Value, json};
use support::{Simulation, Site};

/// At most two replicas of `web` may be unavailable at a time.
const MAX_TWO_UNAVAILABLE: &str =
    "[drains]\nenabled = yes\nmax_machines = 50%\n[budget crew/web]\nmax_unavailable = 2\n";

fn service(replicas: u64) -> Vec<(&'static str, Value)> {
    vec![
        ("Lane", json!("web")),
        ("Shape", json!("standing")),
        ("Rank", json!("prod")),
        ("RuntimeS", json!(0)),
        ("Pieces", json!(replicas)),
        ("Cores", json!(1.0)),
    ]
}

fn batch(tasks: u64, seconds: f64) -> Vec<(&'static str, Value)> {
    vec![("Lane", json!("render")), ("Pieces", json!(tasks)), ("Cores", json!(1.0)), ("RuntimeS", json!(seconds))]
}

/// A simulation with services of twelve replicas in all, each of which runs.
fn simulation_with_services(seed: u64, operators: &'static str) -> Simulation {
    let mut sim = Simulation::with_site(Site { operators, ..Site::small() }, seed);
    sim.disruption.limits.insert("web".into(), 2);
    for n in 0..4 {
        sim.submit(&format!("job-{n:06}"), &service(3));
    }
    sim.run_until(40_000);
    assert_all_services_run(&sim);
    sim
}

fn assert_all_services_run(sim: &Simulation) {
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    for n in 0..4 {
        assert_eq!(sim.running_tasks(&format!("job-{n:06}")), 3, "replicas of job {n}");
    }
}

/// Every machine is replaced, and no more replicas are unavailable at a time than the budget allows.
#[test]
fn a_fleet_is_replaced_within_the_budget() {
    let mut sim = simulation_with_services(1, MAX_TWO_UNAVAILABLE);
    let before: Vec<u64> = sim.workers.keys().copied().collect();
    sim.start_drain("all", json!({}), "replace");
    assert!(sim.run_until_drain_phase("all", "done", 300_000), "{:?}", sim.drain_status("all"));
    assert!(before.iter().all(|id| !sim.workers.contains_key(id)), "machines from before the drain are left");
    assert!(sim.disruption.evictions["web"] >= 12);
    assert_eq!(sim.disruption.peak_unavailable["web"], 2, "the drain does not use the whole budget");
    sim.run_until(sim.now + 10_000);
    assert_all_services_run(&sim);
}

/// Machines that run replicas of the services at this moment.
fn machines_with_replicas(sim: &Simulation) -> Vec<u64> {
    let replicas = (0..4).flat_map(|job| (0..3).map(move |index| format!("job-{job:06}/{index}")));
    let mut machines: Vec<u64> = replicas.filter_map(|task| sim.machine_running(&task)).collect();
    machines.sort_unstable();
    machines.dedup();
    machines
}

fn waits_for(sim: &Simulation, name: &str) -> String {
    sim.drain_status(name).map(|status| status["waits_for"].to_string()).unwrap_or_default()
}

fn refusal(sim: &Simulation, name: &str) -> String {
    let status = sim.drain_status(name).unwrap_or_default();
    assert_eq!(status["phase"], "refused", "{status}");
    status["refusal"].as_str().unwrap_or_default().to_string()
}

/// The leader crashes at any moment between the charge to the budget, the stop command and the worker's response: its
/// successor must take over every charge.
#[test]
fn leaders_end_at_each_step() {
    for offset in (0..6000).step_by(150) {
        let mut sim = simulation_with_services(2, MAX_TWO_UNAVAILABLE);
        sim.start_drain("all", json!({}), "replace");
        // The first replacement machines have booted some eight seconds later; from then on charges and commands
        // alternate.
        for round in 0..4 {
            sim.run_until(sim.now + 7000 + offset + round * 40);
            let leader = sim.leader();
            leader.into_iter().for_each(|node| sim.restart_controller(node, 300));
        }
        assert!(sim.run_until_drain_phase("all", "done", 400_000), "offset {offset}: {:?}", sim.drain_status("all"));
        sim.run_until(sim.now + 15_000);
        assert_all_services_run(&sim);
    }
}

/// The state service becomes unavailable during a drain, and the leader crashes during the outage.
#[test]
fn the_state_service_is_away_in_mid_drain() {
    for offset in (0..5000).step_by(500) {
        let mut sim = simulation_with_services(3, MAX_TWO_UNAVAILABLE);
        sim.start_drain("all", json!({}), "replace");
        sim.run_until(sim.now + 9000 + offset);
        sim.store.down = true;
        sim.run_until(sim.now + 4000);
        let leader = sim.leader();
        leader.into_iter().for_each(|node| sim.restart_controller(node, 500));
        sim.run_until(sim.now + 20_000);
        sim.store.down = false;
        assert!(sim.run_until_drain_phase("all", "done", 400_000), "offset {offset}: {:?}", sim.drain_status("all"));
        sim.run_until(sim.now + 15_000);
        assert_all_services_run(&sim);
    }
}

/// Transactions are committed late, after newer ones of the same leader: an older record of charges must never replace
/// a newer one.
#[test]
fn transactions_are_carried_out_late_and_answers_are_lost() {
    for (seed, committed_at_once) in (10..22).zip([false, true].into_iter().cycle()) {
        let mut sim = simulation_with_services(seed, MAX_TWO_UNAVAILABLE);
        sim.faults.writes_without_response = (30, committed_at_once);
        sim.start_drain("all", json!({}), "replace");
        for _ in 0..5 {
            sim.run_until(sim.now + 11_000);
            let leader = sim.leader();
            leader.into_iter().for_each(|node| sim.restart_controller(node, 400));
        }
        sim.faults.writes_without_response = (0, false);
        assert!(sim.run_until_drain_phase("all", "done", 500_000), "seed {seed}: {:?}", sim.drain_status("all"));
        sim.run_until(sim.now + 15_000);
        assert_all_services_run(&sim);
    }
}

/// A new leader does not know how many replicas are unavailable until every machine has sent a heartbeat: it must evict
/// nothing before.
#[test]
fn a_new_leader_that_misses_a_machine_evicts_nothing() {
    let mut sim = simulation_with_services(4, MAX_TWO_UNAVAILABLE);
    let occupied = machines_with_replicas(&sim);
    sim.start_drain("all", json!({}), "replace");
    sim.run_until(sim.now + 9000);
    let silent = *occupied.last().expect("a machine");
    sim.partition_machine(silent);
    let leader = sim.leader().expect("a leader");
    sim.crash_controller(leader);
    while sim.leader().is_none() {
        sim.run_until(sim.now + 50);
    }
    // After this time no stop command of the former leader can still arrive.
    sim.run_until(sim.now + 1500);
    let before = sim.disruption.evictions.get("web").copied().unwrap_or(0);
    while !sim.all_machines_fenced() {
        assert_eq!(
            sim.disruption.evictions.get("web").copied().unwrap_or(0),
            before,
            "evicted although a machine is unreachable"
        );
        sim.run_until(sim.now + 50);
    }
    sim.heal_machine(silent);
    sim.start_controller(leader);
    assert!(sim.run_until_drain_phase("all", "done", 400_000), "{:?}", sim.drain_status("all"));
    sim.run_until(sim.now + 15_000);
    assert_all_services_run(&sim);
}

/// The budget is lowered while more replicas are unavailable than it now allows: nothing more is evicted until enough
/// of them run again.
#[test]
fn the_budget_is_lowered_in_mid_drain() {
    const MAX_NONE_UNAVAILABLE: &str =
        "[drains]\nenabled = yes\nmax_machines = 50%\n[budget crew/web]\nmax_unavailable = 0\n";
    const MAX_ONE_UNAVAILABLE: &str =
        "[drains]\nenabled = yes\nmax_machines = 50%\n[budget crew/web]\nmax_unavailable = 1\n";
    let mut sim = simulation_with_services(5, MAX_TWO_UNAVAILABLE);
    sim.start_drain("all", json!({}), "replace");
    while sim.disruption.evictions.get("web").copied().unwrap_or(0) < 2 {
        sim.run_until(sim.now + 20);
    }
    sim.set_disruption_policy(MAX_NONE_UNAVAILABLE);
    // Commands that are already in flight are executed.
    sim.run_until(sim.now + 4000);
    let before = sim.disruption.evictions["web"];
    sim.run_until(sim.now + 30_000);
    assert_eq!(sim.disruption.evictions["web"], before, "evicted although the budget is 0");
    assert!(waits_for(&sim, "all").contains("the budget of crew/web is 0"), "{}", waits_for(&sim, "all"));
    sim.set_disruption_policy(MAX_ONE_UNAVAILABLE);
    sim.run_until(sim.now + 1000);
    sim.disruption.limits.insert("web".into(), 1);
    assert!(sim.run_until_drain_phase("all", "done", 400_000), "{:?}", sim.drain_status("all"));
    sim.run_until(sim.now + 10_000);
    assert_all_services_run(&sim);
}

/// A long batch task blocks the drain of its machine: the other machines are emptied meanwhile, the status names the
/// task, and the task is evicted after `batch_wait_s`.
#[test]
fn a_long_batch_task_delays_only_its_own_machine_until_batch_wait_s() {
    const EVICT_BATCH_AFTER_90_S: &str = "[drains]\nenabled = yes\nmax_machines = 1\n[budget crew/web]\nmax_unavailable = 2\n\
        [budget crew/render]\nmax_unavailable = 1\nbatch_wait_s = 90\nevict_batch = always\n";
    let mut sim = simulation_with_services(6, EVICT_BATCH_AFTER_90_S);
    sim.submit("job-000050", &batch(2, 900.0));
    sim.run_until(sim.now + 20_000);
    let batch_machines: Vec<u64> = (0..2).filter_map(|n| sim.machine_running(&format!("job-000050/{n}"))).collect();
    let before: Vec<u64> = sim.workers.keys().copied().collect();
    sim.start_drain("all", json!({}), "replace");
    let begun = sim.now;
    sim.run_until(begun + 80_000);
    let left: Vec<&u64> = before.iter().filter(|id| sim.workers.contains_key(id)).collect();
    assert!(
        left.iter().all(|id| batch_machines.contains(id)),
        "{left:?} are left, not only {batch_machines:?}, {:?}",
        sim.drain_status("all")
    );
    let reasons = waits_for(&sim, "all");
    assert!(reasons.contains("of crew/render on m-") && reasons.contains("ends within"), "{reasons}");
    assert!(sim.run_until_drain_phase("all", "done", begun + 240_000), "{:?}", sim.drain_status("all"));
    sim.run_until(sim.now + 20_000);
    assert_eq!(sim.running_tasks("job-000050"), 2, "the evicted batch tasks do not run elsewhere");
    assert_all_services_run(&sim);
}

/// A drain that a long batch task blocks does not block another drain, even where only one machine may be emptied at a
/// time.
#[test]
fn a_drain_that_is_held_up_does_not_hold_others_up() {
    const ONE_MACHINE: &str = "[drains]\nenabled = yes\nmax_machines = 1\n[budget crew/web]\nmax_unavailable = 2\n\
        [budget crew/render]\nevict_batch = never\n";
    let mut sim = simulation_with_services(24, ONE_MACHINE);
    sim.submit("job-000050", &batch(1, 900.0));
    sim.run_until(sim.now + 20_000);
    let slow = sim.machine_running("job-000050/0").expect("the batch task does not run");
    let others: Vec<u64> =
        machines_with_replicas(&sim).into_iter().filter(|machine| *machine != slow).take(2).collect();
    sim.start_drain_of_machines("slow", &[slow]);
    sim.run_until(sim.now + 20_000);
    assert_eq!(sim.draining_machines(), [slow]);
    sim.start_drain_of_machines("others", &others);
    assert!(sim.run_until_drain_phase("others", "done", sim.now + 90_000), "{:?}", sim.drain_status("others"));
    assert_eq!(sim.drain_phase("slow"), "running");
    assert!(waits_for(&sim, "slow").contains("job-000050/0 of crew/render"), "{}", waits_for(&sim, "slow"));
    sim.run_until(sim.now + 15_000);
    assert_all_services_run(&sim);
}

/// Batch tasks of a class with `evict_batch = never` run to their end, although `batch_wait_s` is over.
#[test]
fn batch_tasks_are_not_evicted_if_evict_batch_is_never() {
    const NEVER_EVICT_BATCH: &str =
        "[drains]\nenabled = yes\n[budget crew/render]\nbatch_wait_s = 5\nevict_batch = never\n";
    let mut sim = Simulation::with_site(Site { operators: NEVER_EVICT_BATCH, ..Site::small() }, 7);
    sim.submit("job-000050", &batch(4, 120.0));
    sim.run_until(20_000);
    sim.start_drain("all", json!({}), "remove");
    assert!(sim.run_until_drain_phase("all", "done", 300_000), "{:?}", sim.drain_status("all"));
    assert_eq!(sim.jobs["job-000050"].last_status, "done");
    let starts: usize = (0..4).map(|n| sim.tasks.starts[&format!("job-000050/{n}")].len()).sum();
    assert_eq!(starts, 4, "a task was started twice");
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
}

/// Two drains, overlapping or not, in either order, share one budget: neither starves, and both replace all of their
/// machines.
#[test]
fn two_drains_share_the_budget() {
    for (first, second) in [("zone-a", "all"), ("all", "zone-a"), ("zone-a", "zone-b"), ("zone-b", "zone-a")] {
        let mut sim = simulation_with_services(8, MAX_TWO_UNAVAILABLE);
        let before: Vec<u64> = sim.workers.keys().copied().collect();
        let filter = |name: &str| name.strip_prefix("zone-").map_or(json!({}), |zone| json!({"zone": zone}));
        sim.start_drain(first, filter(first), "replace");
        sim.run_until(sim.now + 14_000);
        sim.start_drain(second, filter(second), "replace");
        for name in [first, second] {
            assert!(sim.run_until_drain_phase(name, "done", 500_000), "{first} {second}: {:?}", sim.drain_status(name));
        }
        let both = [first, second].contains(&"all") || first != second;
        assert!(both && before.iter().all(|id| !sim.workers.contains_key(id)), "{first}, {second}: machines are left");
        sim.run_until(sim.now + 15_000);
        assert_all_services_run(&sim);
    }
}

/// After a drain is cancelled its machines accept tasks again, and replicas that were moved are not moved back.
#[test]
fn a_drain_is_paused_resumed_and_cancelled() {
    let mut sim = simulation_with_services(9, MAX_TWO_UNAVAILABLE);
    sim.start_drain("all", json!({}), "replace");
    while sim.disruption.evictions.get("web").copied().unwrap_or(0) < 3 {
        sim.run_until(sim.now + 50);
    }
    sim.change_drain("all", "pause");
    assert!(sim.run_until_drain_phase("all", "paused", sim.now + 10_000));
    sim.run_until(sim.now + 5000);
    let before = sim.disruption.evictions["web"];
    sim.run_until(sim.now + 20_000);
    assert_eq!(sim.disruption.evictions["web"], before, "evicted while the drain is paused");
    sim.change_drain("all", "run");
    while sim.disruption.evictions["web"] < before + 2 {
        sim.run_until(sim.now + 50);
    }
    sim.change_drain("all", "cancel");
    assert!(sim.run_until_drain_phase("all", "cancelled", sim.now + 10_000));
    sim.run_until(sim.now + 20_000);
    let (moved, left) = (sim.disruption.evictions["web"], machines_with_replicas(&sim));
    assert!(sim.draining_machines().is_empty(), "{:?}", sim.draining_machines());
    assert_all_services_run(&sim);
    // The machines accept tasks again: no machine is provisioned for a service that fits on them.
    sim.submit("job-000060", &[service(2), vec![("Lane", json!("other"))]].concat());
    sim.run_until(sim.now + 30_000);
    assert_eq!(sim.running_tasks("job-000060"), 2);
    assert_eq!(
        (sim.disruption.evictions["web"], machines_with_replicas(&sim)),
        (moved, left),
        "replicas were moved after the drain was cancelled"
    );
}

/// Deleting the request's key from the state service cancels the drain, under this leader and its successor.
#[test]
fn deleting_the_request_key_cancels_the_drain() {
    let mut sim = simulation_with_services(23, MAX_TWO_UNAVAILABLE);
    sim.start_drain("all", json!({}), "replace");
    while sim.disruption.evictions.get("web").copied().unwrap_or(0) < 3 {
        sim.run_until(sim.now + 50);
    }
    sim.store.keys.remove("drain/request/all");
    sim.run_until(sim.now + 8000);
    assert_eq!(sim.drain_phase("all"), "cancelled");
    let leader = sim.leader().expect("a leader");
    sim.restart_controller(leader, 300);
    sim.run_until(sim.now + 10_000);
    let before = sim.disruption.evictions["web"];
    sim.run_until(sim.now + 20_000);
    assert_eq!((sim.disruption.evictions["web"], sim.draining_machines()), (before, Vec::new()));
    assert!(sim.drain_status("all").is_none(), "the status is stored although the request was deleted");
    assert_all_services_run(&sim);
}

/// Requests that can never be carried out are refused at once, and the status gives the reason.
#[test]
fn requests_that_cannot_be_carried_out_are_refused() {
    const MAX_NONE_UNAVAILABLE: &str = "[drains]\nenabled = yes\n[budget crew/web]\nmax_unavailable = 5%\n";
    let mut sim = simulation_with_services(11, MAX_NONE_UNAVAILABLE);
    let existing = *sim.workers.keys().next().expect("a machine");
    sim.start_drain("none", json!({}), "remove");
    sim.start_drain("nowhere", json!({"zone": "nowhere"}), "remove");
    sim.start_drain_of_machines("gone", &[999_999]);
    assert_eq!(sim.write_drain_request("Bad Name".replace(' ', "_").as_str(), &json!({"mode": 1}), 0), 200);
    sim.run_until(sim.now + 8000);
    assert!(refusal(&sim, "none").contains("crew/web, whose budget of 5% is none of 12"), "{}", refusal(&sim, "none"));
    assert_eq!(refusal(&sim, "nowhere"), "no machine matches");
    assert_eq!(refusal(&sim, "gone"), "none of these machines is there: m-999999");
    assert!(refusal(&sim, "Bad_Name").contains("cannot be read"));
    // A second request under the same name fails, and the status of one for a machine in another drain notes that.
    let again = json!({"selector": {"machines": [existing]}, "mode": "remove", "wanted": "run"});
    assert_eq!(sim.write_drain_request("none", &again, 0), 409);
    sim.set_disruption_policy(MAX_TWO_UNAVAILABLE);
    sim.start_drain("first", json!({}), "remove");
    sim.run_until(sim.now + 4000);
    sim.start_drain_of_machines("second", &[existing, 999_999]);
    sim.run_until(sim.now + 5000);
    let notes = sim.drain_status("second").expect("a status")["notes"].to_string();
    assert!(notes.contains("gone already: m-999999") && notes.contains("in drain first already"), "{notes}");
}

/// Replicas that fit on no other machine: the drain requests new machines for them and empties the old ones when these
/// are up.
#[test]
fn machines_are_provisioned_for_replicas_that_fit_nowhere_else() {
    let mut sim = simulation_with_services(12, MAX_TWO_UNAVAILABLE);
    let drained = machines_with_replicas(&sim);
    sim.start_drain_of_machines("some", &drained);
    assert!(sim.run_until_drain_phase("some", "done", 300_000), "{:?}", sim.drain_status("some"));
    assert!(drained.iter().all(|id| !sim.workers.contains_key(id)));
    sim.run_until(sim.now + 15_000);
    assert_all_services_run(&sim);
}

/// While a zone is unreachable its replicas count as unavailable, so that drains evict nothing; afterwards they
/// continue.
#[test]
fn nothing_is_evicted_while_a_zone_is_unreachable() {
    let mut sim = simulation_with_services(13, MAX_TWO_UNAVAILABLE);
    // More machines per zone, so that an unreachable zone can be distinguished from a silent machine.
    for zone in ["a", "b"] {
        sim.cloud.capacity.insert((zone.into(), false), 20);
    }
    for n in 70..78 {
        sim.submit(
            &format!("job-{n:06}"),
            &[service(1), vec![("Lane", json!("other")), ("Cores", json!(4.0))]].concat(),
        );
    }
    sim.run_until(sim.now + 40_000);
    sim.start_drain("all", json!({}), "replace");
    sim.run_until(sim.now + 9000);
    sim.partition_zone("b");
    sim.run_until(sim.now + 8000);
    let before = sim.disruption.evictions.get("web").copied().unwrap_or(0);
    sim.run_until(sim.now + 6000);
    assert_eq!(
        sim.disruption.evictions.get("web").copied().unwrap_or(0),
        before,
        "evicted while a zone is unreachable"
    );
    sim.heal_zone("b");
    assert!(sim.run_until_drain_phase("all", "done", 500_000), "{:?}", sim.drain_status("all"));
    sim.run_until(sim.now + 20_000);
    assert_all_services_run(&sim);
}

/// Machines receive nothing, crash, hang, or have delayed duplicates of heartbeats during a drain: the drain must still
/// complete within its budget.
#[test]
fn machines_in_trouble_in_mid_drain() {
    for fault in 0..5 {
        let mut sim = simulation_with_services(14, MAX_TWO_UNAVAILABLE);
        sim.start_drain("all", json!({}), "replace");
        sim.run_until(sim.now + 9000);
        let emptying = sim.draining_machines();
        let machine = *emptying.first().or(machines_with_replicas(&sim).first()).expect("a machine");
        match fault {
            0 => drop(sim.faults.inbound_lost.insert(machine)),
            1 => sim.kill_machine(machine),
            2 => sim.faults.duplicate_heartbeats = (60, 30_000),
            3 => drop(sim.faults.outbound_lost.insert(machine)),
            _ => sim.hang_machine(machine, 12_000),
        }
        sim.run_until(sim.now + 40_000);
        sim.faults.duplicate_heartbeats = (0, 0);
        sim.heal_machine(machine);
        assert!(sim.run_until_drain_phase("all", "done", 500_000), "fault {fault}: {:?}", sim.drain_status("all"));
        sim.run_until(sim.now + 20_000);
        assert_all_services_run(&sim);
    }
}

/// The cloud has no capacity for replacement machines: nothing is evicted, and the status gives the reason.
#[test]
fn nothing_is_evicted_while_the_cloud_has_no_replacements() {
    let mut sim = simulation_with_services(15, MAX_TWO_UNAVAILABLE);
    sim.cloud.capacity.clear();
    sim.start_drain("all", json!({}), "replace");
    sim.run_until(sim.now + 40_000);
    assert_eq!(sim.disruption.evictions.get("web"), None, "evicted without a replacement");
    assert!(waits_for(&sim, "all").contains("the cloud has no small in zone"), "{}", waits_for(&sim, "all"));
    for zone in ["a", "b"] {
        sim.cloud.capacity.insert((zone.into(), false), 8);
        sim.cloud.capacity.insert((zone.into(), true), 8);
    }
    assert!(sim.run_until_drain_phase("all", "done", 500_000), "{:?}", sim.drain_status("all"));
    sim.run_until(sim.now + 15_000);
    assert_all_services_run(&sim);
}

/// Evicted replicas that fail on every machine stay charged to the budget, so that the drain stops at its limit.
#[test]
fn evictions_stop_at_the_budget_if_replacement_replicas_fail() {
    let mut sim = simulation_with_services(16, MAX_TWO_UNAVAILABLE);
    sim.start_drain("all", json!({}), "replace");
    let machines: Vec<u64> = sim.workers.keys().copied().collect();
    while sim.disruption.evictions.get("web").copied().unwrap_or(0) < 1 {
        sim.run_until(sim.now + 20);
        for (id, worker) in &mut sim.workers {
            worker.tasks_fail |= !machines.contains(id);
        }
    }
    for _ in 0..30 {
        sim.run_until(sim.now + 1000);
        sim.workers.values_mut().for_each(|worker| worker.tasks_fail = true);
    }
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    let evicted = sim.disruption.evictions["web"];
    assert!(evicted <= 6, "{evicted} replicas were evicted although none of them runs again");
    sim.workers.values_mut().for_each(|worker| worker.tasks_fail = false);
    assert!(sim.run_until_drain_phase("all", "done", 600_000), "{:?}", sim.drain_status("all"));
    sim.run_until(sim.now + 70_000);
    assert_all_services_run(&sim);
}

/// Evictions of a class are at least its `min_interval_s` apart.
#[test]
fn evictions_are_spaced_by_the_interval() {
    const MIN_INTERVAL_6_S: &str =
        "[drains]\nenabled = yes\nmax_machines = 50%\n[budget crew/web]\nmax_unavailable = 3\nmin_interval_s = 6\n";
    let mut sim = simulation_with_services(17, MIN_INTERVAL_6_S);
    sim.start_drain("all", json!({}), "replace");
    assert!(sim.run_until_drain_phase("all", "done", 600_000), "{:?}", sim.drain_status("all"));
    // Commands reach workers up to one heartbeat interval apart, so that the gap may be shorter by that.
    let gap = sim.disruption.min_eviction_interval_ms["web"];
    assert!(gap >= 4000, "two evictions are only {gap} ms apart");
    sim.run_until(sim.now + 15_000);
    assert_all_services_run(&sim);
}

/// A leader of the version in production knows no drains: the drain makes no progress under it and continues under the
/// next new leader.
#[test]
fn an_old_version_leads_for_a_while() {
    let mut sim = Simulation::with_site(Site { operators: MAX_TWO_UNAVAILABLE, ..Site::small() }, 18);
    sim.disruption.limits.insert("web".into(), 2);
    sim.run_until(5000);
    if let Some(2) = sim.leader() {
        sim.restart_controller(2, 60_000);
    }
    sim.crash_controller(2);
    sim.run_until(8000);
    sim.start_production_version(2);
    for n in 0..4 {
        sim.submit(&format!("job-{n:06}"), &service(3));
    }
    sim.run_until(40_000);
    sim.start_drain("all", json!({}), "replace");
    while sim.disruption.evictions.get("web").copied().unwrap_or(0) == 0 {
        sim.run_until(sim.now + 100);
        assert!(sim.now < 80_000, "{:?}", sim.drain_status("all"));
    }
    let before = sim.disruption.evictions["web"];
    for node in [0, 1] {
        sim.crash_controller(node);
    }
    sim.run_until(sim.now + 8000);
    assert_eq!(sim.disruption.evictions["web"], before, "evicted under the old version");
    sim.upgrade_controller(2, 500);
    for node in [0, 1] {
        sim.start_controller(node);
    }
    assert!(sim.run_until_drain_phase("all", "done", 500_000), "{:?}", sim.drain_status("all"));
    sim.run_until(sim.now + 15_000);
    assert_all_services_run(&sim);
}

/// A gang on a machine that is drained is stopped as a whole after `batch_wait_s`, and all of its tasks are charged to
/// the budget.
#[test]
fn gangs_count_whole() {
    const MAX_FOUR_GANG_TASKS: &str = "[drains]\nenabled = yes\nmax_machines = 100%\n[budget crew/sync]\nmax_unavailable = 4\nbatch_wait_s = 10\n\
        evict_batch = checkpointed\n";
    let mut sim = Simulation::with_site(Site { operators: MAX_FOUR_GANG_TASKS, ..Site::small() }, 19);
    let gang = |tasks: u64| {
        vec![
            ("Lane", json!("sync")),
            ("Shape", json!("group")),
            ("Pieces", json!(tasks)),
            ("Cores", json!(2.0)),
            ("RuntimeS", json!(300.0)),
            ("BookmarkS", json!(20.0)),
            ("StashS", json!(2.0)),
        ]
    };
    sim.run_until(10_000);
    for n in 0..3 {
        sim.submit(&format!("job-{:06}", 80 + n), &gang(3));
    }
    sim.run_until(40_000);
    let running = |sim: &Simulation| (80..83).map(|n| sim.running_tasks(&format!("job-{n:06}"))).collect::<Vec<_>>();
    assert_eq!(running(&sim), [3, 3, 3]);
    sim.start_drain("all", json!({}), "replace");
    let begun = sim.now;
    let mut fewest = 9;
    while sim.drain_phase("all") != "done" && sim.now < begun + 900_000 {
        sim.run_until(sim.now + 200);
        // Each gang is charged with three of the four tasks in the budget: only one gang may be unavailable at a time.
        fewest = fewest.min(running(&sim).iter().sum::<usize>());
        if sim.now < begun + 200_000 {
            assert!(running(&sim).iter().sum::<usize>() >= 6, "{:?} tasks run", running(&sim));
        }
    }
    assert_eq!(sim.drain_phase("all"), "done", "{:?}", sim.drain_status("all"));
    assert!(fewest < 9, "no gang was stopped");
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
}

/// Consolidation is a voluntary disruption and is subject to the same budgets as drains.
#[test]
fn consolidation_stays_within_the_budget() {
    const MAX_NONE_UNAVAILABLE: &str = "[drains]\nenabled = yes\n[budget crew]\nmax_unavailable = 0\n";
    let evictions = |operators: &'static str| {
        let mut sim = Simulation::with_site(Site { operators, ..Site::small() }, 20);
        sim.disruption.limits.insert("web".into(), 2);
        for n in 0..12 {
            sim.submit(&format!("job-{n:06}"), &service(2));
        }
        sim.run_until(60_000);
        for n in (0..12).filter(|n| n % 2 == 0) {
            sim.cancel(&format!("job-{n:06}"));
        }
        sim.run_until(400_000);
        assert!(sim.violations.is_empty(), "{:?}", sim.violations);
        sim.disruption.evictions.get("web").copied().unwrap_or(0)
    };
    assert!(evictions(MAX_TWO_UNAVAILABLE) > 0, "nothing is consolidated within the budget");
    assert_eq!(evictions(MAX_NONE_UNAVAILABLE), 0, "consolidated although the budget is 0");
}

/// Guards against a new leader that releases a machine with replicas on it. It does not know the tasks of a machine
/// that has not responded yet; one that its predecessor was draining was considered empty and released.
#[test]
fn a_machine_that_has_not_answered_the_new_leader_is_not_returned_as_empty() {
    let mut sim = simulation_with_services(21, MAX_TWO_UNAVAILABLE);
    sim.start_drain("all", json!({}), "replace");
    let replicas = |sim: &Simulation, machine: u64| {
        let tasks = (0..4).flat_map(|job| (0..3).map(move |index| format!("job-{job:06}/{index}")));
        tasks.filter(|task| sim.machine_running(task) == Some(machine)).count()
    };
    let emptying = loop {
        sim.run_until(sim.now + 20);
        assert!(sim.now < 90_000, "no machine with replicas is being emptied");
        if let Some(machine) = sim.draining_machines().into_iter().find(|machine| replicas(&sim, *machine) > 0) {
            break machine;
        }
    };
    sim.partition_machine(emptying);
    let leader = sim.leader().expect("a leader");
    sim.crash_controller(leader);
    let loaded = |sim: &Simulation| {
        let term = |node: usize| sim.controllers.processes[node].as_ref().and_then(|node| node.leader());
        sim.leader().and_then(term).is_some_and(|term| term.is_loaded())
    };
    while !loaded(&sim) {
        sim.run_until(sim.now + 20);
    }
    sim.run_until(sim.now + 1500);
    assert!(sim.workers.contains_key(&emptying), "released with replicas on it");
    sim.heal_machine(emptying);
    sim.start_controller(leader);
    assert!(sim.run_until_drain_phase("all", "done", 500_000), "{:?}", sim.drain_status("all"));
    sim.run_until(sim.now + 15_000);
    assert_all_services_run(&sim);
}

/// A machine on which tasks fail gets no new tasks, but the services that already run there continue: a drain moves
/// them.
#[test]
fn a_machine_out_of_order_is_emptied_like_others() {
    let mut sim = simulation_with_services(22, MAX_TWO_UNAVAILABLE);
    // The capacity that this frees is for tasks that fail.
    sim.cancel("job-000003");
    sim.run_until(sim.now + 5000);
    sim.workers.values_mut().for_each(|worker| worker.tasks_fail = true);
    for n in 90..94 {
        sim.submit(&format!("job-{n:06}"), &batch(4, 5.0));
    }
    let occupied = machines_with_replicas(&sim);
    let quarantined = |sim: &Simulation| {
        let term =
            sim.leader().and_then(|node| sim.controllers.processes[node].as_ref()).and_then(|node| node.leader());
        let failing = |m: &&caperstile::workers::Machine| {
            m.draining == Some(caperstile::workers::DrainReason::FailingTasks) && occupied.contains(&m.id().0)
        };
        term.and_then(|term| term.machines().find(failing).map(|m| m.id().0))
    };
    let failing_machine = loop {
        sim.run_until(sim.now + 200);
        assert!(sim.now < 90_000, "no machine with replicas is quarantined");
        if let Some(machine) = quarantined(&sim) {
            break machine;
        }
    };
    sim.workers.values_mut().for_each(|worker| worker.tasks_fail = false);
    sim.run_until(sim.now + 60_000);
    assert!(sim.workers.contains_key(&failing_machine), "a quarantined machine was released with services on it");
    sim.start_drain_of_machines("sick", &[failing_machine]);
    assert!(sim.run_until_drain_phase("sick", "done", 300_000), "{:?}", sim.drain_status("sick"));
    assert!(!sim.workers.contains_key(&failing_machine));
    sim.run_until(sim.now + 15_000);
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    (0..3).for_each(|n| assert_eq!(sim.running_tasks(&format!("job-{n:06}")), 3, "replicas of job {n}"));
}
