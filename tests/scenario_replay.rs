//! Scenario replay: each file in `tests/traces` lists timed inputs and expected results, which are replayed in
//! simulated time against the actual controllers. The invariants are checked at every step.
//!
//! A line is `TIME VERB ARGUMENTS` with the time in seconds; `#` begins a comment. `MACHINE` is a name or `of:TASK`,
//! the machine that runs the task at that moment.

mod support;

use caperstile::api::UserRequest;
use serde_json::{Value, json};
use std::collections::HashMap;
use support::Simulation;

fn node(name: &str) -> usize {
    name.strip_prefix('n').and_then(|n| n.parse().ok()).unwrap_or_else(|| panic!("no node {name}"))
}

fn replay(name: &str) {
    let path = format!("{}/tests/traces/{name}.trace", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).expect("a trace");
    let mut sim = Simulation::new(7);
    let mut ids: HashMap<String, u64> = HashMap::new();
    let (mut steps, mut expectations) = (0, 0);
    for (number, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("").trim();
        if line.is_empty() {
            continue;
        }
        let location = format!("{name}.trace:{}", number + 1);
        let words: Vec<&str> = line.split_whitespace().collect();
        let time: f64 = words[0].parse().unwrap_or_else(|_| panic!("{location}: no time"));
        sim.run_until(1000 + (time * 1000.0) as u64);
        assert!(sim.violations.is_empty(), "{location}: {:?}", sim.violations);
        let machine = |sim: &Simulation, ids: &mut HashMap<String, u64>, word: &str| -> u64 {
            if let Some(task) = word.strip_prefix("of:") {
                let id = sim.machine_running(task).unwrap_or_else(|| panic!("{location}: {task} runs on no machine"));
                ids.insert("it".into(), id);
                return id;
            }
            ids.get(word).copied().unwrap_or_else(|| panic!("{location}: no machine {word}"))
        };
        steps += 1;
        match (words[1], &words[2..]) {
            ("submit", [id, fields @ ..]) => {
                let change: Vec<(&str, Value)> = fields
                    .iter()
                    .map(|f| {
                        let (name, value) = f.split_once('=').expect("name=value");
                        (name, serde_json::from_str(value).unwrap_or_else(|_| json!(value)))
                    })
                    .collect();
                sim.submit(id, &change);
            }
            ("repeat", [id]) => sim.resubmit(id),
            ("cancel", [id]) => sim.cancel(id),
            ("crash", ["leader"]) => {
                let leader = sim.leader().unwrap_or_else(|| panic!("{location}: no node leads"));
                sim.crash_controller(leader);
                ids.insert("crashed".into(), leader as u64);
            }
            ("crash", ["all"]) => (0..3).for_each(|n| sim.crash_controller(n)),
            ("crash", [n]) => sim.crash_controller(node(n)),
            ("start", ["all"]) => (0..3).for_each(|n| sim.start_controller(n)),
            ("start", ["crashed"]) => sim.start_controller(ids["crashed"] as usize),
            ("start", [n]) => sim.start_controller(node(n)),
            ("state", ["down"]) => sim.store.down = true,
            ("state", ["up"]) => sim.store.down = false,
            ("state", ["refuses", "leader"]) => {
                let leader = sim.leader().unwrap_or_else(|| panic!("{location}: no node leads"));
                sim.store.unavailable_to_nodes.insert(leader);
            }
            ("state", ["serves", "all"]) => sim.store.unavailable_to_nodes.clear(),
            ("state", ["loses", n]) => sim.store.lost_responses = n.parse().expect("a count"),
            ("state", ["writes", n]) => sim.store.transactions_until_outage = n.parse().ok(),
            ("cut", [m]) => {
                let m = machine(&sim, &mut ids, m);
                sim.partition_machine(m);
            }
            ("heal", [m]) => {
                let m = machine(&sim, &mut ids, m);
                sim.heal_machine(m);
            }
            ("inbound_lost", [m]) => {
                let m = machine(&sim, &mut ids, m);
                sim.faults.inbound_lost.insert(m);
            }
            ("copies", [percent, seconds]) => {
                let late: u64 = seconds.parse().expect("seconds");
                sim.invariants.check_reregistrations = true;
                sim.faults.duplicate_heartbeats = (percent.parse().expect("a share"), late * 1000);
            }
            ("repeats", [percent, seconds]) => {
                let late: u64 = seconds.parse().expect("seconds");
                sim.faults.duplicate_requests = (percent.parse().expect("a share"), late * 1000);
            }
            ("lose-workers", ["leader"]) => {
                let leader = sim.leader().unwrap_or_else(|| panic!("{location}: no node leads"));
                sim.faults.partitioned_from_workers.insert(leader);
                ids.insert("crashed".into(), leader as u64);
            }
            ("isolate", ["leader"]) => {
                let leader = sim.leader().unwrap_or_else(|| panic!("{location}: no node leads"));
                sim.isolate_controller(leader);
                ids.insert("crashed".into(), leader as u64);
                ids.insert("isolated".into(), leader as u64);
            }
            ("isolate", ["follower"]) => {
                let follower = (0..3).find(|n| Some(*n) != sim.leader()).expect("three nodes");
                sim.isolate_controller(follower);
                ids.insert("isolated".into(), follower as u64);
            }
            ("cut-off-zone", ["leader"]) => {
                let leader = sim.leader().unwrap_or_else(|| panic!("{location}: no node leads"));
                let zone = support::zone_of(&sim.site, leader);
                sim.isolate_zone(zone, leader);
                ids.insert("isolated".into(), leader as u64);
                ids.insert("crashed".into(), leader as u64);
            }
            ("reconnect", []) => sim.end_isolation(),
            ("bounce", ["leader", ms]) => {
                let leader = sim.leader().unwrap_or_else(|| panic!("{location}: no node leads"));
                sim.restart_controller(leader, ms.parse().expect("milliseconds"));
            }
            ("bounce", [n, ms]) if n.starts_with('n') => {
                sim.restart_controller(node(n), ms.parse().expect("milliseconds"))
            }
            ("bounce", ["all", ms]) => {
                (0..3).for_each(|n| sim.restart_controller(n, ms.parse().expect("milliseconds")))
            }
            ("blink", [m, ms]) => {
                let m = machine(&sim, &mut ids, m);
                sim.partition_machine_for(m, ms.parse().expect("milliseconds"));
            }
            ("probe", ["isolated"]) => sim.check_health(ids["isolated"] as usize),
            ("ask", ["isolated", id]) => {
                sim.users.slowest_response_ms = 0;
                sim.send_user_request(ids["isolated"] as usize, id.to_string(), UserRequest::Get(id.to_string()));
            }
            ("mend", []) => sim.end_all_faults(),
            ("hold-commands", [m]) => {
                let m = machine(&sim, &mut ids, m);
                sim.faults.commands_held.insert(m);
            }
            ("die", [m]) => {
                let m = machine(&sim, &mut ids, m);
                sim.kill_machine(m);
            }
            ("sick", [m]) => {
                let m = machine(&sim, &mut ids, m);
                if let Some(w) = sim.workers.get_mut(&m) {
                    w.tasks_fail = true;
                }
            }
            ("sick-all", []) => sim.workers.values_mut().for_each(|w| w.tasks_fail = true),
            ("notice", [m, seconds]) => {
                let m = machine(&sim, &mut ids, m);
                sim.send_reclaim_notice(m, seconds.parse().expect("seconds"));
            }
            ("capacity", [zone, count]) => {
                sim.cloud.capacity.insert((zone.to_string(), false), count.parse().expect("a count"));
            }
            ("expect", rest) => {
                expectations += 1;
                expect(&sim, &ids, &location, rest);
            }
            _ => panic!("{location}: unknown `{line}`"),
        }
    }
    assert!(
        steps > 3 && expectations > 1,
        "{name}: {steps} steps and {expectations} expectations, expected at least 4 and 2"
    );
}

fn expect(sim: &Simulation, ids: &HashMap<String, u64>, location: &str, words: &[&str]) {
    match words {
        ["leader"] => assert!(sim.leader().is_some(), "{location}: no node leads"),
        ["no", "leader"] => assert!(sim.leader().is_none(), "{location}: a node leads"),
        ["other", "leader"] => {
            let leader = sim.leader().unwrap_or_else(|| panic!("{location}: no node leads"));
            assert_ne!(leader as u64, ids["crashed"], "{location}");
        }
        ["leaders", n] => {
            let leaders = sim.controllers.processes.iter().flatten().filter(|c| c.leader().is_some()).count();
            assert_eq!(leaders.to_string(), **n, "{location}");
        }
        ["told", id, status] => assert_eq!(sim.jobs[*id].last_status, *status, "{location}"),
        ["running", id, n] => assert_eq!(sim.running_tasks(id).to_string(), **n, "{location}"),
        ["submit", id, status] => assert_eq!(sim.jobs[*id].submit_status.to_string(), **status, "{location}"),
        ["cancel", id, status] => assert_eq!(sim.jobs[*id].cancel_status.to_string(), **status, "{location}"),
        ["starts", task, n] => {
            assert_eq!(sim.tasks.starts.get(*task).map_or(0, Vec::len).to_string(), **n, "{location}")
        }
        ["machines", n] => assert_eq!(sim.workers.len().to_string(), **n, "{location}"),
        ["gone", m] => assert!(!sim.workers.contains_key(&ids[*m]), "{location}: {m} has not been released"),
        ["kept", m] => assert!(sim.workers.contains_key(&ids[*m]), "{location}: {m} was released"),
        ["moved", task] => assert_ne!(sim.machine_running(task), ids.get("it").copied(), "{location}"),
        ["answers", "within", ms] => {
            assert!(
                sim.users.slowest_response_ms <= ms.parse().expect("milliseconds"),
                "{location}: the slowest response took {} ms",
                sim.users.slowest_response_ms
            );
        }
        ["answered", id, "within", ms] => {
            let ago = sim.now - sim.jobs[*id].status_received_at;
            assert!(
                ago <= ms.parse().expect("milliseconds"),
                "{location}: the last response about {id} is {ago} ms old"
            );
        }
        ["healthy", "isolated", yes] => {
            assert_eq!(sim.users.health_checks[&(ids["isolated"] as usize)], *yes == "yes", "{location}");
        }
        ["keys", prefix, "below", n] => {
            let keys = sim.store.keys.keys().filter(|k| k.starts_with(*prefix)).count();
            assert!(keys < n.parse().expect("a count"), "{location}: {keys} keys");
        }
        _ => panic!("{location}: unknown expectation {words:?}"),
    }
}

macro_rules! traces {
    ($($name:ident),* $(,)?) => {
        $(#[test] fn $name() { replay(stringify!($name)); })*

        #[test]
        fn every_trace_file_is_replayed() {
            let listed = [$(stringify!($name)),*];
            let dir = format!("{}/tests/traces", env!("CARGO_MANIFEST_DIR"));
            for entry in std::fs::read_dir(dir).expect("the traces") {
                let name = entry.expect("an entry").file_name().into_string().expect("a name");
                let name = name.strip_suffix(".trace").expect("a trace");
                assert!(listed.contains(&name), "{name} is not replayed");
            }
        }
    };
}

traces! {
    restart_within_a_second,
    cancel_with_a_machine_unreachable,
    crash_between_commit_and_answer,
    machine_without_inbound,
    machine_without_inbound_and_a_new_leader,
    machine_without_inbound_gets_nothing,
    delayed_run_after_a_kill,
    deposed_leader_wakes,
    done_before_and_after_failover,
    election_with_a_lost_answer,
    failing_machine_and_failing_job,
    finish_not_yet_durable,
    isolated_follower,
    late_copies,
    late_repeats,
    isolated_leader,
    leader_without_workers,
    leader_within_a_zone_that_is_cut_off,
    outage_then_all_nodes_lost,
    quiet_day,
    room_for_a_service,
    silent_machine,
    spot_notice,
    spread_with_one_zone_full,
    team_limit,
}

/// Writes to the state service stop after each step of a snapshot in turn, and then every node crashes. Accepted jobs
/// and final states must survive, and the log must not grow without bound.
#[test]
fn snapshot_cut_off_at_each_step() {
    for writes in 0..24 {
        let mut sim = Simulation::new(writes);
        for n in 0..12 {
            sim.run_until(1000 + n * 600);
            sim.submit(&format!("job-{n:06}"), &[("Pieces", json!(1)), ("RuntimeS", json!(2.0))]);
        }
        sim.run_until(12_000 + writes * 150);
        sim.store.transactions_until_outage = Some(writes as u32);
        sim.run_until(22_000);
        (0..3).for_each(|n| sim.crash_controller(n));
        sim.store.transactions_until_outage = None;
        (0..3).for_each(|n| sim.start_controller(n));
        sim.run_until(100_000);
        assert!(sim.violations.is_empty(), "after {writes} writes: {:?}", sim.violations);
        for (id, job) in &sim.jobs {
            assert_eq!(job.last_status, "done", "{id} after {writes} writes");
        }
        let log = sim.store.keys.keys().filter(|k| k.starts_with("log/")).count();
        assert!(log < 40, "{log} log records are left");
    }
}

/// Delayed duplicates of committed transactions are executed again. A restored old manifest named a snapshot that had
/// been deleted since, so that the next leader loaded no state.
#[test]
fn a_snapshot_is_not_replaced_by_a_late_repeat_of_an_earlier_one() {
    for seed in 0..6 {
        let mut sim = Simulation::new(seed);
        sim.faults.duplicate_requests = (100, 25_000);
        for n in 0..50 {
            sim.run_until(1000 + n * 600);
            sim.submit(&format!("job-{n:06}"), &[("Pieces", json!(1)), ("RuntimeS", json!(2.0))]);
        }
        sim.run_until(42_000 + seed * 500);
        (0..3).for_each(|n| sim.restart_controller(n, 300));
        sim.run_until(90_000);
        assert!(sim.violations.is_empty(), "{:?}", sim.violations);
        for (id, job) in &sim.jobs {
            assert_eq!(job.last_status, "done", "{id}");
        }
    }
}

/// A process's clock starts at zero with the process. Jobs from before a restart were considered as old as the process,
/// so that their order was lost, and deadlines and timeouts came too late.
#[test]
fn jobs_are_as_old_as_they_are_after_all_processes_were_lost() {
    let mut sim = Simulation::new(3);
    sim.cloud.capacity.values_mut().for_each(|machines| *machines = 0);
    sim.submit("job-000001", &[]);
    sim.run_until(60_000);
    (0..3).for_each(|n| sim.restart_controller(n, 500));
    sim.run_until(66_000);
    let leader = sim.leader().expect("a leader");
    let jobs = sim.controllers.processes[leader].as_ref().and_then(|c| c.leader()).expect("a term").jobs();
    let age = sim.clock(leader).since(jobs.get("job-000001".parse().unwrap()).expect("known").submitted_at);
    assert!((63.0..66.0).contains(&age.as_secs_f64()), "{} s", age.as_secs_f64());
}
