//! Encoding shared by the admission messages that controllers exchange: tables and demand reports.

use crate::submission::TeamClassPair;

/// Maximum size of an encoded message in bytes, so that it fits into one frame between controllers.
pub(crate) const MAX_MESSAGE_BYTES: usize = 60 * 1024;

/// Why an encoded message cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The message ends before its last field.
    #[error("admission message is truncated")]
    Truncated,
    /// The message has a layout that this version does not support.
    #[error("admission message has unknown layout {0}")]
    UnknownLayout(u16),
    /// The name of a team or class is not valid UTF-8.
    #[error("team or class name in an admission message is not valid UTF-8")]
    NameNotUtf8,
    /// The set of accepted jobs cannot be deserialized.
    #[error("accepted jobs of an admission table cannot be deserialized")]
    AcceptedJobs,
}

/// Returns the lengths of both names in bytes; `None` if one exceeds the 255 bytes that an entry can encode.
pub(crate) fn name_lengths(team: &str, class: &str) -> Option<(u8, u8)> {
    Some((u8::try_from(team.len()).ok()?, u8::try_from(class.len()).ok()?))
}

/// Appends an entry's header and names unless the message would exceed [`MAX_MESSAGE_BYTES`]. Returns whether it was
/// appended.
pub(crate) fn push_entry(bytes: &mut Vec<u8>, header: &[u8], team: &str, class: &str) -> bool {
    if bytes.len() + header.len() + team.len() + class.len() > MAX_MESSAGE_BYTES {
        return false;
    }
    bytes.extend_from_slice(header);
    bytes.extend_from_slice(team.as_bytes());
    bytes.extend_from_slice(class.as_bytes());
    true
}

/// Decodes the names of an entry. Returns the pair and the bytes that follow the entry.
pub(crate) fn take_pair(
    bytes: &[u8],
    team_length: u8,
    class_length: u8,
) -> Result<(TeamClassPair, &[u8]), DecodeError> {
    let (team, rest) = take_name(bytes, team_length)?;
    let (class, rest) = take_name(rest, class_length)?;
    Ok((TeamClassPair::new(team, class), rest))
}

fn take_name(bytes: &[u8], length: u8) -> Result<(&str, &[u8]), DecodeError> {
    let (name, rest) = bytes.split_at_checked(usize::from(length)).ok_or(DecodeError::Truncated)?;
    Ok((std::str::from_utf8(name).map_err(|_| DecodeError::NameNotUtf8)?, rest))
}
