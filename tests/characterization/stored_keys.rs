//! The keys by which controllers elect a leader and say which format they read, with the transactions that write them.

use crate::fixture::{self, Example, example};
use caperstile::leadership::{self, Leadership, StepDownReason};
use caperstile::store::{ServiceResponse, StoreRequest};
use caperstile::types::{Duration, FencingToken, Timestamp};
use caperstile::upgrade::{self, Format, Upgrade};
use rand::{SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};

fn answer(status: u16, body: Value) -> ServiceResponse {
    ServiceResponse { status, body: body.to_string().into() }
}

/// A call in words of this test; the form of calls on the wire is pinned elsewhere.
fn words(call: &StoreRequest) -> String {
    match call {
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

/// The value that a transaction in a fixture puts under a key.
fn value_put(transaction: &str, key: &str) -> Value {
    let transaction: Value = serde_json::from_str(transaction).expect("a transaction");
    let writes = transaction["Writes"].as_array().expect("changes");
    writes.iter().find(|write| write["Write"] == key).expect("it is put")["V"].clone()
}

/// A candidate, and what it asked for.
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

    /// Lets time pass until it asks for something.
    fn next_call(&mut self) -> (u64, StoreRequest) {
        for _ in 0..100 {
            let asked = self.events.drain(..).rev().find_map(|event| match event {
                leadership::LeadershipEvent::Request(id, call) => Some((id, call)),
                _ => None,
            });
            if let Some(asked) = asked {
                return asked;
            }
            self.now = self.now + Duration::from_millis(50);
            self.leadership.tick(self.now, &mut self.events);
        }
        panic!("it asks for nothing");
    }

    /// Answers its next call; the call in words.
    fn answer(&mut self, reply: &ServiceResponse) -> String {
        let (id, call) = self.next_call();
        self.leadership.handle_response(self.now, id, reply, &mut self.events);
        words(&call)
    }
}

#[test]
fn election_and_key_relocation_make_the_same_store_calls() {
    let mut candidate = Candidate::new("n0", 7);
    let mut made: Vec<Example> = Vec::new();
    made.push(example("look", candidate.answer(&answer(404, json!({"Ledger": 3})))));
    made.push(example("lease", candidate.answer(&answer(200, json!({"Permit": 4})))));
    made.push(example("campaign", candidate.answer(&answer(200, json!({"Ledger": 9})))));
    assert_eq!((candidate.leadership.token(), candidate.leadership.format()), (Some(FencingToken(9)), Format::One));
    candidate.leadership.request_key_relocation();
    made.push(example("renewal", candidate.answer(&answer(200, json!({})))));
    made.push(example("move", candidate.answer(&answer(200, json!({"Ledger": 12})))));
    assert_eq!((candidate.leadership.token(), candidate.leadership.format()), (Some(FencingToken(12)), Format::Two));
    candidate.leadership.yield_leadership(candidate.now, StepDownReason::NoWorkerReachable, &mut candidate.events);
    made.push(example("revocation", words(&candidate.next_call().1)));
    fixture::assert_examples("stored/leader-keys.txt", &made);
}

#[test]
fn a_follower_reads_both_leader_keys() {
    let moved = fixture::example_of("stored/leader-keys.txt", "move");
    let mut follower = Candidate::new("n1", 8);
    let old = json!({"K": "leader", "V": value_put(&moved, "leader"), "Stamp": 12});
    assert_eq!(follower.answer(&answer(200, old)), "get leader");
    let new = json!({"K": "leader-2", "V": value_put(&moved, "leader-2"), "Stamp": 12, "Permit": 4});
    assert_eq!(follower.answer(&answer(200, new)), "get leader-2");
    assert_eq!((follower.leadership.leader(), follower.leadership.format()), (Some("n0"), Format::Two));
    assert_eq!(follower.leadership.highest_observed_token(), FencingToken(12));
}

#[test]
fn the_format_announcement_keeps_its_key_and_value() {
    let (mut node, mut events) = (Upgrade::new("n0", std::iter::empty()), Vec::new());
    node.tick(Timestamp::START, true, &mut events);
    let Some(upgrade::UpgradeEvent::Request(id, call)) = events.pop() else { panic!("it announces nothing") };
    node.handle_response(Timestamp::START, id, &answer(200, json!({"Ledger": 4})), &mut events);
    node.tick(Timestamp::START, true, &mut events);
    let Some(upgrade::UpgradeEvent::Request(id, look)) = events.pop() else { panic!("it does not look") };
    fixture::assert_examples(
        "stored/version-keys.txt",
        &[example("announcement", words(&call)), example("look", words(&look))],
    );

    let announcement = fixture::example_of("stored/version-keys.txt", "announcement");
    let own = json!({"K": "version/n0", "V": value_put(&announcement, "version/n0"), "Stamp": 4});
    node.handle_response(Timestamp::START, id, &answer(200, json!({"Pairs": [own], "More": false})), &mut events);
    assert_eq!(events, [upgrade::UpgradeEvent::AllUpgraded]);
}
