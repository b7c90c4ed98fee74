//! A log of all effects that the controllers of a simulation requested, with a digest by which two versions can be
//! compared.
//!
//! The text of an effect consists of what leaves the node, in the form in which it does: JSON of messages, bytes of
//! tables. It contains no names of types, variants or fields, so that a rename only requires changes to the patterns
//! here.

use super::node_name;
use caperstile::api::{ApiResponse, UserRequest};
use caperstile::cloud::CloudRequest;
use caperstile::effects::{Effect, RequestOrigin, StoreCaller};
use caperstile::store::StoreRequest;
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Simulated time between two checkpoints, in milliseconds.
const CHECKPOINT_INTERVAL_MS: u64 = 10_000;

/// Bodies of the responses that a leader sends to all requests waiting for a commit, when it steps down and when they
/// time out. The leader keeps these requests in hash maps by job, whose iteration order differs between processes.
const UNORDERED_RESPONSES: [&str; 2] =
    [r#"{"error":"the leader has changed"}"#, r#"{"error":"the state service does not answer"}"#];

/// The 64-bit FNV-1a hash.
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
    /// The hash at the end of each checkpoint interval so far.
    checkpoints: Vec<String>,
    /// All lines; None unless the log was created to keep them.
    text: Option<String>,
}

impl EffectLog {
    /// Returns an empty log, which also keeps its lines if `keep_text` is set.
    pub fn new(keep_text: bool) -> EffectLog {
        EffectLog {
            hash: Fnv1a(Fnv1a::OFFSET_BASIS),
            counts: BTreeMap::new(),
            checkpoints: Vec::new(),
            text: keep_text.then(String::new),
        }
    }

    /// Records the effects of one input, after sorting those whose order depends on the process.
    pub fn record(&mut self, now_ms: u64, node: usize, effects: &mut [Effect]) {
        sort_unordered_responses(effects);
        while (self.checkpoints.len() as u64 + 1) * CHECKPOINT_INTERVAL_MS <= now_ms {
            self.checkpoints.push(self.hash.hex());
        }
        for effect in effects {
            let (kind, text) = describe(effect);
            *self.counts.entry(kind).or_default() += 1;
            let line = format!("{now_ms} {} {kind} {text}\n", node_name(node));
            self.hash.update(line.as_bytes());
            if let Some(all) = &mut self.text {
                all.push_str(&line);
            }
        }
    }

    /// Returns the digest of all effects, their number by kind, and the digest at each checkpoint.
    pub fn summary(&self) -> Value {
        json!({"digest": self.hash.hex(), "counts": self.counts, "checkpoints": self.checkpoints})
    }

    /// Describes where two summaries differ, to help find the cause.
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
        let equal_checkpoints = before.iter().zip(&now).take_while(|(before, now)| before == now).count() as u64;
        lines.push(format!("  the first difference comes after {} ms", equal_checkpoints * CHECKPOINT_INTERVAL_MS));
        lines.join("\n")
    }

    /// Returns all lines; None unless the log was created to keep them.
    pub fn text(&self) -> Option<&str> {
        self.text.as_deref()
    }
}

/// Sorts the responses whose order depends on a hash map by their recipient; all other effects keep their positions.
fn sort_unordered_responses(effects: &mut [Effect]) {
    let is_unordered = |effect: &Effect| match effect {
        Effect::Respond(_, response) => response.status == 503 && UNORDERED_RESPONSES.contains(&response.body.as_str()),
        _ => false,
    };
    let positions: Vec<usize> = (0..effects.len()).filter(|position| is_unordered(&effects[*position])).collect();
    let mut responses: Vec<(RequestOrigin, ApiResponse)> = Vec::new();
    for position in &positions {
        if let Effect::Respond(origin, response) = &effects[*position] {
            responses.push((*origin, response.clone()));
        }
    }
    responses.sort_by_key(|(origin, response)| (origin_key(origin), response.body.clone()));
    for (position, (origin, response)) in positions.into_iter().zip(responses) {
        effects[position] = Effect::Respond(origin, response);
    }
}

fn origin_key(origin: &RequestOrigin) -> (u8, u64, u64) {
    match origin {
        RequestOrigin::Http(request) => (0, 0, *request),
        RequestOrigin::Peer(link, request) => (1, *link, *request),
    }
}

/// Returns the kind of an effect and the text of what leaves the node.
fn describe(effect: &Effect) -> (&'static str, String) {
    match effect {
        Effect::Respond(origin, response) => (
            "answer",
            format!("{} {} {} {}", origin_text(origin), response.status, response.retry_after, response.body),
        ),
        Effect::CallStore(caller, id, request) => {
            let (kind, text) = store_request_text(request);
            (kind, format!("{} {id} {text}", caller_text(caller)))
        }
        Effect::CallCloud(token, id, request) => {
            let (kind, text) = cloud_request_text(request);
            (kind, format!("{token} {id} {text}"))
        }
        Effect::SendCommands { token, machine, endpoint, id, body } => {
            ("command", format!("{token} {machine} {endpoint} {id} {}", to_json(body)))
        }
        Effect::Forward(to, id, request) => ("forward", format!("{to} {id} {}", user_request_text(request))),
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

fn caller_text(caller: &StoreCaller) -> String {
    match caller {
        StoreCaller::Leadership => "leadership".to_string(),
        StoreCaller::WriteAheadLog(token) => format!("log {token}"),
        StoreCaller::Upgrade => "upgrade".to_string(),
        StoreCaller::Drains(token) => format!("drains {token}"),
        StoreCaller::AdmissionStatus => "admission".to_string(),
    }
}

fn store_request_text(request: &StoreRequest) -> (&'static str, String) {
    match request {
        StoreRequest::Get(key) => ("state-get", key.clone()),
        StoreRequest::Scan { prefix, after } => ("state-scan", format!("{prefix} {}", to_json(after))),
        StoreRequest::CompareAndSwap(txn) => ("state-txn", to_json(txn)),
        StoreRequest::GrantLease(ttl) => ("state-grant", ttl.as_millis().to_string()),
        StoreRequest::RenewLease(lease) => ("state-renew", lease.0.to_string()),
        StoreRequest::RevokeLease(lease) => ("state-revoke", lease.0.to_string()),
    }
}

fn cloud_request_text(request: &CloudRequest) -> (&'static str, String) {
    match request {
        CloudRequest::MachineTypes => ("cloud-types", String::new()),
        CloudRequest::ScaleOut(request) => ("cloud-rent", to_json(request)),
        CloudRequest::ScaleIn(machines) => {
            let names: Vec<String> = machines.iter().map(ToString::to_string).collect();
            ("cloud-return", names.join(" "))
        }
        CloudRequest::ListMachines(after) => ("cloud-list", to_json(after)),
    }
}

fn user_request_text(request: &UserRequest) -> String {
    match request {
        UserRequest::Submit(request) => format!("submit {}", String::from_utf8_lossy(&request.encode())),
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
