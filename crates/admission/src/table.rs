//! The admission table: the share of each pair's submissions that is admitted, and the decision on a submission.

use crate::codec::{self, DecodeError};
use crate::hash::{self, HashPurpose};
use crate::submission::{OTHER_CLASSES, Submission, TeamClassPair};
use caperstile_types::{Duration, FencingToken, JobId};
use roaring::RoaringTreemap;
use std::collections::BTreeMap;
use zerocopy::byteorder::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// Layout version of the encoded table; decoding rejects tables of any other layout.
const LAYOUT: u16 = 1;
/// Minimum delay in seconds before a refused submission is retried; the maximum is twice this value.
const MIN_RETRY_AFTER_S: u16 = 8;
/// Minimum time for which a salt is used. It equals the minimum retry delay, so that a retried submission meets a new
/// salt: with the same salt and ratio it would be refused again.
pub(crate) const SALT_LIFETIME: Duration = Duration::from_millis(MIN_RETRY_AFTER_S as u64 * 1000);

/// Resolution at which limits are encoded: steps per unit of cost per second.
const LIMIT_STEPS_PER_UNIT: f64 = 1000.0;

/// Identifies a table and orders tables by age: a later leader has a higher token, and each leader numbers its tables
/// consecutively.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TableNumber {
    /// Fencing token of the leader that published the table.
    pub token: FencingToken,
    /// Sequence number of the table, counted per leader.
    pub sequence: u64,
}

/// A share of submissions as a multiple of 1/65,535.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ratio(u16);

impl Ratio {
    /// All submissions are admitted.
    pub const ALL: Ratio = Ratio(u16::MAX);

    /// Converts a share, rounding up. Shares outside of 0 to 1 are clamped.
    pub fn from_share(share: f64) -> Ratio {
        Ratio((share.clamp(0.0, 1.0) * f64::from(u16::MAX)).ceil() as u16)
    }

    /// Returns the share, from 0 to 1.
    pub fn share(self) -> f64 {
        f64::from(self.0) / f64::from(u16::MAX)
    }

    /// Whether the job belongs to the admitted share under this salt. With the same salt, a higher ratio admits every
    /// job that a lower ratio admits.
    fn admits(self, job: JobId, salt: u32) -> bool {
        self == Ratio::ALL || (hash::uniform_u32(HashPurpose::Admission, job, salt) >> 16) < u32::from(self.0)
    }
}

/// The admission ratio of one pair.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableEntry {
    /// Team and class to which the ratio applies.
    pub pair: TeamClassPair,
    /// Share of the pair's submissions that is admitted.
    pub ratio: Ratio,
}

/// The outcome of admission control for one submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The submission is admitted; the leader may accept the job.
    Admit,
    /// The submission is refused; the user may retry it.
    Refuse {
        /// Delay in seconds after which the user may retry.
        retry_after_s: u16,
    },
}

/// Admission ratios by which all controllers decide on submissions.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionTable {
    /// Identifies the table; a node replaces its table only by one with a higher number.
    pub number: TableNumber,
    /// Salt of the hash that selects which jobs a ratio admits. It changes every few seconds, so that no job is refused
    /// forever.
    pub salt: u32,
    /// Maximum cost per second that the leader admits, which a successor starts with; `None` if unlimited.
    pub limit: Option<f64>,
    /// Ratios by team and class; pairs that are missing are admitted in full.
    ratios: BTreeMap<String, BTreeMap<String, Ratio>>,
    /// Jobs that were accepted recently: a repeated submission of such a job is never refused.
    accepted: RoaringTreemap,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct Header {
    layout: U16,
    entries: U16,
    salt: U32,
    /// In thousandths of a unit of cost per second; 0 encodes the absence of a limit.
    limit: U32,
    token: U64,
    sequence: U64,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct EntryHeader {
    ratio: U16,
    team_length: u8,
    class_length: u8,
}

impl AdmissionTable {
    /// Creates a table that admits every submission.
    pub fn admit_all(number: TableNumber, salt: u32) -> AdmissionTable {
        AdmissionTable { number, salt, limit: None, ratios: BTreeMap::new(), accepted: RoaringTreemap::new() }
    }

    /// Creates a table from its entries. Drops entries with [`Ratio::ALL`], except in teams with an entry that covers
    /// all other classes: there they exempt their class from it.
    pub fn new(
        number: TableNumber,
        salt: u32,
        entries: impl IntoIterator<Item = TableEntry>,
        accepted: RoaringTreemap,
    ) -> AdmissionTable {
        let mut table = AdmissionTable { accepted, ..AdmissionTable::admit_all(number, salt) };
        for TableEntry { pair, ratio } in entries {
            table.ratios.entry(pair.team).or_default().insert(pair.class, ratio);
        }
        for classes in table.ratios.values_mut().filter(|classes| !classes.contains_key(OTHER_CLASSES)) {
            classes.retain(|_, ratio| *ratio < Ratio::ALL);
        }
        table.ratios.retain(|_, classes| !classes.is_empty());
        table
    }

    /// Returns a copy of the table under another number, for a leader that takes it over.
    pub(crate) fn renumbered(&self, number: TableNumber) -> AdmissionTable {
        AdmissionTable { number, ..self.clone() }
    }

    /// Whether the table admits every submission.
    pub fn admits_all(&self) -> bool {
        self.ratios.is_empty()
    }

    /// Returns the admission ratio of a team's class.
    pub fn ratio(&self, team: &str, class: &str) -> Ratio {
        let of_class = |classes: &BTreeMap<String, Ratio>| classes.get(class).or(classes.get(OTHER_CLASSES)).copied();
        self.ratios.get(team).and_then(of_class).unwrap_or(Ratio::ALL)
    }

    /// Returns the team, class and ratio of each entry.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &str, Ratio)> {
        self.ratios
            .iter()
            .flat_map(|(team, classes)| classes.iter().map(|(class, ratio)| (team.as_str(), class.as_str(), *ratio)))
    }

    /// Decides on a submission. The same table yields the same decision on every node.
    pub fn decide(&self, submission: &Submission) -> Decision {
        let ratio = self.ratio(submission.team, submission.class);
        if ratio.admits(submission.job, self.salt) || self.accepted.contains(submission.job.0) {
            return Decision::Admit;
        }
        // Uniform jitter, so that users who are refused at the same time do not retry at the same time.
        let jitter =
            hash::uniform_u32(HashPurpose::RetryAfter, submission.job, self.salt) % u32::from(MIN_RETRY_AFTER_S + 1);
        Decision::Refuse { retry_after_s: MIN_RETRY_AFTER_S + jitter as u16 }
    }

    /// Encodes the table. Omits what does not fit into one message: a pair without an entry is admitted in full, and
    /// without the set of accepted jobs, repeated submissions of accepted jobs may be refused.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; size_of::<Header>()];
        let mut entries = 0u16;
        for (team, class, ratio) in self.entries() {
            let Some((team_length, class_length)) = codec::name_lengths(team, class) else { continue };
            let header = EntryHeader { ratio: U16::new(ratio.0), team_length, class_length };
            entries += u16::from(codec::push_entry(&mut bytes, header.as_bytes(), team, class));
        }
        let header = Header {
            layout: U16::new(LAYOUT),
            entries: U16::new(entries),
            salt: U32::new(self.salt),
            limit: U32::new(
                self.limit.map_or(0, |limit| (limit * LIMIT_STEPS_PER_UNIT).min(f64::from(u32::MAX)) as u32),
            ),
            token: U64::new(self.number.token.0),
            sequence: U64::new(self.number.sequence),
        };
        bytes[..size_of::<Header>()].copy_from_slice(header.as_bytes());
        if bytes.len() + self.accepted.serialized_size() <= codec::MAX_MESSAGE_BYTES {
            // Writing to a `Vec` cannot fail.
            let _ = self.accepted.serialize_into(&mut bytes);
        }
        bytes
    }

    /// Decodes a table.
    pub fn decode(bytes: &[u8]) -> Result<AdmissionTable, DecodeError> {
        let (header, mut rest) = Header::read_from_prefix(bytes).map_err(|_| DecodeError::Truncated)?;
        if header.layout.get() != LAYOUT {
            return Err(DecodeError::UnknownLayout(header.layout.get()));
        }
        let number = TableNumber { token: FencingToken(header.token.get()), sequence: header.sequence.get() };
        let mut entries = Vec::new();
        for _ in 0..header.entries.get() {
            let (entry, remaining) = EntryHeader::read_from_prefix(rest).map_err(|_| DecodeError::Truncated)?;
            let (pair, remaining) = codec::take_pair(remaining, entry.team_length, entry.class_length)?;
            entries.push(TableEntry { pair, ratio: Ratio(entry.ratio.get()) });
            rest = remaining;
        }
        let accepted = match rest {
            [] => RoaringTreemap::new(),
            _ => RoaringTreemap::deserialize_from(rest).map_err(|_| DecodeError::AcceptedJobs)?,
        };
        let limit = Some(f64::from(header.limit.get()) / LIMIT_STEPS_PER_UNIT).filter(|limit| *limit > 0.0);
        Ok(AdmissionTable { limit, ..AdmissionTable::new(number, header.salt.get(), entries, accepted) })
    }
}
