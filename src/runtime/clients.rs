//! Requests to the state service, the cloud and the workers.

use super::Message;
use crate::controller::{Input, Slot};
use crate::inventory::CloudCall;
use crate::settings::Settings;
use crate::store::{Reply, StateCall};
use crate::term::COMMAND_TIMEOUT;
use crate::units::MachineId;
use crate::wire::{Commands, LeaseRequest, MachineNames};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Method;
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::sync::mpsc;

/// Largest answer that is read.
const ANSWER_LIMIT: usize = 4 * 1024 * 1024;
/// How long an operator's command waits for an answer of the state service.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(3);
const CLOUD_TIMEOUT: Duration = Duration::from_millis(4900);

/// Calls to the state service that may wait for its thread.
const CALLS: usize = 256;

type Http = Client<HttpConnector, Full<Bytes>>;
type Request = (Method, String, Option<Vec<u8>>);

/// All clients, with pooled connections.
pub struct Clients {
    http: Http,
    /// Apart: one connection for each command.
    workers: Http,
    state: mpsc::Sender<(Slot, u64, StateCall)>,
    cloud: SocketAddrV4,
    tell: mpsc::Sender<Message>,
}

impl Clients {
    /// Clients of the services in the settings; `urgent` hears of the state service.
    pub fn new(
        settings: &Settings,
        tell: mpsc::Sender<Message>,
        urgent: mpsc::Sender<Message>,
    ) -> std::io::Result<Clients> {
        let state = state_thread(settings.external.state, urgent)?;
        // Not kept: after an election commands go to all machines at once, and their idle connections took up to
        // all sockets that were left.
        let workers = client(Duration::from_secs(2), 0);
        let http = client(Duration::from_secs(30), 4);
        Ok(Clients { http, workers, state, cloud: settings.external.cloud, tell })
    }

    /// Asks the state service.
    pub fn state(&self, slot: Slot, id: u64, call: StateCall) {
        // A call that finds no room gets no answer, like one that was lost on its way.
        let _ = self.state.try_send((slot, id, call));
    }

    /// Asks the cloud.
    pub fn cloud(&self, token: u64, id: u64, call: CloudCall) {
        let what = match call {
            CloudCall::Flavors => (Method::GET, "/flavors".into(), None),
            CloudCall::Rent(request) => (Method::POST, "/hosts".into(), Some(json(&request))),
            CloudCall::Return(ids) => {
                let machines = ids.iter().map(MachineId::to_string).collect();
                (Method::POST, "/hosts/return".into(), Some(json(&MachineNames { machines })))
            }
            CloudCall::List(after) => {
                let since = after.map(|a| format!("Since={a}&")).unwrap_or_default();
                (Method::GET, format!("/hosts?{since}Limit=500"), None)
            }
        };
        let to = self.cloud.to_string();
        let wrap = move |reply| Input::Cloud(token, id, reply);
        send(&self.http, &to, what, CLOUD_TIMEOUT, self.tell.clone(), wrap);
    }

    /// Sends commands to a worker.
    pub fn command(&self, token: u64, machine: MachineId, endpoint: &str, id: u64, body: &Commands) {
        let what = (Method::POST, "/commands".into(), Some(json(body)));
        let patience = Duration::from_millis(COMMAND_TIMEOUT.0);
        let wrap = move |reply| Input::Command(token, machine, id, reply);
        send(&self.workers, endpoint, what, patience, self.tell.clone(), wrap);
    }
}

fn client(idle: Duration, per_host: usize) -> Http {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(Duration::from_millis(900)));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(idle)
        .pool_max_idle_per_host(per_host)
        .build(connector)
}

/// Sends a request and tells of its reply, or that none came.
fn send(
    http: &Http,
    to: &str,
    what: Request,
    patience: Duration,
    tell: mpsc::Sender<Message>,
    wrap: impl FnOnce(Reply) -> Input + Send + 'static,
) {
    let (http, to) = (http.clone(), to.to_string());
    tokio::spawn(async move {
        let reply = exchange(&http, &to, what, patience).await;
        let _ = tell.send(Message::Input(wrap(reply))).await;
    });
}

/// One request and its answer, or none within the time.
async fn exchange(http: &Http, to: &str, (method, path, body): Request, patience: Duration) -> Reply {
    let request = hyper::Request::builder()
        .method(method)
        .uri(format!("http://{to}{path}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.unwrap_or_default())));
    let Ok(request) = request else { return Reply::none() };
    let exchange = async {
        let response = http.request(request).await.ok()?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), ANSWER_LIMIT).collect().await.ok()?;
        Some(Reply { status, body: body.to_bytes() })
    };
    tokio::time::timeout(patience, exchange).await.ok().flatten().unwrap_or_else(Reply::none)
}

/// A client of the state service for operators' commands, which ask one thing after the other.
pub(crate) struct StateClient {
    runtime: tokio::runtime::Runtime,
    http: Http,
    address: String,
}

impl StateClient {
    /// A client of the state service at this address.
    pub(crate) fn new(address: SocketAddrV4) -> std::io::Result<StateClient> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        Ok(StateClient { runtime, http: client(Duration::from_secs(30), 1), address: address.to_string() })
    }

    /// Asks and waits for the answer.
    pub(crate) fn ask(&self, call: StateCall) -> Reply {
        let asked = exchange(&self.http, &self.address, state_request(call), OPERATOR_TIMEOUT);
        self.runtime.block_on(asked)
    }
}

/// Talks to the state service on a thread of its own, so that the leader's lease and users' commits do not queue
/// behind hundreds of reports: a leader that was behind lost its key by that alone, and elections followed one another.
fn state_thread(
    to: SocketAddrV4,
    urgent: mpsc::Sender<Message>,
) -> std::io::Result<mpsc::Sender<(Slot, u64, StateCall)>> {
    let (calls, mut queue) = mpsc::channel::<(Slot, u64, StateCall)>(CALLS);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let serve = async move {
        let http = client(Duration::from_secs(30), 4);
        let to = to.to_string();
        while let Some((slot, id, call)) = queue.recv().await {
            let patience = Duration::from_millis(if slot == Slot::Leadership { 950 } else { 1450 });
            let wrap = move |reply| Input::State(slot, id, reply);
            send(&http, &to, state_request(call), patience, urgent.clone(), wrap);
        }
    };
    let thread = std::thread::Builder::new().name("state".into()).stack_size(256 * 1024);
    thread.spawn(move || runtime.block_on(serve))?;
    Ok(calls)
}

fn state_request(call: StateCall) -> Request {
    match call {
        StateCall::Get(key) => (Method::GET, format!("/keys/{key}"), None),
        StateCall::Scan { prefix, after } => {
            let since = after.map(|a| format!("&Since={a}")).unwrap_or_default();
            (Method::GET, format!("/keys?Under={prefix}{since}&Limit=1000"), None)
        }
        StateCall::Txn(txn) => (Method::POST, "/txn".into(), Some(json(&txn))),
        StateCall::Grant(ttl) => (Method::POST, "/leases".into(), Some(json(&LeaseRequest { ttl_ms: ttl.0 }))),
        StateCall::Renew(lease) => (Method::POST, format!("/leases/{lease}/extend"), Some(b"{}".to_vec())),
        StateCall::Revoke(lease) => (Method::DELETE, format!("/leases/{lease}"), None),
    }
}

fn json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

#[cfg(test)]
mod tests;
