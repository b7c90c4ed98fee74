//! The leader keys and the keys that announce which storage format a controller supports, with the transactions that
//! write them.

use crate::fixture::{self, Example, example};
use caperstile::leadership::{self, Leadership, StepDownReason};
use caperstile::store::{ServiceResponse, StoreRequest};
use caperstile::types::{Duration, FencingToken, Timestamp};
use caperstile::upgrade::{self, Format, Upgrade};
use rand::{SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};

fn response(status: u16, body: Value) -> ServiceResponse {
    ServiceResponse { status, body: body.to_string().into() }
}

/// Describes a request in the notation of the fixtures. The encoding of HTTP requests is not tested here.
fn description(request: &StoreRequest) -> String {
    match request {
        StoreRequest::Get(key) => format!("get {key}"),
        StoreRequest::Scan { prefix, after } => {
            format!("scan {prefix} after {}", after.as_deref().unwrap_or("the begin"))
        }
        StoreRequest::CompareAndSwap(txn) => serde_json::to_string(txn).expect("JSON"),
        StoreRequest::GrantLease(life) => format!("grant {}", life.as_millis()),
        StoreRequest::RenewLease(lease) => format!("renew {lease}"),
        StoreRequest::RevokeLease(lease) => format!("revoke {lease}"),
    }
}

/// Returns the value that an encoded transaction writes to a key.
fn value_put(transaction: &str, key: &str) -> Value {
    let transaction: Value = serde_json::from_str(transaction).expect("a transaction");
    let writes = transaction["Writes"].as_array().expect("an array of writes");
    writes.iter().find(|write| write["Write"] == key).expect("a write to the key")["V"].clone()
}

/// A candidate for leadership with a simulated clock, and the events that are not processed yet.
struct Candidate {
    leadership: Leadership,
    now: Timestamp,
    events: Vec<leadership::LeadershipEvent>,
}

impl Candidate {
    fn new(node: &str, incarnation: u64) -> Candidate {
        let leadership = Leadership::new(node, incarnation, Duration::from_millis(2500), SmallRng::seed_from_u64(1));
        Candidate { leadership, now: Timestamp::START, events: Vec::new() }
    }

    /// Advances the clock until the candidate makes a request. Returns the latest one with its id.
    fn next_request(&mut self) -> (u64, StoreRequest) {
        for _ in 0..100 {
            let request = self.events.drain(..).rev().find_map(|event| match event {
                leadership::LeadershipEvent::Request(id, request) => Some((id, request)),
                _ => None,
            });
            if let Some(request) = request {
                return request;
            }
            self.now = self.now + Duration::from_millis(50);
            self.leadership.tick(self.now, &mut self.events);
        }
        panic!("no request within 100 steps of 50 ms");
    }

    /// Gives this response to the candidate's next request. Returns a description of the request.
    fn respond(&mut self, reply: &ServiceResponse) -> String {
        let (id, request) = self.next_request();
        self.leadership.handle_response(self.now, id, reply, &mut self.events);
        description(&request)
    }
}

#[test]
fn election_and_key_relocation_make_the_same_store_calls() {
    let mut candidate = Candidate::new("n0", 7);
    let mut calls: Vec<Example> = Vec::new();
    calls.push(example("look", candidate.respond(&response(404, json!({"Ledger": 3})))));
    calls.push(example("lease", candidate.respond(&response(200, json!({"Permit": 4})))));
    calls.push(example("campaign", candidate.respond(&response(200, json!({"Ledger": 9})))));
    assert_eq!((candidate.leadership.token(), candidate.leadership.format()), (Some(FencingToken(9)), Format::One));
    candidate.leadership.request_key_relocation();
    calls.push(example("renewal", candidate.respond(&response(200, json!({})))));
    calls.push(example("move", candidate.respond(&response(200, json!({"Ledger": 12})))));
    assert_eq!((candidate.leadership.token(), candidate.leadership.format()), (Some(FencingToken(12)), Format::Two));
    candidate.leadership.yield_leadership(candidate.now, StepDownReason::NoWorkerReachable, &mut candidate.events);
    calls.push(example("revocation", description(&candidate.next_request().1)));
    fixture::assert_examples("stored/leader-keys.txt", &calls);
}

#[test]
fn a_follower_reads_both_leader_keys() {
    let moved = fixture::example_of("stored/leader-keys.txt", "move");
    let mut follower = Candidate::new("n1", 8);
    let old = json!({"K": "leader", "V": value_put(&moved, "leader"), "Stamp": 12});
    assert_eq!(follower.respond(&response(200, old)), "get leader");
    let new = json!({"K": "leader-2", "V": value_put(&moved, "leader-2"), "Stamp": 12, "Permit": 4});
    assert_eq!(follower.respond(&response(200, new)), "get leader-2");
    assert_eq!((follower.leadership.leader(), follower.leadership.format()), (Some("n0"), Format::Two));
    assert_eq!(follower.leadership.highest_observed_token(), FencingToken(12));
}

#[test]
fn the_format_announcement_keeps_its_key_and_value() {
    let (mut node, mut events) = (Upgrade::new("n0", std::iter::empty()), Vec::new());
    node.tick(Timestamp::START, true, &mut events);
    let Some(upgrade::UpgradeEvent::Request(id, request)) = events.pop() else {
        panic!("the controller does not announce its format")
    };
    node.handle_response(Timestamp::START, id, &response(200, json!({"Ledger": 4})), &mut events);
    node.tick(Timestamp::START, true, &mut events);
    let Some(upgrade::UpgradeEvent::Request(id, scan)) = events.pop() else {
        panic!("the controller does not read the announcements of others")
    };
    fixture::assert_examples(
        "stored/version-keys.txt",
        &[example("announcement", description(&request)), example("look", description(&scan))],
    );

    let announcement = fixture::example_of("stored/version-keys.txt", "announcement");
    let own = json!({"K": "version/n0", "V": value_put(&announcement, "version/n0"), "Stamp": 4});
    node.handle_response(Timestamp::START, id, &response(200, json!({"Pairs": [own], "More": false})), &mut events);
    assert_eq!(events, [upgrade::UpgradeEvent::AllUpgraded]);
}
