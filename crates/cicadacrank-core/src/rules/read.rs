//! Reads the pairs of one rule, and the names that others refer to.

use super::{
    fault::Cause,
    scan::{Log, Pair, Rule, Scan, Token},
    value::{Format, NAME},
    word::Word,
};

/// A defined name.
#[derive(Clone, Copy, Debug)]
pub struct Entry<'a> {
    /// The name and where it is defined.
    pub token: Token<'a>,
    /// Position of its rule in the scan.
    pub rule: usize,
}

/// Names defined by one word, sorted.
pub struct Names<'a> {
    word: Word,
    entries: Vec<Entry<'a>>,
    has_doubles: bool,
    unread: &'a [&'a str],
}

impl<'a> Names<'a> {
    /// Collects the names a word defines; the first of two alike counts.
    pub fn new(word: Word, scan: &'a Scan<'a>, log: &mut Log<'a>) -> Self {
        let mut entries: Vec<_> = scan
            .rules
            .iter()
            .enumerate()
            .filter(|(_, rule)| rule.word == word)
            .filter_map(|(rule, found)| found.names[0].map(|token| Entry { token, rule }))
            .collect();
        entries.sort_by_key(|entry| (entry.token.text, entry.rule));
        let count = entries.len();
        entries.dedup_by(|later, first| {
            let double = later.token.text == first.token.text;
            if double {
                let what = format!("{word} `{}`", first.token.text);
                let line = log.line(first.token.offset);
                log.push(later.token, Cause::Double { what, line });
            }
            double
        });
        Self {
            word,
            has_doubles: entries.len() < count,
            entries,
            unread: &scan.unread,
        }
    }

    /// Returns the names, sorted.
    pub fn entries(&self) -> &[Entry<'a>] {
        &self.entries
    }

    /// Returns whether some name is defined twice.
    pub const fn has_doubles(&self) -> bool {
        self.has_doubles
    }

    /// Returns the position of a name, and reports one that is not defined.
    pub fn find(&self, token: Token<'a>, log: &mut Log<'a>) -> Option<usize> {
        let found = self
            .entries
            .binary_search_by(|entry| entry.token.text.cmp(token.text));
        if found.is_err() && !self.unread.contains(&token.text) {
            let candidates = self.entries.iter().map(|entry| entry.token.text);
            let near = log.nearest(token.text, candidates).map(str::to_owned);
            let name = token.text.to_owned();
            let word = self.word;
            log.push(token, Cause::Dangling { word, name, near });
        }
        found.ok()
    }
}

/// Reads the pairs of one rule.
pub struct Reader<'r, 'a> {
    rule: &'r Rule<'a>,
    log: &'r mut Log<'a>,
}

impl<'r, 'a> Reader<'r, 'a> {
    /// Creates a reader.
    pub const fn new(rule: &'r Rule<'a>, log: &'r mut Log<'a>) -> Self {
        Self { rule, log }
    }

    /// Returns the pair with this key.
    pub fn pair(&self, key: &str) -> Option<Pair<'a>> {
        self.rule
            .pairs
            .iter()
            .copied()
            .find(|pair| pair.key.text == key)
    }

    /// Reports a fault at a key, or at the word when the key is absent.
    pub fn refuse(&mut self, key: &str, cause: Cause) {
        let place = self.pair(key).map_or(self.rule.place, |pair| pair.value);
        self.log.push(place, cause);
    }

    /// Reads a value that may be absent.
    pub fn optional<T>(&mut self, key: &'static str, format: &Format<T>) -> Option<T> {
        let pair = self.pair(key)?;
        match (format.read)(pair.value.text) {
            Ok(value) => Some(value),
            Err(flaw) => {
                let cause = Cause::BadValue {
                    key: key.to_owned(),
                    value: pair.value.text.to_owned(),
                    flaw,
                    form: format.form,
                };
                self.log.push(pair.value, cause);
                None
            }
        }
    }

    /// Reads a value that must be there.
    pub fn required<T>(&mut self, key: &'static str, format: &Format<T>) -> Option<T> {
        self.demand(key, format.form);
        self.optional(key, format)
    }

    /// Reads a reference that may be absent.
    pub fn optional_link(&mut self, key: &'static str, names: &Names<'a>) -> Option<usize> {
        self.optional(key, &NAME)?;
        names.find(self.pair(key)?.value, self.log)
    }

    /// Reads a reference that must be there.
    pub fn link(&mut self, key: &'static str, names: &Names<'a>) -> Option<usize> {
        self.demand(key, "a name that another line defines");
        self.optional_link(key, names)
    }

    fn demand(&mut self, key: &'static str, form: &'static str) {
        let faulty = self.rule.faulty;
        if self.pair(key).is_none() && !faulty {
            let word = self.rule.word;
            let cause = Cause::MissingKey { word, key, form };
            self.log.push(self.rule.place, cause);
        }
    }
}
