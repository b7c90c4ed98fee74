//! Extracts the code spans, paths and links of a documentation page.

/// A name, path or link target in a page, with its line number, counted from 1.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Mention {
    pub line: usize,
    pub text: String,
}

/// Returns the code spans, which are the texts between backticks. A span may continue on the next line, but not across
/// an empty line. Fenced code blocks are not recognized as such.
pub fn code_spans(page: &str) -> Vec<Mention> {
    let mut spans = Vec::new();
    let mut open: Option<Mention> = None;
    for (index, line) in page.lines().enumerate() {
        if line.trim().is_empty() {
            open = None;
        }
        for (part, text) in line.split('`').enumerate() {
            if part > 0 {
                match open.take() {
                    Some(span) => spans.push(span),
                    None => open = Some(Mention { line: index + 1, text: String::new() }),
                }
            }
            if let Some(span) = &mut open {
                span.text.push_str(text);
            }
        }
        if let Some(span) = &mut open {
            span.text.push(' ');
        }
    }
    spans
}

/// Returns the words that are paths in the repository, which are those that begin with one of `folders` and a slash.
pub fn paths(page: &str, folders: &[&str]) -> Vec<Mention> {
    let mut mentions = Vec::new();
    for (index, line) in page.lines().enumerate() {
        for word in line.split(|character: char| !is_path_character(character)) {
            let path = word.trim_end_matches(['.', '/']);
            if path.split_once('/').is_some_and(|(first, _)| folders.contains(&first)) {
                mentions.push(Mention { line: index + 1, text: path.to_owned() });
            }
        }
    }
    mentions
}

fn is_path_character(character: char) -> bool {
    character.is_alphanumeric() || "/._-*…".contains(character)
}

/// Returns the targets of relative links, without their fragments (`#...`).
pub fn relative_links(page: &str) -> Vec<Mention> {
    let mut mentions = Vec::new();
    for (index, line) in page.lines().enumerate() {
        for after in line.split("](").skip(1) {
            let target = after.split([')', '#']).next().unwrap_or_default();
            if !target.is_empty() && !target.contains("://") {
                mentions.push(Mention { line: index + 1, text: target.to_owned() });
            }
        }
    }
    mentions
}
