//! Draws submissions: sound ones as PROTOCOL and the JSON standard allow them, in any spelling, and broken ones.

use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};

/// Maximum size of a body, in bytes.
const BODY_LIMIT: usize = 64 * 1024;
/// Fields that may be omitted or null.
const NULLABLE: [&str; 3] = ["Builds", "Yard", "DueS"];
/// Mantissas and exponents of amounts, from none to far beyond the range of floating-point numbers.
const AMOUNTS: [(&str, i32); 14] = [
    ("0", 0),
    ("1", -60),
    ("1", -400),
    ("4", -4),
    ("1", -3),
    ("25", -2),
    ("1", 0),
    ("57", -1),
    ("64", 0),
    ("1", 9),
    ("9007199254740993", 0),
    ("17", 307),
    ("1", 400),
    ("31415926535897932384626433832795028841971693993751", -50),
];

/// Numbers of tasks.
const TASK_COUNTS: [(&str, i32); 4] = [("1", 0), ("7", 0), ("3", 1), ("1", 5)];

/// A value in a submission.
#[derive(Debug, Clone)]
enum Field {
    Null,
    /// A number as its digits and a power of ten.
    Number(&'static str, i32),
    Text(String),
    Texts(Vec<String>),
    Flag(bool),
}

/// A sound submission, which can be spelled in many ways.
#[derive(Debug, Clone)]
pub struct SoundSubmission {
    pub id: String,
    fields: Vec<(&'static str, Field)>,
}

/// Draws submissions and their spellings; the seed determines all of them.
pub struct Generator(SmallRng);

impl Generator {
    pub fn new(seed: u64) -> Generator {
        Generator(SmallRng::seed_from_u64(seed))
    }

    /// Draws a sound submission of this job. With `small_amounts` its tasks fit on a machine.
    pub fn sound(&mut self, number: u64, small_amounts: bool) -> SoundSubmission {
        let id = format!("job-{number:06}");
        let sizes = if small_amounts { &AMOUNTS[..7] } else { &AMOUNTS[..] };
        let counts = if small_amounts { &TASK_COUNTS[..2] } else { &TASK_COUNTS[..] };
        let words = |rng: &mut SmallRng, words: &[&str]| Field::Text(words.choose(rng).expect("a word").to_string());
        let rng = &mut self.0;
        let size = |rng: &mut SmallRng| sizes.choose(rng).map(|(d, e)| Field::Number(d, *e)).expect("an amount");
        let any = |rng: &mut SmallRng| AMOUNTS.choose(rng).map(|(d, e)| Field::Number(d, *e)).expect("an amount");
        let mut types: Vec<String> = (0..rng.random_range(0..4)).map(|_| name(rng)).collect();
        if rng.random_bool(0.02) {
            types.extend((0..3000).map(|n| format!("t{n}")));
        }
        types.push("small".into());
        let (together, in_one_zone) = (rng.random(), rng.random_bool(0.3));
        let fields = vec![
            ("Ref", Field::Text(id.clone())),
            ("Lane", Field::Text(name(rng))),
            ("Crew", Field::Text("crew".into())),
            ("Shape", words(rng, &["batch", "standing"])),
            ("Rank", words(rng, &["prod", "urgent", "standard", "low"])),
            ("Pieces", counts.choose(rng).map(|(d, e)| Field::Number(d, *e)).expect("a count")),
            ("Cores", size(rng)),
            ("Cards", Field::Number("0", 0)),
            ("MemoryGb", size(rng)),
            ("Reel", Field::Text(name(rng))),
            ("ImageGb", any(rng)),
            ("Builds", if rng.random_bool(0.5) { Field::Null } else { Field::Texts(types) }),
            ("Yard", if in_one_zone { Field::Text("a".into()) } else { Field::Null }),
            ("Together", Field::Flag(together)),
            ("Spread", Field::Flag(!together && !in_one_zone && rng.random())),
            ("Loaners", Field::Flag(rng.random())),
            ("RuntimeS", any(rng)),
            ("BookmarkS", any(rng)),
            ("StashS", any(rng)),
            ("DueS", if rng.random_bool(0.5) { Field::Null } else { any(rng) }),
        ];
        SoundSubmission { id, fields }
    }

    /// Writes a submission in a random spelling, with unknown fields between the known ones.
    pub fn spell(&mut self, submission: &SoundSubmission) -> Vec<u8> {
        let rng = &mut self.0;
        let mut members: Vec<String> = Vec::new();
        for (name, field) in &submission.fields {
            if matches!(field, Field::Null) && NULLABLE.contains(name) && rng.random_bool(0.5) {
                continue;
            }
            members.push(member(rng, name, field));
        }
        let mut room = BODY_LIMIT - 2048 - members.iter().map(|m| m.len() + 8).sum::<usize>().min(BODY_LIMIT - 2048);
        for number in 0..rng.random_range(0..4) {
            let value = unknown_value(rng, room);
            room = room.saturating_sub(value.len() + 16);
            members.push(format!("\"x{number}\":{value}"));
        }
        members.shuffle(rng);
        let separator = format!("{},{}", space(rng), space(rng));
        format!("{}{{{}}}{}", space(rng), members.join(&separator), space(rng)).into_bytes()
    }

    /// Writes a submission with one thing dropped, broken or mistyped; returns also what it is.
    pub fn broken(&mut self, submission: &SoundSubmission) -> (&'static str, Vec<u8>) {
        let rng = &mut self.0;
        let mut members: Vec<(&str, String)> =
            submission.fields.iter().map(|(name, field)| (*name, member(rng, name, field))).collect();
        let required: Vec<usize> = (0..members.len()).filter(|n| !NULLABLE.contains(&members[*n].0)).collect();
        let index = *required.choose(rng).expect("a field");
        let name = members[index].0;
        let what = match rng.random_range(0..5) {
            0 => {
                members.remove(index);
                "dropped"
            }
            1 => {
                members[index].1 = format!("\"{name}\":null");
                "null"
            }
            2 => {
                let index = rng.random_range(0..members.len());
                members[index].1 = format!("\"{}\":{}", members[index].0, mistyped(rng, members[index].0));
                "mistyped"
            }
            3 => {
                let (name, values): (&str, &[&str]) = INVALID_VALUES.choose(rng).copied().expect("a field");
                let position = members.iter().position(|(known, _)| *known == name).expect("a known field");
                members[position].1 = format!("\"{name}\":{}", values.choose(rng).expect("a value"));
                "invalid"
            }
            _ => return ("not JSON", break_syntax(rng, &members)),
        };
        members.shuffle(rng);
        (what, object(&members).into_bytes())
    }
}

/// Values that PROTOCOL excludes.
const INVALID_VALUES: [(&str, &[&str]); 9] = [
    ("Ref", &["\"\"", "\"job-1\"", "\"job-00000x\"", "\"m-000001\"", "\"job-0000412\""]),
    ("Shape", &["\"gang\"", "\"Batch\"", "\"\""]),
    ("Rank", &["\"Prod\"", "\"highest\""]),
    ("Pieces", &["0", "-1", "1.5", "100001", "1e400", "1e-400", "0.0"]),
    ("Cores", &["-1", "-1e-400", "-0.5e300"]),
    ("DueS", &["-3", "-1e-60"]),
    ("StashS", &["-0.001"]),
    ("Builds", &["[1]", "[\"small\",null]", "[[\"small\"]]"]),
    ("Lane", &["\"\""]),
];

fn object(members: &[(&str, String)]) -> String {
    let members: Vec<&str> = members.iter().map(|(_, member)| member.as_str()).collect();
    format!("{{{}}}", members.join(","))
}

fn break_syntax(rng: &mut SmallRng, members: &[(&str, String)]) -> Vec<u8> {
    let text = object(members);
    match rng.random_range(0..6) {
        0 => text.as_bytes()[..rng.random_range(0..text.len())].to_vec(),
        1 => format!("{text}x").into_bytes(),
        2 => text.replacen(':', "", 1).into_bytes(),
        3 => text.replacen('{', "{\"y\":01,", 1).into_bytes(),
        4 => text.replacen('{', "{\"y\":NaN,", 1).into_bytes(),
        _ => [&text.as_bytes()[..1], b"\"\xff\":1,", &text.as_bytes()[1..]].concat(),
    }
}

/// A value of another type than the field has.
fn mistyped(rng: &mut SmallRng, name: &str) -> &'static str {
    let is_flag = matches!(name, "Together" | "Spread" | "Loaners");
    let is_text = matches!(name, "Ref" | "Lane" | "Crew" | "Shape" | "Rank" | "Reel" | "Yard");
    let values: &[&str] = match () {
        () if is_flag => &["0", "\"true\"", "[]", "{}"],
        () if is_text => &["1", "true", "[\"a\"]", "{}"],
        () if name == "Builds" => &["1", "\"small\"", "false", "{\"small\":1}"],
        () => &["\"4\"", "true", "[1]", "{}"],
    };
    values.choose(rng).expect("a value")
}

fn space(rng: &mut SmallRng) -> String {
    (0..rng.random_range(0..3)).map(|_| *[' ', '\t', '\n', '\r'].choose(rng).expect("white space")).collect()
}

fn member(rng: &mut SmallRng, name: &str, field: &Field) -> String {
    let value = match field {
        Field::Null => "null".to_string(),
        Field::Number(digits, exponent) => number(rng, digits, *exponent),
        Field::Text(text) => string(rng, text),
        Field::Texts(texts) => {
            let texts: Vec<String> = texts.iter().map(|text| string(rng, text)).collect();
            format!("[{}]", texts.join(","))
        }
        Field::Flag(flag) => flag.to_string(),
    };
    format!("{}{}:{}{value}", string(rng, name), space(rng), space(rng))
}

/// Spells `digits` times ten to the power `exponent`.
fn number(rng: &mut SmallRng, digits: &str, exponent: i32) -> String {
    let zeros = rng.random_range(0..4_usize);
    let digits = if digits == "0" { digits.to_string() } else { digits.to_string() + &"0".repeat(zeros) };
    let exponent = if digits == "0" { 0 } else { exponent - zeros as i32 };
    let after_point = rng.random_range(0..digits.len());
    let (whole, fraction) = digits.split_at(digits.len() - after_point);
    let exponent = exponent + after_point as i32;
    let letter = if rng.random() { 'e' } else { 'E' };
    let sign = if exponent >= 0 && rng.random() { "+" } else { "" };
    let fraction = if fraction.is_empty() { String::new() } else { format!(".{fraction}") };
    if exponent == 0 && rng.random() {
        format!("{whole}{fraction}")
    } else {
        format!("{whole}{fraction}{letter}{sign}{exponent}")
    }
}

/// Spells a string, with some characters escaped.
fn string(rng: &mut SmallRng, text: &str) -> String {
    let mut spelled = String::from("\"");
    for character in text.chars() {
        if character.is_control() || matches!(character, '"' | '\\') || rng.random_bool(0.1) {
            let mut units = [0; 2];
            spelled.extend(character.encode_utf16(&mut units).iter().map(|unit| format!("\\u{unit:04X}")));
        } else {
            spelled.push(character);
        }
    }
    spelled + "\""
}

fn name(rng: &mut SmallRng) -> String {
    const CHARACTERS: [char; 8] = ['a', 'Z', '7', '-', '"', '\u{1}', 'é', '🦀'];
    let length = if rng.random_bool(0.1) { rng.random_range(100..1000) } else { rng.random_range(1..12) };
    (0..length).map(|_| *CHARACTERS.choose(rng).expect("a character")).collect()
}

/// A JSON value of any kind, of at most `room` bytes.
fn unknown_value(rng: &mut SmallRng, room: usize) -> String {
    let depth = rng.random_range(1..=(room / 12).max(1));
    let value = match rng.random_range(0..7) {
        0 => "[".repeat(depth) + &"]".repeat(depth),
        1 => "{\"a\":".repeat(depth) + "0" + &"}".repeat(depth),
        2 => "1e999".to_string(),
        3 => "-".to_string() + &"9".repeat(depth),
        4 => r#""\ud800\uDFFF""#.to_string(),
        5 => r#"{"Ref":1,"Ref":null,"Cores":-1}"#.to_string(),
        _ => string(rng, &"é\u{0}".repeat(depth.min(500))),
    };
    if value.len() <= room { value } else { "null".to_string() }
}
