//! Adds and removes take-out lines in the text of a rule file.
//!
//! The rest of the text stays as it is, so that the difference an operator
//! sees is the line in question and nothing else.

use super::{fault::Faults, keyword::Keyword, model::Definitions, parse::parse, suggestion};
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
    const fn keyword(&self) -> Keyword {
        match self {
            Self::DataCentre(_) => Keyword::DataCentre,
            Self::Endpoint(_) => Keyword::Endpoint,
        }
    }

    fn name(&self) -> &str {
        match self {
            Self::DataCentre(name) | Self::Endpoint(name) => name,
        }
    }

    /// Returns whether the target has a take-out line of its own, or `None`
    /// when the definitions has no such target.
    fn is_taken_out(&self, definitions: &Definitions) -> Option<bool> {
        match self {
            Self::DataCentre(name) => definitions
                .data_centre(name)
                .map(|key| definitions[key].taken_out),
            Self::Endpoint(name) => definitions
                .endpoint(name)
                .map(|key| definitions[key].taken_out),
        }
    }

    /// Returns the known name this one may stand for.
    fn nearest<'a>(&self, definitions: &'a Definitions) -> Option<&'a str> {
        match self {
            Self::DataCentre(name) => suggestion::nearest(
                name,
                definitions.data_centres.iter().map(|one| one.name.as_str()),
            ),
            Self::Endpoint(name) => suggestion::nearest(
                name,
                definitions.endpoints.iter().map(|one| one.name.as_str()),
            ),
        }
    }
}

impl fmt::Display for Target {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}={}", self.keyword(), self.name())
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
    #[error("the rules have no {target}{}", suggestion.as_ref().map_or_else(String::new, |suggestion| format!("; did you mean `{suggestion}`?")))]
    Unknown {
        /// What was asked for.
        target: Target,
        /// The name it may stand for.
        suggestion: Option<String>,
    },
    /// The target is taken out already.
    #[error("{0} is taken out already")]
    TakenOut(Target),
    /// The target is not taken out.
    #[error("{0} is not taken out")]
    NotTakenOut(Target),
    /// The person or the reason can't stand in a comment.
    #[error("a change needs a name without a colon and a reason, each in one line")]
    InvalidRequest,
}

/// Adds a take-out line at the end of a text.
///
/// # Errors
///
/// Refuses a text that is not valid, a target that the rules do not define or
/// that is taken out already, and a request that names nobody or no reason.
pub fn take_out(text: &str, target: &Target, request: &Request) -> Result<String, Error> {
    if !request.is_valid() {
        return Err(Error::InvalidRequest);
    }
    let definitions = parse(text)?;
    if is_taken_out(&definitions, target)? {
        return Err(Error::TakenOut(target.clone()));
    }
    let separator = if text.ends_with('\n') { "" } else { "\n" };
    let (who, why) = (request.who.trim(), request.why.trim());
    let text = format!(
        "{text}{separator}{} {target} # {who}: {why}\n",
        Keyword::TakeOut
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
    let definitions = parse(text)?;
    if !is_taken_out(&definitions, target)? {
        return Err(Error::NotTakenOut(target.clone()));
    }
    let kept: String = text
        .split_inclusive('\n')
        .filter(|line| !takes_out(line, target))
        .collect();
    parse(&kept)?;
    Ok(kept)
}

fn is_taken_out(definitions: &Definitions, target: &Target) -> Result<bool, Error> {
    target
        .is_taken_out(definitions)
        .ok_or_else(|| Error::Unknown {
            target: target.clone(),
            suggestion: target.nearest(definitions).map(str::to_owned),
        })
}

/// Returns whether a valid line takes the target out.
fn takes_out(line: &str, target: &Target) -> bool {
    let rule = line.split('#').next().unwrap_or_default();
    let mut words = rule.split_whitespace();
    words.next() == Some(Keyword::TakeOut.as_str()) && words.next() == Some(&target.to_string())
}
