//! Names in a submission: lists of them, and their shortening to what a log record has room for.

use serde::{Serialize, Serializer};

/// Maximum size of a class or image name in a log record, in bytes of JSON.
const NAME_BYTES: usize = 200;
/// Size of the hash at the end of a shortened name, with its separator.
const HASH_BYTES: usize = 17;
/// Size of a control character in JSON, the largest of any character.
const CONTROL_CHARACTER_BYTES: usize = 6;

/// A list of names, kept in one string: a body has room for thousands of short ones.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct NameList {
    text: String,
    /// For each name, its end in `text`; the next name begins there.
    ends: Vec<u32>,
}

impl NameList {
    /// The names in the order in which they were listed.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        let starts = std::iter::once(0).chain(self.ends.iter().copied());
        starts.zip(&self.ends).map(|(start, end)| &self.text[start as usize..*end as usize])
    }
}

impl<'a> FromIterator<&'a str> for NameList {
    fn from_iter<I: IntoIterator<Item = &'a str>>(names: I) -> NameList {
        let mut list = NameList::default();
        for name in names {
            list.text.push_str(name);
            list.ends.push(list.text.len() as u32);
        }
        list
    }
}

impl Serialize for NameList {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_seq(self.iter())
    }
}

/// Returns the name of a class or an image as it is stored. A longer one is replaced by its beginning and a hash, which
/// is the same on every controller: such names are compared with each other only.
pub(super) fn shorten(name: &str) -> String {
    shorten_to(name, NAME_BYTES)
}

/// Shortens a name to what is needed to tell it from others, for a log record with very little room.
pub fn abbreviate_name(name: &str) -> String {
    shorten_to(name, HASH_BYTES)
}

/// Shortens a name to a size in bytes of JSON.
fn shorten_to(name: &str, limit: usize) -> String {
    if name.chars().map(json_bytes).sum::<usize>() <= limit {
        return name.to_string();
    }
    let mut bytes = HASH_BYTES;
    let fits = |character: &char| {
        bytes += json_bytes(*character);
        bytes <= limit
    };
    let beginning: String = name.chars().take_while(fits).collect();
    format!("{beginning}#{:016x}", fnv1a(name.as_bytes()))
}

/// Upper bound of the size of a character in a JSON string.
fn json_bytes(character: char) -> usize {
    match character {
        '"' | '\\' => 2,
        _ if character.is_ascii_control() => CONTROL_CHARACTER_BYTES,
        _ => character.len_utf8(),
    }
}

/// The 64-bit FNV-1a hash.
fn fnv1a(bytes: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}
