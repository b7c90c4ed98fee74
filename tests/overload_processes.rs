//! A flood of submissions to actual controller processes on loopback with few machines, during which the leader is
//! killed. The ignored test takes minutes:
//!
//!     cargo test --release --test overload_processes -- --ignored --nocapture

mod support;

use serde_json::json;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use support::process_harness::{CONTROLLERS, JobProfile, ProcessHarness};

const FLOOD: JobProfile = JobProfile { class: "flood", shape: "batch", tasks: 4, run_ms: 2_000 };
const DESK: JobProfile = JobProfile { class: "desk", shape: "batch", tasks: 1, run_ms: 300 };
const FLOOD_PER_S: u64 = 8;
/// Users retry after more than the minimum of eight seconds, and give up after a minute.
const RETRY_AFTER: Duration = Duration::from_secs(9);
const GIVE_UP: Duration = Duration::from_secs(60);
const BOUND_BACKLOG_ALWAYS: &str = "[admission]\nbound_backlog = always\n";

/// Results of the submissions of one class.
#[derive(Debug, Default)]
struct Outcome {
    attempts: u32,
    admitted: u32,
    refused: u32,
    /// Attempts that were neither admitted nor refused, because there was no leader or no response.
    unavailable: u32,
    last_admitted_at: Option<Instant>,
    longest_gap: Duration,
    response_times_ms: Vec<u64>,
}

impl Outcome {
    fn median_and_99th_ms(&mut self) -> (u64, u64) {
        self.response_times_ms.sort_unstable();
        let at = |share: f64| self.response_times_ms[((self.response_times_ms.len() - 1) as f64 * share) as usize];
        (at(0.5), at(0.99))
    }
}

/// A user's submission that has been neither admitted nor given up.
struct Pending {
    id: String,
    profile: &'static JobProfile,
    since: Instant,
    next: Instant,
    node: usize,
}

/// Users of both classes, who submit to all nodes in turn.
struct Users {
    begin: Instant,
    pending: Vec<Pending>,
    jobs: u64,
    outcomes: BTreeMap<&'static str, Outcome>,
    refused_by: [u32; CONTROLLERS],
}

impl Users {
    fn new() -> Users {
        let outcomes = BTreeMap::from([(FLOOD.class, Outcome::default()), (DESK.class, Outcome::default())]);
        Users { begin: Instant::now(), pending: Vec::new(), jobs: 0, outcomes, refused_by: [0; CONTROLLERS] }
    }

    fn add(&mut self, profile: &'static JobProfile) {
        self.jobs += 1;
        let now = Instant::now();
        let node = self.jobs as usize % CONTROLLERS;
        self.pending.push(Pending { id: format!("job-{:06}", self.jobs), profile, since: now, next: now, node });
    }

    /// Makes one attempt for each submission that is due.
    fn submit_due(&mut self, harness: &ProcessHarness) {
        for mut pending in std::mem::take(&mut self.pending) {
            if Instant::now() < pending.next {
                self.pending.push(pending);
                continue;
            }
            let sent_at = Instant::now();
            let status = harness.try_submit(pending.node, &pending.id, pending.profile.clone(), 1.0);
            let outcome = self.outcomes.get_mut(pending.profile.class).expect("a known class");
            outcome.attempts += 1;
            outcome.response_times_ms.push(sent_at.elapsed().as_millis() as u64);
            let pause = match status {
                Some(200 | 201) => {
                    let last = outcome.last_admitted_at.unwrap_or(self.begin);
                    outcome.longest_gap = outcome.longest_gap.max(last.elapsed());
                    outcome.last_admitted_at = Some(Instant::now());
                    outcome.admitted += 1;
                    continue;
                }
                Some(429) => {
                    outcome.refused += 1;
                    self.refused_by[pending.node] += 1;
                    RETRY_AFTER
                }
                _ => {
                    outcome.unavailable += 1;
                    Duration::from_secs(1)
                }
            };
            pending.node = (pending.node + 1) % CONTROLLERS;
            pending.next = Instant::now() + pause;
            if pending.next - pending.since < GIVE_UP {
                self.pending.push(pending);
            }
        }
    }
}

/// Submits the flood for this many seconds; the leader is killed in the middle and restarted three seconds later.
fn flood(name: &str, seconds: u64) -> (ProcessHarness, Users) {
    let mut harness = ProcessHarness::start(name, BOUND_BACKLOG_ALWAYS);
    harness.fake_services().max_machines = Some(2);
    harness.wait_until("a leader", || harness.fake_services().leader());
    let mut users = Users::new();
    let mut killed = None;
    let step = Duration::from_millis(1000 / FLOOD_PER_S);
    for n in 0..seconds * FLOOD_PER_S {
        users.add(&FLOOD);
        if n % (2 * FLOOD_PER_S) == 0 {
            users.add(&DESK);
        }
        if n == seconds * FLOOD_PER_S / 2 {
            killed = harness.fake_services().leader();
            killed.into_iter().for_each(|node| harness.kill_node(node));
        }
        if n == seconds * FLOOD_PER_S / 2 + 3 * FLOOD_PER_S {
            killed.take().into_iter().for_each(|node| harness.start_node(node));
        }
        let due = users.begin + step * n as u32;
        users.submit_due(&harness);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    (harness, users)
}

#[test]
fn all_controllers_refuse_a_flood_and_admit_the_quiet_class_although_the_leader_is_killed() {
    let (harness, users) = flood("overload", 32);
    assert!(harness.fake_services().violations.is_empty(), "{:?}", harness.fake_services().violations);
    let (code, output) = harness.admission_status();
    assert_eq!((code, &output["refusing"]), (0, &json!(true)), "{output}");
    let pairs = output["status"]["refused"].as_array().expect("pairs");
    assert!(pairs.iter().all(|pair| pair["team"] == "studio" && pair["class"] == "flood"), "{output}");
    assert!(users.refused_by.iter().all(|refused| *refused > 0), "refusals by node: {:?}", users.refused_by);
    let (flood, desk) = (&users.outcomes["flood"], &users.outcomes["desk"]);
    assert_eq!(desk.refused, 0, "the quiet class: {desk:?}");
    assert!(desk.admitted >= 14, "the quiet class: {desk:?}");
    // The bound covers a job every two seconds, a change of leader, and a retry after a second.
    assert!(desk.longest_gap < Duration::from_secs(20), "the quiet class: {desk:?}");
    assert!(flood.admitted > 30 && flood.longest_gap < Duration::from_secs(25), "the flood: {flood:?}");
}

/// Submits the flood for five minutes and prints the results of each class.
#[test]
#[ignore = "takes minutes"]
fn results_of_a_five_minute_flood() {
    let (harness, mut users) = flood("overload-long", 300);
    assert!(harness.fake_services().violations.is_empty(), "{:?}", harness.fake_services().violations);
    for (class, outcome) in &mut users.outcomes {
        let (median, slow) = outcome.median_and_99th_ms();
        println!(
            "{class}: {} attempts, admitted {}, refused {}, unavailable {}, longest gap {:.1} s, response times {median} ms (median), {slow} ms (99%)",
            outcome.attempts,
            outcome.admitted,
            outcome.refused,
            outcome.unavailable,
            outcome.longest_gap.as_secs_f64()
        );
    }
    println!("refusals by node: {:?}", users.refused_by);
}
