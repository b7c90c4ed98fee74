//! Fragmentation of records that exceed the size limit of a value in the state service.
//!
//! Such records are not accepted, but one may have been stored before the limit was lowered. A snapshot writes it in
//! fragments, which are reassembled when the snapshot is loaded.

use super::LogRecord;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Upper estimate of the bytes of an encoded fragment that are not its text.
const FRAGMENT_OVERHEAD_BYTES: usize = 64;
/// Maximum factor by which JSON text grows when it is embedded in a JSON string, where quotes and backslashes are
/// escaped.
const ESCAPE_FACTOR: usize = 2;
/// Minimum text size of a fragment: the longest character in UTF-8.
const MIN_TEXT_BYTES: usize = 4;

/// One part of a record's JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordFragment {
    /// Number of the record among the fragmented records of the snapshot, from 0.
    #[serde(rename = "n")]
    pub record: u32,
    /// Position of the fragment within the record, from 0.
    #[serde(rename = "i")]
    pub index: u32,
    /// Number of fragments of the record.
    #[serde(rename = "c")]
    pub count: u32,
    /// This part of the record's JSON.
    #[serde(rename = "t")]
    pub text: String,
}

/// Splits a record's JSON into fragments that each fit into a value of `max_value_bytes`.
pub(super) fn split(record: u32, json: &str, max_value_bytes: usize) -> Vec<LogRecord> {
    let text_bytes = (max_value_bytes.saturating_sub(FRAGMENT_OVERHEAD_BYTES) / ESCAPE_FACTOR).max(MIN_TEXT_BYTES);
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

/// Collects fragments until their records are complete.
#[derive(Debug, Default)]
pub(super) struct FragmentAssembly {
    /// Text of the fragments, by record and by position within the record.
    fragments: BTreeMap<u32, BTreeMap<u32, String>>,
}

impl FragmentAssembly {
    /// Adds a fragment; returns the record if all its fragments are there now and its JSON can be parsed.
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
