//! A log of everything that the controllers of a simulation asked to have done, as a digest that two versions can compare.
//!
//! The text of an effect is made of what leaves the node, in the form in which it does: JSON of messages, bytes of tables. Names of
//! types, variants and fields are no part of it, so that a change of names changes nothing here but patterns.

use super::name;
use caperstile::api::{ApiResponse, UserRequest};
use caperstile::cloud::CloudRequest;
use caperstile::effects::{Effect, RequestOrigin, StoreCaller};
use caperstile::store::StoreRequest;
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Simulated time between two checkpoints, in milliseconds.
const CHECKPOINT_INTERVAL_MS: u64 = 10_000;

/// Bodies of the answers that a leader gives to all requests that wait for a commit, when it steps down and when they are due. It keeps
/// them by job in hash maps whose order differs from process to process.
const ANSWERS_IN_NO_ORDER: [&str; 2] =
    [r#"{"error":"the leader has changed"}"#, r#"{"error":"the state service does not answer"}"#];

/// FNV-1a with 64 bits.
#[derive(Debug, Clone, Copy)]
struct Fnv1a(u64);

impl Fnv1a {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;

    fn update(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(Self::PRIME);
        }
    }

    fn hex(self) -> String {
        format!("{:016x}", self.0)
    }
}

/// The effects of a simulation: one line of text each, hashed in order.
#[derive(Debug)]
pub struct EffectLog {
    hash: Fnv1a,
    /// Number of effects by kind.
    counts: BTreeMap<&'static str, u64>,
    /// The hash at the end of each interval so far.
    checkpoints: Vec<String>,
    /// All lines, if they are kept.
    text: Option<String>,
}

impl EffectLog {
    /// An empty log, which keeps its lines on request.
    pub fn new(keep_text: bool) -> EffectLog {
        EffectLog {
            hash: Fnv1a(Fnv1a::OFFSET_BASIS),
            counts: BTreeMap::new(),
            checkpoints: Vec::new(),
            text: keep_text.then(String::new),
        }
    }

    /// Takes the effects of one call, which are brought into an order that is the same in every process.
    pub fn record(&mut self, now_ms: u64, node: usize, effects: &mut [Effect]) {
        sort_answers_in_no_order(effects);
        while (self.checkpoints.len() as u64 + 1) * CHECKPOINT_INTERVAL_MS <= now_ms {
            self.checkpoints.push(self.hash.hex());
        }
        for effect in effects {
            let (kind, text) = describe(effect);
            *self.counts.entry(kind).or_default() += 1;
            let line = format!("{now_ms} {} {kind} {text}\n", name(node));
            self.hash.update(line.as_bytes());
            if let Some(all) = &mut self.text {
                all.push_str(&line);
            }
        }
    }

    /// The digest of all effects, their number by kind, and the digest at the end of each interval.
    pub fn summary(&self) -> Value {
        json!({"digest": self.hash.hex(), "counts": self.counts, "checkpoints": self.checkpoints})
    }

    /// Where two summaries differ, for a reader who looks for the cause.
    pub fn differences(expected: &Value, found: &Value) -> String {
        let mut lines = Vec::new();
        let counts = |summary: &Value| -> BTreeMap<String, u64> {
            serde_json::from_value(summary["counts"].clone()).unwrap_or_default()
        };
        let (before, now) = (counts(expected), counts(found));
        let kinds: std::collections::BTreeSet<&String> = before.keys().chain(now.keys()).collect();
        for kind in kinds {
            let of = |counts: &BTreeMap<String, u64>| counts.get(kind).copied().unwrap_or(0);
            let mark = if of(&before) == of(&now) { "" } else { "  <-- differs" };
            lines.push(format!("  {kind:<14} {:>7} expected, {:>7} found{mark}", of(&before), of(&now)));
        }
        let checkpoints = |summary: &Value| summary["checkpoints"].as_array().cloned().unwrap_or_default();
        let (before, now) = (checkpoints(expected), checkpoints(found));
        let alike = before.iter().zip(&now).take_while(|(before, now)| before == now).count() as u64;
        lines.push(format!("  the first difference comes after {} ms", alike * CHECKPOINT_INTERVAL_MS));
        lines.join("\n")
    }

    /// All lines, if they were kept.
    pub fn text(&self) -> Option<&str> {
        self.text.as_deref()
    }
}

/// Sorts the answers whose order is left to a hash map by who gets them; all other effects stay where they are.
fn sort_answers_in_no_order(effects: &mut [Effect]) {
    let in_no_order = |effect: &Effect| match effect {
        Effect::Respond(_, answer) => answer.status == 503 && ANSWERS_IN_NO_ORDER.contains(&answer.body.as_str()),
        _ => false,
    };
    let places: Vec<usize> = (0..effects.len()).filter(|place| in_no_order(&effects[*place])).collect();
    let mut answers: Vec<(RequestOrigin, ApiResponse)> = Vec::new();
    for place in &places {
        if let Effect::Respond(origin, answer) = &effects[*place] {
            answers.push((*origin, answer.clone()));
        }
    }
    answers.sort_by_key(|(origin, answer)| (origin_key(origin), answer.body.clone()));
    for (place, (origin, answer)) in places.into_iter().zip(answers) {
        effects[place] = Effect::Respond(origin, answer);
    }
}

fn origin_key(origin: &RequestOrigin) -> (u8, u64, u64) {
    match origin {
        RequestOrigin::Http(request) => (0, 0, *request),
        RequestOrigin::Peer(link, request) => (1, *link, *request),
    }
}

/// The kind of an effect and what leaves the node.
fn describe(effect: &Effect) -> (&'static str, String) {
    match effect {
        Effect::Respond(origin, answer) => {
            ("answer", format!("{} {} {} {}", origin_text(origin), answer.status, answer.retry_after, answer.body))
        }
        Effect::CallStore(slot, id, call) => {
            let (kind, text) = state_text(call);
            (kind, format!("{} {id} {text}", slot_text(slot)))
        }
        Effect::CallCloud(token, id, call) => {
            let (kind, text) = cloud_text(call);
            (kind, format!("{token} {id} {text}"))
        }
        Effect::SendCommands { token, machine, endpoint, id, body } => {
            ("command", format!("{token} {machine} {endpoint} {id} {}", to_json(body)))
        }
        Effect::Forward(to, id, call) => ("forward", format!("{to} {id} {}", user_text(call))),
        Effect::AnnounceLeadership(token) => ("announce", token.0.to_string()),
        Effect::PublishAdmissionTable(table) => ("publish", hex(&table.encode())),
        Effect::ReportRefusedDemand(to, report) => ("refused", format!("{to} {}", hex(&report.encode()))),
    }
}

fn origin_text(origin: &RequestOrigin) -> String {
    match origin {
        RequestOrigin::Http(request) => format!("http {request}"),
        RequestOrigin::Peer(link, request) => format!("peer {link} {request}"),
    }
}

fn slot_text(slot: &StoreCaller) -> String {
    match slot {
        StoreCaller::Leadership => "leadership".to_string(),
        StoreCaller::WriteAheadLog(token) => format!("log {token}"),
        StoreCaller::Upgrade => "upgrade".to_string(),
        StoreCaller::Drains(token) => format!("drains {token}"),
        StoreCaller::AdmissionStatus => "admission".to_string(),
    }
}

fn state_text(call: &StoreRequest) -> (&'static str, String) {
    match call {
        StoreRequest::Get(key) => ("state-get", key.clone()),
        StoreRequest::Scan { prefix, after } => ("state-scan", format!("{prefix} {}", to_json(after))),
        StoreRequest::CompareAndSwap(txn) => ("state-txn", to_json(txn)),
        StoreRequest::GrantLease(ttl) => ("state-grant", ttl.as_millis().to_string()),
        StoreRequest::RenewLease(lease) => ("state-renew", lease.0.to_string()),
        StoreRequest::RevokeLease(lease) => ("state-revoke", lease.0.to_string()),
    }
}

fn cloud_text(call: &CloudRequest) -> (&'static str, String) {
    match call {
        CloudRequest::MachineTypes => ("cloud-types", String::new()),
        CloudRequest::ScaleOut(request) => ("cloud-rent", to_json(request)),
        CloudRequest::ScaleIn(machines) => {
            let names: Vec<String> = machines.iter().map(ToString::to_string).collect();
            ("cloud-return", names.join(" "))
        }
        CloudRequest::ListMachines(after) => ("cloud-list", to_json(after)),
    }
}

fn user_text(call: &UserRequest) -> String {
    match call {
        UserRequest::Submit(body) => format!("submit {}", String::from_utf8_lossy(body)),
        UserRequest::Get(job) => format!("get {job}"),
        UserRequest::Cancel(job) => format!("cancel {job}"),
    }
}

fn to_json(message: &impl Serialize) -> String {
    serde_json::to_string(message).expect("a message is JSON")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
