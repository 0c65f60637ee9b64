//! Splits a text into rules: words, names and pairs with their places.

use super::{
    fault::{Cause, Fault},
    near,
    value::NAME,
    word::Word,
};

/// Faults after which no more spellings are guessed.
const GUESS_LIMIT: usize = 100;

/// A piece of the text and where it stands.
#[derive(Clone, Copy, Debug)]
pub struct Token<'a> {
    /// The piece.
    pub text: &'a str,
    /// First byte in the whole text.
    pub offset: usize,
}

impl<'a> Token<'a> {
    /// Splits at a byte offset inside the token.
    fn split_at(self, middle: usize) -> (Self, Self) {
        let (left, right) = self.text.split_at(middle);
        let offset = self.offset + middle;
        let right = Self {
            text: right,
            offset,
        };
        (Self { text: left, ..self }, right)
    }

    /// Removes blanks at both ends.
    fn trim(self) -> Self {
        let start = self.text.len() - self.text.trim_start().len();
        Self {
            text: self.text.trim(),
            offset: self.offset + start,
        }
    }

    /// Returns the pieces between blanks.
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

/// One rule, not yet understood.
#[derive(Debug)]
pub struct Rule<'a> {
    /// Its first word.
    pub word: Word,
    /// Where the first word stands.
    pub place: Token<'a>,
    /// The names after it; `None` for one that is absent or malformed.
    pub names: [Option<Token<'a>>; 2],
    /// Its pairs, each key once.
    pub pairs: Vec<Pair<'a>>,
    /// Whether names or keys of the rule are faulty.
    pub faulty: bool,
}

/// Collects faults and knows the lines of the text.
pub struct Log<'a> {
    text: &'a str,
    starts: Vec<usize>,
    faults: Vec<Fault>,
}

impl<'a> Log<'a> {
    /// Creates a log without faults.
    pub fn new(text: &'a str) -> Self {
        let breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self {
            text,
            starts: std::iter::once(0).chain(breaks).collect(),
            faults: Vec::new(),
        }
    }

    /// Adds a fault at a token.
    pub fn push(&mut self, place: Token<'a>, cause: Cause) {
        let line = self.line(place.offset);
        let start = self.starts[line - 1];
        self.faults.push(Fault {
            line,
            column: self.text[start..place.offset].chars().count() + 1,
            offset: place.offset,
            length: place.text.len(),
            cause,
        });
    }

    /// Returns the line of a byte, from one.
    pub fn line(&self, offset: usize) -> usize {
        self.starts.partition_point(|start| *start <= offset)
    }

    /// Returns the number of faults so far.
    pub fn len(&self) -> usize {
        self.faults.len()
    }

    /// Returns the faults.
    pub fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    /// Returns the candidate a misspelt word may stand for.
    ///
    /// A text with very many faults gets no guesses, to bound the work.
    pub fn nearest<'n>(
        &self,
        word: &str,
        candidates: impl Iterator<Item = &'n str>,
    ) -> Option<&'n str> {
        if self.len() < GUESS_LIMIT {
            near::nearest(word, candidates)
        } else {
            None
        }
    }
}

/// The rules of a text.
pub struct Scan<'a> {
    /// Rules with a known word.
    pub rules: Vec<Rule<'a>>,
    /// Words of the lines that could not be told; any may be a name that other
    /// rules refer to.
    pub unread: Vec<&'a str>,
}

/// Splits a text into rules.
pub fn scan<'a>(text: &'a str, log: &mut Log<'a>) -> Scan<'a> {
    let mut scan = Scan {
        rules: Vec::new(),
        unread: Vec::new(),
    };
    let mut offset = 0;
    for line in text.split_inclusive('\n') {
        let token = Token { text: line, offset };
        offset += line.len();
        if has_hidden(token, log) {
            scan.unread.extend(line.split_whitespace());
            continue;
        }
        let token = token.trim();
        if token.text.is_empty() || token.text.starts_with('#') {
            continue;
        }
        match rule(token, log) {
            Some(rule) if rule.names[0].is_some() || rule.word.names().is_empty() => {
                scan.rules.push(rule);
            }
            _ => scan.unread.extend(line.split_whitespace()),
        }
    }
    scan
}

/// Reports the first character of a line that can't be seen.
fn has_hidden<'a>(line: Token<'a>, log: &mut Log<'a>) -> bool {
    let body = line.text.strip_suffix('\n').unwrap_or(line.text);
    let body = body.strip_suffix('\r').unwrap_or(body);
    let Some((index, character)) = body.char_indices().find(|(_, one)| is_hidden(*one)) else {
        return false;
    };
    let (_, rest) = line.split_at(index);
    let (place, _) = rest.split_at(character.len_utf8());
    let cause = match character {
        char::REPLACEMENT_CHARACTER => Cause::Encoding,
        _ => Cause::Hidden(character),
    };
    log.push(place, cause);
    true
}

/// Returns whether a character is a control, invisible, or reorders text.
fn is_hidden(character: char) -> bool {
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

/// Splits one line, which is not blank.
fn rule<'a>(line: Token<'a>, log: &mut Log<'a>) -> Option<Rule<'a>> {
    let body = match line.text.find('#') {
        Some(index) => {
            let (body, comment) = line.split_at(index);
            check_comment(comment, log);
            body
        }
        None => {
            let (_, end) = line.split_at(line.text.len());
            log.push(end, Cause::MissingComment);
            line
        }
    };
    let mut words = body.words();
    let place = words.next()?;
    let Some(word) = Word::from_name(place.text) else {
        let near = log.nearest(place.text, Word::ALL.iter().map(|word| word.as_str()));
        let word = place.text.to_owned();
        log.push(place, Cause::UnknownWord { word, near });
        return None;
    };
    let before = log.len();
    let mut rule = Rule {
        word,
        place,
        names: [None; 2],
        pairs: Vec::new(),
        faulty: false,
    };
    let rest: Vec<_> = words.collect();
    let names = rest
        .iter()
        .take_while(|token| !token.text.contains('='))
        .count()
        .min(word.names().len());
    add_names(&mut rule, &rest[..names], log);
    for token in &rest[names..] {
        add_pair(&mut rule, *token, log);
    }
    rule.faulty = log.len() > before;
    Some(rule)
}

fn check_comment<'a>(comment: Token<'a>, log: &mut Log<'a>) {
    let (_, body) = comment.split_at(1);
    let (person, reason) = body.text.split_once(':').unwrap_or((body.text, ""));
    if person.trim().is_empty() {
        log.push(comment, Cause::MissingPerson);
    } else if reason.trim().is_empty() {
        log.push(comment, Cause::MissingReason);
    }
}

fn add_names<'a>(rule: &mut Rule<'a>, tokens: &[Token<'a>], log: &mut Log<'a>) {
    for (index, what) in rule.word.names().iter().enumerate() {
        let Some(token) = tokens.get(index) else {
            let word = rule.word;
            log.push(rule.place, Cause::MissingName { word, what });
            return;
        };
        if (NAME.read)(token.text).is_ok() {
            rule.names[index] = Some(*token);
        } else {
            let name = token.text.to_owned();
            let form = NAME.form;
            log.push(*token, Cause::BadName { name, form });
        }
    }
}

fn add_pair<'a>(rule: &mut Rule<'a>, token: Token<'a>, log: &mut Log<'a>) {
    let word = rule.word;
    let Some(index) = token.text.find('=') else {
        let text = token.text.to_owned();
        log.push(token, Cause::Stray { text, word });
        return;
    };
    let (key, rest) = token.split_at(index);
    let (_, value) = rest.split_at(1);
    if !word.keys().contains(&key.text) {
        let near = log.nearest(key.text, word.keys().iter().copied());
        let key = key.text.to_owned();
        log.push(token, Cause::UnknownKey { word, key, near });
    } else if rule.pairs.iter().any(|pair| pair.key.text == key.text) {
        let key = key.text.to_owned();
        log.push(token, Cause::RepeatedKey { key });
    } else {
        rule.pairs.push(Pair { key, value });
    }
}
