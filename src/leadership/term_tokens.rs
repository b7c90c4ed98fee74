//! The fencing tokens that a leader may issue during one term.

use crate::types::{FencingToken, Revision};

/// The fencing tokens of one term.
///
/// The first one is the revision at which the leader key was won. The revision of every later transaction that was
/// confirmed, and that was conditional on the leader key still having that first revision, is a token of the same term
/// as well: another node can win the key only at a later revision, so the tokens of different terms never overlap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TermTokens {
    first: FencingToken,
    latest: FencingToken,
}

impl TermTokens {
    /// The tokens of a term that has just begun.
    pub fn new(first: FencingToken) -> TermTokens {
        TermTokens { first, latest: first }
    }

    /// Adds the revision of a confirmed transaction that was conditional on this term's leader key.
    pub fn add_confirmed_revision(&mut self, revision: Revision) {
        self.latest = self.latest.max(FencingToken(revision.0));
    }

    /// The highest token of this term that is known.
    pub fn latest(&self) -> FencingToken {
        self.latest
    }

    /// Whether the token belongs to this term.
    pub fn contains(&self, token: FencingToken) -> bool {
        (self.first..=self.latest).contains(&token)
    }

    /// Whether the token belongs to a later term.
    pub fn is_superseded_by(&self, token: FencingToken) -> bool {
        token > self.latest
    }
}
