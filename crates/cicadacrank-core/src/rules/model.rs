//! The definitions of a rule file, resolved into arenas.
//!
//! Every arena is a vector sorted by name, and a key is an index into it: lookups
//! by name are binary searches, and references between items are indexes.

use std::ops::Index;

macro_rules! keys {
    ($($(#[$doc:meta])* $key:ident($raw:ty) -> $arena:ident: $item:ident;)*) => {
        $(
            $(#[$doc])*
            #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
            pub struct $key(pub $raw);

            impl $key {
                /// Returns the index in the arena.
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

/// Everything that a rule file defines, resolved into arenas.
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
    /// Grants, sorted by team, pool and window.
    pub grants: Vec<Grant>,
    /// Reservations, sorted by pool and owner.
    pub reservations: Vec<Reservation>,
}

/// A zone with its own power and network.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentre {
    /// Unique name.
    pub name: String,
    /// Region of the data centre.
    pub region: String,
    /// Whether operators have taken it out.
    pub taken_out: bool,
}

/// An organisation that pays for endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Unique name.
    pub name: String,
}

/// The kind of work that the endpoints of a pool do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Service {
    /// Computes the embedding vector of a text.
    Encode,
    /// Finds documents that match a vector.
    Retrieve,
    /// Orders documents by relevance.
    Rerank,
    /// Generates text, as a stream.
    Generate,
    /// Serves plain HTTP calls at the path that a stage states.
    Plain,
}

impl Service {
    /// All services, in the order of the documentation.
    pub const ALL: [Self; 5] = [
        Self::Encode,
        Self::Retrieve,
        Self::Rerank,
        Self::Generate,
        Self::Plain,
    ];

    /// Returns the spelling of the service in rule files.
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

    /// Returns the service with this spelling, or `None` if there is none.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|service| service.as_str() == name)
    }
}

/// A pool of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Unique name.
    pub name: String,
    /// Service of its endpoints.
    pub service: Service,
    /// Model name sent to engines; empty for plain services.
    pub model: String,
    /// Price of a busy slot, in thousandths of a euro per hour.
    pub busy_price_milli: u64,
    /// Price of an idle slot, in thousandths of a euro per hour.
    pub idle_price_milli: u64,
}

/// A back end that runs stages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Unique name.
    pub name: String,
    /// Pool it belongs to.
    pub pool: PoolKey,
    /// Owner who pays for it.
    pub owner: OwnerKey,
    /// Data centre it runs in.
    pub data_centre: DataCentreKey,
    /// Limit of requests in flight while cold.
    pub cold_slots: u32,
    /// Limit of requests in flight when warm.
    pub warm_slots: u32,
    /// Time under load until a cold endpoint is warm, in milliseconds.
    pub warmup_ms: u64,
    /// Whether operators have taken it out.
    pub taken_out: bool,
}

/// A customer whose requests are accounted and limited separately.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Unique name.
    pub name: String,
    /// Owner whose reserved slots the team may use, if any.
    pub owner: Option<OwnerKey>,
    /// Weight of the team's share of a contended endpoint, relative to the weights
    /// of other teams.
    pub weight: u32,
    /// Limit of the team's requests in flight at one endpoint; `None` for no limit.
    pub endpoint_limit: Option<u32>,
}

/// A sequence of stages with a common deadline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pipeline {
    /// Unique name.
    pub name: String,
    /// Deadline of a request whose caller states none, in milliseconds.
    pub deadline_ms: u64,
    /// Largest body a caller may send, in bytes.
    pub body_limit_bytes: u64,
    /// Stages in the order in which they run; three to six.
    pub stages: Vec<Stage>,
}

impl Pipeline {
    /// Returns whether every stage may run more than once.
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
    /// Pool whose endpoints run the stage.
    pub pool: PoolKey,
    /// Share of the deadline the stage may use, in per cent.
    pub share_percent: u32,
    /// Whether the stage may run more than once for a request.
    pub repeatable: bool,
    /// Largest output of the stage, in bytes.
    pub output_limit_bytes: u64,
    /// Path of the call at a plain service; empty for engines, whose paths are
    /// fixed.
    pub path: String,
}

/// A daily time window, in minutes after midnight UTC.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// First minute inside the window.
    pub from_minute: u16,
    /// First minute after the window; smaller than `from_minute` if the window
    /// spans midnight.
    pub until_minute: u16,
}

impl Window {
    /// Minutes in a day.
    pub const DAY_MINUTES: u16 = 24 * 60;

    /// The window that contains the whole day.
    pub const ALWAYS: Self = Self {
        from_minute: 0,
        until_minute: Self::DAY_MINUTES,
    };

    /// Returns whether the window contains this minute of the day.
    #[must_use]
    pub const fn contains(self, minute: u16) -> bool {
        if self.from_minute <= self.until_minute {
            self.from_minute <= minute && minute < self.until_minute
        } else {
            minute >= self.from_minute || minute < self.until_minute
        }
    }
}

/// The permission of a team to use a pool during a daily window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Team that has the permission.
    pub team: TeamKey,
    /// Pool that the team may use.
    pub pool: PoolKey,
    /// Daily window during which the grant applies.
    pub window: Window,
}

/// Slots of each endpoint in a pool that are reserved for an owner's teams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Pool whose endpoints reserve the slots.
    pub pool: PoolKey,
    /// Owner whose teams may use the slots.
    pub owner: OwnerKey,
    /// Number of reserved slots at each endpoint.
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
    /// Returns whether a grant lets the team use the pool at this minute of the day.
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

    /// Returns whether operators have taken out the endpoint or its data centre.
    #[must_use]
    pub fn is_taken_out(&self, endpoint: EndpointKey) -> bool {
        let endpoint = &self[endpoint];
        endpoint.taken_out || self[endpoint.data_centre].taken_out
    }

    /// Returns the keys of the endpoints of a pool, sorted by name.
    pub fn endpoints_of(&self, pool: PoolKey) -> impl Iterator<Item = EndpointKey> + '_ {
        (0u32..)
            .zip(&self.endpoints)
            .filter(move |(_, endpoint)| endpoint.pool == pool)
            .map(|(index, _)| EndpointKey(index))
    }
}
