//! The names, paths and links that a page of the documentation tells.

/// Something that a page names, with the number of its line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Mention {
    pub line: usize,
    pub text: String,
}

/// What stands between backticks outside of blocks of code. Such a text may go over the end of a line.
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

/// Words that are paths of the repository: they begin with one of its `folders`.
pub fn paths(page: &str, folders: &[&str]) -> Vec<Mention> {
    let mut mentions = Vec::new();
    for (index, line) in page.lines().enumerate() {
        for word in line.split(|sign: char| !is_part_of_path(sign)) {
            let path = word.trim_end_matches(['.', '/']);
            if path.split_once('/').is_some_and(|(first, _)| folders.contains(&first)) {
                mentions.push(Mention { line: index + 1, text: path.to_owned() });
            }
        }
    }
    mentions
}

fn is_part_of_path(sign: char) -> bool {
    sign.is_alphanumeric() || "/._-*…".contains(sign)
}

/// Targets of links within the repository, without what follows `#`.
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
