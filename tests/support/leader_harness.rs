//! A harness for a leader of a given size without sockets. It loads a predecessor's log, and each of its requests gets
//! a response immediately.
#![allow(dead_code)]

use caperstile::cloud::CloudRequest;
use caperstile::controller::Controller;
use caperstile::effects::{Effect, Input};
use caperstile::jobs::parse_submission;
use caperstile::settings::Settings;
use caperstile::store::{ServiceResponse, StoreRequest};
use caperstile::types::{Duration, MachineId, Timestamp, WallClock};
use caperstile::wire::Heartbeat;
use caperstile::write_ahead_log::{LogRecord, MachineRecord};
use serde_json::{Value, json};

/// Number of tasks on each machine.
pub const TASKS_PER_MACHINE: u64 = 16;
const ZONES: [&str; 4] = ["a", "b", "c", "d"];

fn settings() -> Settings {
    let text = "node = \"n0\"\napi_addr = \"127.0.0.1:1\"\npeer_bind = \"127.0.0.1:2\"\n\
        [[seeds]]\nnode = \"n1\"\naddress = \"127.0.0.1:3\"\n\
        [external]\ncloud = \"127.0.0.1:4\"\nstate = \"127.0.0.1:5\"\n[deployment]\nsize = 2\n\
        [[deployment.teams]]\nname = \"crew\"\n\
        [deployment.workers]\nreport_s = 6.0\nlease_s = 31.0\ncancel_s = 51.0\n\
        [deployment.state]\nrps = 400.0\nwrite_rps = 50.0\nvalue_kb = 8.0\ntxn_ops = 24\n\
        [deployment.cloud]\nrps = 6.0\nlist_lag_s = 10.0\n[deployment.resources]\nmemory_mb = 158.0\nfd_limit = 2129\n";
    Settings::parse(text).expect("valid settings")
}

pub fn submission(id: u64) -> Vec<u8> {
    json!({"Ref": format!("job-{id:06}"), "Lane": "render", "Crew": "crew", "Shape": "batch", "Rank": "standard", "Pieces": TASKS_PER_MACHINE,
        "Cores": 2.0, "Cards": 0.0, "MemoryGb": 6.0, "Reel": format!("img-{}", id % 10), "ImageGb": 1.0, "Together": false,
        "Spread": false, "Loaners": true, "RuntimeS": 40.0, "BookmarkS": 0.0, "StashS": 0.0})
    .to_string()
    .into_bytes()
}

/// Returns the log of a predecessor: registered machines, and an accepted job for each of them.
pub fn log_entries(machines: u64) -> Vec<Value> {
    let record = |id| MachineRecord {
        id: MachineId(id),
        endpoint: "10.0.0.1:1".into(),
        machine_type: "big".into(),
        zone: ZONES[(id % 4) as usize].into(),
        spot: true,
        provisioned_at: WallClock::default(),
    };
    let registrations = (1..=machines).map(|id| LogRecord::MachineRegistered(record(id)));
    let jobs = (1..=machines).map(|id| {
        LogRecord::JobAccepted(parse_submission(&submission(id), WallClock::default()).expect("a valid job"))
    });
    let records: Vec<Value> = registrations.chain(jobs).map(|r| serde_json::to_value(r).expect("JSON")).collect();
    records.chunks(40).map(|part| part.to_vec().into()).collect()
}

/// Returns a heartbeat of a worker whose machine is fully used by one job's tasks.
pub fn heartbeat(id: u64, seq: u64, token: u64) -> Heartbeat {
    let tasks: Vec<Value> = (0..TASKS_PER_MACHINE)
        .map(|n| json!({"Piece": format!("job-{id:06}/{n}"), "Try": id * TASKS_PER_MACHINE + n + 1, "Status": "running"}))
        .collect();
    serde_json::from_value(json!({"Host": MachineId(id).to_string(), "Endpoint": "10.0.0.1:1", "Build": "big",
        "Yard": ZONES[(id % 4) as usize], "Loaners": true, "Shift": 1, "Tally": seq, "Baton": token, "Pieces": tasks}))
    .expect("a valid heartbeat")
}

pub struct LeaderHarness {
    pub node: Controller,
    log: Vec<Value>,
    pub now: Timestamp,
}

impl LeaderHarness {
    pub fn new(log: &[Value]) -> LeaderHarness {
        LeaderHarness { node: Controller::new(settings(), 7), log: log.to_vec(), now: Timestamp::START }
    }

    /// Advances time, then handles an input.
    pub fn handle_after(&mut self, milliseconds: u64, input: Input) {
        self.now = self.now + Duration::from_millis(milliseconds);
        self.handle(input);
    }

    /// Passes an input to the node, and immediately the responses to all requests that result from it.
    pub fn handle(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for effect in self.node.handle(self.now, WallClock::from_millis(self.now.as_millis()), input) {
                inputs.extend(self.respond(effect));
            }
        }
    }

    fn respond(&self, effect: Effect) -> Option<Input> {
        let service_response = |status, body: Value| ServiceResponse { status, body: body.to_string().into() };
        match effect {
            Effect::CallStore(caller, id, request) => {
                let respond = match request {
                    StoreRequest::Get(_) => service_response(404, json!({"Ledger": 3})),
                    StoreRequest::GrantLease(_) => service_response(200, json!({"Permit": 4})),
                    StoreRequest::Scan { prefix, .. } if prefix == "log/" => {
                        let pair = |(n, v)| json!({"K": format!("log/{:012}", n + 1), "V": v, "Stamp": 5});
                        let pairs: Vec<Value> = self.log.iter().enumerate().map(pair).collect();
                        service_response(200, json!({"Pairs": pairs, "More": false, "Ledger": 9}))
                    }
                    StoreRequest::Scan { .. } => {
                        service_response(200, json!({"Pairs": [], "More": false, "Ledger": 9}))
                    }
                    _ => service_response(200, json!({"Ledger": 9})),
                };
                Some(Input::StoreResponse(caller, id, respond))
            }
            Effect::CallCloud(token, id, request) => {
                let body = match request {
                    CloudRequest::MachineTypes => json!({"Builds": [{"Label": "big", "Cores": 32.0, "MemoryGb": 128.0,
                        "FetchGbPerS": 0.25, "Hourly": 2.0, "MarketPrice": 0.6, "BootS": 25.0, "Yards": ZONES}]}),
                    _ => json!({"Hosts": [], "More": false}),
                };
                Some(Input::CloudResponse(token, id, service_response(200, body)))
            }
            Effect::SendCommands { token, machine, id, .. } => {
                let body = serde_json::to_vec(&heartbeat(machine.0, 1, token)).expect("JSON");
                Some(Input::CommandResponse(token, machine, id, ServiceResponse { status: 200, body: body.into() }))
            }
            _ => None,
        }
    }

    /// Advances time until the node leads and has fenced every machine.
    pub fn elect(&mut self) {
        while !self.node.leader().is_some_and(|r| r.is_loaded() && r.all_machines_fenced()) {
            self.handle_after(50, Input::Tick);
        }
    }
}
