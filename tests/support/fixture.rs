//! Fixture files of the characterization tests: bytes and names as earlier versions produced them.
//!
//! Each line of a file is one example: its name, a space, and its text, or its bytes in hexadecimal if it is not text.
//! Tests compare the whole file exactly and decode each example. No test writes a fixture: a difference means a change
//! that other programs, operators or a later version would see.
#![allow(dead_code)] // Each test uses some of them.

/// An example: its name and its text.
pub type Example = (String, String);

/// Returns an example with this name and text.
pub fn example(name: impl Into<String>, text: impl Into<String>) -> Example {
    (name.into(), text.into())
}

/// Returns the text of a fixture file; panics if it cannot be read.
pub fn text(file: &str) -> String {
    let path = format!("{}/tests/fixtures/{file}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// Returns the examples in a fixture file, for decoding.
pub fn examples(file: &str) -> Vec<Example> {
    let split = |line: &str| line.split_once(' ').map(|(name, text)| example(name, text)).expect("a name and a text");
    text(file).lines().map(split).collect()
}

/// Returns the text of the example with this name in a fixture file; panics if there is none.
pub fn example_of(file: &str, name: &str) -> String {
    let found = examples(file).into_iter().find(|(other, _)| other == name);
    found.map_or_else(|| panic!("{file} has no example {name}"), |(_, text)| text)
}

/// Asserts that a fixture file consists of exactly these examples in this order.
pub fn assert_examples(file: &str, examples: &[Example]) {
    let produced: String = examples.iter().map(|(name, text)| format!("{name} {text}\n")).collect();
    assert_text(file, &produced);
}

/// Asserts that a fixture file has exactly this text.
pub fn assert_text(file: &str, produced: &str) {
    let expected = text(file);
    for (number, (expected, produced)) in expected.lines().zip(produced.lines()).enumerate() {
        assert_eq!(produced, expected, "line {} of {file}", number + 1);
    }
    assert_eq!(produced, expected, "{file}");
}

/// Encodes bytes in hexadecimal.
pub fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes bytes from hexadecimal.
pub fn from_hexadecimal(text: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hexadecimal digits");
    (0..text.len()).step_by(2).map(byte).collect()
}
