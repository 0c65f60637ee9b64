//! Resolves the rules of a text into the arenas of [`Definitions`].

use super::{
    check::{self, Unresolved},
    fault::{Cause, Fault, Faults},
    keyword::Keyword,
    model::{
        DataCentre, DataCentreKey, Definitions, Endpoint, Owner, OwnerKey, Pipeline, Pool, PoolKey,
        Service, Stage, Team,
    },
    read::{Names, Reader},
    relations::{Relations, Target},
    scan::{self, Diagnostics, Rule, Scan},
    value,
};

/// Largest size of a rule file, in bytes.
pub const TEXT_LIMIT_BYTES: usize = 1 << 20;

/// Weight of a team whose rule has no `weight` key.
const WEIGHT_DEFAULT: u32 = 1;

/// Parses the text of a rule file.
///
/// # Errors
///
/// Returns every fault of the text, sorted by position.
pub fn parse(text: &str) -> Result<Definitions, Faults> {
    if text.len() > TEXT_LIMIT_BYTES {
        return Err(file_fault(Cause::TooLarge {
            bytes: text.len(),
            limit: TEXT_LIMIT_BYTES,
        }));
    }
    let mut diagnostics = Diagnostics::new(text);
    let scan = scan::scan(text, &mut diagnostics);
    if scan.rules.is_empty() && diagnostics.len() == 0 {
        return Err(file_fault(Cause::Empty));
    }
    let definitions = Builder::new(&scan, &mut diagnostics).build();
    let faults = diagnostics.into_faults();
    if faults.is_empty() {
        Ok(definitions)
    } else {
        Err(Faults::new(text, faults))
    }
}

/// Parses the bytes of a rule file, which may not be valid UTF-8.
///
/// # Errors
///
/// Returns every fault of the file, sorted by position, including invalid UTF-8.
pub fn parse_bytes(bytes: &[u8]) -> Result<Definitions, Faults> {
    if bytes.len() > TEXT_LIMIT_BYTES {
        return Err(file_fault(Cause::TooLarge {
            bytes: bytes.len(),
            limit: TEXT_LIMIT_BYTES,
        }));
    }
    parse_lossy(&String::from_utf8_lossy(bytes), bytes.len())
}

/// Parses a text in which invalid UTF-8 was replaced.
///
/// The replacement characters can make the text longer than the `bytes` of the
/// file. If only the text exceeds the limit, the fault is the invalid UTF-8.
fn parse_lossy(text: &str, bytes: usize) -> Result<Definitions, Faults> {
    if text.len() > TEXT_LIMIT_BYTES && bytes <= TEXT_LIMIT_BYTES {
        return Err(file_fault(Cause::InvalidUtf8));
    }
    parse(text)
}

/// Returns a fault of the file as a whole, positioned at its start.
fn file_fault(cause: Cause) -> Faults {
    let fault = Fault {
        line: 1,
        column: 1,
        offset: 0,
        length: 0,
        cause,
    };
    Faults::new("", vec![fault])
}

/// Builds the arenas, one keyword after the other.
struct Builder<'a, 'l> {
    scan: &'a Scan<'a>,
    diagnostics: &'l mut Diagnostics<'a>,
    data_centres: Names<'a>,
    owners: Names<'a>,
    pools: Names<'a>,
    endpoints: Names<'a>,
    teams: Names<'a>,
    pipelines: Names<'a>,
    unresolved: Unresolved,
    definitions: Definitions,
}

/// Converts an optional index into a key.
///
/// An absent index, or one that is too large, becomes 0: in both cases a fault has
/// been reported, so that the definitions are discarded.
macro_rules! key {
    ($key:ident, $index:expr) => {
        $key(
            $index
                .and_then(|index: usize| index.try_into().ok())
                .unwrap_or(0),
        )
    };
}

impl<'a, 'l> Builder<'a, 'l> {
    fn new(scan: &'a Scan<'a>, diagnostics: &'l mut Diagnostics<'a>) -> Self {
        let mut names = |keyword, limit: usize| {
            let names = Names::new(keyword, scan, diagnostics);
            if let Some(name) = names.as_slice().get(limit) {
                diagnostics.push(name.token, Cause::TooMany(keyword));
            }
            names
        };
        let u16_limit = usize::from(u16::MAX);
        let endpoints = names(Keyword::Endpoint, usize::MAX);
        let unresolved = Unresolved {
            endpoints: endpoints.has_duplicates(),
            ..Unresolved::default()
        };
        Self {
            data_centres: names(Keyword::DataCentre, u16_limit),
            owners: names(Keyword::Owner, u16_limit),
            pools: names(Keyword::Pool, u16_limit),
            endpoints,
            teams: names(Keyword::Team, usize::MAX),
            pipelines: names(Keyword::Pipeline, u16_limit),
            unresolved,
            definitions: Definitions::default(),
            scan,
            diagnostics,
        }
    }

    fn build(mut self) -> Definitions {
        self.add_data_centres();
        self.add_owners();
        self.add_pools();
        self.add_endpoints();
        self.add_teams();
        self.add_pipelines();
        self.add_stages();
        self.add_relations();
        self.unresolved.unparsed = !self.scan.unparsed.is_empty();
        check::check(
            &self.definitions,
            &self.unresolved,
            &self.pools,
            &self.pipelines,
            self.diagnostics,
        );
        self.definitions
    }

    /// Returns the names with the rules that define them, in the order of the names.
    fn rules_of(scan: &'a Scan<'a>, names: &Names<'a>) -> Vec<(String, &'a Rule<'a>)> {
        names
            .as_slice()
            .iter()
            .map(|name| (name.token.text.to_owned(), &scan.rules[name.rule]))
            .collect()
    }

    /// Returns the rules with `keyword`, in file order.
    fn rules_with(&self, keyword: Keyword) -> impl Iterator<Item = &'a Rule<'a>> + use<'a> {
        self.scan
            .rules
            .iter()
            .filter(move |rule| rule.keyword == keyword)
    }

    fn add_data_centres(&mut self) {
        for (name, rule) in Self::rules_of(self.scan, &self.data_centres) {
            let region = Reader::new(rule, self.diagnostics).required("region", &value::NAME);
            self.definitions.data_centres.push(DataCentre {
                name,
                region: region.unwrap_or_default(),
                taken_out: false,
            });
        }
    }

    fn add_owners(&mut self) {
        let names = self.owners.as_slice().iter();
        let owners = names.map(|name| Owner {
            name: name.token.text.to_owned(),
        });
        self.definitions.owners.extend(owners);
    }

    fn add_pools(&mut self) {
        for (name, rule) in Self::rules_of(self.scan, &self.pools) {
            let mut reader = Reader::new(rule, self.diagnostics);
            let service = reader.required("service", &value::SERVICE);
            let model = reader.optional("model", &value::MODEL);
            let has_model = reader.pair("model").is_some();
            if let Some(service) = service
                && (service == Service::Plain) == has_model
            {
                let service = service.as_str();
                reader.report("model", Cause::Model { service, has_model });
            }
            self.definitions.pools.push(Pool {
                name,
                service: service.unwrap_or(Service::Plain),
                model: model.unwrap_or_default(),
                busy_price_milli: reader.required("busy", &value::PRICE).unwrap_or_default(),
                idle_price_milli: reader.required("idle", &value::PRICE).unwrap_or_default(),
            });
            self.unresolved.pools.push(service.is_none());
        }
    }

    fn add_endpoints(&mut self) {
        for (name, rule) in Self::rules_of(self.scan, &self.endpoints) {
            let mut reader = Reader::new(rule, self.diagnostics);
            let pool = reader.reference("pool", &self.pools);
            let owner = reader.reference("owner", &self.owners);
            let data_centre = reader.reference("data-centre", &self.data_centres);
            let cold = reader.required("cold", &value::REQUESTS);
            let warm = reader.required("warm", &value::REQUESTS);
            if let (Some(cold), Some(warm)) = (cold, warm)
                && warm < cold
            {
                reader.report("warm", Cause::WarmBelowCold { cold, warm });
            }
            let warmup = reader.required("warmup", &value::DURATION);
            self.unresolved.endpoints |= pool.is_none() || warm.is_none();
            self.definitions.endpoints.push(Endpoint {
                name,
                pool: key!(PoolKey, pool),
                owner: key!(OwnerKey, owner),
                data_centre: key!(DataCentreKey, data_centre),
                cold_slots: cold.unwrap_or(1),
                warm_slots: warm.unwrap_or(1),
                warmup_ms: warmup.unwrap_or_default(),
                taken_out: false,
            });
        }
    }

    fn add_teams(&mut self) {
        for (name, rule) in Self::rules_of(self.scan, &self.teams) {
            let mut reader = Reader::new(rule, self.diagnostics);
            let owner = reader.optional_reference("owner", &self.owners);
            let weight = reader.optional("weight", &value::WEIGHT);
            self.definitions.teams.push(Team {
                name,
                owner: owner.map(|owner| key!(OwnerKey, Some(owner))),
                weight: weight.unwrap_or(WEIGHT_DEFAULT),
                endpoint_limit: reader.optional("limit", &value::REQUESTS),
            });
        }
    }

    fn add_pipelines(&mut self) {
        for (name, rule) in Self::rules_of(self.scan, &self.pipelines) {
            let mut reader = Reader::new(rule, self.diagnostics);
            let deadline = reader.required("deadline", &value::TIMEOUT);
            let body = reader.required("body", &value::SIZE);
            self.definitions.pipelines.push(Pipeline {
                name,
                deadline_ms: deadline.unwrap_or_default(),
                body_limit_bytes: body.unwrap_or_default(),
                stages: Vec::new(),
            });
            self.unresolved.pipelines.push(false);
        }
    }

    fn add_stages(&mut self) {
        let mut lines: Vec<Vec<usize>> = vec![Vec::new(); self.definitions.pipelines.len()];
        for rule in self.rules_with(Keyword::Stage) {
            let [Some(pipeline), name] = rule.names else {
                continue;
            };
            let faults_before = self.diagnostics.len();
            let found = self.pipelines.find(pipeline, self.diagnostics);
            let stage = self.stage(rule, name.map_or("", |name| name.text));
            let Some(found) = found else { continue };
            let stages = &mut self.definitions.pipelines[found].stages;
            let duplicate = stages.iter().position(|other| other.name == stage.name);
            if let (Some(name), Some(first)) = (name, duplicate) {
                let what = format!("stage `{}` of pipeline `{}`", name.text, pipeline.text);
                let line = lines[found][first];
                self.diagnostics.push(name, Cause::Duplicate { what, line });
                continue;
            }
            stages.push(stage);
            lines[found].push(self.diagnostics.line(rule.span.offset));
            self.unresolved.pipelines[found] |=
                rule.faulty || self.diagnostics.len() > faults_before;
        }
    }

    fn add_relations(&mut self) {
        let mut relations = Relations::new(self.scan, self.diagnostics);
        self.definitions.grants = relations.grants(&self.teams, &self.pools);
        self.definitions.reservations = relations.reservations(&self.pools, &self.owners);
        self.unresolved.grants = relations.has_faulty_grants();
        for target in relations.take_outs(&self.data_centres, &self.endpoints) {
            match target {
                Target::DataCentre(key) => {
                    self.definitions.data_centres[key.index()].taken_out = true;
                }
                Target::Endpoint(key) => self.definitions.endpoints[key.index()].taken_out = true,
            }
        }
    }

    fn stage(&mut self, rule: &'a Rule<'a>, name: &str) -> Stage {
        let mut reader = Reader::new(rule, self.diagnostics);
        let pool = reader.reference("pool", &self.pools);
        let path = reader.optional("path", &value::PATH);
        let has_path = reader.pair("path").is_some();
        if let Some(index) = pool
            && !self.unresolved.pools[index]
            && (self.definitions.pools[index].service == Service::Plain) != has_path
        {
            let service = self.definitions.pools[index].service.as_str();
            reader.report("path", Cause::Path { service, has_path });
        }
        Stage {
            name: name.to_owned(),
            pool: key!(PoolKey, pool),
            share_percent: reader.required("share", &value::PERCENT).unwrap_or(1),
            repeatable: reader.required("repeat", &value::REPEAT).unwrap_or(false),
            output_limit_bytes: reader.required("output", &value::SIZE).unwrap_or(1),
            path: path.unwrap_or_default(),
        }
    }
}
