//! Faults of a rule file: what is wrong, where, and what to write instead.

use super::{keyword::Keyword, value::ValueError};
use crate::error::Kind;
use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};
use std::fmt;

/// Name shown for a text that came from no file.
const UNNAMED: &str = "rules";

/// What is wrong with a line or with the whole.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Cause {
    /// The file states nothing.
    #[error("the file has no rules")]
    Empty,
    /// The file is over the limit.
    #[error("the file has {bytes} bytes, more than {limit}")]
    TooLarge {
        /// Size of the file.
        bytes: usize,
        /// Most that is accepted.
        limit: usize,
    },
    /// A byte sequence is no text.
    #[error("this is not valid UTF-8")]
    InvalidUtf8,
    /// A character that can't be seen stands in the line.
    #[error("the character U+{:04X} is not allowed", u32::from(*.0))]
    ForbiddenCharacter(char),
    /// The line does not end in a comment.
    #[error("the rule does not say who asked for it")]
    MissingComment,
    /// The comment has no name before the colon.
    #[error("the comment names nobody")]
    MissingPerson,
    /// The comment has no reason after the colon.
    #[error("the comment gives no reason")]
    MissingReason,
    /// The first keyword is not known.
    #[error("unknown word `{keyword}`")]
    UnknownKeyword {
        /// The keyword as written.
        keyword: String,
        /// The keyword it may stand for.
        suggestion: Option<&'static str>,
    },
    /// A key does not belong to the rule.
    #[error("`{keyword}` has no key `{key}`")]
    UnknownKey {
        /// Keyword of the rule.
        keyword: Keyword,
        /// The key as written.
        key: String,
        /// The key it may stand for.
        suggestion: Option<&'static str>,
    },
    /// A key stands twice in a rule.
    #[error("the key `{key}` stands twice")]
    DuplicateKey {
        /// The key.
        key: String,
    },
    /// A required key is absent.
    #[error("`{keyword}` lacks `{key}`")]
    MissingKey {
        /// Keyword of the rule.
        keyword: Keyword,
        /// The absent key.
        key: &'static str,
        /// What to write after it.
        expected: &'static str,
    },
    /// A name is absent after the keyword.
    #[error("`{keyword}` lacks its {what}")]
    MissingName {
        /// Keyword of the rule.
        keyword: Keyword,
        /// What the absent name stands for.
        what: &'static str,
    },
    /// A name holds a character that names may not.
    #[error("`{name}` is not a name")]
    BadName {
        /// The name as written.
        name: String,
        /// What names look like.
        expected: &'static str,
    },
    /// Something that is neither a name nor a pair.
    #[error("`{text}` does not belong here")]
    UnexpectedToken {
        /// The text as written.
        text: String,
        /// Keyword of the rule.
        keyword: Keyword,
    },
    /// A value can't be read.
    #[error("`{key}={value}` {error}")]
    BadValue {
        /// Key of the value.
        key: String,
        /// The value as written.
        value: String,
        /// What is wrong.
        error: ValueError,
        /// What to write instead.
        expected: &'static str,
    },
    /// An item is stated twice.
    #[error("{what} stands twice, first in line {line}")]
    Duplicate {
        /// What is stated.
        what: String,
        /// Line of the first statement.
        line: usize,
    },
    /// A name refers to nothing.
    #[error("no {keyword} is named `{name}`")]
    UndefinedName {
        /// Kind of item referred to.
        keyword: Keyword,
        /// The name as written.
        name: String,
        /// The name it may stand for.
        suggestion: Option<String>,
    },
    /// The endpoint bears less warm than cold.
    #[error("the endpoint bears {warm} requests warm and {cold} cold")]
    WarmBelowCold {
        /// Requests in flight while cold.
        cold: u32,
        /// Requests in flight when warm.
        warm: u32,
    },
    /// A plain pool has a model, or an engine pool has none.
    #[error("a {service} pool {}", if *.has_model { "has no model" } else { "needs a model" })]
    Model {
        /// Service of the pool.
        service: &'static str,
        /// Whether the rule states a model.
        has_model: bool,
    },
    /// A plain stage has no path, or an engine stage has one.
    #[error("a stage in a {service} pool {}", if *.has_path { "takes no path" } else { "needs a path" })]
    Path {
        /// Service of the stage's pool.
        service: &'static str,
        /// Whether the rule states a path.
        has_path: bool,
    },
    /// A pipeline has too few or too many stages.
    #[error("the pipeline has {count} stages")]
    StageCount {
        /// Stages of the pipeline.
        count: usize,
    },
    /// The stages share out more than the deadline.
    #[error("the stages share out {sum}% of the deadline")]
    ShareSum {
        /// Sum of the shares, in per cent.
        sum: u64,
    },
    /// A stage's pool has no endpoint.
    #[error("no one can run this pipeline: pool `{pool}` has no endpoint")]
    NoEndpoint {
        /// Name of the pool.
        pool: String,
    },
    /// No team may use all pools of the pipeline at the same time.
    #[error("no one can run this pipeline: no team may use all of its pools at one time")]
    NoTeam,
    /// More slots are reserved than an endpoint has.
    #[error("{slots} slots of each endpoint are reserved, but `{endpoint}` bears {warm}")]
    ExcessReservation {
        /// Slots reserved in the pool.
        slots: u64,
        /// Smallest endpoint of the pool.
        endpoint: String,
        /// Requests it bears when warm.
        warm: u32,
    },
    /// A take-out names no target, or two.
    #[error("a take-out names one data centre or one endpoint")]
    TakeOutTarget,
    /// More items of a kind than keys can tell apart.
    #[error("too many rules of the kind `{0}`")]
    TooMany(Keyword),
}

impl Cause {
    /// Returns what to do about it.
    #[must_use]
    pub fn help(&self) -> String {
        match self {
            Self::Empty => {
                "write one rule a line, like: owner booking # Ada Berg: pays for it".into()
            }
            Self::TooLarge { .. } => "remove rules that are no longer needed".into(),
            Self::InvalidUtf8 => "save the file as UTF-8 text".into(),
            Self::ForbiddenCharacter(_) => {
                "remove it: rules are plain text that reads as it is shown".into()
            }
            Self::MissingComment => "end the line like: # Ada Berg: council decision 12".into(),
            Self::MissingPerson => {
                "put the person's name before the colon: # Ada Berg: reason".into()
            }
            Self::MissingReason => "put the reason after a colon: # Ada Berg: reason".into(),
            Self::UnknownKeyword { suggestion, .. } => {
                did_you_mean(*suggestion).unwrap_or_else(|| {
                    format!(
                        "rules start with {}",
                        list(&Keyword::ALL.map(Keyword::as_str))
                    )
                })
            }
            Self::UnknownKey {
                keyword,
                suggestion,
                ..
            } => did_you_mean(*suggestion).unwrap_or_else(|| keys(*keyword)),
            Self::DuplicateKey { .. } => "keep one of the two".into(),
            Self::MissingKey { key, expected, .. } => format!("add {key}= with {expected}"),
            Self::MissingName { keyword, .. } => format!("write {}", usage(*keyword)),
            Self::BadName { expected, .. } => format!("write {expected}"),
            Self::UnexpectedToken { keyword, .. } => format!("write {}", usage(*keyword)),
            Self::BadValue { expected, .. } => format!("write {expected}"),
            Self::Duplicate { .. } => "remove one of the two".into(),
            Self::UndefinedName {
                keyword,
                suggestion,
                ..
            } => did_you_mean(suggestion.as_deref())
                .unwrap_or_else(|| format!("define it in a line that starts with: {keyword}")),
            Self::WarmBelowCold { .. } => {
                "state at least as many requests for warm as for cold".into()
            }
            Self::Model {
                has_model: true, ..
            }
            | Self::Path { has_path: true, .. } => "remove the key".into(),
            Self::Model { .. } => "add model= with the model's name at the engine".into(),
            Self::Path { .. } => "add path= with the path of the call, like path=/orders".into(),
            Self::StageCount { .. } => "state three to six stages for each pipeline".into(),
            Self::ShareSum { .. } => "lower the shares until they add up to at most 100%".into(),
            Self::NoEndpoint { .. } => "add an endpoint to the pool, or remove the pipeline".into(),
            Self::NoTeam => {
                "add an allow line for each pool to one team, with windows that overlap".into()
            }
            Self::ExcessReservation { .. } => "reserve fewer slots".into(),
            Self::TakeOutTarget => {
                "write take-out data-centre=NAME or take-out endpoint=NAME".into()
            }
            Self::TooMany(_) => "remove rules that are no longer needed".into(),
        }
    }
}

fn did_you_mean(suggestion: Option<&str>) -> Option<String> {
    suggestion.map(|suggestion| format!("did you mean `{suggestion}`?"))
}

fn list(words: &[&str]) -> String {
    words.join(", ")
}

fn keys(keyword: Keyword) -> String {
    match keyword.keys() {
        [] => format!("`{keyword}` takes no keys"),
        keys => format!("`{keyword}` takes {}", list(keys)),
    }
}

/// Returns the shape of a rule, like `owner NAME`.
fn usage(keyword: Keyword) -> String {
    let names = keyword.name_labels().iter().map(|name| name.to_uppercase());
    let keys = keyword.keys().iter().map(|key| format!("{key}=.."));
    std::iter::once(keyword.to_string())
        .chain(names)
        .chain(keys)
        .collect::<Vec<_>>()
        .join(" ")
}

/// One fault with its span.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line, from one.
    pub line: usize,
    /// Column in characters, from one.
    pub column: usize,
    /// First byte in the text.
    pub offset: usize,
    /// Length in bytes.
    pub length: usize,
    /// What is wrong.
    pub cause: Cause,
}

impl Fault {
    /// Returns what is wrong, as a sentence without a full stop.
    #[must_use]
    pub fn message(&self) -> String {
        self.cause.to_string()
    }

    /// Returns what to do about it.
    #[must_use]
    pub fn help(&self) -> String {
        self.cause.help()
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.cause.fmt(formatter)
    }
}

impl std::error::Error for Fault {}

impl Diagnostic for Fault {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(self.cause.help()))
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let span = LabeledSpan::new(None, self.offset, self.length);
        Some(Box::new(std::iter::once(span)))
    }
}

/// Every fault of a rule file, in the order of the file.
#[derive(Clone, Debug)]
pub struct Faults {
    source: NamedSource<String>,
    faults: Vec<Fault>,
}

impl Faults {
    /// Creates the list for a text.
    pub(super) fn new(text: &str, mut faults: Vec<Fault>) -> Self {
        faults.sort_by_key(|fault| fault.offset);
        Self {
            source: NamedSource::new(UNNAMED, text.to_owned()),
            faults,
        }
    }

    /// Returns the list with the name of the file.
    #[must_use]
    pub fn with_name(self, name: &str) -> Self {
        let text = self.source.inner().clone();
        Self {
            source: NamedSource::new(name, text),
            ..self
        }
    }

    /// Returns the name of the file.
    #[must_use]
    pub fn name(&self) -> &str {
        self.source.name()
    }

    /// Splits into the first `count` faults and the others.
    #[must_use]
    pub fn split(mut self, count: usize) -> (Self, Self) {
        let rest = self.faults.split_off(count.min(self.faults.len()));
        let rest = Self {
            source: self.source.clone(),
            faults: rest,
        };
        (self, rest)
    }

    /// Returns the faults, in the order of the file.
    #[must_use]
    pub fn as_slice(&self) -> &[Fault] {
        &self.faults
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.faults.len() {
            1 => write!(formatter, "1 fault in {}", self.name()),
            count => write!(formatter, "{count} faults in {}", self.name()),
        }
    }
}

impl std::error::Error for Faults {}

impl Diagnostic for Faults {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(Kind::Rules))
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source)
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        let faults = self.faults.iter().map(|fault| fault as &dyn Diagnostic);
        Some(Box::new(faults))
    }
}
