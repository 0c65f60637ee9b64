//! Adds and removes take-out lines in the text of a rule file.
//!
//! The rest of the text stays as it is, so that the difference an operator
//! sees is the line in question and nothing else.

use super::{fault::Faults, model::Book, near, parse::parse, word::Word};
use std::fmt;

/// What is taken out or brought back, by name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A whole data centre.
    DataCentre(String),
    /// One endpoint.
    Endpoint(String),
}

impl Target {
    const fn word(&self) -> Word {
        match self {
            Self::DataCentre(_) => Word::DataCentre,
            Self::Endpoint(_) => Word::Endpoint,
        }
    }

    fn name(&self) -> &str {
        match self {
            Self::DataCentre(name) | Self::Endpoint(name) => name,
        }
    }

    /// Returns whether the target has a take-out line of its own, or `None`
    /// when the book has no such target.
    fn is_taken_out(&self, book: &Book) -> Option<bool> {
        match self {
            Self::DataCentre(name) => book.data_centre(name).map(|key| book[key].taken_out),
            Self::Endpoint(name) => book.endpoint(name).map(|key| book[key].taken_out),
        }
    }

    /// Returns the known name this one may stand for.
    fn nearest<'a>(&self, book: &'a Book) -> Option<&'a str> {
        match self {
            Self::DataCentre(name) => {
                near::nearest(name, book.data_centres.iter().map(|one| one.name.as_str()))
            }
            Self::Endpoint(name) => {
                near::nearest(name, book.endpoints.iter().map(|one| one.name.as_str()))
            }
        }
    }
}

impl fmt::Display for Target {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}={}", self.word(), self.name())
    }
}

/// Who asked for a line, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Name of the person.
    pub who: String,
    /// Reason given.
    pub why: String,
}

impl Request {
    /// Returns whether the request names a person and a reason that can stand
    /// in a comment.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let is_line = |text: &str| !text.is_empty() && !text.chars().any(char::is_control);
        let (who, why) = (self.who.trim(), self.why.trim());
        is_line(who) && is_line(why) && !who.contains(':')
    }
}

/// Why a text was not changed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// The text before or after the change is not a valid rule file.
    #[error(transparent)]
    Faults(#[from] Faults),
    /// The rules define no such target.
    #[error("the rules have no {target}{}", near.as_ref().map_or_else(String::new, |near| format!("; did you mean `{near}`?")))]
    Unknown {
        /// What was asked for.
        target: Target,
        /// The name it may stand for.
        near: Option<String>,
    },
    /// The target is taken out already.
    #[error("{0} is taken out already")]
    TakenOut(Target),
    /// The target is not taken out.
    #[error("{0} is not taken out")]
    InService(Target),
    /// The person or the reason can't stand in a comment.
    #[error("a change needs a name without a colon and a reason, each in one line")]
    Request,
}

/// Adds a take-out line at the end of a text.
///
/// # Errors
///
/// Refuses a text that is not valid, a target that the rules do not define or
/// that is taken out already, and a request that names nobody or no reason.
pub fn take_out(text: &str, target: &Target, request: &Request) -> Result<String, Error> {
    if !request.is_valid() {
        return Err(Error::Request);
    }
    let book = parse(text)?;
    if is_taken_out(&book, target)? {
        return Err(Error::TakenOut(target.clone()));
    }
    let separator = if text.ends_with('\n') { "" } else { "\n" };
    let (who, why) = (request.who.trim(), request.why.trim());
    let text = format!(
        "{text}{separator}{} {target} # {who}: {why}\n",
        Word::TakeOut
    );
    parse(&text)?;
    Ok(text)
}

/// Removes the take-out line of a target.
///
/// # Errors
///
/// Refuses a text that is not valid, and a target that the rules do not define
/// or that is not taken out.
pub fn bring_back(text: &str, target: &Target) -> Result<String, Error> {
    let book = parse(text)?;
    if !is_taken_out(&book, target)? {
        return Err(Error::InService(target.clone()));
    }
    let kept: String = text
        .split_inclusive('\n')
        .filter(|line| !takes_out(line, target))
        .collect();
    parse(&kept)?;
    Ok(kept)
}

fn is_taken_out(book: &Book, target: &Target) -> Result<bool, Error> {
    target.is_taken_out(book).ok_or_else(|| Error::Unknown {
        target: target.clone(),
        near: target.nearest(book).map(str::to_owned),
    })
}

/// Returns whether a valid line takes the target out.
fn takes_out(line: &str, target: &Target) -> bool {
    let rule = line.split('#').next().unwrap_or_default();
    let mut words = rule.split_whitespace();
    words.next() == Some(Word::TakeOut.as_str()) && words.next() == Some(&target.to_string())
}
