//! Suggests the known word that is nearest to a misspelt one.

/// Largest edit distance between a word and its suggestion.
const EDITS_MAX: usize = 2;

/// Returns the candidate with the smallest edit distance to `word`.
///
/// Returns `None` if every candidate is more than [`EDITS_MAX`] edits, or more
/// than half the characters of `word`, away.
pub fn nearest<'a>(word: &str, candidates: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let bound = EDITS_MAX.min(word.chars().count() / 2);
    candidates
        .filter(|candidate| candidate.len().abs_diff(word.len()) <= EDITS_MAX)
        .map(|candidate| (distance(word, candidate), candidate))
        .filter(|(edits, _)| *edits <= bound)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Returns the Levenshtein distance of two words, in characters.
fn distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (index, from) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = index + 1;
        for (column, to) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(from != *to);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[right.len()]
}
