//! Line-based diff of two versions of the rules.

use serde::{Deserialize, Serialize};
use similar::{ChangeTag, TextDiff};
use std::fmt;

/// The text that contains a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Side {
    /// The line is only in the old text.
    Removed,
    /// The line is only in the new text.
    Added,
}

/// A line that is in only one of the texts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// The text that contains the line.
    pub side: Side,
    /// Line number in that text, starting at one.
    pub number: usize,
    /// Content of the line, without its line ending.
    pub text: String,
}

impl fmt::Display for Line {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.side {
            Side::Removed => '-',
            Side::Added => '+',
        };
        write!(formatter, "{sign} {:>5}  {}", self.number, self.text)
    }
}

/// The lines in which two texts differ, in the order of the texts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Difference {
    /// Removed and added lines.
    pub lines: Vec<Line>,
}

impl Difference {
    /// Compares two texts line by line.
    #[must_use]
    pub fn new(old: &str, new: &str) -> Self {
        let lines = TextDiff::from_lines(old, new)
            .iter_all_changes()
            .filter_map(|change| {
                let (side, index) = match change.tag() {
                    ChangeTag::Equal => return None,
                    ChangeTag::Delete => (Side::Removed, change.old_index()),
                    ChangeTag::Insert => (Side::Added, change.new_index()),
                };
                Some(Line {
                    side,
                    number: index? + 1,
                    text: change.value().trim_end_matches(['\r', '\n']).to_owned(),
                })
            })
            .collect();
        Self { lines }
    }

    /// Returns whether the texts are identical.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Returns the lines of one side.
    pub fn side(&self, side: Side) -> impl Iterator<Item = &str> {
        let lines = self.lines.iter();
        lines
            .filter(move |line| line.side == side)
            .map(|line| line.text.as_str())
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(formatter, "{line}")?;
        }
        Ok(())
    }
}
