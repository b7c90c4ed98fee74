//! Fixture files of characterization tests: bytes and names as earlier sources made them.
//!
//! A file has one example a line: a name, a space, and the text or, of what is not text, the bytes in hexadecimal. Tests compare
//! the whole file exactly, and read each example back. No test writes a fixture: a difference is a change of what other programs,
//! operators or a later version of this one see.
#![allow(dead_code)] // Each test uses some of them.

/// One example: its name and its text.
pub type Example = (String, String);

/// An example with this name.
pub fn example(name: impl Into<String>, text: impl Into<String>) -> Example {
    (name.into(), text.into())
}

/// The text of a fixture file.
pub fn text(file: &str) -> String {
    let path = format!("{}/tests/fixtures/{file}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// The examples that a fixture file holds, to read them back.
pub fn examples(file: &str) -> Vec<Example> {
    let split = |line: &str| line.split_once(' ').map(|(name, text)| example(name, text)).expect("a name and a text");
    text(file).lines().map(split).collect()
}

/// The example of this name in a fixture file.
pub fn example_of(file: &str, name: &str) -> String {
    let found = examples(file).into_iter().find(|(other, _)| other == name);
    found.map(|(_, text)| text).unwrap_or_else(|| panic!("{file} has no example {name}"))
}

/// Asserts that a fixture file holds exactly these examples in this order.
pub fn assert_examples(file: &str, examples: &[Example]) {
    let made: String = examples.iter().map(|(name, text)| format!("{name} {text}\n")).collect();
    assert_text(file, &made);
}

/// Asserts that a fixture file holds exactly this text.
pub fn assert_text(file: &str, made: &str) {
    let kept = text(file);
    for (number, (kept, made)) in kept.lines().zip(made.lines()).enumerate() {
        assert_eq!(made, kept, "line {} of {file}", number + 1);
    }
    assert_eq!(made, kept, "{file}");
}

/// Bytes in hexadecimal.
pub fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes that a text in hexadecimal stands for.
pub fn from_hexadecimal(text: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hexadecimal digits");
    (0..text.len()).step_by(2).map(byte).collect()
}
