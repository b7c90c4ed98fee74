//! Facts that are larger than a value of the state service may be.
//!
//! No such fact is accepted, but one may be stored from a time at which values could be larger. In a snapshot it is written in parts, which
//! are put together again when they are read.

use super::LogRecord;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Bytes of a part that are not its text, generously.
const PART_OVERHEAD: usize = 64;
/// A character of JSON takes at most so many bytes more when it is written as part of a string: an escape.
const ESCAPED: usize = 2;

/// A piece of a fact's JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Number of the fact among those of the snapshot that are written in parts.
    #[serde(rename = "n")]
    pub fact: u32,
    /// Place of the piece, from 0.
    #[serde(rename = "i")]
    pub index: u32,
    /// How many pieces there are.
    #[serde(rename = "c")]
    pub count: u32,
    /// The piece.
    #[serde(rename = "t")]
    pub text: String,
}

/// A fact's JSON in parts of which each fits into a value of `value_bytes`.
pub fn split(fact: u32, json: &str, value_bytes: usize) -> Vec<LogRecord> {
    let most = (value_bytes.saturating_sub(PART_OVERHEAD) / ESCAPED).max(4);
    let mut pieces: Vec<String> = vec![String::new()];
    for character in json.chars() {
        if pieces.last().is_some_and(|piece| piece.len() + character.len_utf8() > most) {
            pieces.push(String::new());
        }
        if let Some(piece) = pieces.last_mut() {
            piece.push(character);
        }
    }
    let count = pieces.len() as u32;
    let parts = (0..).zip(pieces).map(|(index, text)| Part { fact, index, count, text });
    parts.map(LogRecord::Fragment).collect()
}

/// Parts that were read, until their facts are complete.
#[derive(Debug, Default)]
pub struct Assembly {
    facts: BTreeMap<u32, BTreeMap<u32, String>>,
}

impl Assembly {
    /// Takes a part; the fact, if this was its last one.
    pub fn take(&mut self, part: Part) -> Option<LogRecord> {
        let pieces = self.facts.entry(part.fact).or_default();
        pieces.insert(part.index, part.text);
        if pieces.len() < part.count as usize {
            return None;
        }
        let json: String = self.facts.remove(&part.fact)?.into_values().collect();
        serde_json::from_str(&json).inspect_err(|e| log::error!("a fact in parts cannot be read: {e}")).ok()
    }
}
