//! The HTTP API for users, workers and health checks, built with `warp`.

use super::Message;
use crate::api::{ApiResponse, UserRequest};
use crate::wire::Heartbeat;
use bytes::Buf;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc, oneshot};
use warp::Filter;
use warp::http::{Method, Response, StatusCode};

/// Maximum size of a request body, in bytes.
const BODY_LIMIT_BYTES: usize = 64 * 1024;
/// Time without a request after which a connection is closed. Workers send heartbeats and users poll more often than
/// this, and sockets are scarce after an election.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(20);
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A request that arrived over HTTP.
#[derive(Debug)]
pub enum ApiRequest {
    /// A user's request.
    User(UserRequest),
    /// A worker's heartbeat.
    Heartbeat(Box<Heartbeat>),
    /// A readiness probe of the load balancer.
    HealthCheck,
}

/// Starts a task that accepts up to `connections` concurrent connections and serves them until the process ends.
pub fn serve(listener: tokio::net::TcpListener, messages: mpsc::Sender<Message>, connections: usize) {
    let permits = Arc::new(Semaphore::new(connections));
    let free_permits = permits.clone();
    let routes = warp::method().and(warp::path::full()).and(warp::body::stream()).then(
        move |method: Method, path: warp::path::FullPath, body| {
            let (messages, free_permits) = (messages.clone(), free_permits.clone());
            async move {
                let response = handle_request(&method, path.as_str(), body, messages).await;
                http_response(response, must_close(path.as_str(), free_permits.available_permits(), connections))
            }
        },
    );
    let service = warp::service(routes);
    tokio::spawn(async move {
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else { return };
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    log::debug!("cannot accept a connection: {e}");
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                }
            };
            let _ = stream.set_nodelay(true);
            let service = TowerToHyperService::new(service.clone());
            tokio::spawn(async move {
                let served = hyper::server::conn::http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(IDLE_CONNECTION_TIMEOUT)
                    .max_buf_size(80 * 1024)
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
                if let Err(e) = served {
                    log::debug!("connection: {e}");
                }
                drop(permit);
            });
        }
    });
}

/// Whether a connection is to be closed after the response because few sockets are free. Users' connections are closed
/// first: a user's next connection may go to another node, while a worker has to reconnect to this one.
///
/// Without this rule, when there were more workers than sockets, the workers that connected last had to wait until
/// their leases expired.
fn must_close(path: &str, free_permits: usize, total: usize) -> bool {
    free_permits < if path.starts_with("/work") { total / 4 } else { total / 16 }
}

fn http_response(response: ApiResponse, close: bool) -> Response<String> {
    let mut builder = Response::builder()
        .status(StatusCode::from_u16(response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
        .header("content-type", "application/json");
    if response.retry_after > 0 {
        builder = builder.header("retry-after", response.retry_after);
    }
    if close || response.status == 413 {
        // After 413 the rest of the body remains unread, so that the connection cannot be reused.
        builder = builder.header("connection", "close");
    }
    builder.body(response.body).unwrap_or_default()
}

fn rejection(status: u16, reason: &str) -> ApiResponse {
    ApiResponse { retry_after: if status == 503 { 1 } else { 0 }, ..ApiResponse::error(status, reason) }
}

async fn handle_request<S, B, E>(method: &Method, path: &str, body: S, messages: mpsc::Sender<Message>) -> ApiResponse
where
    S: futures_core::Stream<Item = Result<B, E>> + Send,
    B: Buf,
{
    let body = match tokio::time::timeout(BODY_TIMEOUT, read_body(body)).await {
        Ok(Ok(body)) => body,
        Ok(Err(response)) => return response,
        // Not 400: a late body is not malformed, and the same submission may have been accepted before.
        Err(_) => return rejection(408, "the body did not arrive"),
    };
    let request = match (method.as_str(), path.strip_prefix("/work")) {
        ("POST", Some("")) => ApiRequest::User(UserRequest::submit(body)),
        (verb, Some(rest)) if rest.starts_with('/') => match (verb, rest[1..].strip_suffix("/withdraw")) {
            ("POST", Some(id)) => ApiRequest::User(UserRequest::Cancel(id.to_string())),
            ("GET", None) => ApiRequest::User(UserRequest::Get(rest[1..].to_string())),
            _ => return rejection(405, "no such method here"),
        },
        ("POST", None) if path == "/v1/report" => match serde_json::from_slice::<Heartbeat>(&body) {
            Ok(heartbeat) => ApiRequest::Heartbeat(Box::new(heartbeat)),
            Err(e) => return rejection(400, &format!("malformed report: {e}")),
        },
        ("GET", None) if path == "/up" => ApiRequest::HealthCheck,
        (_, None) if path == "/up" || path == "/v1/report" => return rejection(405, "no such method here"),
        (_, Some("")) => return rejection(405, "no such method here"),
        _ => return rejection(404, "no such path"),
    };
    let (response_sender, response) = oneshot::channel();
    if messages.try_send(Message::Request(request, response_sender)).is_err() {
        return rejection(503, "too busy");
    }
    response.await.unwrap_or_else(|_| rejection(503, "no answer"))
}

/// Reads a request body up to `BODY_LIMIT_BYTES`; a larger one is rejected without reading the rest.
async fn read_body<S, B, E>(body: S) -> Result<Vec<u8>, ApiResponse>
where
    S: futures_core::Stream<Item = Result<B, E>> + Send,
    B: Buf,
{
    let mut body = std::pin::pin!(body);
    let mut bytes = Vec::new();
    while let Some(part) = std::future::poll_fn(|cx| body.as_mut().poll_next(cx)).await {
        let Ok(mut part) = part else { return Err(rejection(408, "the body broke off")) };
        while part.has_remaining() {
            let chunk = part.chunk();
            if bytes.len() + chunk.len() > BODY_LIMIT_BYTES {
                return Err(rejection(413, "the body is larger than 64 KiB"));
            }
            bytes.extend_from_slice(chunk);
            let chunk_len = chunk.len();
            part.advance(chunk_len);
        }
    }
    Ok(bytes)
}

#[cfg(test)]
mod tests;
