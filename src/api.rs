//! Users' requests, and responses to users, workers and the load balancer.

use crate::types::JobId;
use crate::wire::{ErrorResponse, JobStatus, SubmissionRequest, SubmissionResponse};
use serde::Serialize;

/// `Retry-After` of a 503 response unless another value is given, in seconds.
const RETRY_AFTER_S: u16 = 1;

/// A request of a user. The job ids of queries and cancellations have not been validated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UserRequest {
    /// Submits a job.
    Submit(SubmissionRequest),
    /// Queries the state of a job; contains the job id as received.
    Get(String),
    /// Cancels a job; contains the job id as received.
    Cancel(String),
}

impl UserRequest {
    /// Creates the request that submits a job, from the body as received.
    pub fn submit(body: Vec<u8>) -> UserRequest {
        UserRequest::Submit(SubmissionRequest::read(body))
    }
}

/// An HTTP response to a user, a worker or the load balancer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Retry-After` header in seconds; 0 to omit the header.
    pub retry_after: u16,
    /// Body of the response, in JSON.
    pub body: String,
}

impl ApiResponse {
    /// Creates a response whose body is the JSON of this value.
    pub fn json(status: u16, body: &impl Serialize) -> ApiResponse {
        ApiResponse { status, retry_after: 0, body: serde_json::to_string(body).unwrap_or_default() }
    }

    /// Creates a response whose body is an empty JSON object.
    pub fn empty(status: u16) -> ApiResponse {
        ApiResponse { status, retry_after: 0, body: "{}".into() }
    }

    /// Creates an error response that gives the reason.
    pub fn error(status: u16, reason: &str) -> ApiResponse {
        ApiResponse::json(status, &ErrorResponse { error: reason, field: None })
    }

    /// Creates an error response that gives the reason and the invalid field of the request.
    pub fn field_error(status: u16, reason: &str, field: &str) -> ApiResponse {
        ApiResponse::json(status, &ErrorResponse { error: reason, field: Some(field) })
    }

    /// Creates a 503 response: the user may retry the request after the default delay.
    pub fn unavailable(reason: &str) -> ApiResponse {
        ApiResponse { retry_after: RETRY_AFTER_S, ..ApiResponse::error(503, reason) }
    }

    /// Creates a 503 response: the user may retry the request after this many seconds.
    pub fn unavailable_for(reason: &str, retry_after: u16) -> ApiResponse {
        ApiResponse { retry_after, ..ApiResponse::error(503, reason) }
    }

    /// Creates a 429 response: the submission is refused according to the admission table, and the user may retry it
    /// after this many seconds.
    pub fn too_many_submissions(retry_after: u16) -> ApiResponse {
        ApiResponse { retry_after, ..ApiResponse::error(429, "too many submissions of this class") }
    }

    /// Creates a 201 response: the submission is durably accepted.
    pub fn accepted(job: JobId) -> ApiResponse {
        ApiResponse::json(201, &SubmissionResponse { job, status: JobStatus::Queued })
    }
}
