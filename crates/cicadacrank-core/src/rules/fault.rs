//! Faults of a rule file: the cause, the position and a help text.

use super::{keyword::Keyword, value::ValueError};
use crate::error::Kind;
use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};
use std::fmt;

/// Name shown for a text that has no file name.
const UNNAMED: &str = "rules";

/// What is wrong with a line or with the whole file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Cause {
    /// The file has no rules.
    #[error("the file has no rules")]
    Empty,
    /// The file exceeds the size limit.
    #[error("the file has {bytes} bytes, more than {limit}")]
    TooLarge {
        /// Size of the file, in bytes.
        bytes: usize,
        /// Largest accepted size, in bytes.
        limit: usize,
    },
    /// A byte sequence is not valid UTF-8.
    #[error("this is not valid UTF-8")]
    InvalidUtf8,
    /// The line contains a control or invisible character.
    #[error("the character U+{:04X} is not allowed", u32::from(*.0))]
    ForbiddenCharacter(char),
    /// The line does not end in a comment.
    #[error("the rule does not say who asked for it")]
    MissingComment,
    /// The comment has no person's name before the colon.
    #[error("the comment does not name a person")]
    MissingPerson,
    /// The comment has no reason after the colon.
    #[error("the comment gives no reason")]
    MissingReason,
    /// The first word of the line is not a keyword.
    #[error("unknown word `{keyword}`")]
    UnknownKeyword {
        /// The word as written.
        keyword: String,
        /// The nearest keyword.
        suggestion: Option<&'static str>,
    },
    /// The keyword does not take this key.
    #[error("`{keyword}` has no key `{key}`")]
    UnknownKey {
        /// Keyword of the rule.
        keyword: Keyword,
        /// The key as written.
        key: String,
        /// The nearest key that the keyword takes.
        suggestion: Option<&'static str>,
    },
    /// A key occurs twice in a rule.
    #[error("the key `{key}` occurs twice")]
    DuplicateKey {
        /// The key.
        key: String,
    },
    /// A required key is absent.
    #[error("`{keyword}` needs the key `{key}`")]
    MissingKey {
        /// Keyword of the rule.
        keyword: Keyword,
        /// The absent key.
        key: &'static str,
        /// Description of a valid value.
        expected: &'static str,
    },
    /// A required name after the keyword is absent.
    #[error("`{keyword}` needs a {what}")]
    MissingName {
        /// Keyword of the rule.
        keyword: Keyword,
        /// What the absent name denotes.
        what: &'static str,
    },
    /// A name does not have the syntax of names.
    #[error("`{name}` is not a valid name")]
    BadName {
        /// The name as written.
        name: String,
        /// Description of a valid name.
        expected: &'static str,
    },
    /// The rule contains a token that is neither an expected name nor a pair.
    #[error("unexpected `{text}`")]
    UnexpectedToken {
        /// The token as written.
        text: String,
        /// Keyword of the rule.
        keyword: Keyword,
    },
    /// A value could not be parsed.
    #[error("`{key}={value}` {error}")]
    BadValue {
        /// Key of the value.
        key: String,
        /// The value as written.
        value: String,
        /// Why the value could not be parsed.
        error: ValueError,
        /// Description of a valid value.
        expected: &'static str,
    },
    /// An item is defined twice.
    #[error("{what} is defined twice, first in line {line}")]
    Duplicate {
        /// Description of the item.
        what: String,
        /// Line of the first definition, counted from one.
        line: usize,
    },
    /// A reference to a name that no rule defines.
    #[error("no {keyword} is named `{name}`")]
    UndefinedName {
        /// Keyword of the rules that define such names.
        keyword: Keyword,
        /// The name as written.
        name: String,
        /// The nearest defined name.
        suggestion: Option<String>,
    },
    /// The endpoint has fewer slots when warm than while cold.
    #[error("the endpoint takes {warm} requests when warm, fewer than the {cold} while cold")]
    WarmBelowCold {
        /// Limit of requests in flight while cold.
        cold: u32,
        /// Limit of requests in flight when warm.
        warm: u32,
    },
    /// A plain pool has a model, or an engine pool has none.
    #[error("a {service} pool {}", if *.has_model { "takes no model" } else { "needs a model" })]
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
        /// Number of stages of the pipeline.
        count: usize,
    },
    /// The stage shares of a pipeline add up to more than the deadline.
    #[error("the shares of the stages add up to {sum}% of the deadline")]
    ShareSum {
        /// Sum of the shares, in per cent.
        sum: u64,
    },
    /// A stage's pool has no endpoint.
    #[error("this pipeline cannot run: pool `{pool}` has no endpoint")]
    NoEndpoint {
        /// Name of the pool.
        pool: String,
    },
    /// No team may use all pools of the pipeline at the same time.
    #[error("this pipeline cannot run: no team may use all of its pools at the same time")]
    NoTeam,
    /// More slots are reserved in a pool than its smallest endpoint has.
    #[error("{slots} slots of each endpoint are reserved, but `{endpoint}` has {warm}")]
    ExcessReservation {
        /// Slots reserved at each endpoint of the pool.
        slots: u64,
        /// Name of the pool's smallest endpoint.
        endpoint: String,
        /// Slots of that endpoint when warm.
        warm: u32,
    },
    /// A take-out has no target or two.
    #[error("a take-out needs exactly one data centre or endpoint")]
    TakeOutTarget,
    /// More items are defined than the key type can address.
    #[error("too many `{0}` rules")]
    TooMany(Keyword),
}

impl Cause {
    /// Returns a help text that says how to correct the fault.
    #[must_use]
    pub fn help(&self) -> String {
        match self {
            Self::Empty => {
                "write one rule per line, like: owner booking # Ada Berg: pays for it".into()
            }
            Self::TooLarge { .. } => "remove rules that are no longer needed".into(),
            Self::InvalidUtf8 => "save the file as UTF-8 text".into(),
            Self::ForbiddenCharacter(_) => {
                "remove it: rules must not contain control or invisible characters".into()
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
                .unwrap_or_else(|| format!("define it in a line that starts with `{keyword}`")),
            Self::WarmBelowCold { .. } => "set warm to at least the value of cold".into(),
            Self::Model {
                has_model: true, ..
            }
            | Self::Path { has_path: true, .. } => "remove the key".into(),
            Self::Model { .. } => "add model= with the model's name at the engine".into(),
            Self::Path { .. } => "add path= with the path of the call, like path=/orders".into(),
            Self::StageCount { .. } => "define three to six stages for each pipeline".into(),
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

/// Returns the syntax of a rule, like `owner NAME`.
fn usage(keyword: Keyword) -> String {
    let names = keyword.name_labels().iter().map(|name| name.to_uppercase());
    let keys = keyword.keys().iter().map(|key| format!("{key}=.."));
    std::iter::once(keyword.to_string())
        .chain(names)
        .chain(keys)
        .collect::<Vec<_>>()
        .join(" ")
}

/// One fault and its position in the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line, counted from one.
    pub line: usize,
    /// Column in characters, counted from one.
    pub column: usize,
    /// Byte offset in the text.
    pub offset: usize,
    /// Length in bytes.
    pub length: usize,
    /// Cause of the fault.
    pub cause: Cause,
}

impl Fault {
    /// Returns the error message, without a full stop.
    #[must_use]
    pub fn message(&self) -> String {
        self.cause.to_string()
    }

    /// Returns a help text that says how to correct the fault.
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

/// All faults of a rule file, sorted by position.
#[derive(Clone, Debug)]
pub struct Faults {
    source: NamedSource<String>,
    faults: Vec<Fault>,
}

impl Faults {
    /// Creates the list of the faults of `text`.
    pub(super) fn new(text: &str, mut faults: Vec<Fault>) -> Self {
        faults.sort_by_key(|fault| fault.offset);
        Self {
            source: NamedSource::new(UNNAMED, text.to_owned()),
            faults,
        }
    }

    /// Returns the list with `name` as the name of the file.
    #[must_use]
    pub fn with_name(self, name: &str) -> Self {
        let text = self.source.inner().clone();
        Self {
            source: NamedSource::new(name, text),
            ..self
        }
    }

    /// Returns the name of the file, or a placeholder if none was set.
    #[must_use]
    pub fn name(&self) -> &str {
        self.source.name()
    }

    /// Splits the list into the first `count` faults and the rest.
    #[must_use]
    pub fn split(mut self, count: usize) -> (Self, Self) {
        let rest = self.faults.split_off(count.min(self.faults.len()));
        let rest = Self {
            source: self.source.clone(),
            faults: rest,
        };
        (self, rest)
    }

    /// Returns the faults, sorted by position.
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
