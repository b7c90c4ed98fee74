//! The demand report: a follower reports the submissions that it refused, so that the leader knows the total demand.

use crate::codec::{self, DecodeError};
use crate::submission::TeamClassPair;
use std::collections::BTreeMap;
use zerocopy::byteorder::little_endian::{U16, U32};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// Layout version of an encoded report.
const LAYOUT: u16 = 1;
/// Maximum number of pairs in one report; refusals of further pairs are not reported.
const MAX_PAIRS: usize = 1_024;

/// Refused submissions of one pair.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RefusedDemand {
    /// Number of refused submissions.
    pub jobs: u32,
    /// Total number of tasks of the refused submissions.
    pub tasks: u32,
}

/// Submissions that one node has refused since its previous report, by pair of team and class.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct DemandReport {
    pairs: BTreeMap<TeamClassPair, RefusedDemand>,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct Header {
    layout: U16,
    entries: U16,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct EntryHeader {
    jobs: U32,
    tasks: U32,
    team_length: u8,
    class_length: u8,
}

impl DemandReport {
    /// Records the refusal of one submission with `tasks` tasks.
    pub fn record_refused(&mut self, team: &str, class: &str, tasks: u32) {
        let pair = TeamClassPair::new(team, class);
        if self.pairs.len() >= MAX_PAIRS && !self.pairs.contains_key(&pair) {
            return;
        }
        let refused = self.pairs.entry(pair).or_default();
        refused.jobs = refused.jobs.saturating_add(1);
        refused.tasks = refused.tasks.saturating_add(tasks);
    }

    /// Whether no refusals are recorded.
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }

    /// Returns the refused submissions of each pair.
    pub fn pairs(&self) -> impl Iterator<Item = (&TeamClassPair, &RefusedDemand)> {
        self.pairs.iter()
    }

    /// Encodes the report. Omits pairs that do not fit into one message and pairs with a name of more than 255 bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; size_of::<Header>()];
        let mut entries = 0u16;
        for (pair, refused) in &self.pairs {
            let Some((team_length, class_length)) = codec::name_lengths(&pair.team, &pair.class) else { continue };
            let header =
                EntryHeader { jobs: U32::new(refused.jobs), tasks: U32::new(refused.tasks), team_length, class_length };
            entries += u16::from(codec::push_entry(&mut bytes, header.as_bytes(), &pair.team, &pair.class));
        }
        let header = Header { layout: U16::new(LAYOUT), entries: U16::new(entries) };
        bytes[..size_of::<Header>()].copy_from_slice(header.as_bytes());
        bytes
    }

    /// Decodes a report.
    pub fn decode(bytes: &[u8]) -> Result<DemandReport, DecodeError> {
        let (header, mut rest) = Header::read_from_prefix(bytes).map_err(|_| DecodeError::Truncated)?;
        if header.layout.get() != LAYOUT {
            return Err(DecodeError::UnknownLayout(header.layout.get()));
        }
        let mut report = DemandReport::default();
        for _ in 0..header.entries.get() {
            let (entry, remaining) = EntryHeader::read_from_prefix(rest).map_err(|_| DecodeError::Truncated)?;
            let (pair, remaining) = codec::take_pair(remaining, entry.team_length, entry.class_length)?;
            report.pairs.insert(pair, RefusedDemand { jobs: entry.jobs.get(), tasks: entry.tasks.get() });
            rest = remaining;
        }
        Ok(report)
    }
}
