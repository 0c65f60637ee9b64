//! Reads the values of a rule and resolves references to defined names.

use super::{
    fault::Cause,
    keyword::Keyword,
    scan::{Diagnostics, Pair, Rule, Scan, Token},
    value::{Format, NAME},
};

/// A name that a rule defines.
#[derive(Clone, Copy, Debug)]
pub struct Name<'a> {
    /// Text and position of the name.
    pub token: Token<'a>,
    /// Index of the rule in [`Scan::rules`].
    pub rule: usize,
}

/// The names that rules of one keyword define, sorted.
pub struct Names<'a> {
    keyword: Keyword,
    entries: Vec<Name<'a>>,
    has_duplicates: bool,
    unparsed: &'a [&'a str],
}

impl<'a> Names<'a> {
    /// Collects the names that rules with `keyword` define.
    ///
    /// If a name is defined twice, keeps the first definition and reports the
    /// other.
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

    /// Returns the names in sorted order.
    pub fn as_slice(&self) -> &[Name<'a>] {
        &self.entries
    }

    /// Returns whether a name is defined more than once.
    pub const fn has_duplicates(&self) -> bool {
        self.has_duplicates
    }

    /// Returns the index of a name, or `None` if it is not defined.
    ///
    /// Reports a name that is not defined, unless it occurs in a line that could
    /// not be parsed and that may define it.
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

/// Reads the values of one rule and reports the faulty ones.
pub struct Reader<'r, 'a> {
    rule: &'r Rule<'a>,
    diagnostics: &'r mut Diagnostics<'a>,
}

impl<'r, 'a> Reader<'r, 'a> {
    /// Creates a reader of `rule` that adds its faults to `diagnostics`.
    pub const fn new(rule: &'r Rule<'a>, diagnostics: &'r mut Diagnostics<'a>) -> Self {
        Self { rule, diagnostics }
    }

    /// Returns the pair with this key, if the rule has one.
    pub fn pair(&self, key: &str) -> Option<Pair<'a>> {
        self.rule
            .pairs
            .iter()
            .copied()
            .find(|pair| pair.key.text == key)
    }

    /// Reports a fault at the value of a key, or at the keyword if the key is
    /// absent.
    pub fn report(&mut self, key: &str, cause: Cause) {
        let span = self.pair(key).map_or(self.rule.span, |pair| pair.value);
        self.diagnostics.push(span, cause);
    }

    /// Returns an optional value, or `None` if it is absent or invalid.
    ///
    /// Reports an invalid value.
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

    /// Returns a required value, or `None` if it is absent or invalid.
    ///
    /// Reports both cases.
    pub fn required<T>(&mut self, key: &'static str, format: &Format<T>) -> Option<T> {
        self.report_if_missing(key, format.expected);
        self.optional(key, format)
    }

    /// Returns the index of the name that an optional key refers to.
    ///
    /// Returns `None` if the key is absent. Also returns `None`, and reports the
    /// value, if it is not a valid name or not defined.
    pub fn optional_reference(&mut self, key: &'static str, names: &Names<'a>) -> Option<usize> {
        self.optional(key, &NAME)?;
        names.find(self.pair(key)?.value, self.diagnostics)
    }

    /// Returns the index of the name that a required key refers to.
    ///
    /// Like [`Self::optional_reference`], but also reports an absent key.
    pub fn reference(&mut self, key: &'static str, names: &Names<'a>) -> Option<usize> {
        self.report_if_missing(key, "a name that another line defines");
        self.optional_reference(key, names)
    }

    /// Reports a required key that is absent.
    ///
    /// Reports nothing if names or keys of the rule are faulty already.
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
