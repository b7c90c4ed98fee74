//! Users, workers and health checks over HTTP, with `warp`.

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

/// Largest body that is read.
const BODY_LIMIT_BYTES: usize = 64 * 1024;
/// A connection on which nobody asks for so long is closed: workers report and users poll more often,
/// and sockets are few after an election.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(20);
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// What came over HTTP.
#[derive(Debug)]
pub enum ApiRequest {
    /// A user's request.
    User(UserRequest),
    /// A worker's report.
    Heartbeat(Box<Heartbeat>),
    /// A health check.
    HealthCheck,
}

/// Accepts connections for ever.
pub fn serve(listener: tokio::net::TcpListener, tell: mpsc::Sender<Message>, connections: usize) {
    let sockets = Arc::new(Semaphore::new(connections));
    let free = sockets.clone();
    let routes = warp::method().and(warp::path::full()).and(warp::body::stream()).then(
        move |method: Method, path: warp::path::FullPath, body| {
            let (tell, free) = (tell.clone(), free.clone());
            async move {
                let answer = handle_request(&method, path.as_str(), body, tell).await;
                response(answer, must_close(path.as_str(), free.available_permits(), connections))
            }
        },
    );
    let service = warp::service(routes);
    tokio::spawn(async move {
        loop {
            let Ok(permit) = sockets.clone().acquire_owned().await else { return };
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    log::debug!("accept: {e}");
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

/// Whether a connection is to be closed once it was answered, because few sockets are left. Users go first: their
/// next connection may be to another node, while a worker has to come back here.
///
/// With more workers than sockets those that come last were left waiting until their leases ran out.
fn must_close(path: &str, free: usize, all: usize) -> bool {
    free < if path.starts_with("/work") { all / 4 } else { all / 16 }
}

fn response(answer: ApiResponse, close: bool) -> Response<String> {
    let mut builder = Response::builder()
        .status(StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
        .header("content-type", "application/json");
    if answer.retry_after > 0 {
        builder = builder.header("retry-after", answer.retry_after);
    }
    if close || answer.status == 413 {
        // After 413 the rest of the body is not read, so the connection cannot be used again.
        builder = builder.header("connection", "close");
    }
    builder.body(answer.body).unwrap_or_default()
}

fn refusal(status: u16, why: &str) -> ApiResponse {
    ApiResponse { retry_after: if status == 503 { 1 } else { 0 }, ..ApiResponse::error(status, why) }
}

async fn handle_request<S, B, E>(method: &Method, path: &str, body: S, tell: mpsc::Sender<Message>) -> ApiResponse
where
    S: futures_core::Stream<Item = Result<B, E>> + Send,
    B: Buf,
{
    let body = match tokio::time::timeout(BODY_TIMEOUT, read_body(body)).await {
        Ok(Ok(body)) => body,
        Ok(Err(answer)) => return answer,
        // Not 400: what is late is not malformed, and the same submission may have been accepted before.
        Err(_) => return refusal(408, "the body did not arrive"),
    };
    let asked = match (method.as_str(), path.strip_prefix("/work")) {
        ("POST", Some("")) => ApiRequest::User(UserRequest::Submit(body)),
        (verb, Some(rest)) if rest.starts_with('/') => match (verb, rest[1..].strip_suffix("/withdraw")) {
            ("POST", Some(id)) => ApiRequest::User(UserRequest::Cancel(id.to_string())),
            ("GET", None) => ApiRequest::User(UserRequest::Get(rest[1..].to_string())),
            _ => return refusal(405, "no such method here"),
        },
        ("POST", None) if path == "/v1/report" => match serde_json::from_slice::<Heartbeat>(&body) {
            Ok(report) => ApiRequest::Heartbeat(Box::new(report)),
            Err(e) => return refusal(400, &format!("malformed report: {e}")),
        },
        ("GET", None) if path == "/up" => ApiRequest::HealthCheck,
        (_, None) if path == "/up" || path == "/v1/report" => return refusal(405, "no such method here"),
        (_, Some("")) => return refusal(405, "no such method here"),
        _ => return refusal(404, "no such path"),
    };
    let (to, from) = oneshot::channel();
    if tell.try_send(Message::Request(asked, to)).is_err() {
        return refusal(503, "too busy");
    }
    from.await.unwrap_or_else(|_| refusal(503, "no answer"))
}

/// Reads a body up to the limit; what is longer is refused without being read.
async fn read_body<S, B, E>(body: S) -> Result<Vec<u8>, ApiResponse>
where
    S: futures_core::Stream<Item = Result<B, E>> + Send,
    B: Buf,
{
    let mut body = std::pin::pin!(body);
    let mut bytes = Vec::new();
    while let Some(part) = std::future::poll_fn(|cx| body.as_mut().poll_next(cx)).await {
        let Ok(mut part) = part else { return Err(refusal(408, "the body broke off")) };
        while part.has_remaining() {
            let chunk = part.chunk();
            if bytes.len() + chunk.len() > BODY_LIMIT_BYTES {
                return Err(refusal(413, "the body is larger than 64 KiB"));
            }
            bytes.extend_from_slice(chunk);
            let n = chunk.len();
            part.advance(n);
        }
    }
    Ok(bytes)
}

#[cfg(test)]
mod tests;
