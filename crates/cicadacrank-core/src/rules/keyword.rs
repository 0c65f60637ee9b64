//! The keywords that start a rule, and the names and keys that each takes.

use std::fmt;

/// The first word of a rule, which says what the rule states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Keyword {
    /// Defines a data centre.
    DataCentre,
    /// Defines an owner.
    Owner,
    /// Defines a pool.
    Pool,
    /// Defines an endpoint.
    Endpoint,
    /// Defines a team.
    Team,
    /// Defines a pipeline.
    Pipeline,
    /// Adds a stage to a pipeline.
    Stage,
    /// Grants a team the use of a pool.
    Allow,
    /// Reserves slots at each endpoint of a pool for an owner.
    Reserve,
    /// Takes a data centre or an endpoint out of service.
    TakeOut,
}

impl Keyword {
    /// All keywords, in the order of the documentation.
    pub const ALL: [Self; 10] = [
        Self::DataCentre,
        Self::Owner,
        Self::Pool,
        Self::Endpoint,
        Self::Team,
        Self::Pipeline,
        Self::Stage,
        Self::Allow,
        Self::Reserve,
        Self::TakeOut,
    ];

    /// Returns the spelling of the keyword in rule files.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::DataCentre => "data-centre",
            Self::Owner => "owner",
            Self::Pool => "pool",
            Self::Endpoint => "endpoint",
            Self::Team => "team",
            Self::Pipeline => "pipeline",
            Self::Stage => "stage",
            Self::Allow => "allow",
            Self::Reserve => "reserve",
            Self::TakeOut => "take-out",
        }
    }

    /// Returns the keyword with this spelling, or `None` if there is none.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|keyword| keyword.as_str() == name)
    }

    /// Returns what each name after the keyword denotes, in order.
    #[must_use]
    pub const fn name_labels(self) -> &'static [&'static str] {
        match self {
            Self::Stage => &["pipeline", "name"],
            Self::Allow | Self::Reserve | Self::TakeOut => &[],
            _ => &["name"],
        }
    }

    /// Returns the keys that the rule may have.
    #[must_use]
    pub const fn keys(self) -> &'static [&'static str] {
        match self {
            Self::DataCentre => &["region"],
            Self::Owner => &[],
            Self::Pool => &["service", "model", "busy", "idle"],
            Self::Endpoint => &["pool", "owner", "data-centre", "cold", "warm", "warmup"],
            Self::Team => &["owner", "weight", "limit"],
            Self::Pipeline => &["deadline", "body"],
            Self::Stage => &["pool", "share", "repeat", "output", "path"],
            Self::Allow => &["team", "pool", "at"],
            Self::Reserve => &["pool", "owner", "slots"],
            Self::TakeOut => &["data-centre", "endpoint"],
        }
    }
}

impl fmt::Display for Keyword {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
