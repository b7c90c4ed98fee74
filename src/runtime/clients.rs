//! HTTP clients for the state service, the cloud and the workers.

use super::Message;
use crate::cloud::CloudRequest;
use crate::effects::{Input, StoreCaller};
use crate::leader::COMMAND_TIMEOUT;
use crate::settings::Settings;
use crate::store::{ServiceResponse, StoreRequest};
use crate::types::MachineId;
use crate::wire::{CommandBatch, GrantLeaseRequest, MachineNames};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Method;
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::sync::mpsc;

/// Maximum size of a response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Timeout of an operator command's request to the state service.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(3);
const CLOUD_TIMEOUT: Duration = Duration::from_millis(4900);

/// Maximum number of requests queued for the state service's thread.
const STORE_QUEUE_LEN: usize = 256;

type Http = Client<HttpConnector, Full<Bytes>>;
type Request = (Method, String, Option<Vec<u8>>);

/// The clients of a node. Connections to the state service and the cloud are pooled.
pub struct Clients {
    http: Http,
    /// A separate client for the workers: each command batch has a connection of its own, see [`Clients::new`].
    workers: Http,
    store_requests: mpsc::Sender<(StoreCaller, u64, StoreRequest)>,
    cloud: SocketAddrV4,
    messages: mpsc::Sender<Message>,
}

impl Clients {
    /// Creates clients for the services in the settings. Responses of the state service are sent to `store_responses`,
    /// all others to `messages`.
    pub fn new(
        settings: &Settings,
        messages: mpsc::Sender<Message>,
        store_responses: mpsc::Sender<Message>,
    ) -> std::io::Result<Clients> {
        let store_requests = spawn_store_thread(settings.external.state, store_responses)?;
        // Connections to workers are not kept open: after an election commands go to all machines at once, and the idle
        // connections that remained took up all available sockets.
        let workers = client(Duration::from_secs(2), 0);
        let http = client(Duration::from_secs(30), 4);
        Ok(Clients { http, workers, store_requests, cloud: settings.external.cloud, messages })
    }

    /// Sends a request to the state service.
    pub fn call_store(&self, caller: StoreCaller, id: u64, request: StoreRequest) {
        // If the queue is full, the request gets no response, as if it had been lost on the network.
        let _ = self.store_requests.try_send((caller, id, request));
    }

    /// Sends a request to the cloud.
    pub fn call_cloud(&self, token: u64, id: u64, request: CloudRequest) {
        let request = match request {
            CloudRequest::MachineTypes => (Method::GET, "/flavors".into(), None),
            CloudRequest::ScaleOut(request) => (Method::POST, "/hosts".into(), Some(to_json(&request))),
            CloudRequest::ScaleIn(ids) => {
                let machines = ids.iter().map(MachineId::to_string).collect();
                (Method::POST, "/hosts/return".into(), Some(to_json(&MachineNames { machines })))
            }
            CloudRequest::ListMachines(after) => {
                let since = after.map(|a| format!("Since={a}&")).unwrap_or_default();
                (Method::GET, format!("/hosts?{since}Limit=500"), None)
            }
        };
        let address = self.cloud.to_string();
        let wrap = move |response| Input::CloudResponse(token, id, response);
        send(&self.http, &address, request, CLOUD_TIMEOUT, self.messages.clone(), wrap);
    }

    /// Sends a batch of commands directly to a worker.
    pub fn send_commands(&self, token: u64, machine: MachineId, endpoint: &str, id: u64, body: &CommandBatch) {
        let request = (Method::POST, "/commands".into(), Some(to_json(body)));
        let timeout = Duration::from_millis(COMMAND_TIMEOUT.as_millis());
        let wrap = move |response| Input::CommandResponse(token, machine, id, response);
        send(&self.workers, endpoint, request, timeout, self.messages.clone(), wrap);
    }
}

fn client(idle_timeout: Duration, max_idle_per_host: usize) -> Http {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(Duration::from_millis(900)));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(idle_timeout)
        .pool_max_idle_per_host(max_idle_per_host)
        .build(connector)
}

/// Starts a task that sends a request and reports its response, or that none arrived within `timeout`, to `messages`.
fn send(
    http: &Http,
    address: &str,
    request: Request,
    timeout: Duration,
    messages: mpsc::Sender<Message>,
    wrap: impl FnOnce(ServiceResponse) -> Input + Send + 'static,
) {
    let (http, address) = (http.clone(), address.to_string());
    tokio::spawn(async move {
        let response = exchange(&http, &address, request, timeout).await;
        let _ = messages.send(Message::Input(wrap(response))).await;
    });
}

/// Sends a request and reads its response; returns `ServiceResponse::none()` on an error or a timeout.
async fn exchange(http: &Http, address: &str, (method, path, body): Request, timeout: Duration) -> ServiceResponse {
    let request = hyper::Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.unwrap_or_default())));
    let Ok(request) = request else { return ServiceResponse::none() };
    let exchange = async {
        let response = http.request(request).await.ok()?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await.ok()?;
        Some(ServiceResponse { status, body: body.to_bytes() })
    };
    tokio::time::timeout(timeout, exchange).await.ok().flatten().unwrap_or_else(ServiceResponse::none)
}

/// A blocking client of the state service for operators' commands, which send one request at a time.
pub(crate) struct StoreClient {
    runtime: tokio::runtime::Runtime,
    http: Http,
    address: String,
}

impl StoreClient {
    /// Creates a client for the state service at `address`.
    pub(crate) fn new(address: SocketAddrV4) -> std::io::Result<StoreClient> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        Ok(StoreClient { runtime, http: client(Duration::from_secs(30), 1), address: address.to_string() })
    }

    /// Sends a request and blocks until its response or the timeout.
    pub(crate) fn send(&self, request: StoreRequest) -> ServiceResponse {
        let response = exchange(&self.http, &self.address, http_request(request), OPERATOR_TIMEOUT);
        self.runtime.block_on(response)
    }
}

/// Starts the thread that sends all requests to the state service and returns the queue of the requests.
///
/// With a thread of their own, renewals of the leader's lease and commits of users' requests do not queue behind
/// hundreds of heartbeats. When they shared a thread, an overloaded leader lost the leader key because of that delay
/// alone, and elections followed one another.
fn spawn_store_thread(
    address: SocketAddrV4,
    store_responses: mpsc::Sender<Message>,
) -> std::io::Result<mpsc::Sender<(StoreCaller, u64, StoreRequest)>> {
    let (requests, mut queue) = mpsc::channel::<(StoreCaller, u64, StoreRequest)>(STORE_QUEUE_LEN);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let serve = async move {
        let http = client(Duration::from_secs(30), 4);
        let address = address.to_string();
        while let Some((caller, id, request)) = queue.recv().await {
            let timeout = Duration::from_millis(if caller == StoreCaller::Leadership { 950 } else { 1450 });
            let wrap = move |response| Input::StoreResponse(caller, id, response);
            send(&http, &address, http_request(request), timeout, store_responses.clone(), wrap);
        }
    };
    let thread = std::thread::Builder::new().name("state".into()).stack_size(256 * 1024);
    thread.spawn(move || runtime.block_on(serve))?;
    Ok(requests)
}

fn http_request(request: StoreRequest) -> Request {
    match request {
        StoreRequest::Get(key) => (Method::GET, format!("/keys/{key}"), None),
        StoreRequest::Scan { prefix, after } => {
            let since = after.map(|a| format!("&Since={a}")).unwrap_or_default();
            (Method::GET, format!("/keys?Under={prefix}{since}&Limit=1000"), None)
        }
        StoreRequest::CompareAndSwap(txn) => (Method::POST, "/txn".into(), Some(to_json(&txn))),
        StoreRequest::GrantLease(ttl) => {
            (Method::POST, "/leases".into(), Some(to_json(&GrantLeaseRequest { ttl_ms: ttl.as_millis() })))
        }
        StoreRequest::RenewLease(lease) => (Method::POST, format!("/leases/{lease}/extend"), Some(b"{}".to_vec())),
        StoreRequest::RevokeLease(lease) => (Method::DELETE, format!("/leases/{lease}"), None),
    }
}

fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

#[cfg(test)]
mod tests;
