//! Runs trials on a fleet of daemons and mock engines.

use super::{
    Policy, arrivals,
    caller::{self, Record},
    direct::{self, Direct},
    overhead::{self, Overhead},
    processor,
    scenario::Scenario,
    script::{self, Times},
};
use crate::{
    checker,
    engine::{self, mark_of},
    fleet::{self, Fleet, Plan},
    load::Request,
    process::Daemon,
};
use cicadacrank_core::rules::{Pipeline, Service};
use cicadacrank_node::configuration::Ruleset;
use reqwest::Client;
use serde_json::json;
use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

/// Number of entries in a fleet.
const ENTRIES: usize = 3;

/// Warm-up time of endpoints in trials, in milliseconds.
const WARMUP_MS: u64 = 3_000;

/// Delay before a request is sent a second time.
const RESEND_DELAY: Duration = Duration::from_millis(150);

/// Time after a trial in which work whose connection was cut may still end.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time between two progress messages.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// A fleet and the scenario that it serves.
#[derive(Debug)]
pub struct Bench {
    /// Daemons, mock engines and mock platform.
    pub fleet: Arc<Fleet>,
    /// Load that trials generate.
    pub scenario: Scenario,
    ruleset: Mutex<Ruleset>,
    http: Client,
}

/// Records of one trial.
#[derive(Debug)]
pub struct Trial {
    /// Policy that routed the requests.
    pub policy: Policy,
    /// Every call, including those sent for the second time.
    pub records: Vec<Record>,
    /// Every run at a mock engine, with the index of its endpoint.
    pub runs: Vec<(usize, engine::Run)>,
    /// Number of restarts of mock engines during the trial.
    pub restarts: u64,
    /// Processor time that the daemons used.
    pub processor: Duration,
    /// Duration of the trial, including the warm-up phase.
    pub wall: Duration,
    /// Time from the take-out of a data centre to the last new work that
    /// started there, in milliseconds; zero if none started after it.
    pub last_new_work_ms: u64,
    /// Number of runs that started there after the take-out.
    pub late_runs: usize,
    /// Broken promises that the checker found.
    pub breaches: Vec<checker::Violation>,
}

impl Bench {
    /// Starts a fleet for a scenario from the daemon binary `program` and the
    /// rule text.
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet does not start.
    pub async fn start(scenario: Scenario, program: &Path, rules: &str) -> io::Result<Self> {
        let rules = super::adapt_rules(rules, WARMUP_MS);
        let plan = Plan {
            program: program.to_owned(),
            rules: rules.clone(),
            entries: ENTRIES,
            timeouts: json!({}),
            profile: engine::Profile {
                first_us: 0,
                token_us: 0,
                tokens: Scenario::profile().tokens,
            },
        };
        Ok(Self {
            fleet: Arc::new(Fleet::start(plan).await?),
            scenario,
            ruleset: Mutex::new(Ruleset {
                generation: 1,
                rules,
            }),
            http: fleet::client()?,
        })
    }

    /// Measures the latency overhead of the system.
    ///
    /// Must run before the first trial, which gives the mock engines a response
    /// time.
    ///
    /// # Errors
    ///
    /// Returns an error if a call fails.
    pub async fn overhead(&self) -> io::Result<Overhead> {
        let direct = Direct::new(Policy::RoundRobin, &self.fleet, self.http.clone());
        let entry = self.entries()?[0];
        let mix = self.scenario.probe;
        overhead::measure(&self.fleet, &direct, &self.http, entry, mix).await
    }

    /// Runs one trial and checks its records.
    ///
    /// # Errors
    ///
    /// Returns an error if a scripted event fails or an entry has no caller
    /// address.
    pub async fn trial(&self, policy: Policy, seed: u64) -> io::Result<Trial> {
        self.prepare();
        let restarts = self.restart_count();
        let processor = processor::time(self.daemons());
        let origin = Instant::now();
        let direct = (policy != Policy::System)
            .then(|| Arc::new(Direct::new(policy, &self.fleet, self.http.clone())));
        let requests = arrivals::draw(&self.scenario, policy.as_str(), seed);
        let script = script::run(
            &self.fleet,
            &self.scenario,
            direct.as_deref(),
            &self.ruleset,
            origin,
        );
        let (times, records) = tokio::join!(script, self.send(requests, direct.clone(), origin));
        let (times, records) = (times?, records?);
        time::sleep(SETTLE_TIME).await;
        let runs = self.runs_of(policy);
        let breaches = self.check(&records, &runs);
        let delays = self.delays_after_take_out(&runs, times);
        Ok(Trial {
            policy,
            runs,
            records,
            restarts: self.restart_count() - restarts,
            processor: processor::time(self.daemons()) - processor,
            wall: origin.elapsed(),
            last_new_work_ms: delays.iter().max().copied().unwrap_or(0),
            late_runs: delays.len(),
            breaches,
        })
    }

    /// Resets every mock engine: cold, as after a restart, and without faults.
    fn prepare(&self) {
        for (endpoint, backend) in self
            .fleet
            .definitions
            .endpoints
            .iter()
            .zip(&self.fleet.backends)
        {
            backend.engine.set_profile(Scenario::profile());
            backend.engine.set_capacity(Scenario::capacity(
                endpoint.cold_slots,
                endpoint.warm_slots,
                endpoint.warmup_ms,
            ));
            backend.engine.set_faults(Vec::new());
            backend.engine.mark_cold();
        }
    }

    async fn send(
        &self,
        requests: Vec<Request>,
        direct: Option<Arc<Direct>>,
        origin: Instant,
    ) -> io::Result<Vec<Record>> {
        let entries = self.entries()?;
        let total = requests.len();
        let mut tasks = JoinSet::new();
        let mut last_progress = origin;
        for (number, request) in requests.into_iter().enumerate() {
            time::sleep_until(origin + request.at).await;
            if last_progress.elapsed() >= PROGRESS_INTERVAL {
                last_progress = Instant::now();
                log::info!("{number} of {total} sent, {} in flight", tasks.len());
                eprintln!("  {number} of {total} sent");
            }
            for is_resend in [false, true]
                .into_iter()
                .take(1 + usize::from(request.resent))
            {
                let entry_index = (number + usize::from(is_resend)) % entries.len();
                let sender = Sender {
                    http: self.http.clone(),
                    direct: direct.clone(),
                    entry: entries[entry_index],
                    entry_index,
                    deadline: self.deadline(&request),
                };
                tasks.spawn(sender.send(request.clone(), is_resend));
            }
        }
        Ok(tasks.join_all().await)
    }

    fn deadline(&self, request: &Request) -> Duration {
        let pipeline = self.pipeline(request.mix.pipeline);
        Duration::from_millis(pipeline.map_or(0, |pipeline| pipeline.deadline_ms))
    }

    fn pipeline(&self, name: &str) -> Option<&Pipeline> {
        let definitions = &self.fleet.definitions;
        definitions.pipeline(name).map(|key| &definitions[key])
    }

    fn entries(&self) -> io::Result<Vec<SocketAddr>> {
        let entries = self.fleet.entries.iter();
        entries
            .map(|entry| entry.addresses.caller_listen)
            .collect::<Option<_>>()
            .ok_or_else(|| io::Error::other("an entry has no caller address"))
    }

    fn daemons(&self) -> impl Iterator<Item = &Daemon> {
        let backends = self.fleet.backends.iter().map(|backend| &backend.sidecar);
        backends.chain(&self.fleet.entries)
    }

    fn restart_count(&self) -> u64 {
        let backends = self.fleet.backends.iter();
        backends
            .map(|backend| backend.engine.incarnation() - 1)
            .sum()
    }

    fn runs_of(&self, policy: Policy) -> Vec<(usize, engine::Run)> {
        let backends = self.fleet.backends.iter().enumerate();
        let runs = backends.flat_map(|(index, backend)| {
            let runs = backend.engine.runs().into_iter();
            runs.map(move |run| (index, run))
        });
        runs.filter(|(_, run)| mark_of(&run.body).starts_with(policy.as_str()))
            .collect()
    }

    /// Returns, for each run that started in the data centre while it was taken
    /// out, the time since the take-out in milliseconds.
    fn delays_after_take_out(&self, runs: &[(usize, engine::Run)], times: Times) -> Vec<u64> {
        let taken_out = script::data_centre(&self.fleet, &self.scenario);
        let is_taken_out =
            |index: usize| Some(self.fleet.definitions.endpoints[index].data_centre) == taken_out;
        runs.iter()
            .filter(|(index, _)| is_taken_out(*index))
            .filter(|(_, run)| times.taken_out_ms <= run.at_ms && run.at_ms < times.brought_back_ms)
            .map(|(_, run)| run.at_ms - times.taken_out_ms)
            .collect()
    }

    fn check(&self, records: &[Record], runs: &[(usize, engine::Run)]) -> Vec<checker::Violation> {
        let calls: Vec<checker::Call> = records
            .iter()
            .map(|record| self.checker_call(record))
            .collect();
        let runs: Vec<checker::Run> = runs
            .iter()
            .map(|(index, run)| checker::Run {
                endpoint: self.fleet.definitions.endpoints[*index].name.clone(),
                path: run.path.clone(),
                mark: mark_of(&run.body).to_owned(),
                finished: run.finished,
            })
            .collect();
        checker::check(&calls, &runs)
    }

    fn checker_call(&self, record: &Record) -> checker::Call {
        let definitions = &self.fleet.definitions;
        let pipeline = self.pipeline(record.request.mix.pipeline);
        let stages = pipeline.map_or(&[][..], |pipeline| &pipeline.stages);
        let stages = stages.iter().map(|stage| checker::Stage {
            path: direct::path(&definitions[stage.pool], stage).to_owned(),
            idempotent: stage.repeatable,
            generates: definitions[stage.pool].service == Service::Generate,
        });
        checker::Call {
            mark: record.request.mark.clone(),
            stages: stages.collect(),
            tokens: Scenario::profile().tokens,
            reply: record.outcome.told.clone(),
        }
    }
}

/// Sends one request through the system or directly.
struct Sender {
    http: Client,
    direct: Option<Arc<Direct>>,
    entry: SocketAddr,
    entry_index: usize,
    deadline: Duration,
}

impl Sender {
    async fn send(self, request: Request, is_resend: bool) -> Record {
        if is_resend {
            time::sleep(RESEND_DELAY).await;
        }
        let outcome = match &self.direct {
            Some(direct) => direct.call(self.entry_index, &request, self.deadline).await,
            None => caller::call(&self.http, self.entry, &request, self.deadline).await,
        };
        Record {
            request,
            deadline: self.deadline,
            is_resend,
            outcome,
        }
    }
}
