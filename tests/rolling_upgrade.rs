//! Rolling upgrades: controllers of the version in production run beside controllers of this version, and the leader
//! key is relocated when all controllers are of this version.

mod support;

use serde_json::{Value, json};
use support::{Simulation, old_node};

const GANG: &str = "job-000001";

fn submit_gang(sim: &mut Simulation, id: &str) {
    let fields: [(&str, Value); 3] = [("Shape", json!("group")), ("Pieces", json!(3)), ("RuntimeS", json!(6.0))];
    sim.submit(id, &fields);
}

/// A simulation whose third controller is of the version in production.
fn one_production_controller(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed);
    sim.crash_controller(2);
    sim.start_production_version(2);
    sim
}

fn leader_key_moved(sim: &Simulation) -> bool {
    sim.store.keys.contains_key("leader-2")
}

/// Checks that the state service holds nothing that the version in production would lose or misread.
fn assert_readable_by_production(sim: &Simulation, case: &str) {
    for (key, value) in &sim.store.keys {
        assert_eq!(old_node::incompatibility(key, &value.0), None, "{case}");
    }
}

fn assert_no_violation(sim: &Simulation, case: &str) {
    assert!(sim.violations.is_empty(), "{case}: {:?}", sim.violations);
}

/// Leadership goes from the new version to the old one and back, and both write the log. Gangs are rejected until the
/// last node is of the new version.
#[test]
fn leadership_goes_back_to_the_old_version_and_gangs_wait_for_the_last_node() {
    for seed in 0..6 {
        let case = format!("seed {seed}");
        let mut sim = one_production_controller(seed);
        submit_gang(&mut sim, GANG);
        for n in 10..22 {
            sim.submit(&format!("job-{n:06}"), &[("RuntimeS", json!(2.0))]);
            sim.run_until(sim.now + 1500);
        }
        assert_eq!((sim.jobs[GANG].submit_status, leader_key_moved(&sim)), (503, false), "{case}");
        // Both new nodes are down for a while: the old one is elected, reads the log and appends to it.
        for node in [0, 1] {
            sim.restart_controller(node, 6000);
        }
        sim.run_until(sim.now + 5000);
        assert_eq!(sim.controllers.production_version[&2].elections, 1, "{case}: elections won by the old node");
        assert_eq!(sim.controllers.production_version[&2].incompatible_entries, Vec::<String>::new(), "{case}");
        assert_readable_by_production(&sim, &case);
        sim.run_until(sim.now + 4000);
        assert!(!leader_key_moved(&sim), "{case}");
        sim.upgrade_controller(2, 1000);
        let upgraded_at = sim.now + 1000;
        while !leader_key_moved(&sim) && sim.now < upgraded_at + 20_000 {
            sim.run_until(sim.now + 50);
            if !leader_key_moved(&sim) {
                assert_readable_by_production(&sim, &case);
            }
        }
        assert!(
            leader_key_moved(&sim) && sim.now < upgraded_at + 6000,
            "{case}: leader key relocated after {} ms",
            sim.now - upgraded_at
        );
        sim.run_until(sim.now + 60_000);
        assert_no_violation(&sim, &case);
        for (id, job) in &sim.jobs {
            assert_eq!(job.last_status, "done", "{case}: {id}");
        }
        let from_old = sim.jobs.keys().filter(|id| id.as_str() >= "job-900000").count();
        assert!(from_old >= 4, "{case}: {from_old} jobs of the old leader, expected at least 4");
    }
}

/// A process of the old version that starts after the leader key was relocated is never elected and changes nothing,
/// although the holders of the key crash repeatedly.
#[test]
fn an_old_process_that_comes_after_the_switch_never_leads() {
    for seed in 0..4 {
        let case = format!("seed {seed}");
        let mut sim = Simulation::new(seed);
        sim.run_until(8000);
        assert!(leader_key_moved(&sim), "{case}");
        submit_gang(&mut sim, GANG);
        sim.run_until(12_000);
        sim.crash_controller(2);
        sim.start_production_version(2);
        let tombstone = sim.store.keys["leader"].clone();
        for _ in 0..4 {
            for node in [0, 1] {
                sim.restart_controller(node, 4000);
            }
            sim.run_until(sim.now + 10_000);
            let old = &sim.controllers.production_version[&2];
            assert_eq!((old.elections, old.leader_key_unreadable), (0, true), "{case}");
            assert_eq!(sim.store.keys["leader"], tombstone, "{case}");
        }
        sim.run_until(sim.now + 60_000);
        assert_no_violation(&sim, &case);
        assert_eq!(sim.jobs[GANG].last_status, "done", "{case}");
    }
}

/// The leader key is relocated during lost responses, delayed and duplicate transactions, a crash of the leader, an
/// outage and a refusal of the leader by the state service: afterwards there is exactly one leader, and gangs run.
#[test]
fn the_switch_meets_each_trouble_of_the_state_service() {
    type Fault = (&'static str, fn(&mut Simulation));
    let faults: [Fault; 7] = [
        ("responses lost", |sim| sim.faults.writes_without_response = (100, true)),
        ("late writes", |sim| sim.faults.writes_without_response = (60, false)),
        ("duplicates", |sim| sim.faults.duplicate_requests = (100, 20_000)),
        ("slow state service", |sim| sim.faults.store_delay_ms = 300),
        ("leader refused", |sim| sim.store.unavailable_to_nodes.extend(sim.leader())),
        ("outage", |sim| sim.store.down = true),
        ("leader crash", |sim| {
            let leader = sim.leader().unwrap_or(0);
            sim.restart_controller(leader, 500);
        }),
    ];
    for (name, begin) in faults {
        for offset in [0, 40, 120, 260, 500, 1000, 1800, 2400] {
            let case = format!("{name} {offset} ms after the last node's start");
            let mut sim = one_production_controller(offset);
            sim.run_until(6000);
            sim.upgrade_controller(2, 0);
            sim.run_until(sim.now + offset);
            begin(&mut sim);
            sim.run_until(sim.now + 6000);
            sim.end_all_faults();
            sim.run_until(sim.now + 8000);
            submit_gang(&mut sim, GANG);
            sim.run_until(sim.now + 50_000);
            assert_no_violation(&sim, &case);
            assert!(leader_key_moved(&sim), "{case}");
            assert_eq!(sim.jobs[GANG].last_status, "done", "{case}");
            let leaders = sim.controllers.processes.iter().flatten().filter(|c| c.leader().is_some()).count();
            assert_eq!(leaders, 1, "{case}");
        }
    }
}

/// A node that never starts prevents the relocation of the leader key: gangs are rejected until it starts, all other
/// jobs run.
#[test]
fn a_node_that_never_comes_up_keeps_gangs_waiting() {
    let mut sim = Simulation::new(5);
    sim.crash_controller(2);
    sim.store.keys.remove("version/n2");
    submit_gang(&mut sim, GANG);
    sim.submit("job-000002", &[("RuntimeS", json!(2.0))]);
    sim.run_until(60_000);
    assert_no_violation(&sim, "one node is down");
    assert_eq!((sim.jobs[GANG].submit_status, leader_key_moved(&sim)), (503, false));
    assert_eq!(sim.jobs["job-000002"].last_status, "done");
    sim.start_controller(2);
    sim.run_until(90_000);
    assert_eq!(sim.jobs[GANG].last_status, "done");
}
