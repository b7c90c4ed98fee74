//! The keys by which controllers elect a leader and say which format they read, with the transactions that write them.

use crate::fixture::{self, Example, example};
use caperstile::leadership::{self, Leadership};
use caperstile::store::{Reply, StateCall};
use caperstile::units::{Duration, Time, Token};
use caperstile::upgrade::{self, Format, Upgrade};
use rand::{SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};

fn answer(status: u16, body: Value) -> Reply {
    Reply { status, body: body.to_string().into() }
}

/// A call in words of this test; the form of calls on the wire is pinned elsewhere.
fn words(call: &StateCall) -> String {
    match call {
        StateCall::Get(key) => format!("get {key}"),
        StateCall::Scan { prefix, after } => format!("scan {prefix} after {}", after.as_deref().unwrap_or("the begin")),
        StateCall::Txn(txn) => serde_json::to_string(txn).expect("JSON"),
        StateCall::Grant(life) => format!("grant {}", life.0),
        StateCall::Renew(lease) => format!("renew {lease}"),
        StateCall::Revoke(lease) => format!("revoke {lease}"),
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
    now: Time,
    events: Vec<leadership::Event>,
}

impl Candidate {
    fn new(node: &str, incarnation: u64) -> Candidate {
        let leadership = Leadership::new(node, incarnation, Duration(2500), SmallRng::seed_from_u64(1));
        Candidate { leadership, now: Time::START, events: Vec::new() }
    }

    /// Lets time pass until it asks for something.
    fn next_call(&mut self) -> (u64, StateCall) {
        for _ in 0..100 {
            let asked = self.events.drain(..).rev().find_map(|event| match event {
                leadership::Event::Call(id, call) => Some((id, call)),
                _ => None,
            });
            if let Some(asked) = asked {
                return asked;
            }
            self.now = self.now + Duration(50);
            self.leadership.tick(self.now, &mut self.events);
        }
        panic!("it asks for nothing");
    }

    /// Answers its next call; the call in words.
    fn answer(&mut self, reply: &Reply) -> String {
        let (id, call) = self.next_call();
        self.leadership.reply(self.now, id, reply, &mut self.events);
        words(&call)
    }
}

#[test]
fn a_leader_wins_and_moves_its_key_as_before() {
    let mut candidate = Candidate::new("n0", 7);
    let mut made: Vec<Example> = Vec::new();
    made.push(example("look", candidate.answer(&answer(404, json!({"Ledger": 3})))));
    made.push(example("lease", candidate.answer(&answer(200, json!({"Permit": 4})))));
    made.push(example("campaign", candidate.answer(&answer(200, json!({"Ledger": 9})))));
    assert_eq!((candidate.leadership.token(), candidate.leadership.format()), (Some(Token(9)), Format::One));
    candidate.leadership.move_key();
    made.push(example("renewal", candidate.answer(&answer(200, json!({})))));
    made.push(example("move", candidate.answer(&answer(200, json!({"Ledger": 12})))));
    assert_eq!((candidate.leadership.token(), candidate.leadership.format()), (Some(Token(12)), Format::Two));
    candidate.leadership.make_room(candidate.now, "a test", &mut candidate.events);
    made.push(example("revocation", words(&candidate.next_call().1)));
    fixture::assert_examples("stored/leader-keys.txt", &made);
}

#[test]
fn the_leader_keys_are_read_back() {
    let moved = fixture::example_of("stored/leader-keys.txt", "move");
    let mut follower = Candidate::new("n1", 8);
    let old = json!({"K": "leader", "V": value_put(&moved, "leader"), "Stamp": 12});
    assert_eq!(follower.answer(&answer(200, old)), "get leader");
    let new = json!({"K": "leader-2", "V": value_put(&moved, "leader-2"), "Stamp": 12, "Permit": 4});
    assert_eq!(follower.answer(&answer(200, new)), "get leader-2");
    assert_eq!((follower.leadership.leader(), follower.leadership.format()), (Some("n0"), Format::Two));
    assert_eq!(follower.leadership.heard(), Token(12));
}

#[test]
fn a_controller_says_which_format_it_reads_as_before() {
    let (mut node, mut events) = (Upgrade::new("n0", std::iter::empty()), Vec::new());
    node.tick(Time::START, true, &mut events);
    let Some(upgrade::Event::Call(id, call)) = events.pop() else { panic!("it announces nothing") };
    node.reply(Time::START, id, &answer(200, json!({"Ledger": 4})), &mut events);
    node.tick(Time::START, true, &mut events);
    let Some(upgrade::Event::Call(id, look)) = events.pop() else { panic!("it does not look") };
    fixture::assert_examples(
        "stored/version-keys.txt",
        &[example("announcement", words(&call)), example("look", words(&look))],
    );

    let announcement = fixture::example_of("stored/version-keys.txt", "announcement");
    let own = json!({"K": "version/n0", "V": value_put(&announcement, "version/n0"), "Stamp": 4});
    node.reply(Time::START, id, &answer(200, json!({"Pairs": [own], "More": false})), &mut events);
    assert_eq!(events, [upgrade::Event::AllUpgraded]);
}
