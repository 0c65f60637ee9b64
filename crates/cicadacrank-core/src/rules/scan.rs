//! Splits a text into rules: keywords, names and pairs, with their positions.

use super::{
    fault::{Cause, Fault},
    keyword::Keyword,
    suggestion,
    value::NAME,
};

/// Number of faults from which on no more spellings are suggested.
const SUGGESTION_FAULT_LIMIT: usize = 100;

/// A slice of the text and its position.
#[derive(Clone, Copy, Debug)]
pub struct Token<'a> {
    /// The slice.
    pub text: &'a str,
    /// Byte offset of the slice in the whole text.
    pub offset: usize,
}

impl<'a> Token<'a> {
    /// Splits the token at a byte offset relative to its start.
    fn split_at(self, middle: usize) -> (Self, Self) {
        let (left, right) = self.text.split_at(middle);
        let offset = self.offset + middle;
        let right = Self {
            text: right,
            offset,
        };
        (Self { text: left, ..self }, right)
    }

    /// Returns the token without whitespace at both ends.
    fn trim(self) -> Self {
        let start = self.text.len() - self.text.trim_start().len();
        Self {
            text: self.text.trim(),
            offset: self.offset + start,
        }
    }

    /// Returns the parts of the token that whitespace separates.
    fn words(self) -> impl Iterator<Item = Self> + use<'a> {
        let base = self.text.as_ptr().addr();
        self.text.split_whitespace().map(move |text| Self {
            text,
            offset: self.offset + (text.as_ptr().addr() - base),
        })
    }
}

/// A key and its value.
#[derive(Clone, Copy, Debug)]
pub struct Pair<'a> {
    /// The key.
    pub key: Token<'a>,
    /// The value.
    pub value: Token<'a>,
}

/// One rule, split into tokens whose values are not yet parsed.
#[derive(Debug)]
pub struct Rule<'a> {
    /// Keyword of the rule.
    pub keyword: Keyword,
    /// Token of the keyword.
    pub span: Token<'a>,
    /// Names after the keyword; `None` for a name that is absent or malformed.
    pub names: [Option<Token<'a>>; 2],
    /// Pairs with known keys; each key occurs once.
    pub pairs: Vec<Pair<'a>>,
    /// Whether names or keys of the rule are faulty.
    pub faulty: bool,
}

/// Collects the faults of a text and computes their lines and columns.
pub struct Diagnostics<'a> {
    text: &'a str,
    starts: Vec<usize>,
    faults: Vec<Fault>,
}

impl<'a> Diagnostics<'a> {
    /// Creates a collector without faults for `text`.
    pub fn new(text: &'a str) -> Self {
        let breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self {
            text,
            starts: std::iter::once(0).chain(breaks).collect(),
            faults: Vec::new(),
        }
    }

    /// Adds a fault at the position of a token.
    pub fn push(&mut self, span: Token<'a>, cause: Cause) {
        let line = self.line(span.offset);
        let start = self.starts[line - 1];
        self.faults.push(Fault {
            line,
            column: self.text[start..span.offset].chars().count() + 1,
            offset: span.offset,
            length: span.text.len(),
            cause,
        });
    }

    /// Returns the line of a byte offset, counted from one.
    pub fn line(&self, offset: usize) -> usize {
        self.starts.partition_point(|start| *start <= offset)
    }

    /// Returns the number of faults collected so far.
    pub fn len(&self) -> usize {
        self.faults.len()
    }

    /// Returns the faults in the order in which they were found.
    pub fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    /// Returns the candidate nearest to a misspelt word, if one is near enough.
    ///
    /// Returns `None` from [`SUGGESTION_FAULT_LIMIT`] faults on, to bound the work
    /// for a text with very many faults.
    pub fn nearest<'n>(
        &self,
        word: &str,
        candidates: impl Iterator<Item = &'n str>,
    ) -> Option<&'n str> {
        if self.len() < SUGGESTION_FAULT_LIMIT {
            suggestion::nearest(word, candidates)
        } else {
            None
        }
    }
}

/// The rules of a text, split into tokens.
pub struct Scan<'a> {
    /// Rules that have a known keyword and, if the keyword takes names, a valid
    /// first name.
    pub rules: Vec<Rule<'a>>,
    /// Words of the lines that could not be parsed. Any of them may be a name that
    /// other rules refer to.
    pub unparsed: Vec<&'a str>,
}

/// Splits a text into rules and reports the lines that can't be split.
pub fn scan<'a>(text: &'a str, diagnostics: &mut Diagnostics<'a>) -> Scan<'a> {
    let mut scan = Scan {
        rules: Vec::new(),
        unparsed: Vec::new(),
    };
    let mut offset = 0;
    for line in text.split_inclusive('\n') {
        let token = Token { text: line, offset };
        offset += line.len();
        if has_forbidden_character(token, diagnostics) {
            scan.unparsed.extend(line.split_whitespace());
            continue;
        }
        let token = token.trim();
        if token.text.is_empty() || token.text.starts_with('#') {
            continue;
        }
        match rule(token, diagnostics) {
            Some(rule) if rule.names[0].is_some() || rule.keyword.name_labels().is_empty() => {
                scan.rules.push(rule);
            }
            _ => scan.unparsed.extend(line.split_whitespace()),
        }
    }
    scan
}

/// Reports the first forbidden character of a line; returns whether there is
/// one.
fn has_forbidden_character<'a>(line: Token<'a>, diagnostics: &mut Diagnostics<'a>) -> bool {
    let body = line.text.strip_suffix('\n').unwrap_or(line.text);
    let body = body.strip_suffix('\r').unwrap_or(body);
    let Some((index, character)) = body.char_indices().find(|(_, one)| is_forbidden(*one)) else {
        return false;
    };
    let (_, rest) = line.split_at(index);
    let (span, _) = rest.split_at(character.len_utf8());
    let cause = match character {
        char::REPLACEMENT_CHARACTER => Cause::InvalidUtf8,
        _ => Cause::ForbiddenCharacter(character),
    };
    diagnostics.push(span, cause);
    true
}

/// Returns whether a character is a control character other than a tab, is
/// invisible, changes the text direction or replaces invalid UTF-8.
fn is_forbidden(character: char) -> bool {
    match character {
        '\t' => false,
        '\u{200b}'..='\u{200f}'
        | '\u{2028}'..='\u{202e}'
        | '\u{2060}'..='\u{2069}'
        | '\u{feff}'
        | char::REPLACEMENT_CHARACTER => true,
        other => other.is_control(),
    }
}

/// Splits one line, which must not be blank, into a rule.
///
/// Returns `None` if the line has no known keyword.
fn rule<'a>(line: Token<'a>, diagnostics: &mut Diagnostics<'a>) -> Option<Rule<'a>> {
    let body = match line.text.find('#') {
        Some(index) => {
            let (body, comment) = line.split_at(index);
            check_comment(comment, diagnostics);
            body
        }
        None => {
            let (_, end) = line.split_at(line.text.len());
            diagnostics.push(end, Cause::MissingComment);
            line
        }
    };
    let mut words = body.words();
    let span = words.next()?;
    let Some(keyword) = Keyword::from_name(span.text) else {
        let suggestion = diagnostics.nearest(
            span.text,
            Keyword::ALL.iter().map(|keyword| keyword.as_str()),
        );
        let keyword = span.text.to_owned();
        diagnostics.push(
            span,
            Cause::UnknownKeyword {
                keyword,
                suggestion,
            },
        );
        return None;
    };
    let faults_before = diagnostics.len();
    let mut rule = Rule {
        keyword,
        span,
        names: [None; 2],
        pairs: Vec::new(),
        faulty: false,
    };
    let rest: Vec<_> = words.collect();
    let names = rest
        .iter()
        .take_while(|token| !token.text.contains('='))
        .count()
        .min(keyword.name_labels().len());
    add_names(&mut rule, &rest[..names], diagnostics);
    for token in &rest[names..] {
        add_pair(&mut rule, *token, diagnostics);
    }
    rule.faulty = diagnostics.len() > faults_before;
    Some(rule)
}

fn check_comment<'a>(comment: Token<'a>, diagnostics: &mut Diagnostics<'a>) {
    let (_, body) = comment.split_at(1);
    let (person, reason) = body.text.split_once(':').unwrap_or((body.text, ""));
    if person.trim().is_empty() {
        diagnostics.push(comment, Cause::MissingPerson);
    } else if reason.trim().is_empty() {
        diagnostics.push(comment, Cause::MissingReason);
    }
}

fn add_names<'a>(rule: &mut Rule<'a>, tokens: &[Token<'a>], diagnostics: &mut Diagnostics<'a>) {
    for (index, what) in rule.keyword.name_labels().iter().enumerate() {
        let Some(token) = tokens.get(index) else {
            let keyword = rule.keyword;
            diagnostics.push(rule.span, Cause::MissingName { keyword, what });
            return;
        };
        if (NAME.read)(token.text).is_ok() {
            rule.names[index] = Some(*token);
        } else {
            let name = token.text.to_owned();
            let expected = NAME.expected;
            diagnostics.push(*token, Cause::BadName { name, expected });
        }
    }
}

fn add_pair<'a>(rule: &mut Rule<'a>, token: Token<'a>, diagnostics: &mut Diagnostics<'a>) {
    let keyword = rule.keyword;
    let Some(index) = token.text.find('=') else {
        let text = token.text.to_owned();
        diagnostics.push(token, Cause::UnexpectedToken { text, keyword });
        return;
    };
    let (key, rest) = token.split_at(index);
    let (_, value) = rest.split_at(1);
    if !keyword.keys().contains(&key.text) {
        let suggestion = diagnostics.nearest(key.text, keyword.keys().iter().copied());
        let key = key.text.to_owned();
        diagnostics.push(
            token,
            Cause::UnknownKey {
                keyword,
                key,
                suggestion,
            },
        );
    } else if rule.pairs.iter().any(|pair| pair.key.text == key.text) {
        let key = key.text.to_owned();
        diagnostics.push(token, Cause::DuplicateKey { key });
    } else {
        rule.pairs.push(Pair { key, value });
    }
}
