//! Responses of controllers to users, workers and the load balancer: status code, `Retry-After` and body.

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

/// Settings of a two-node deployment. `value_kb` is so small that a job with very long names exceeds the value size
/// limit.
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

/// Log records of an earlier leader: machine 231 is registered, machine 7 was registered and is gone, job 1 is open
/// (heartbeats of machine 231 report a running task of it), job 2 is finished and job 3 is cancelled.
const LOG: &str = r#"[
    {"m": {"i": 231, "e": "10.1.0.232:9000", "k": "g8", "z": "a", "s": true, "a": 0}},
    {"m": {"i": 7, "e": "10.1.0.8:9000", "k": "g8", "z": "a", "s": true, "a": 0}},
    {"g": 7},
    {"j": {"i": 1, "l": "train", "t": "vision", "k": false, "r": 1, "n": 2, "c": {"cpus": 8000, "gpus": 1000, "memory": 64000},
           "m": "img-07", "g": 6200, "p": true, "e": 240000, "a": 0}},
    {"f": [[[2, 16]], [3]]}
]"#;

/// A controller with a simulated clock, a fake state service and a fake cloud.
struct Node {
    controller: Controller,
    now: Timestamp,
    requests: u64,
    responses: Vec<(RequestOrigin, ApiResponse)>,
    state_service_responds: bool,
    cloud_responds: bool,
    forwarded: usize,
}

impl Node {
    fn new(settings: &str) -> Node {
        let settings = Settings::parse(settings).expect("settings");
        Node {
            controller: Controller::new(settings, 7),
            now: Timestamp::START,
            requests: 0,
            responses: Vec::new(),
            state_service_responds: true,
            cloud_responds: true,
            forwarded: 0,
        }
    }

    /// Returns a leader that has loaded the log and received the machine types.
    fn loaded_leader(settings: &str) -> Node {
        let mut node = Node::new(settings);
        node.run_until(|node| node.controller.leader().is_some_and(|term| term.is_loaded()));
        node.advance(1000);
        node
    }

    /// Returns a follower that has received a leader announcement and is connected to that leader. Its state service
    /// does not respond, so it cannot be elected itself.
    fn follower() -> Node {
        let mut node = Node::new(SETTINGS);
        node.state_service_responds = false;
        node.handle(Input::PeerLinkChanged("n1".into(), true));
        node.handle(Input::LeaderAnnounced("n1".into(), FencingToken(41)));
        node
    }

    /// Passes an input to the controller, then the responses to all requests that it makes in turn, without advancing
    /// the clock.
    fn handle(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for effect in self.controller.handle(self.now, WallClock::from_millis(1_700_000_000_123), input) {
                inputs.extend(self.execute(effect));
            }
        }
    }

    fn execute(&mut self, effect: Effect) -> Option<Input> {
        match effect {
            Effect::Respond(origin, response) => self.responses.push((origin, response)),
            Effect::Forward(..) => self.forwarded += 1,
            Effect::CallStore(slot, id, request) if self.state_service_responds => {
                return Some(Input::StoreResponse(slot, id, state_service_response(&request)));
            }
            Effect::CallCloud(token, id, request) if self.cloud_responds => {
                return Some(Input::CloudResponse(token, id, cloud_response(&request)));
            }
            _ => {}
        }
        None
    }

    fn advance(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds / 50 {
            self.now = self.now + Duration::from_millis(50);
            self.handle(Input::Tick);
        }
    }

    fn run_until(&mut self, condition: impl Fn(&Node) -> bool) {
        for _ in 0..200 {
            if condition(self) {
                return;
            }
            self.advance(50);
        }
        panic!("the condition did not hold within 200 steps of 50 ms");
    }

    /// Sends a request and advances the clock until the response arrives. Returns the response as a line of the
    /// fixtures.
    fn response_to(&mut self, input: impl FnOnce(RequestOrigin) -> Input) -> String {
        self.requests += 1;
        let origin = RequestOrigin::Http(self.requests);
        self.handle(input(origin));
        self.run_until(|node| node.responses.iter().any(|(to, _)| *to == origin));
        let (_, response) = self.responses.iter().find(|(to, _)| *to == origin).expect("a response");
        format!("{} retry-after={} {}", response.status, response.retry_after, response.body)
    }

    fn submit(&mut self, body: &Value) -> String {
        self.response_to(|origin| Input::User(origin, UserRequest::submit(body.to_string().into_bytes())))
    }

    fn get(&mut self, id: &str) -> String {
        self.response_to(|origin| Input::User(origin, UserRequest::Get(id.into())))
    }

    fn cancel(&mut self, id: &str) -> String {
        self.response_to(|origin| Input::User(origin, UserRequest::Cancel(id.into())))
    }

    fn check_health(&mut self) -> String {
        self.response_to(Input::HealthCheck)
    }

    fn heartbeat(&mut self, heartbeat: &Value) -> String {
        let heartbeat = serde_json::from_value(heartbeat.clone()).expect("a heartbeat");
        self.response_to(|origin| Input::Heartbeat(origin, Box::new(heartbeat)))
    }
}

fn json_response(status: u16, body: Value) -> ServiceResponse {
    ServiceResponse { status, body: body.to_string().into() }
}

fn state_service_response(request: &StoreRequest) -> ServiceResponse {
    match request {
        StoreRequest::Get(_) => json_response(404, json!({"Ledger": 3})),
        StoreRequest::GrantLease(_) => json_response(200, json!({"Permit": 4})),
        StoreRequest::Scan { prefix, .. } if prefix == "log/" => {
            let entry: Value = serde_json::from_str(LOG).expect("log records");
            json_response(
                200,
                json!({"Pairs": [{"K": "log/000000000001", "V": entry, "Stamp": 5}], "More": false, "Ledger": 9}),
            )
        }
        StoreRequest::Scan { .. } => json_response(200, json!({"Pairs": [], "More": false, "Ledger": 9})),
        _ => json_response(200, json!({"Ledger": 9})),
    }
}

fn cloud_response(request: &CloudRequest) -> ServiceResponse {
    match request {
        CloudRequest::MachineTypes => {
            let machine_type = json!({"Label": "g8", "Cores": 96, "Cards": 8, "MemoryGb": 768, "LocalGb": 200,
                "FetchGbPerS": 1.0, "Hourly": 12.0, "MarketPrice": 4.5, "BootS": 45, "Yards": ["a", "b"]});
            json_response(200, json!({"Builds": [machine_type]}))
        }
        CloudRequest::ScaleOut(_) => json_response(503, json!({"error": "no capacity"})),
        _ => json_response(200, json!({"Hosts": [], "More": false})),
    }
}

/// Returns the protocol's example of a submission with these fields changed.
fn submission(changes: &[(&str, Value)]) -> Value {
    let mut body: Value = serde_json::from_str(&example_of(SUBMISSIONS, "protocol")).expect("a submission");
    for (field, value) in changes {
        body[*field] = value.clone();
    }
    body
}

/// Returns the heartbeat of machine 231 with these fields changed.
fn heartbeat(changes: &[(&str, Value)]) -> Value {
    let mut body = json!({"Host": "m-000231", "Endpoint": "10.1.0.232:9000", "Build": "g8", "Yard": "a", "Loaners": true,
        "Shift": 1, "Tally": 88, "Baton": 9, "Pieces": [{"Piece": "job-000001/0", "Try": 5, "Status": "running"}]});
    for (field, value) in changes {
        body[*field] = value.clone();
    }
    body
}

#[test]
fn leader_responses_to_users_match_the_fixture() {
    let mut node = Node::loaded_leader(SETTINGS);
    let job_id = |id: &str| ("Ref", json!(id));
    let responses = [
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
        example("submit:malformed", node.submit(&submission(&[job_id("job-000413"), ("Pieces", json!(0))]))),
        example("submit:not-an-object", node.submit(&json!([1]))),
        example(
            "submit:long-names",
            node.submit(&submission(&[
                job_id("job-000414"),
                ("Lane", json!("x".repeat(200))),
                ("Reel", json!("x".repeat(200))),
            ])),
        ),
        example("submit:unknown-team", node.submit(&submission(&[job_id("job-000413"), ("Crew", json!("nobody"))]))),
        example("submit:cpus-over-limit", node.submit(&submission(&[job_id("job-000413"), ("Crew", json!("small"))]))),
        example(
            "submit:gpus-over-limit",
            node.submit(&submission(&[
                job_id("job-000413"),
                ("Crew", json!("small")),
                ("Cores", json!(1.0)),
                ("Cards", json!(2.0)),
            ])),
        ),
        example("submit:too-large", node.submit(&submission(&[job_id("job-000413"), ("MemoryGb", json!(769.0))]))),
        example("submit:gang", node.submit(&submission(&[job_id("job-000413"), ("Shape", json!("group"))]))),
    ];
    fixture::assert_examples("wire/answers-to-users.txt", &responses);
}

#[test]
fn leader_responses_to_heartbeats_match_the_fixture() {
    let mut node = Node::loaded_leader(SETTINGS);
    let first = node.heartbeat(&heartbeat(&[]));
    node.advance(500);
    let responses = [
        example("report", first),
        example("get:running", node.get("job-000001")),
        example("report:late", node.heartbeat(&heartbeat(&[("Tally", json!(87))]))),
        example(
            "report:exited",
            node.heartbeat(&heartbeat(&[
                ("Tally", json!(89)),
                ("Pieces", json!([{"Piece": "job-000001/0", "Try": 5, "Status": "exited", "Cause": "done"}])),
            ])),
        ),
        example("report:of-a-cancelled-job", {
            let tasks = json!([{"Piece": "job-000003/0", "Try": 5, "Status": "running"}]);
            node.heartbeat(&heartbeat(&[("Host", json!("m-000232")), ("Baton", json!(0)), ("Pieces", tasks)]))
        }),
        example("report:no-name", node.heartbeat(&heartbeat(&[("Host", json!("x"))]))),
        example("report:returned", node.heartbeat(&heartbeat(&[("Host", json!("m-000007"))]))),
        example("report:higher-token", node.heartbeat(&heartbeat(&[("Tally", json!(99)), ("Baton", json!(99))]))),
    ];
    fixture::assert_examples("wire/answers-to-workers.txt", &responses);
}

#[test]
fn responses_of_nodes_that_cannot_serve_match_the_fixture() {
    let mut responses: Vec<Example> = Vec::new();
    let mut starting = Node::new(SETTINGS);
    starting.state_service_responds = false;
    responses.push(example("up:starting", starting.check_health()));
    responses.push(example("report:starting", starting.heartbeat(&heartbeat(&[]))));
    responses.push(example("submit:starting", starting.submit(&submission(&[]))));

    let mut loading = Node::new(SETTINGS);
    loading.run_until(|node| node.controller.leader().is_some());
    responses.push(example("up:leading", loading.check_health()));

    let mut without_types = Node::new(SETTINGS);
    without_types.cloud_responds = false;
    without_types.run_until(|node| node.controller.leader().is_some_and(|term| term.is_loaded()));
    responses.push(example("submit:types-not-known", without_types.submit(&submission(&[]))));

    let mut at_job_limit = Node::loaded_leader(&SETTINGS.replace("memory_mb = 56.0", "memory_mb = 0.02"));
    responses.push(example("submit:too-many-open", at_job_limit.submit(&submission(&[]))));

    let mut disconnected = Node::loaded_leader(SETTINGS);
    disconnected.state_service_responds = false;
    responses.push(example("submit:no-state-service", disconnected.submit(&submission(&[]))));
    responses.push(example("get:in-doubt", disconnected.get("job-000001")));
    responses.push(example("cancel:in-doubt", disconnected.cancel("job-000001")));
    responses.push(example("get:done-in-doubt", disconnected.get("job-000002")));
    fixture::assert_examples("wire/answers-of-others.txt", &responses);
}

#[test]
fn follower_responses_match_the_fixture() {
    let mut node = Node::follower();
    let mut responses = vec![
        example("up", node.check_health()),
        example("report", node.heartbeat(&heartbeat(&[]))),
        example("submit:leader-silent", node.submit(&submission(&[]))),
    ];
    assert_eq!(node.forwarded, 1);
    let entry = TableEntry { pair: TeamClassPair::new("vision", "train"), ratio: Ratio::from_share(0.0) };
    let number = TableNumber { token: FencingToken(41), sequence: 1 };
    let table = AdmissionTable::new(number, 3, [entry], [412].into_iter().collect());
    node.handle(Input::AdmissionTableReceived(Box::new(table)));
    for id in [413, 414, 415] {
        let refused = node.submit(&submission(&[("Ref", json!(JobId(id).to_string()))]));
        responses.push(example(format!("submit:refused-{id}"), refused));
    }
    assert_eq!(node.forwarded, 1, "refused submissions are not forwarded to the leader");
    fixture::assert_examples("wire/answers-of-followers.txt", &responses);
    assert!(examples("wire/answers-of-followers.txt").iter().any(|(_, response)| response.starts_with("429 ")));
}
