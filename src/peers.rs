//! Between controllers: fixed layouts over one multiplexed link from each follower to the leader.
//!
//! A frame is a fixed header and a body of the length that the header tells. Followers send users'
//! requests, the leader sends the answers back under the same number, in any order.

use crate::api::{ApiResponse, UserRequest};
use std::sync::Arc;
use zerocopy::byteorder::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// Begins every frame; the last byte is the layout's version.
pub const MAGIC: u32 = u32::from_le_bytes(*b"CPT\x01");
/// Largest body of a frame: a user's body and a little more.
pub const BODY_LIMIT: u32 = 68 * 1024;

/// What a frame carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum FrameKind {
    /// `POST /work`.
    Submit = 1,
    /// `GET /work/{id}`.
    Get = 2,
    /// `POST /work/{id}/withdraw`.
    Cancel = 3,
    /// An answer.
    Response = 4,
    /// The sender leads; `id` is its token.
    LeaderAnnouncement = 5,
    /// An admission table. Sent only over links that began with a `hello`: an earlier version would close the link on a kind that it does
    /// not know.
    AdmissionTable = 6,
    /// What the sender refused by admission tables. Sent only to a node that has sent one.
    RefusedDemand = 7,
}

/// The fixed part of a frame, as it lies on the wire.
#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub struct FrameHeader {
    /// `MAGIC`.
    pub magic: U32,
    /// Length of the body.
    pub length: U32,
    /// Number of the request.
    pub id: U64,
    /// Status of an answer.
    pub status: U16,
    /// Seconds after which the user may come back.
    pub retry_after: U16,
    /// What the frame carries.
    pub kind: u8,
    /// Zero.
    pub reserved: [u8; 3],
}

/// Size of the header.
pub const HEADER_BYTES: usize = size_of::<FrameHeader>();

/// A frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Frame {
    /// A user's request under a number.
    Request(u64, UserRequest),
    /// The answer to the request with this number.
    Response(u64, ApiResponse),
    /// The node of this name leads, under this token.
    LeaderAnnouncement(u64, String),
    /// An admission table, encoded.
    AdmissionTable(Arc<[u8]>),
    /// What the sender refused by admission tables, encoded.
    RefusedDemand(Vec<u8>),
}

/// A frame that does not have the layout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("malformed frame from a peer")]
pub struct FrameError;

/// The token of no leader.
const NO_TOKEN: u64 = 0;

impl Frame {
    /// What a node sends first on a link that it opens, to say that it takes admission tables.
    ///
    /// It has the form of a leader's announcement under a token that no leader has, which earlier versions read and ignore.
    pub fn hello(node: &str) -> Frame {
        Frame::LeaderAnnouncement(NO_TOKEN, node.to_string())
    }

    /// Whether it is a `hello`.
    pub fn is_hello(&self) -> bool {
        matches!(self, Frame::LeaderAnnouncement(NO_TOKEN, _))
    }

    /// The bytes on the wire.
    pub fn encode(&self) -> Vec<u8> {
        let (kind, id, status, retry_after, body): (FrameKind, u64, u16, u16, &[u8]) = match self {
            Frame::Request(id, UserRequest::Submit(body)) => (FrameKind::Submit, *id, 0, 0, body),
            Frame::Request(id, UserRequest::Get(name)) => (FrameKind::Get, *id, 0, 0, name.as_bytes()),
            Frame::Request(id, UserRequest::Cancel(name)) => (FrameKind::Cancel, *id, 0, 0, name.as_bytes()),
            Frame::LeaderAnnouncement(token, node) => (FrameKind::LeaderAnnouncement, *token, 0, 0, node.as_bytes()),
            Frame::RefusedDemand(report) => (FrameKind::RefusedDemand, 0, 0, 0, report),
            Frame::AdmissionTable(table) => (FrameKind::AdmissionTable, 0, 0, 0, table),
            Frame::Response(id, a) => (FrameKind::Response, *id, a.status, a.retry_after, a.body.as_bytes()),
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

    /// Reads a header; tells how long the body is.
    pub fn header(bytes: &[u8; HEADER_BYTES]) -> Result<FrameHeader, FrameError> {
        let header = FrameHeader::read_from_bytes(bytes).map_err(|_| FrameError)?;
        if header.magic.get() != MAGIC || header.length.get() > BODY_LIMIT {
            return Err(FrameError);
        }
        Ok(header)
    }

    /// Puts header and body together.
    pub fn decode(header: &FrameHeader, body: Vec<u8>) -> Result<Frame, FrameError> {
        let id = header.id.get();
        let text = |body| String::from_utf8(body).map_err(|_| FrameError);
        Ok(match header.kind {
            k if k == FrameKind::Submit as u8 => Frame::Request(id, UserRequest::Submit(body)),
            k if k == FrameKind::Get as u8 => Frame::Request(id, UserRequest::Get(text(body)?)),
            k if k == FrameKind::Cancel as u8 => Frame::Request(id, UserRequest::Cancel(text(body)?)),
            k if k == FrameKind::LeaderAnnouncement as u8 => Frame::LeaderAnnouncement(id, text(body)?),
            k if k == FrameKind::RefusedDemand as u8 => Frame::RefusedDemand(body),
            k if k == FrameKind::AdmissionTable as u8 => Frame::AdmissionTable(body.into()),
            k if k == FrameKind::Response as u8 => Frame::Response(
                id,
                ApiResponse { status: header.status.get(), retry_after: header.retry_after.get(), body: text(body)? },
            ),
            _ => return Err(FrameError),
        })
    }
}

#[cfg(test)]
mod tests;
