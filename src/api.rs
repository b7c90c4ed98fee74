//! Requests of users, and the responses that users, workers and the load balancer get.

use crate::types::JobId;
use crate::wire::{ErrorResponse, JobStatus, SubmissionResponse};
use serde::Serialize;

/// `Retry-After` of most refusals, in seconds.
const RETRY_AFTER_S: u16 = 1;

/// A user's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UserRequest {
    /// Submit a job: the body as it came.
    Submit(Vec<u8>),
    /// Ask for a job: the id as it came.
    Get(String),
    /// Cancel a job: the id as it came.
    Cancel(String),
}

/// A response over HTTP to a user, a worker or the load balancer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiResponse {
    /// HTTP status.
    pub status: u16,
    /// `Retry-After` in seconds, 0: none.
    pub retry_after: u16,
    /// JSON.
    pub body: String,
}

impl ApiResponse {
    /// A response with this status and body.
    pub fn json(status: u16, body: &impl Serialize) -> ApiResponse {
        ApiResponse { status, retry_after: 0, body: serde_json::to_string(body).unwrap_or_default() }
    }

    /// A response with an empty object.
    pub fn empty(status: u16) -> ApiResponse {
        ApiResponse { status, retry_after: 0, body: "{}".into() }
    }

    /// A refusal with its reason.
    pub fn error(status: u16, reason: &str) -> ApiResponse {
        ApiResponse::json(status, &ErrorResponse { error: reason, field: None })
    }

    /// A refusal that names the field at fault.
    pub fn field_error(status: u16, reason: &str, field: &str) -> ApiResponse {
        ApiResponse::json(status, &ErrorResponse { error: reason, field: Some(field) })
    }

    /// 503: the request may be repeated.
    pub fn unavailable(reason: &str) -> ApiResponse {
        ApiResponse { retry_after: RETRY_AFTER_S, ..ApiResponse::error(503, reason) }
    }

    /// 503: the request may be repeated after this many seconds.
    pub fn unavailable_for(reason: &str, retry_after: u16) -> ApiResponse {
        ApiResponse { retry_after, ..ApiResponse::error(503, reason) }
    }

    /// 429: the admission table refuses the submission; it may be repeated after this many seconds.
    pub fn too_many_submissions(retry_after: u16) -> ApiResponse {
        ApiResponse { retry_after, ..ApiResponse::error(429, "too many submissions of this class") }
    }

    /// 201: a submission is accepted.
    pub fn accepted(job: JobId) -> ApiResponse {
        ApiResponse::json(201, &SubmissionResponse { job, status: JobStatus::Queued })
    }
}
