//! What a rule file states, resolved into arenas.
//!
//! Every arena is a vector sorted by name, and a key is an index into it: look
//! ups by name are binary searches, relations between items are plain indexes.

use std::ops::Index;

macro_rules! keys {
    ($($(#[$doc:meta])* $key:ident($raw:ty) -> $arena:ident: $item:ident;)*) => {
        $(
            $(#[$doc])*
            #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
            pub struct $key(pub $raw);

            impl $key {
                /// Returns the position in the arena.
                #[must_use]
                pub const fn index(self) -> usize {
                    self.0 as usize
                }
            }

            impl Index<$key> for Definitions {
                type Output = $item;

                fn index(&self, key: $key) -> &$item {
                    &self.$arena[key.index()]
                }
            }
        )*
    };
}

keys! {
    /// Key of a [`DataCentre`].
    DataCentreKey(u16) -> data_centres: DataCentre;
    /// Key of an [`Owner`].
    OwnerKey(u16) -> owners: Owner;
    /// Key of a [`Pool`].
    PoolKey(u16) -> pools: Pool;
    /// Key of an [`Endpoint`].
    EndpointKey(u32) -> endpoints: Endpoint;
    /// Key of a [`Team`].
    TeamKey(u32) -> teams: Team;
    /// Key of a [`Pipeline`].
    PipelineKey(u16) -> pipelines: Pipeline;
}

/// Everything a rule file states.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Definitions {
    /// Data centres, sorted by name.
    pub data_centres: Vec<DataCentre>,
    /// Owners of endpoints, sorted by name.
    pub owners: Vec<Owner>,
    /// Pools of endpoints, sorted by name.
    pub pools: Vec<Pool>,
    /// Endpoints, sorted by name.
    pub endpoints: Vec<Endpoint>,
    /// Teams, sorted by name.
    pub teams: Vec<Team>,
    /// Pipelines, sorted by name.
    pub pipelines: Vec<Pipeline>,
    /// Grants, sorted by team, then pool.
    pub grants: Vec<Grant>,
    /// Reservations, sorted by pool, then owner.
    pub reservations: Vec<Reservation>,
}

/// A span with its own power and network.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentre {
    /// Unique name.
    pub name: String,
    /// Region the data centre lies in.
    pub region: String,
    /// Whether operators have taken it out.
    pub taken_out: bool,
}

/// An organisation that carries the cost of endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Unique name.
    pub name: String,
}

/// What the endpoints of a pool do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Service {
    /// Turns text into a vector.
    Encode,
    /// Finds documents for a vector.
    Retrieve,
    /// Orders documents by relevance.
    Rerank,
    /// Generates text, as a stream.
    Generate,
    /// A plain service.
    Plain,
}

impl Service {
    /// Every service, in the order of the docs.
    pub const ALL: [Self; 5] = [
        Self::Encode,
        Self::Retrieve,
        Self::Rerank,
        Self::Generate,
        Self::Plain,
    ];

    /// Returns the word used in rule files.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Encode => "encode",
            Self::Retrieve => "retrieve",
            Self::Rerank => "rerank",
            Self::Generate => "generate",
            Self::Plain => "plain",
        }
    }

    /// Returns the service with this word.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|service| service.as_str() == name)
    }
}

/// Endpoints that can stand in for one another.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Unique name.
    pub name: String,
    /// What its endpoints do.
    pub service: Service,
    /// Model name sent to engines; empty for plain services.
    pub model: String,
    /// Price of a busy slot, in thousandths of the currency unit an hour.
    pub busy_price_milli: u64,
    /// Price of an idle slot, in thousandths of the currency unit an hour.
    pub idle_price_milli: u64,
}

/// One back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Unique name.
    pub name: String,
    /// Pool it belongs to.
    pub pool: PoolKey,
    /// Owner who pays for it.
    pub owner: OwnerKey,
    /// Data centre it stands in.
    pub data_centre: DataCentreKey,
    /// Requests in flight it bears while cold.
    pub cold_slots: u32,
    /// Requests in flight it bears when warm.
    pub warm_slots: u32,
    /// Time from cold to warm under load, in milliseconds.
    pub warmup_ms: u64,
    /// Whether operators have taken it out.
    pub taken_out: bool,
}

/// A customer whose requests are told apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Unique name.
    pub name: String,
    /// Owner whose reservations the team draws on, if any.
    pub owner: Option<OwnerKey>,
    /// Share of a contended endpoint, relative to other teams.
    pub weight: u32,
    /// Most requests in flight at one endpoint; `None` for no limit.
    pub endpoint_limit: Option<u32>,
}

/// A chain of stages under one deadline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pipeline {
    /// Unique name.
    pub name: String,
    /// Deadline when the caller states none, in milliseconds.
    pub deadline_ms: u64,
    /// Largest body a caller may send, in bytes.
    pub body_limit_bytes: u64,
    /// Stages in order, three to six.
    pub stages: Vec<Stage>,
}

impl Pipeline {
    /// Returns whether every stage may be repeated.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.stages.iter().all(|stage| stage.repeatable)
    }
}

/// One step of a pipeline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stage {
    /// Name, unique in the pipeline.
    pub name: String,
    /// Pool that runs it.
    pub pool: PoolKey,
    /// Share of the deadline the stage may use, in per cent.
    pub share_percent: u32,
    /// Whether the work may run more than once.
    pub repeatable: bool,
    /// Largest output of the stage, in bytes.
    pub output_limit_bytes: u64,
    /// Path of the call at a plain service; engines have fixed paths.
    pub path: String,
}

/// A time of day window, in minutes after midnight UTC.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// First minute inside.
    pub from_minute: u16,
    /// First minute outside; smaller than `from_minute` when the window spans
    /// midnight.
    pub until_minute: u16,
}

impl Window {
    /// Minutes in a day.
    pub const DAY_MINUTES: u16 = 24 * 60;

    /// The window that holds at all times.
    pub const ALWAYS: Self = Self {
        from_minute: 0,
        until_minute: Self::DAY_MINUTES,
    };

    /// Returns whether the window holds at this minute of the day.
    #[must_use]
    pub const fn contains(self, minute: u16) -> bool {
        if self.from_minute <= self.until_minute {
            self.from_minute <= minute && minute < self.until_minute
        } else {
            minute >= self.from_minute || minute < self.until_minute
        }
    }
}

/// The right of a team to use a pool in a window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Team that holds the right.
    pub team: TeamKey,
    /// Pool it may use.
    pub pool: PoolKey,
    /// When it may.
    pub window: Window,
}

/// Slots of each endpoint in a pool kept for an owner's teams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Pool whose endpoints hold the slots.
    pub pool: PoolKey,
    /// Owner whose teams they are kept for.
    pub owner: OwnerKey,
    /// Slots of each endpoint.
    pub slots: u32,
}

macro_rules! lookups {
    ($($(#[$doc:meta])* $name:ident in $arena:ident -> $key:ident;)*) => {
        impl Definitions {
            $(
                $(#[$doc])*
                #[must_use]
                pub fn $name(&self, name: &str) -> Option<$key> {
                    self.$arena
                        .binary_search_by(|item| item.name.as_str().cmp(name))
                        .ok()
                        .and_then(|index| index.try_into().ok())
                        .map($key)
                }
            )*
        }
    };
}

lookups! {
    /// Returns the key of the data centre with this name.
    data_centre in data_centres -> DataCentreKey;
    /// Returns the key of the owner with this name.
    owner in owners -> OwnerKey;
    /// Returns the key of the pool with this name.
    pool in pools -> PoolKey;
    /// Returns the key of the endpoint with this name.
    endpoint in endpoints -> EndpointKey;
    /// Returns the key of the team with this name.
    team in teams -> TeamKey;
    /// Returns the key of the pipeline with this name.
    pipeline in pipelines -> PipelineKey;
}

impl Definitions {
    /// Returns whether the team may use the pool at this minute of the day.
    #[must_use]
    pub fn is_granted(&self, team: TeamKey, pool: PoolKey, minute: u16) -> bool {
        let first = self
            .grants
            .partition_point(|grant| (grant.team, grant.pool) < (team, pool));
        self.grants[first..]
            .iter()
            .take_while(|grant| (grant.team, grant.pool) == (team, pool))
            .any(|grant| grant.window.contains(minute))
    }

    /// Returns whether operators have taken out the endpoint or its data
    /// centre.
    #[must_use]
    pub fn is_taken_out(&self, endpoint: EndpointKey) -> bool {
        let endpoint = &self[endpoint];
        endpoint.taken_out || self[endpoint.data_centre].taken_out
    }

    /// Returns the keys of the endpoints of a pool, in order of name.
    pub fn endpoints_of(&self, pool: PoolKey) -> impl Iterator<Item = EndpointKey> + '_ {
        (0u32..)
            .zip(&self.endpoints)
            .filter(move |(_, endpoint)| endpoint.pool == pool)
            .map(|(index, _)| EndpointKey(index))
    }
}
