//! The binary protocol between controllers, over the multiplexed link that each node opens to every other node.
//!
//! A frame consists of a header of fixed layout and a body whose length is given in the header. Followers forward
//! users' requests; the leader sends each response under the number of its request, in any order.

use crate::api::{ApiResponse, UserRequest};
use std::sync::Arc;
use zerocopy::byteorder::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// First field of every frame; its last byte is the version of the layout.
pub const MAGIC: u32 = u32::from_le_bytes(*b"CPT\x01");
/// Maximum body size of a frame, in bytes: slightly more than that of a user's request.
pub const BODY_LIMIT: u32 = 68 * 1024;

/// The kind of a frame, as encoded in its header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum FrameKind {
    /// `POST /work`.
    Submit = 1,
    /// `GET /work/{id}`.
    Get = 2,
    /// `POST /work/{id}/withdraw`.
    Cancel = 3,
    /// The response to a forwarded request.
    Response = 4,
    /// The sender is the leader; the header's `id` is its fencing token.
    LeaderAnnouncement = 5,
    /// An admission table. Sent only over links that began with a `hello`: an earlier version would close the link on
    /// receiving an unknown kind.
    AdmissionTable = 6,
    /// The demand that the sender has refused according to admission tables. Sent only to a node that has sent such a
    /// table.
    RefusedDemand = 7,
}

/// The header of a frame, in its layout on the wire.
#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub struct FrameHeader {
    /// Must equal `MAGIC`.
    pub magic: U32,
    /// Length of the body in bytes, at most `BODY_LIMIT`.
    pub length: U32,
    /// Number of the request that is sent or responded to; the fencing token in a leader announcement.
    pub id: U64,
    /// HTTP status of a response; 0 in other frames.
    pub status: U16,
    /// `Retry-After` of a response in seconds; 0 if there is none.
    pub retry_after: U16,
    /// A `FrameKind`.
    pub kind: u8,
    /// Padding; always zero.
    pub reserved: [u8; 3],
}

/// Size of the header in bytes.
pub const HEADER_BYTES: usize = size_of::<FrameHeader>();

/// A decoded frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Frame {
    /// A forwarded user's request and its number, which the sender chooses.
    Request(u64, UserRequest),
    /// The response to the request with this number.
    Response(u64, ApiResponse),
    /// The fencing token and the name of the leader.
    LeaderAnnouncement(u64, String),
    /// An encoded admission table.
    AdmissionTable(Arc<[u8]>),
    /// An encoded report of the demand that the sender has refused according to admission tables.
    RefusedDemand(Vec<u8>),
}

/// The error for a frame that cannot be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("malformed frame from a peer")]
pub struct FrameError;

/// A fencing token that no leader has.
const NO_TOKEN: u64 = 0;

impl Frame {
    /// Creates the first frame that a node sends on a link that it opens, which informs the peer that the node accepts
    /// admission tables.
    ///
    /// It is encoded as a leader announcement with a fencing token that no leader has: earlier versions decode and
    /// ignore it.
    pub fn hello(node: &str) -> Frame {
        Frame::LeaderAnnouncement(NO_TOKEN, node.to_string())
    }

    /// Whether the frame is a `hello`, not the announcement of a leader.
    pub fn is_hello(&self) -> bool {
        matches!(self, Frame::LeaderAnnouncement(NO_TOKEN, _))
    }

    /// Encodes the frame into the bytes that are sent.
    pub fn encode(&self) -> Vec<u8> {
        let submission;
        let (kind, id, status, retry_after, body): (FrameKind, u64, u16, u16, &[u8]) = match self {
            Frame::Request(id, UserRequest::Submit(request)) => {
                submission = request.encode();
                (FrameKind::Submit, *id, 0, 0, &submission)
            }
            Frame::Request(id, UserRequest::Get(name)) => (FrameKind::Get, *id, 0, 0, name.as_bytes()),
            Frame::Request(id, UserRequest::Cancel(name)) => (FrameKind::Cancel, *id, 0, 0, name.as_bytes()),
            Frame::LeaderAnnouncement(token, node) => (FrameKind::LeaderAnnouncement, *token, 0, 0, node.as_bytes()),
            Frame::RefusedDemand(report) => (FrameKind::RefusedDemand, 0, 0, 0, report),
            Frame::AdmissionTable(table) => (FrameKind::AdmissionTable, 0, 0, 0, table),
            Frame::Response(id, response) => {
                (FrameKind::Response, *id, response.status, response.retry_after, response.body.as_bytes())
            }
        };
        let header = FrameHeader {
            magic: U32::new(MAGIC),
            length: U32::new(body.len() as u32),
            id: U64::new(id),
            status: U16::new(status),
            retry_after: U16::new(retry_after),
            kind: kind as u8,
            reserved: [0; 3],
        };
        let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
        bytes.extend_from_slice(header.as_bytes());
        bytes.extend_from_slice(body);
        bytes
    }

    /// Decodes and checks a header; fails if the magic number is wrong or the body is too long.
    pub fn header(bytes: &[u8; HEADER_BYTES]) -> Result<FrameHeader, FrameError> {
        let header = FrameHeader::read_from_bytes(bytes).map_err(|_| FrameError)?;
        if header.magic.get() != MAGIC || header.length.get() > BODY_LIMIT {
            return Err(FrameError);
        }
        Ok(header)
    }

    /// Decodes a frame from its header and body; fails if the kind is unknown or a text is not UTF-8.
    pub fn decode(header: &FrameHeader, body: Vec<u8>) -> Result<Frame, FrameError> {
        let id = header.id.get();
        let text = |body| String::from_utf8(body).map_err(|_| FrameError);
        Ok(match header.kind {
            kind if kind == FrameKind::Submit as u8 => Frame::Request(id, UserRequest::submit(body)),
            kind if kind == FrameKind::Get as u8 => Frame::Request(id, UserRequest::Get(text(body)?)),
            kind if kind == FrameKind::Cancel as u8 => Frame::Request(id, UserRequest::Cancel(text(body)?)),
            kind if kind == FrameKind::LeaderAnnouncement as u8 => Frame::LeaderAnnouncement(id, text(body)?),
            kind if kind == FrameKind::RefusedDemand as u8 => Frame::RefusedDemand(body),
            kind if kind == FrameKind::AdmissionTable as u8 => Frame::AdmissionTable(body.into()),
            kind if kind == FrameKind::Response as u8 => Frame::Response(
                id,
                ApiResponse { status: header.status.get(), retry_after: header.retry_after.get(), body: text(body)? },
            ),
            _ => return Err(FrameError),
        })
    }
}

#[cfg(test)]
mod tests;
