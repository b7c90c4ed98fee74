//! What controllers answer to users, workers and the load balancer: status, `Retry-After` and body.

use crate::fixture::{self, Example, example, example_of, examples};
use caperstile::api::{ApiResponse, UserRequest};
use caperstile::cloud::CloudRequest;
use caperstile::controller::Controller;
use caperstile::effects::{Effect, Input, RequestOrigin};
use caperstile::settings::Settings;
use caperstile::store::{ServiceResponse, StoreRequest};
use caperstile::types::{Duration, FencingToken, JobId, Timestamp, WallClock};
use caperstile_admission::{AdmissionTable, Ratio, TableEntry, TableNumber, TeamClassPair};
use serde_json::{Value, json};

const SUBMISSIONS: &str = "wire/submissions.txt";

/// Settings whose values hold a job only if its names are not very long.
const SETTINGS: &str = r#"
    node = "n0"
    api_addr = "127.0.0.1:1"
    peer_bind = "127.0.0.1:2"
    [[seeds]]
    node = "n1"
    address = "127.0.0.1:3"
    [external]
    cloud = "127.0.0.1:4"
    state = "127.0.0.1:5"
    [deployment]
    size = 2
    [[deployment.teams]]
    name = "vision"
    [[deployment.teams]]
    name = "small"
    cpus_max = 4.0
    gpus_max = 1.0
    [deployment.workers]
    report_s = 2.0
    lease_s = 16.0
    cancel_s = 41.0
    [deployment.state]
    rps = 200.0
    write_rps = 50.0
    value_kb = 0.6
    txn_ops = 16
    [deployment.cloud]
    rps = 6.0
    list_lag_s = 8.0
    [deployment.resources]
    memory_mb = 56.0
    fd_limit = 900
"#;

/// What an earlier leader left: a machine with a task of a job that is open, one that is returned, and jobs that are over.
const LOG: &str = r#"[
    {"m": {"i": 231, "e": "10.1.0.232:9000", "k": "g8", "z": "a", "s": true, "a": 0}},
    {"m": {"i": 7, "e": "10.1.0.8:9000", "k": "g8", "z": "a", "s": true, "a": 0}},
    {"g": 7},
    {"j": {"i": 1, "l": "train", "t": "vision", "k": false, "r": 1, "n": 2, "c": {"cpus": 8000, "gpus": 1000, "memory": 64000},
           "m": "img-07", "g": 6200, "p": true, "e": 240000, "a": 0}},
    {"f": [[[2, 16]], [3]]}
]"#;

/// A controller, and the services that it asks.
struct Node {
    controller: Controller,
    now: Timestamp,
    requests: u64,
    answers: Vec<(RequestOrigin, ApiResponse)>,
    state_answers: bool,
    cloud_answers: bool,
    forwarded: usize,
}

impl Node {
    fn new(settings: &str) -> Node {
        let settings = Settings::parse(settings).expect("settings");
        Node {
            controller: Controller::new(settings, 7),
            now: Timestamp::START,
            requests: 0,
            answers: Vec::new(),
            state_answers: true,
            cloud_answers: true,
            forwarded: 0,
        }
    }

    /// A leader that has read the log and knows machine types.
    fn leading(settings: &str) -> Node {
        let mut node = Node::new(settings);
        node.until(|node| node.controller.leader().is_some_and(|term| term.is_loaded()));
        node.pass(1000);
        node
    }

    /// A controller without the state service that has been told of a leader and has a link to it.
    fn following() -> Node {
        let mut node = Node::new(SETTINGS);
        node.state_answers = false;
        node.feed(Input::PeerLinkChanged("n1".into(), true));
        node.feed(Input::LeaderAnnounced("n1".into(), FencingToken(41)));
        node
    }

    /// Feeds an input and, at once, the answers to all that the node asks for.
    fn feed(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for effect in self.controller.handle(self.now, WallClock::from_millis(1_700_000_000_123), input) {
                inputs.extend(self.carry_out(effect));
            }
        }
    }

    fn carry_out(&mut self, effect: Effect) -> Option<Input> {
        match effect {
            Effect::Respond(origin, answer) => self.answers.push((origin, answer)),
            Effect::Forward(..) => self.forwarded += 1,
            Effect::CallStore(slot, id, call) if self.state_answers => {
                return Some(Input::StoreResponse(slot, id, stored(&call)));
            }
            Effect::CallCloud(token, id, call) if self.cloud_answers => {
                return Some(Input::CloudResponse(token, id, rented(&call)));
            }
            _ => {}
        }
        None
    }

    fn pass(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds / 50 {
            self.now = self.now + Duration::from_millis(50);
            self.feed(Input::Tick);
        }
    }

    fn until(&mut self, reached: impl Fn(&Node) -> bool) {
        for _ in 0..200 {
            if reached(self) {
                return;
            }
            self.pass(50);
        }
        panic!("it is not reached");
    }

    /// Asks, and lets time pass until the answer is there.
    fn answer_to(&mut self, input: impl FnOnce(RequestOrigin) -> Input) -> String {
        self.requests += 1;
        let origin = RequestOrigin::Http(self.requests);
        self.feed(input(origin));
        self.until(|node| node.answers.iter().any(|(to, _)| *to == origin));
        let (_, answer) = self.answers.iter().find(|(to, _)| *to == origin).expect("an answer");
        format!("{} retry-after={} {}", answer.status, answer.retry_after, answer.body)
    }

    fn submit(&mut self, body: &Value) -> String {
        self.answer_to(|origin| Input::User(origin, UserRequest::Submit(body.to_string().into_bytes())))
    }

    fn get(&mut self, id: &str) -> String {
        self.answer_to(|origin| Input::User(origin, UserRequest::Get(id.into())))
    }

    fn cancel(&mut self, id: &str) -> String {
        self.answer_to(|origin| Input::User(origin, UserRequest::Cancel(id.into())))
    }

    fn up(&mut self) -> String {
        self.answer_to(Input::HealthCheck)
    }

    fn report(&mut self, report: &Value) -> String {
        let report = serde_json::from_value(report.clone()).expect("a report");
        self.answer_to(|origin| Input::Heartbeat(origin, Box::new(report)))
    }
}

fn reply(status: u16, body: Value) -> ServiceResponse {
    ServiceResponse { status, body: body.to_string().into() }
}

fn stored(call: &StoreRequest) -> ServiceResponse {
    match call {
        StoreRequest::Get(_) => reply(404, json!({"Ledger": 3})),
        StoreRequest::GrantLease(_) => reply(200, json!({"Permit": 4})),
        StoreRequest::Scan { prefix, .. } if prefix == "log/" => {
            let entry: Value = serde_json::from_str(LOG).expect("facts");
            reply(
                200,
                json!({"Pairs": [{"K": "log/000000000001", "V": entry, "Stamp": 5}], "More": false, "Ledger": 9}),
            )
        }
        StoreRequest::Scan { .. } => reply(200, json!({"Pairs": [], "More": false, "Ledger": 9})),
        _ => reply(200, json!({"Ledger": 9})),
    }
}

fn rented(call: &CloudRequest) -> ServiceResponse {
    match call {
        CloudRequest::MachineTypes => {
            let flavor = json!({"Label": "g8", "Cores": 96, "Cards": 8, "MemoryGb": 768, "LocalGb": 200, "FetchGbPerS": 1.0,
                "Hourly": 12.0, "MarketPrice": 4.5, "BootS": 45, "Yards": ["a", "b"]});
            reply(200, json!({"Builds": [flavor]}))
        }
        CloudRequest::ScaleOut(_) => reply(503, json!({"error": "no capacity"})),
        _ => reply(200, json!({"Hosts": [], "More": false})),
    }
}

/// The example of PROTOCOL with these fields changed.
fn submission(changes: &[(&str, Value)]) -> Value {
    let mut body: Value = serde_json::from_str(&example_of(SUBMISSIONS, "protocol")).expect("a submission");
    for (field, value) in changes {
        body[*field] = value.clone();
    }
    body
}

/// A report of a machine, with these fields changed.
fn report(changes: &[(&str, Value)]) -> Value {
    let mut body = json!({"Host": "m-000231", "Endpoint": "10.1.0.232:9000", "Build": "g8", "Yard": "a", "Loaners": true,
        "Shift": 1, "Tally": 88, "Baton": 9, "Pieces": [{"Piece": "job-000001/0", "Try": 5, "Status": "running"}]});
    for (field, value) in changes {
        body[*field] = value.clone();
    }
    body
}

#[test]
fn leader_responses_to_users_match_the_fixture() {
    let mut node = Node::leading(SETTINGS);
    let new_id = |id: &str| ("Ref", json!(id));
    let answers = [
        example("submit", node.submit(&submission(&[]))),
        example("submit:again", node.submit(&submission(&[]))),
        example("submit:again-but-malformed", node.submit(&json!({"Ref": "job-000412"}))),
        example("get:queued", node.get("job-000412")),
        example("get:done", node.get("job-000002")),
        example("get:aborted", node.get("job-000003")),
        example("get:unknown", node.get("job-999999")),
        example("get:no-id", node.get("x")),
        example("cancel", node.cancel("job-000412")),
        example("cancel:again", node.cancel("job-000412")),
        example("cancel:done", node.cancel("job-000002")),
        example("cancel:unknown", node.cancel("job-999999")),
        example("cancel:no-id", node.cancel("x")),
        example("cancel:earlier-leader's", node.cancel("job-000001")),
        example("submit:malformed", node.submit(&submission(&[new_id("job-000413"), ("Pieces", json!(0))]))),
        example("submit:not-an-object", node.submit(&json!([1]))),
        example(
            "submit:long-names",
            node.submit(&submission(&[
                new_id("job-000413"),
                ("Lane", json!("x".repeat(200))),
                ("Reel", json!("x".repeat(200))),
            ])),
        ),
        example("submit:unknown-team", node.submit(&submission(&[new_id("job-000413"), ("Crew", json!("nobody"))]))),
        example("submit:cpus-over-limit", node.submit(&submission(&[new_id("job-000413"), ("Crew", json!("small"))]))),
        example(
            "submit:gpus-over-limit",
            node.submit(&submission(&[
                new_id("job-000413"),
                ("Crew", json!("small")),
                ("Cores", json!(1.0)),
                ("Cards", json!(2.0)),
            ])),
        ),
        example("submit:too-large", node.submit(&submission(&[new_id("job-000413"), ("MemoryGb", json!(769.0))]))),
        example("submit:gang", node.submit(&submission(&[new_id("job-000413"), ("Shape", json!("group"))]))),
    ];
    fixture::assert_examples("wire/answers-to-users.txt", &answers);
}

#[test]
fn leader_responses_to_heartbeats_match_the_fixture() {
    let mut node = Node::leading(SETTINGS);
    let first = node.report(&report(&[]));
    node.pass(500);
    let answers = [
        example("report", first),
        example("get:running", node.get("job-000001")),
        example("report:late", node.report(&report(&[("Tally", json!(87))]))),
        example(
            "report:exited",
            node.report(&report(&[
                ("Tally", json!(89)),
                ("Pieces", json!([{"Piece": "job-000001/0", "Try": 5, "Status": "exited", "Cause": "done"}])),
            ])),
        ),
        example("report:of-a-cancelled-job", {
            let tasks = json!([{"Piece": "job-000003/0", "Try": 5, "Status": "running"}]);
            node.report(&report(&[("Host", json!("m-000232")), ("Baton", json!(0)), ("Pieces", tasks)]))
        }),
        example("report:no-name", node.report(&report(&[("Host", json!("x"))]))),
        example("report:returned", node.report(&report(&[("Host", json!("m-000007"))]))),
        example("report:higher-token", node.report(&report(&[("Tally", json!(99)), ("Baton", json!(99))]))),
    ];
    fixture::assert_examples("wire/answers-to-workers.txt", &answers);
}

#[test]
fn responses_of_nodes_that_cannot_serve_match_the_fixture() {
    let mut answers: Vec<Example> = Vec::new();
    let mut starting = Node::new(SETTINGS);
    starting.state_answers = false;
    answers.push(example("up:starting", starting.up()));
    answers.push(example("report:starting", starting.report(&report(&[]))));
    answers.push(example("submit:starting", starting.submit(&submission(&[]))));

    let mut loading = Node::new(SETTINGS);
    loading.until(|node| node.controller.leader().is_some());
    answers.push(example("up:leading", loading.up()));

    let mut without_types = Node::new(SETTINGS);
    without_types.cloud_answers = false;
    without_types.until(|node| node.controller.leader().is_some_and(|term| term.is_loaded()));
    answers.push(example("submit:types-not-known", without_types.submit(&submission(&[]))));

    let mut full = Node::leading(&SETTINGS.replace("memory_mb = 56.0", "memory_mb = 0.02"));
    answers.push(example("submit:too-many-open", full.submit(&submission(&[]))));

    let mut cut_off = Node::leading(SETTINGS);
    cut_off.state_answers = false;
    answers.push(example("submit:no-state-service", cut_off.submit(&submission(&[]))));
    answers.push(example("get:in-doubt", cut_off.get("job-000001")));
    answers.push(example("cancel:in-doubt", cut_off.cancel("job-000001")));
    answers.push(example("get:done-in-doubt", cut_off.get("job-000002")));
    fixture::assert_examples("wire/answers-of-others.txt", &answers);
}

#[test]
fn follower_responses_match_the_fixture() {
    let mut node = Node::following();
    let mut answers = vec![
        example("up", node.up()),
        example("report", node.report(&report(&[]))),
        example("submit:leader-silent", node.submit(&submission(&[]))),
    ];
    assert_eq!(node.forwarded, 1);
    let entry = TableEntry { pair: TeamClassPair::new("vision", "train"), ratio: Ratio::from_share(0.0) };
    let number = TableNumber { token: FencingToken(41), sequence: 1 };
    let table = AdmissionTable::new(number, 3, [entry], [412].into_iter().collect());
    node.feed(Input::AdmissionTableReceived(Box::new(table)));
    for id in [413, 414, 415] {
        let refused = node.submit(&submission(&[("Ref", json!(JobId(id).to_string()))]));
        answers.push(example(format!("submit:refused-{id}"), refused));
    }
    assert_eq!(node.forwarded, 1, "what is refused is not forwarded");
    fixture::assert_examples("wire/answers-of-followers.txt", &answers);
    assert!(examples("wire/answers-of-followers.txt").iter().any(|(_, answer)| answer.starts_with("429 ")));
}
