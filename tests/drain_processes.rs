//! Drains of real controller processes on loopback, asked for with the program's own command.
//!
//! The long form, with the comparison, takes minutes:
//!
//!     cargo test --release --test drain_processes -- --ignored --nocapture

mod support;

use serde_json::json;
use std::time::Instant;
use support::stage::{Load, Stage};

const BUDGETS: &str = "[drains]\nenabled = yes\nmax_machines = 50%\n[budget studio/live]\nmax_unavailable = 2\n\
    [budget studio/sync]\nmax_unavailable = 3\nbatch_wait_s = 4\n[budget studio/render]\nmax_unavailable = 2\nbatch_wait_s = 8\n\
    evict_batch = always\n";
const NO_BUDGETS: &str = "[drains]\nenabled = yes\nmax_machines = 100%\n[budget studio]\nmax_unavailable = 100%\nbatch_wait_s = 0\n\
    evict_batch = always\n";

fn load(class: &'static str, shape: &'static str, tasks: u32, run_ms: u64) -> Load {
    Load { class, shape, tasks, run_ms }
}

/// Services, long renders and gangs; all of them run.
fn serving(name: &str, operators: &str, services: u32) -> Stage {
    let stage = Stage::start(name, operators);
    for n in 0..services {
        stage.submit(&format!("job-{n:06}"), load("live", "standing", 3, 0), 2.0);
    }
    stage.submit("job-000100", load("render", "batch", 2, 600_000), 2.0);
    stage.submit("job-000101", load("sync", "group", 3, 600_000), 2.0);
    all_run(&stage, services);
    stage
}

fn all_run(stage: &Stage, services: u32) {
    let jobs = (0..services).map(|n| (format!("job-{n:06}"), 3));
    let jobs: Vec<(String, usize)> = jobs.chain([("job-000100".into(), 2), ("job-000101".into(), 3)]).collect();
    stage.until("all tasks", || jobs.iter().all(|(id, n)| stage.world().running(id) == *n).then_some(()));
}

/// Replaces the whole fleet while the leader is killed and a machine is cut off; seconds that it took.
fn replace_all(stage: &mut Stage, services: u32) -> f64 {
    let before = stage.world().machines();
    let begin = Instant::now();
    let (code, answer) = stage.drain(&["start", "all", "--all", "--replace"]);
    assert_eq!(code, 0, "{answer}");
    assert_eq!(answer["drains"][0]["status"]["phase"], "running", "{answer}");
    stage.until("an eviction", || stage.world().evictions.contains_key("live").then_some(()));
    let leader = stage.world().leader().expect("a leader");
    stage.kill_node(leader);
    let cut = *stage.world().machines().last().expect("a machine");
    stage.world().cut(cut, true);
    stage.until("another leader", || stage.world().leader().filter(|node| *node != leader));
    stage.start_node(leader);
    stage.world().cut(cut, false);
    stage.until("the end of the drain", || (stage.status("all")["phase"] == "done").then_some(()));
    let took = begin.elapsed().as_secs_f64();
    all_run(stage, services);
    let left: Vec<u64> = stage.world().machines().into_iter().filter(|id| before.contains(id)).collect();
    assert!(left.is_empty(), "{left:?} are left");
    assert!(stage.world().broken.is_empty(), "{:?}", stage.world().broken);
    took
}

#[test]
fn an_operator_replaces_the_fleet_through_a_change_of_leader() {
    let mut stage = serving("drains", BUDGETS, 4);
    // What a newcomer gets wrong is told apart by exit codes.
    assert_eq!(stage.drain(&["status", "all"]).0, 3, "there is no drain yet");
    assert_eq!(stage.drain(&["start", "Bad", "--all"]).0, 3, "a bad name");
    assert_eq!(stage.drain(&["start", "nothing"]).0, 2, "no machines named");
    let (code, answer) = stage.drain(&["start", "nowhere", "--zone", "nowhere"]);
    assert_eq!((code, &answer["error"]), (3, &json!("refused")), "{answer}");
    assert!(answer["reason"].as_str().is_some_and(|reason| reason.contains("no machine matches")), "{answer}");

    replace_all(&mut stage, 4);
    let highest = stage.world().highest.clone();
    assert!(highest["live"] <= 2, "{highest:?}");
    assert!(
        highest.get("sync").copied().unwrap_or(0) <= 3 && highest.get("render").copied().unwrap_or(0) <= 2,
        "{highest:?}"
    );
    // The same request again is the same drain; another one under its name is refused.
    assert_eq!(stage.drain(&["start", "all", "--all", "--replace"]).0, 0);
    assert_eq!(stage.drain(&["start", "all", "--zone", "a"]).0, 3);
    assert_eq!(stage.drain(&["cancel", "all"]).0, 3, "it is done");

    let phase = |arguments: &[&str]| stage.drain(arguments).1["drains"][0]["status"]["phase"].clone();
    assert_eq!(phase(&["start", "again", "--all", "--replace"]), "running");
    assert_eq!(phase(&["pause", "again"]), "paused");
    assert_eq!(phase(&["resume", "again"]), "running");
    assert_eq!(phase(&["cancel", "again"]), "cancelled");
    assert_eq!(stage.drain(&["resume", "again"]).0, 3, "it was called off");
    let gone = format!("m-{:06}", 999_999);
    assert_eq!(stage.drain(&["start", "gone", "--machine", &gone]).0, 3);
    assert!(stage.world().highest["live"] <= 2);
    all_run(&stage, 4);
}

/// Budget, highest disruption seen and time, with and without budgets.
#[test]
#[ignore = "takes minutes"]
fn rolling_replacement_with_and_without_budgets() {
    for services in [6, 16] {
        for (name, operators) in [("with", BUDGETS), ("without", NO_BUDGETS)] {
            let mut stage = serving(&format!("rolling-{name}"), operators, services);
            let machines = stage.world().machines().len();
            let took = replace_all(&mut stage, services);
            let world = stage.world();
            println!(
                "{machines} machines, {name} budgets: {took:.1} s, most out at once {:?}, evictions {:?}",
                world.highest, world.evictions
            );
        }
    }
}
