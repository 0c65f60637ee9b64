//! Line differences between two texts.

use similar::{Algorithm, DiffOp, capture_diff_slices};

/// A replacement of lines, relative to the end of the previous edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// Number of lines to keep.
    pub keep: u32,
    /// Number of lines to remove after the kept lines.
    pub drop: u32,
    /// Text to insert in place of the removed lines.
    pub insert: String,
}

/// Error returned when edits do not apply to a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the edits do not apply to the text")]
pub struct Mismatch;

/// Returns the edits that turn `from` into `to`.
#[must_use]
pub fn difference(from: &str, to: &str) -> Vec<Edit> {
    let old: Vec<&str> = from.split_inclusive('\n').collect();
    let new: Vec<&str> = to.split_inclusive('\n').collect();
    let mut edits = Vec::new();
    let mut done = 0;
    for operation in capture_diff_slices(Algorithm::Myers, &old, &new) {
        if matches!(operation, DiffOp::Equal { .. }) {
            continue;
        }
        let (gone, come) = (operation.old_range(), operation.new_range());
        edits.push(Edit {
            keep: count(gone.start - done),
            drop: count(gone.len()),
            insert: new[come].concat(),
        });
        done = gone.end;
    }
    edits
}

/// Applies edits to a text.
///
/// # Errors
///
/// Returns [`Mismatch`] if the text has too few lines.
pub fn apply(text: &str, edits: &[Edit]) -> Result<String, Mismatch> {
    let mut result = String::with_capacity(text.len());
    let mut rest = text;
    for edit in edits {
        let (kept, after) = split_after_lines(rest, edit.keep).ok_or(Mismatch)?;
        result.push_str(kept);
        result.push_str(&edit.insert);
        rest = split_after_lines(after, edit.drop).ok_or(Mismatch)?.1;
    }
    result.push_str(rest);
    Ok(result)
}

/// Splits a text after a number of lines. Returns `None` if the text has fewer
/// lines.
fn split_after_lines(text: &str, lines: u32) -> Option<(&str, &str)> {
    let mut end = 0;
    let mut left = text.split_inclusive('\n');
    for _ in 0..lines {
        end += left.next()?.len();
    }
    Some(text.split_at(end))
}

fn count(lines: usize) -> u32 {
    u32::try_from(lines).unwrap_or(u32::MAX)
}
