//! The admission table: what share of each pair's submissions is admitted, and the decision by it.

use crate::codec::{self, DecodeError};
use crate::hash::{self, Purpose};
use crate::submission::{OTHER_CLASSES, Submission, TeamClassPair};
use caperstile_types::{Duration, FencingToken, JobId};
use roaring::RoaringTreemap;
use std::collections::BTreeMap;
use zerocopy::byteorder::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// Layout of the encoded table; a reader passes over tables of any other.
const LAYOUT: u16 = 1;
/// Refused users come back after a time between this and twice this.
const RETRY_AFTER_S: u16 = 8;
/// Users come back in a later draw than the one that refused them, or the answer would be the same.
pub(crate) const DRAW_LENGTH: Duration = Duration::from_millis(RETRY_AFTER_S as u64 * 1000);

/// Parts of a unit of cost in which limits are encoded.
const LIMIT_UNIT: f64 = 1000.0;

/// Which table this is. A higher token is a later leader's; tables of one leader are numbered in sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TableNumber {
    /// Fencing token of the leader that made it.
    pub token: FencingToken,
    /// Its number among that leader's tables.
    pub sequence: u64,
}

/// A share of submissions, in parts of 65,535.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ratio(u16);

impl Ratio {
    /// Everything is admitted.
    pub const ALL: Ratio = Ratio(u16::MAX);

    /// The ratio of this share; what lies outside of 0 to 1 is cut.
    pub fn from_share(share: f64) -> Ratio {
        Ratio((share.clamp(0.0, 1.0) * f64::from(u16::MAX)).ceil() as u16)
    }

    /// The share, from 0 to 1.
    pub fn share(self) -> f64 {
        f64::from(self.0) / f64::from(u16::MAX)
    }

    /// Whether a job is among the admitted in this draw. A higher ratio admits all that a lower one does.
    fn admits(self, job: JobId, salt: u32) -> bool {
        self == Ratio::ALL || (hash::uniform_u32(Purpose::Admission, job, salt) >> 16) < u32::from(self.0)
    }
}

/// What the table says of one pair.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableEntry {
    /// Team and class.
    pub pair: TeamClassPair,
    /// The share of its submissions that is admitted.
    pub ratio: Ratio,
}

/// What is to become of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The leader may accept it.
    Admit,
    /// It is refused for now.
    Refuse {
        /// When its user may come back, in seconds.
        retry_after_s: u16,
    },
}

/// Which submissions are refused, for all controllers alike.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionTable {
    /// Which table it is.
    pub number: TableNumber,
    /// Decides which jobs a ratio admits; it changes every few seconds, so that nobody is refused for ever.
    pub salt: u32,
    /// The cost per second that the leader admits at the most, for the next leader to begin with.
    pub limit: Option<f64>,
    /// By team and class.
    ratios: BTreeMap<String, BTreeMap<String, Ratio>>,
    /// Jobs that were accepted not long ago: a repeat of such a submission is never refused.
    accepted: RoaringTreemap,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct Header {
    layout: U16,
    entries: U16,
    salt: U32,
    /// In thousandths; 0: none.
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
    /// A table that refuses nothing.
    pub fn admit_all(number: TableNumber, salt: u32) -> AdmissionTable {
        AdmissionTable { number, salt, limit: None, ratios: BTreeMap::new(), accepted: RoaringTreemap::new() }
    }

    /// A table of these entries. Those that admit everything are needed only beside one for all other classes of their team.
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

    /// The same table under another number, for a leader that goes on with it.
    pub(crate) fn renumbered(&self, number: TableNumber) -> AdmissionTable {
        AdmissionTable { number, ..self.clone() }
    }

    /// Whether it refuses nothing.
    pub fn admits_all(&self) -> bool {
        self.ratios.is_empty()
    }

    /// The share that is admitted of a team's class.
    pub fn ratio(&self, team: &str, class: &str) -> Ratio {
        let of_class = |classes: &BTreeMap<String, Ratio>| classes.get(class).or(classes.get(OTHER_CLASSES)).copied();
        self.ratios.get(team).and_then(of_class).unwrap_or(Ratio::ALL)
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &str, Ratio)> {
        self.ratios
            .iter()
            .flat_map(|(team, classes)| classes.iter().map(|(class, ratio)| (team.as_str(), class.as_str(), *ratio)))
    }

    /// Decides on a submission. The same table gives the same answer on every node.
    pub fn decide(&self, submission: &Submission) -> Decision {
        let ratio = self.ratio(submission.team, submission.class);
        if ratio.admits(submission.job, self.salt) || self.accepted.contains(submission.job.0) {
            return Decision::Admit;
        }
        // Spread evenly, so that those who are refused together do not come back together.
        let spread = hash::uniform_u32(Purpose::Retry, submission.job, self.salt) % u32::from(RETRY_AFTER_S + 1);
        Decision::Refuse { retry_after_s: RETRY_AFTER_S + spread as u16 }
    }

    /// The bytes of the table. What does not fit is left out: of entries that are missing everything is admitted, and of accepted jobs
    /// that are missing a repeat may be refused.
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
            limit: U32::new(self.limit.map_or(0, |limit| (limit * LIMIT_UNIT).min(f64::from(u32::MAX)) as u32)),
            token: U64::new(self.number.token.0),
            sequence: U64::new(self.number.sequence),
        };
        bytes[..size_of::<Header>()].copy_from_slice(header.as_bytes());
        if bytes.len() + self.accepted.serialized_size() <= codec::MAX_BYTES {
            // Writing into memory does not fail.
            let _ = self.accepted.serialize_into(&mut bytes);
        }
        bytes
    }

    /// Reads the bytes of a table.
    pub fn decode(bytes: &[u8]) -> Result<AdmissionTable, DecodeError> {
        let (header, mut rest) = Header::read_from_prefix(bytes).map_err(|_| DecodeError::Truncated)?;
        if header.layout.get() != LAYOUT {
            return Err(DecodeError::Layout(header.layout.get()));
        }
        let number = TableNumber { token: FencingToken(header.token.get()), sequence: header.sequence.get() };
        let mut entries = Vec::new();
        for _ in 0..header.entries.get() {
            let (entry, after) = EntryHeader::read_from_prefix(rest).map_err(|_| DecodeError::Truncated)?;
            let (pair, after) = codec::take_pair(after, entry.team_length, entry.class_length)?;
            entries.push(TableEntry { pair, ratio: Ratio(entry.ratio.get()) });
            rest = after;
        }
        let accepted = match rest {
            [] => RoaringTreemap::new(),
            _ => RoaringTreemap::deserialize_from(rest).map_err(|_| DecodeError::Accepted)?,
        };
        let limit = Some(f64::from(header.limit.get()) / LIMIT_UNIT).filter(|limit| *limit > 0.0);
        Ok(AdmissionTable { limit, ..AdmissionTable::new(number, header.salt.get(), entries, accepted) })
    }
}
