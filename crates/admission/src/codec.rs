//! What the encoded messages between controllers have in common.

use crate::submission::TeamClassPair;

/// Most bytes of an encoded message: it fits into one frame between controllers.
pub(crate) const MAX_BYTES: usize = 60 * 1024;

/// An encoded message that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// It ends before its last part.
    #[error("an admission message is cut off")]
    Truncated,
    /// It is of a version that this one does not know.
    #[error("an admission message has the unknown layout {0}")]
    Layout(u16),
    /// A name is not text.
    #[error("a name in an admission message is not UTF-8")]
    Name,
    /// The set of accepted jobs cannot be read.
    #[error("the accepted jobs of an admission table cannot be read")]
    Accepted,
}

/// The lengths of a pair's names; `None` if one is too long for an entry.
pub(crate) fn name_lengths(team: &str, class: &str) -> Option<(u8, u8)> {
    Some((u8::try_from(team.len()).ok()?, u8::try_from(class.len()).ok()?))
}

/// Adds an entry and its names unless the message has no room for it; whether it was added.
pub(crate) fn push_entry(bytes: &mut Vec<u8>, header: &[u8], team: &str, class: &str) -> bool {
    if bytes.len() + header.len() + team.len() + class.len() > MAX_BYTES {
        return false;
    }
    bytes.extend_from_slice(header);
    bytes.extend_from_slice(team.as_bytes());
    bytes.extend_from_slice(class.as_bytes());
    true
}

/// Reads the names of an entry; what comes behind it.
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
    Ok((std::str::from_utf8(name).map_err(|_| DecodeError::Name)?, rest))
}
