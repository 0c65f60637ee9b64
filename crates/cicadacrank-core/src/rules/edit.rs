//! Adds and removes take-out lines in the text of a rule file.
//!
//! The rest of the text does not change, so that the difference that an operator
//! sees consists of the take-out line only.

use super::{fault::Faults, keyword::Keyword, model::Definitions, parse::parse, suggestion};
use std::fmt;

/// The target of an edit, by name.
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

    /// Returns whether the target itself has a take-out line, or `None` if
    /// the target is not defined.
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

    /// Returns the defined name that is nearest to the name of the target.
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

/// The person who asks for a change, and the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Name of the person.
    pub who: String,
    /// Reason for the change.
    pub why: String,
}

impl Request {
    /// Returns whether the person and the reason can be written as the comment of
    /// a rule.
    ///
    /// Neither may be blank or contain control characters, and the person may
    /// not contain a colon.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let is_line = |text: &str| !text.is_empty() && !text.chars().any(char::is_control);
        let (who, why) = (self.who.trim(), self.why.trim());
        is_line(who) && is_line(why) && !who.contains(':')
    }
}

/// Why an edit was refused.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// The text before or after the change is not a valid rule file.
    #[error(transparent)]
    Faults(#[from] Faults),
    /// The rules define no such target.
    #[error("the rules have no {target}{}", suggestion.as_ref().map_or_else(String::new, |suggestion| format!("; did you mean `{suggestion}`?")))]
    Unknown {
        /// The target of the edit.
        target: Target,
        /// The nearest defined name.
        suggestion: Option<String>,
    },
    /// The target already has a take-out line.
    #[error("{0} is already taken out")]
    TakenOut(Target),
    /// The target has no take-out line.
    #[error("{0} is not taken out")]
    NotTakenOut(Target),
    /// The person or the reason can't be written as a comment.
    #[error("a change needs a person's name without a colon and a reason, each on one line")]
    InvalidRequest,
}

/// Returns the text with a take-out line for the target added at the end.
///
/// # Errors
///
/// Returns an error if the request or the text is not valid, or if the target is
/// not defined or already taken out.
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

/// Returns the text without the take-out line of the target.
///
/// # Errors
///
/// Returns an error if the text is not valid before or after the change, or if
/// the target is not defined or not taken out.
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

/// Returns whether a line, which must be valid, is a take-out of the target.
fn takes_out(line: &str, target: &Target) -> bool {
    let rule = line.split('#').next().unwrap_or_default();
    let mut words = rule.split_whitespace();
    words.next() == Some(Keyword::TakeOut.as_str()) && words.next() == Some(&target.to_string())
}
