//! Drains with actual controller processes on loopback, requested with the program's command `drain`.
//!
//! The ignored test, which compares drains with and without budgets, takes minutes:
//!
//!     cargo test --release --test drain_processes -- --ignored --nocapture

mod support;

use serde_json::json;
use std::time::Instant;
use support::process_harness::{JobProfile, ProcessHarness};

const BUDGETS: &str = "[drains]\nenabled = yes\nmax_machines = 50%\n[budget studio/live]\nmax_unavailable = 2\n\
    [budget studio/sync]\nmax_unavailable = 3\nbatch_wait_s = 4\n[budget studio/render]\nmax_unavailable = 2\nbatch_wait_s = 8\n\
    evict_batch = always\n";
const NO_BUDGETS: &str = "[drains]\nenabled = yes\nmax_machines = 100%\n[budget studio]\nmax_unavailable = 100%\nbatch_wait_s = 0\n\
    evict_batch = always\n";

fn profile(class: &'static str, shape: &'static str, tasks: u32, run_ms: u64) -> JobProfile {
    JobProfile { class, shape, tasks, run_ms }
}

/// Starts the controllers and submits services, a long batch job and a gang, all of which run.
fn start_with_jobs(name: &str, operators: &str, services: u32) -> ProcessHarness {
    let harness = ProcessHarness::start(name, operators);
    for n in 0..services {
        harness.submit(&format!("job-{n:06}"), profile("live", "standing", 3, 0), 2.0);
    }
    harness.submit("job-000100", profile("render", "batch", 2, 600_000), 2.0);
    harness.submit("job-000101", profile("sync", "group", 3, 600_000), 2.0);
    wait_until_all_run(&harness, services);
    harness
}

fn wait_until_all_run(harness: &ProcessHarness, services: u32) {
    let jobs = (0..services).map(|n| (format!("job-{n:06}"), 3));
    let jobs: Vec<(String, usize)> = jobs.chain([("job-000100".into(), 2), ("job-000101".into(), 3)]).collect();
    harness.wait_until("all tasks", || {
        jobs.iter().all(|(id, n)| harness.fake_services().running_tasks(id) == *n).then_some(())
    });
}

/// Replaces all machines while the leader is killed and a machine is unreachable. Returns how many seconds that took.
fn replace_all(harness: &mut ProcessHarness, services: u32) -> f64 {
    let before = harness.fake_services().machine_ids();
    let begin = Instant::now();
    let (code, output) = harness.run_drain_command(&["start", "all", "--all", "--replace"]);
    assert_eq!(code, 0, "{output}");
    assert_eq!(output["drains"][0]["status"]["phase"], "running", "{output}");
    harness.wait_until("an eviction", || harness.fake_services().evictions.contains_key("live").then_some(()));
    let leader = harness.fake_services().leader().expect("a leader");
    harness.kill_node(leader);
    let unreachable = *harness.fake_services().machine_ids().last().expect("a machine");
    harness.fake_services().set_partitioned(unreachable, true);
    harness.wait_until("another leader", || harness.fake_services().leader().filter(|node| *node != leader));
    harness.start_node(leader);
    harness.fake_services().set_partitioned(unreachable, false);
    harness.wait_until("the end of the drain", || (harness.drain_status("all")["phase"] == "done").then_some(()));
    let took = begin.elapsed().as_secs_f64();
    wait_until_all_run(harness, services);
    let left: Vec<u64> = harness.fake_services().machine_ids().into_iter().filter(|id| before.contains(id)).collect();
    assert!(left.is_empty(), "machines from before the drain are left: {left:?}");
    assert!(harness.fake_services().violations.is_empty(), "{:?}", harness.fake_services().violations);
    took
}

#[test]
fn an_operator_replaces_the_fleet_across_a_change_of_leader() {
    let mut harness = start_with_jobs("drains", BUDGETS, 4);
    // Exit codes distinguish the usual mistakes.
    assert_eq!(harness.run_drain_command(&["status", "all"]).0, 3, "there is no drain yet");
    assert_eq!(harness.run_drain_command(&["start", "Bad", "--all"]).0, 3, "a bad name");
    assert_eq!(harness.run_drain_command(&["start", "nothing"]).0, 2, "no machines selected");
    let (code, output) = harness.run_drain_command(&["start", "nowhere", "--zone", "nowhere"]);
    assert_eq!((code, &output["error"]), (3, &json!("refused")), "{output}");
    assert!(output["reason"].as_str().is_some_and(|reason| reason.contains("no machine matches")), "{output}");

    replace_all(&mut harness, 4);
    let highest = harness.fake_services().peak_unavailable.clone();
    assert!(highest["live"] <= 2, "{highest:?}");
    assert!(
        highest.get("sync").copied().unwrap_or(0) <= 3 && highest.get("render").copied().unwrap_or(0) <= 2,
        "{highest:?}"
    );
    // An identical request under the same name is idempotent; a different one is refused.
    assert_eq!(harness.run_drain_command(&["start", "all", "--all", "--replace"]).0, 0);
    assert_eq!(harness.run_drain_command(&["start", "all", "--zone", "a"]).0, 3);
    assert_eq!(harness.run_drain_command(&["cancel", "all"]).0, 3, "the drain is done");

    let phase = |arguments: &[&str]| harness.run_drain_command(arguments).1["drains"][0]["status"]["phase"].clone();
    assert_eq!(phase(&["start", "again", "--all", "--replace"]), "running");
    assert_eq!(phase(&["pause", "again"]), "paused");
    assert_eq!(phase(&["resume", "again"]), "running");
    assert_eq!(phase(&["cancel", "again"]), "cancelled");
    assert_eq!(harness.run_drain_command(&["resume", "again"]).0, 3, "the drain was cancelled");
    let gone = format!("m-{:06}", 999_999);
    assert_eq!(harness.run_drain_command(&["start", "gone", "--machine", &gone]).0, 3);
    assert!(harness.fake_services().peak_unavailable["live"] <= 2);
    wait_until_all_run(&harness, 4);
}

/// Prints the highest number of tasks unavailable at a time, the evictions and the duration, with and without budgets.
#[test]
#[ignore = "takes minutes"]
fn rolling_replacement_with_and_without_budgets() {
    for services in [6, 16] {
        for (name, operators) in [("with", BUDGETS), ("without", NO_BUDGETS)] {
            let mut harness = start_with_jobs(&format!("rolling-{name}"), operators, services);
            let machines = harness.fake_services().machine_ids().len();
            let took = replace_all(&mut harness, services);
            let fake_services = harness.fake_services();
            println!(
                "{machines} machines, {name} budgets: {took:.1} s, most unavailable at a time {:?}, evictions {:?}",
                fake_services.peak_unavailable, fake_services.evictions
            );
        }
    }
}
