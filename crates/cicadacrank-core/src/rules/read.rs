//! Reads the pairs of one rule, and the names that others refer to.

use super::{
    fault::Cause,
    keyword::Keyword,
    scan::{Diagnostics, Pair, Rule, Scan, Token},
    value::{Format, NAME},
};

/// A defined name.
#[derive(Clone, Copy, Debug)]
pub struct Name<'a> {
    /// The name and where it is defined.
    pub token: Token<'a>,
    /// Position of its rule in the scan.
    pub rule: usize,
}

/// Names defined by one keyword, sorted.
pub struct Names<'a> {
    keyword: Keyword,
    entries: Vec<Name<'a>>,
    has_duplicates: bool,
    unparsed: &'a [&'a str],
}

impl<'a> Names<'a> {
    /// Collects the names a keyword defines; the first of two alike counts.
    pub fn new(keyword: Keyword, scan: &'a Scan<'a>, diagnostics: &mut Diagnostics<'a>) -> Self {
        let mut entries: Vec<_> = scan
            .rules
            .iter()
            .enumerate()
            .filter(|(_, rule)| rule.keyword == keyword)
            .filter_map(|(rule, found)| found.names[0].map(|token| Name { token, rule }))
            .collect();
        entries.sort_by_key(|name| (name.token.text, name.rule));
        let count = entries.len();
        entries.dedup_by(|later, first| {
            let duplicate = later.token.text == first.token.text;
            if duplicate {
                let what = format!("{keyword} `{}`", first.token.text);
                let line = diagnostics.line(first.token.offset);
                diagnostics.push(later.token, Cause::Duplicate { what, line });
            }
            duplicate
        });
        Self {
            keyword,
            has_duplicates: entries.len() < count,
            entries,
            unparsed: &scan.unparsed,
        }
    }

    /// Returns the names, sorted.
    pub fn as_slice(&self) -> &[Name<'a>] {
        &self.entries
    }

    /// Returns whether some name is defined twice.
    pub const fn has_duplicates(&self) -> bool {
        self.has_duplicates
    }

    /// Returns the position of a name, and reports one that is not defined.
    pub fn find(&self, token: Token<'a>, diagnostics: &mut Diagnostics<'a>) -> Option<usize> {
        let found = self
            .entries
            .binary_search_by(|name| name.token.text.cmp(token.text));
        if found.is_err() && !self.unparsed.contains(&token.text) {
            let candidates = self.entries.iter().map(|name| name.token.text);
            let suggestion = diagnostics
                .nearest(token.text, candidates)
                .map(str::to_owned);
            let name = token.text.to_owned();
            let keyword = self.keyword;
            diagnostics.push(
                token,
                Cause::UndefinedName {
                    keyword,
                    name,
                    suggestion,
                },
            );
        }
        found.ok()
    }
}

/// Reads the pairs of one rule.
pub struct Reader<'r, 'a> {
    rule: &'r Rule<'a>,
    diagnostics: &'r mut Diagnostics<'a>,
}

impl<'r, 'a> Reader<'r, 'a> {
    /// Creates a reader.
    pub const fn new(rule: &'r Rule<'a>, diagnostics: &'r mut Diagnostics<'a>) -> Self {
        Self { rule, diagnostics }
    }

    /// Returns the pair with this key.
    pub fn pair(&self, key: &str) -> Option<Pair<'a>> {
        self.rule
            .pairs
            .iter()
            .copied()
            .find(|pair| pair.key.text == key)
    }

    /// Reports a fault at a key, or at the keyword when the key is absent.
    pub fn report(&mut self, key: &str, cause: Cause) {
        let span = self.pair(key).map_or(self.rule.span, |pair| pair.value);
        self.diagnostics.push(span, cause);
    }

    /// Reads a value that may be absent.
    pub fn optional<T>(&mut self, key: &'static str, format: &Format<T>) -> Option<T> {
        let pair = self.pair(key)?;
        match (format.read)(pair.value.text) {
            Ok(value) => Some(value),
            Err(error) => {
                let cause = Cause::BadValue {
                    key: key.to_owned(),
                    value: pair.value.text.to_owned(),
                    error,
                    expected: format.expected,
                };
                self.diagnostics.push(pair.value, cause);
                None
            }
        }
    }

    /// Reads a value that must be there.
    pub fn required<T>(&mut self, key: &'static str, format: &Format<T>) -> Option<T> {
        self.report_if_missing(key, format.expected);
        self.optional(key, format)
    }

    /// Reads a reference that may be absent.
    pub fn optional_reference(&mut self, key: &'static str, names: &Names<'a>) -> Option<usize> {
        self.optional(key, &NAME)?;
        names.find(self.pair(key)?.value, self.diagnostics)
    }

    /// Reads a reference that must be there.
    pub fn reference(&mut self, key: &'static str, names: &Names<'a>) -> Option<usize> {
        self.report_if_missing(key, "a name that another line defines");
        self.optional_reference(key, names)
    }

    fn report_if_missing(&mut self, key: &'static str, expected: &'static str) {
        let faulty = self.rule.faulty;
        if self.pair(key).is_none() && !faulty {
            let keyword = self.rule.keyword;
            let cause = Cause::MissingKey {
                keyword,
                key,
                expected,
            };
            self.diagnostics.push(self.rule.span, cause);
        }
    }
}
