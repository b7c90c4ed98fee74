//! Records that are larger than a value of the key-value store may be.
//!
//! No such record is accepted, but one may be stored from a time at which values could be larger. In a snapshot it is written in
//! fragments, which are put together again when they are read.

use super::LogRecord;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Bytes of a fragment that are not its text, generously.
const FRAGMENT_OVERHEAD_BYTES: usize = 64;
/// A character of JSON takes at most so many times its bytes when it is written as part of a string: an escape.
const ESCAPE_FACTOR: usize = 2;
/// A fragment holds at least one character.
const LEAST_TEXT_BYTES: usize = 4;

/// A piece of a record's JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordFragment {
    /// Number of the record among those of the snapshot that are written in fragments.
    #[serde(rename = "n")]
    pub record: u32,
    /// Position of the fragment, from 0.
    #[serde(rename = "i")]
    pub index: u32,
    /// How many fragments there are.
    #[serde(rename = "c")]
    pub count: u32,
    /// The piece of JSON.
    #[serde(rename = "t")]
    pub text: String,
}

/// A record's JSON in fragments of which each fits into a value of `value_bytes`.
pub(super) fn split(record: u32, json: &str, value_bytes: usize) -> Vec<LogRecord> {
    let text_bytes = (value_bytes.saturating_sub(FRAGMENT_OVERHEAD_BYTES) / ESCAPE_FACTOR).max(LEAST_TEXT_BYTES);
    let mut pieces: Vec<String> = vec![String::new()];
    for character in json.chars() {
        if pieces.last().is_some_and(|piece| piece.len() + character.len_utf8() > text_bytes) {
            pieces.push(String::new());
        }
        if let Some(piece) = pieces.last_mut() {
            piece.push(character);
        }
    }
    let count = pieces.len() as u32;
    let fragments = (0..).zip(pieces).map(|(index, text)| RecordFragment { record, index, count, text });
    fragments.map(LogRecord::Fragment).collect()
}

/// Fragments that were read, until their records are complete.
#[derive(Debug, Default)]
pub(super) struct FragmentAssembly {
    /// By record, and by position within it.
    fragments: BTreeMap<u32, BTreeMap<u32, String>>,
}

impl FragmentAssembly {
    /// Takes a fragment; the record, if this was its last one.
    pub(super) fn add(&mut self, fragment: RecordFragment) -> Option<LogRecord> {
        let pieces = self.fragments.entry(fragment.record).or_default();
        pieces.insert(fragment.index, fragment.text);
        if pieces.len() < fragment.count as usize {
            return None;
        }
        let json: String = self.fragments.remove(&fragment.record)?.into_values().collect();
        let record = serde_json::from_str(&json);
        record
            .inspect_err(|error| log::error!("log record unreadable fragments={} error=\"{error}\"", fragment.count))
            .ok()
    }
}
