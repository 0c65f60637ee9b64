//! Resolves the rules of a text into the arenas of a [`Book`].

use super::{
    check::{self, Doubt},
    fault::{Cause, Fault, Faults},
    links::{Links, Target},
    model::{
        Book, DataCentre, DataCentreKey, Endpoint, Owner, OwnerKey, Pipeline, Pool, PoolKey,
        Service, Stage, Team,
    },
    read::{Names, Reader},
    scan::{self, Log, Rule, Scan},
    value,
    word::Word,
};

/// Largest rule file.
pub const TEXT_LIMIT_BYTES: usize = 1 << 20;

/// Weight of a team that states none.
const WEIGHT_DEFAULT: u32 = 1;

/// Reads a rule file.
///
/// # Errors
///
/// Returns every fault of the text, in the order of the text.
pub fn parse(text: &str) -> Result<Book, Faults> {
    if text.len() > TEXT_LIMIT_BYTES {
        return Err(whole(Cause::TooLong {
            bytes: text.len(),
            limit: TEXT_LIMIT_BYTES,
        }));
    }
    let mut log = Log::new(text);
    let scan = scan::scan(text, &mut log);
    if scan.rules.is_empty() && log.len() == 0 {
        return Err(whole(Cause::Empty));
    }
    let book = Builder::new(&scan, &mut log).build();
    let faults = log.into_faults();
    if faults.is_empty() {
        Ok(book)
    } else {
        Err(Faults::new(text, faults))
    }
}

/// Reads a rule file whose bytes may not be text.
///
/// # Errors
///
/// Returns every fault of the bytes, in their order.
pub fn parse_bytes(bytes: &[u8]) -> Result<Book, Faults> {
    if bytes.len() > TEXT_LIMIT_BYTES {
        return Err(whole(Cause::TooLong {
            bytes: bytes.len(),
            limit: TEXT_LIMIT_BYTES,
        }));
    }
    parse_lossy(&String::from_utf8_lossy(bytes), bytes.len())
}

/// Reads a text whose invalid parts were replaced, which makes it longer.
fn parse_lossy(text: &str, bytes: usize) -> Result<Book, Faults> {
    if text.len() > TEXT_LIMIT_BYTES && bytes <= TEXT_LIMIT_BYTES {
        return Err(whole(Cause::Encoding));
    }
    parse(text)
}

fn whole(cause: Cause) -> Faults {
    let fault = Fault {
        line: 1,
        column: 1,
        offset: 0,
        length: 0,
        cause,
    };
    Faults::new("", vec![fault])
}

/// Builds the arenas, word by word.
struct Builder<'a, 'l> {
    scan: &'a Scan<'a>,
    log: &'l mut Log<'a>,
    data_centres: Names<'a>,
    owners: Names<'a>,
    pools: Names<'a>,
    endpoints: Names<'a>,
    teams: Names<'a>,
    pipelines: Names<'a>,
    doubt: Doubt,
    book: Book,
}

/// Narrows an index into a key; arenas that are too large are refused first.
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
    fn new(scan: &'a Scan<'a>, log: &'l mut Log<'a>) -> Self {
        let mut names = |word, limit: usize| {
            let names = Names::new(word, scan, log);
            if let Some(entry) = names.entries().get(limit) {
                log.push(entry.token, Cause::TooMany(word));
            }
            names
        };
        let narrow = usize::from(u16::MAX);
        let endpoints = names(Word::Endpoint, usize::MAX);
        let doubt = Doubt {
            endpoints: endpoints.has_doubles(),
            ..Doubt::default()
        };
        Self {
            data_centres: names(Word::DataCentre, narrow),
            owners: names(Word::Owner, narrow),
            pools: names(Word::Pool, narrow),
            endpoints,
            teams: names(Word::Team, usize::MAX),
            pipelines: names(Word::Pipeline, narrow),
            doubt,
            book: Book::default(),
            scan,
            log,
        }
    }

    fn build(mut self) -> Book {
        self.add_data_centres();
        self.add_owners();
        self.add_pools();
        self.add_endpoints();
        self.add_teams();
        self.add_pipelines();
        self.add_stages();
        self.add_links();
        self.doubt.unread = !self.scan.unread.is_empty();
        check::check(
            &self.book,
            &self.doubt,
            &self.pools,
            &self.pipelines,
            self.log,
        );
        self.book
    }

    /// Returns the rules that define these names, in the order of the names.
    fn rules_of(scan: &'a Scan<'a>, names: &Names<'a>) -> Vec<(String, &'a Rule<'a>)> {
        names
            .entries()
            .iter()
            .map(|entry| (entry.token.text.to_owned(), &scan.rules[entry.rule]))
            .collect()
    }

    /// Returns the rules with a word, in the order of the file.
    fn rules_with(&self, word: Word) -> impl Iterator<Item = &'a Rule<'a>> + use<'a> {
        self.scan.rules.iter().filter(move |rule| rule.word == word)
    }

    fn add_data_centres(&mut self) {
        for (name, rule) in Self::rules_of(self.scan, &self.data_centres) {
            let region = Reader::new(rule, self.log).required("region", &value::NAME);
            self.book.data_centres.push(DataCentre {
                name,
                region: region.unwrap_or_default(),
                taken_out: false,
            });
        }
    }

    fn add_owners(&mut self) {
        let names = self.owners.entries().iter();
        let owners = names.map(|entry| Owner {
            name: entry.token.text.to_owned(),
        });
        self.book.owners.extend(owners);
    }

    fn add_pools(&mut self) {
        for (name, rule) in Self::rules_of(self.scan, &self.pools) {
            let mut reader = Reader::new(rule, self.log);
            let service = reader.required("service", &value::SERVICE);
            let model = reader.optional("model", &value::MODEL);
            let has_model = reader.pair("model").is_some();
            if let Some(service) = service
                && (service == Service::Plain) == has_model
            {
                let service = service.as_str();
                reader.refuse("model", Cause::Model { service, has_model });
            }
            self.book.pools.push(Pool {
                name,
                service: service.unwrap_or(Service::Plain),
                model: model.unwrap_or_default(),
                busy_price_milli: reader.required("busy", &value::PRICE).unwrap_or_default(),
                idle_price_milli: reader.required("idle", &value::PRICE).unwrap_or_default(),
            });
            self.doubt.pools.push(service.is_none());
        }
    }

    fn add_endpoints(&mut self) {
        for (name, rule) in Self::rules_of(self.scan, &self.endpoints) {
            let mut reader = Reader::new(rule, self.log);
            let pool = reader.link("pool", &self.pools);
            let owner = reader.link("owner", &self.owners);
            let data_centre = reader.link("data-centre", &self.data_centres);
            let cold = reader.required("cold", &value::REQUESTS);
            let warm = reader.required("warm", &value::REQUESTS);
            if let (Some(cold), Some(warm)) = (cold, warm)
                && warm < cold
            {
                reader.refuse("warm", Cause::WarmBelowCold { cold, warm });
            }
            let warmup = reader.required("warmup", &value::DURATION);
            self.doubt.endpoints |= pool.is_none() || warm.is_none();
            self.book.endpoints.push(Endpoint {
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
            let mut reader = Reader::new(rule, self.log);
            let owner = reader.optional_link("owner", &self.owners);
            let weight = reader.optional("weight", &value::WEIGHT);
            self.book.teams.push(Team {
                name,
                owner: owner.map(|owner| key!(OwnerKey, Some(owner))),
                weight: weight.unwrap_or(WEIGHT_DEFAULT),
                endpoint_limit: reader.optional("limit", &value::REQUESTS),
            });
        }
    }

    fn add_pipelines(&mut self) {
        for (name, rule) in Self::rules_of(self.scan, &self.pipelines) {
            let mut reader = Reader::new(rule, self.log);
            let deadline = reader.required("deadline", &value::TIMEOUT);
            let body = reader.required("body", &value::SIZE);
            self.book.pipelines.push(Pipeline {
                name,
                deadline_ms: deadline.unwrap_or_default(),
                body_limit_bytes: body.unwrap_or_default(),
                stages: Vec::new(),
            });
            self.doubt.pipelines.push(false);
        }
    }

    fn add_stages(&mut self) {
        let mut lines: Vec<Vec<usize>> = vec![Vec::new(); self.book.pipelines.len()];
        for rule in self.rules_with(Word::Stage) {
            let [Some(pipeline), name] = rule.names else {
                continue;
            };
            let before = self.log.len();
            let found = self.pipelines.find(pipeline, self.log);
            let stage = self.stage(rule, name.map_or("", |name| name.text));
            let Some(found) = found else { continue };
            let stages = &mut self.book.pipelines[found].stages;
            let double = stages.iter().position(|other| other.name == stage.name);
            if let (Some(name), Some(first)) = (name, double) {
                let what = format!("stage `{}` of pipeline `{}`", name.text, pipeline.text);
                let line = lines[found][first];
                self.log.push(name, Cause::Double { what, line });
                continue;
            }
            stages.push(stage);
            lines[found].push(self.log.line(rule.place.offset));
            self.doubt.pipelines[found] |= rule.faulty || self.log.len() > before;
        }
    }

    fn add_links(&mut self) {
        let mut links = Links::new(self.scan, self.log);
        self.book.grants = links.grants(&self.teams, &self.pools);
        self.book.reservations = links.reservations(&self.pools, &self.owners);
        self.doubt.grants = links.has_faulty_grants();
        for target in links.take_outs(&self.data_centres, &self.endpoints) {
            match target {
                Target::DataCentre(key) => self.book.data_centres[key.index()].taken_out = true,
                Target::Endpoint(key) => self.book.endpoints[key.index()].taken_out = true,
            }
        }
    }

    fn stage(&mut self, rule: &'a Rule<'a>, name: &str) -> Stage {
        let mut reader = Reader::new(rule, self.log);
        let pool = reader.link("pool", &self.pools);
        let path = reader.optional("path", &value::PATH);
        let has_path = reader.pair("path").is_some();
        if let Some(index) = pool
            && !self.doubt.pools[index]
            && (self.book.pools[index].service == Service::Plain) != has_path
        {
            let service = self.book.pools[index].service.as_str();
            reader.refuse("path", Cause::Path { service, has_path });
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
