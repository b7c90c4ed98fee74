//! Floods of submissions at several controllers that fail: bounds for everybody else, one answer on all nodes, no broken rule.

mod support;

use serde_json::{Value, json};
use support::{Simulation, Site};

/// One team floods while another submits a small job every ten seconds.
struct Flood {
    sim: Simulation,
    /// Jobs of the flood per second.
    per_second: u64,
    flood_jobs: u64,
    quiet_jobs: u64,
    second: u64,
}

const ALWAYS: &str = "[admission]\nbound_backlog = always\n";
const FIRST_QUIET: u64 = 900_000;
/// Longest time until a quiet team's job is accepted without any trouble: the wait for a starved pair, a table on its way, a retry.
const BOUND_MS: u64 = 20_000 + 2_000 + 17_000;

fn small_array(n: u64) -> [(&'static str, Value); 3] {
    [("Pieces", json!(1 + n % 4)), ("RuntimeS", json!(20.0)), ("Loaners", json!(true))]
}

impl Flood {
    fn at(site: Site, seed: u64, per_second: u64) -> Flood {
        Flood { sim: Simulation::with_site(site, seed), per_second, flood_jobs: 0, quiet_jobs: 0, second: 0 }
    }

    /// Controllers that are overloaded, with machines for everything that they admit.
    fn of_controllers(seed: u64) -> Flood {
        let mut flood = Flood::at(Site { snapshot_every: 50, value_kb: 8.0, ..Site::small() }, seed, 6);
        flood.sim.controllers.overloaded = true;
        flood
    }

    /// More work than the machines can do in time.
    fn of_machines(seed: u64) -> Flood {
        let site = Site { machines: 4, snapshot_every: 50, value_kb: 8.0, operators: ALWAYS, ..Site::small() };
        Flood::at(site, seed, 3)
    }

    /// Floods for so many seconds; `trouble` is called at the beginning of each.
    fn play(&mut self, seconds: u64, mut trouble: impl FnMut(&mut Simulation, u64)) {
        for _ in 0..seconds {
            let second = self.second;
            trouble(&mut self.sim, second);
            for _ in 0..self.per_second {
                self.flood_jobs += 1;
                let id = format!("job-{:06}", self.flood_jobs);
                self.sim.submit(&id, &small_array(self.flood_jobs));
            }
            if second % 10 == 5 {
                self.submit_quiet();
            }
            if second % 7 == 3 {
                self.cancel_one();
            }
            self.second += 1;
            self.sim.run_until(1000 + self.second * 1000);
        }
    }

    fn submit_quiet(&mut self) {
        let id = format!("job-{:06}", FIRST_QUIET + self.quiet_jobs);
        self.quiet_jobs += 1;
        let quiet = [
            ("Crew", json!("small")),
            ("Lane", json!("desk")),
            ("Pieces", json!(1)),
            ("Cores", json!(1.0)),
            ("RuntimeS", json!(2.0)),
            ("Rank", json!("urgent")),
        ];
        self.sim.submit(&id, &quiet);
    }

    /// Cancels the newest job of the flood that was accepted.
    fn cancel_one(&mut self) {
        let open = |id: &&String| {
            let job = &self.sim.jobs[*id];
            job.accepted && job.cancel_requested_at.is_none() && !matches!(job.last_status.as_str(), "done" | "aborted")
        };
        let newest = self.sim.jobs.keys().rev().filter(|id| id.as_str() < "job-900000").find(open).cloned();
        newest.into_iter().for_each(|id| self.sim.cancel(&id));
    }

    fn count(&self, of: impl Fn(&support::UserJob) -> bool) -> usize {
        self.sim.jobs.values().filter(|job| of(job)).count()
    }

    /// What must hold after any flood, whatever else went wrong for `trouble_ms`.
    fn check(&mut self, trouble_ms: u64) {
        self.sim.end_all_faults();
        self.sim.controllers.overloaded = false;
        self.sim.run_until(self.sim.now + 120_000);
        let sim = &self.sim;
        assert!(sim.violations.is_empty(), "{:?}", sim.violations);
        assert!(sim.decisions.disagreements.is_empty(), "{:?}", sim.decisions.disagreements);
        let refused = self.count(|job| job.rejections > 0);
        assert!(refused > 30, "{refused} of {} jobs were refused", self.flood_jobs);
        for n in 0..self.quiet_jobs {
            let id = format!("job-{:06}", FIRST_QUIET + n);
            let job = &sim.jobs[&id];
            assert!(job.accepted, "{id} of the quiet team was never accepted");
            let waited = job.accepted_at - job.submitted_at;
            assert!(waited <= BOUND_MS + trouble_ms, "{id} of the quiet team was accepted after {waited} ms");
            assert_eq!(job.last_status, "done", "{id} of the quiet team");
        }
        for (id, job) in &sim.jobs {
            if let Some(asked) = job.cancel_requested_at {
                assert_eq!(job.cancel_status, 200, "{id} was to be cancelled at {asked}");
            }
            assert!(
                !job.accepted || matches!(job.last_status.as_str(), "done" | "aborted" | "queued" | "running"),
                "{id}"
            );
        }
    }

    fn refusing_nodes(&self) -> usize {
        self.sim.decisions.refused_by.len()
    }
}

fn leader(sim: &Simulation) -> usize {
    sim.leader().expect("somebody leads")
}

#[test]
fn a_flood_at_all_nodes_leaves_a_quiet_team_its_bound_and_all_nodes_refuse_alike() {
    for mut flood in [Flood::of_controllers(1), Flood::of_machines(1)] {
        let mut token = 0;
        flood.play(180, |sim, second| {
            if second == 10 {
                token = sim.controllers.processes[leader(sim)]
                    .as_ref()
                    .and_then(|node| node.leader())
                    .map_or(0, |term| term.token().0);
            }
        });
        assert_eq!(flood.refusing_nodes(), 3, "{:?}", flood.sim.decisions.refused_by);
        let now = flood
            .sim
            .leader()
            .and_then(|node| flood.sim.controllers.processes[node].as_ref()?.leader())
            .map_or(0, |term| term.token().0);
        assert_eq!(now, token, "the leader kept its lease");
        flood.check(0);
        let (accepted, all) = (flood.count(|job| job.accepted), flood.sim.jobs.len());
        assert!(accepted < all * 9 / 10, "{accepted} of {all} were accepted");
    }
}

#[test]
fn jobs_that_are_accepted_in_a_flood_do_not_wait_for_long() {
    let waits = |operators: &'static str| {
        let mut flood = Flood::at(Site { machines: 4, value_kb: 8.0, operators, ..Site::small() }, 5, 3);
        flood.play(240, |_, _| {});
        flood.sim.run_until(flood.sim.now + 60_000);
        let begun = |job: &support::UserJob| job.accepted && job.first_task_started_at.is_some();
        let accepted = flood.count(|job| job.accepted && job.cancel_requested_at.is_none());
        (flood.count(|job| begun(job) && job.cancel_requested_at.is_none()) as f64) / accepted as f64
    };
    let (bounded, unbounded) = (waits(ALWAYS), waits("[admission]\nbound_backlog = never\n"));
    assert!(bounded > unbounded + 0.1, "begun a minute after the flood: {bounded:.2} bounded, {unbounded:.2} without");
}

#[test]
fn the_leader_crashes_in_a_flood() {
    for mut flood in [Flood::of_controllers(2), Flood::of_machines(2)] {
        flood.play(150, |sim, second| {
            if second == 60 || second == 100 {
                let node = leader(sim);
                sim.restart_controller(node, 5_000);
            }
        });
        flood.check(10_000);
    }
}

#[test]
fn all_controllers_crash_in_a_flood() {
    for mut flood in [Flood::of_controllers(3), Flood::of_machines(3)] {
        flood.play(150, |sim, second| {
            if second == 60 {
                (0..3).for_each(|node| sim.restart_controller(node, 3_000));
            }
        });
        flood.check(15_000);
    }
}

#[test]
fn a_controller_is_back_within_a_fraction_of_a_second_in_a_flood() {
    let mut flood = Flood::of_controllers(4);
    flood.play(150, |sim, second| {
        if second % 20 == 15 {
            sim.restart_controller((second / 20 % 3) as usize, 300);
        }
    });
    flood.check(20_000);
}

#[test]
fn the_leader_is_cut_from_its_peers_and_the_state_service_in_a_flood() {
    for mut flood in [Flood::of_controllers(5), Flood::of_machines(5)] {
        flood.play(150, |sim, second| match second {
            60 => {
                let node = leader(sim);
                sim.isolate_controller(node);
            }
            85 => sim.end_isolation(),
            _ => {}
        });
        flood.check(30_000);
    }
}

#[test]
fn the_state_service_refuses_the_leader_alone_or_everybody_in_a_flood() {
    let mut flood = Flood::of_controllers(6);
    flood.play(150, |sim, second| match second {
        50 => {
            let node = leader(sim);
            sim.store.unavailable_to_nodes.insert(node);
        }
        65 => sim.store.unavailable_to_nodes.clear(),
        90 => sim.store.down = true,
        100 => sim.store.down = false,
        _ => {}
    });
    flood.check(30_000);
}

/// A follower that was cut off comes back with the table of a leader before: it must not decide by it.
#[test]
fn a_follower_comes_back_with_an_old_table() {
    let mut flood = Flood::of_controllers(7);
    flood.play(150, |sim, second| match second {
        60 => {
            let follower = (0..3).find(|node| *node != leader(sim)).expect("a follower");
            sim.isolate_controller(follower);
        }
        62 => {
            let node = leader(sim);
            sim.restart_controller(node, 2_000);
        }
        66 => sim.end_isolation(),
        _ => {}
    });
    flood.check(20_000);
}

/// Old and new versions side by side: nothing reaches the old one that it cannot read, and refusals go on where the new one leads.
#[test]
fn an_old_version_beside_new_ones_in_a_flood() {
    let mut flood = Flood::of_controllers(8);
    flood.sim.crash_controller(2);
    flood.play(150, |sim, second| match second {
        // It comes as a follower, and leads while the others are down.
        20 => sim.start_production_version(2),
        50 => (0..2).for_each(|node| sim.restart_controller(node, 6_000)),
        80 => sim.upgrade_controller(2, 1_000),
        _ => {}
    });
    flood.check(50_000);
}

#[test]
fn most_machines_are_lost_in_a_flood_and_come_back() {
    let mut flood = Flood::of_machines(9);
    flood.play(180, |sim, second| {
        if second == 60 {
            let machines: Vec<u64> = sim.workers.keys().copied().collect();
            machines.iter().take(machines.len() * 2 / 3).for_each(|machine| sim.kill_machine(*machine));
        }
    });
    flood.check(30_000);
}

/// One reference again and again, at all nodes, is one job.
#[test]
fn the_same_submission_a_thousand_times() {
    let mut flood = Flood::of_controllers(10);
    flood.play(40, |sim, second| {
        if second == 0 {
            sim.submit("job-800000", &small_array(3));
        }
        for _ in 0..25 {
            sim.resubmit("job-800000");
        }
    });
    flood.check(0);
    assert!(flood.sim.tasks.starts.keys().filter(|task| task.starts_with("job-800000/")).count() <= 4);
}

/// A large job and a gang of a quiet team among small ones of another.
#[test]
fn a_large_job_and_a_gang_of_a_quiet_team_are_accepted() {
    let mut flood = Flood::of_controllers(11);
    let mut gangs = Vec::new();
    flood.play(120, |sim, second| {
        if second % 30 == 20 {
            let (large, gang) = (format!("job-{}", 910_000 + second), format!("job-{}", 920_000 + second));
            sim.submit(
                &large,
                &[("Lane", json!("large")), ("Pieces", json!(60)), ("Cores", json!(1.0)), ("RuntimeS", json!(5.0))],
            );
            sim.submit(
                &gang,
                &[("Lane", json!("sync")), ("Shape", json!("group")), ("Pieces", json!(3)), ("RuntimeS", json!(5.0))],
            );
            gangs.extend([large, gang]);
        }
    });
    flood.check(0);
    for id in gangs {
        let job = &flood.sim.jobs[&id];
        assert!(job.accepted && job.accepted_at - job.submitted_at <= BOUND_MS, "{id}");
    }
}

/// Without followers' reports the leader takes what they let through for all that is asked for; without its predecessor's limit a new
/// leader admits everything until it has found its own.
#[test]
fn the_limit_of_the_controllers_holds_for_what_all_nodes_admit() {
    let mut flood = Flood::of_controllers(12);
    flood.play(120, |sim, second| {
        if second == 70 {
            let node = leader(sim);
            sim.restart_controller(node, 5_000);
        }
    });
    let accepted = |from: u64, until: u64| flood.count(|job| (from * 1000..until * 1000).contains(&job.accepted_at));
    let (before, after) = (accepted(40, 70), accepted(73, 83));
    // One unit of cost a second, and a job costs a little more; those who waited for a leader come all at once.
    assert!(before <= 33, "{before} accepted in 30 s");
    assert!(after <= 20, "{after} accepted in the 10 s after a change of leader");
}
