//! Arguments that several commands share.

use crate::{error::Error, ruleset::Session, time};
use bpaf::{Bpaf, Parser, long};
use cicadacrank_core::{
    error::Kind,
    generation::{Change, ChangeId},
    rules::{
        self, Definitions, TEXT_LIMIT_BYTES,
        edit::{self, Target},
    },
};
use cicadacrank_node::platform::Client;
use std::{
    fs::File,
    io::{self, Read},
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};
use tokio::runtime;

/// File name that stands for the standard input.
const STDIN: &str = "-";

/// Time for one call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for a command's calls to the platform, in seconds, if none is stated.
const TIMEOUT_S: u64 = 15;

/// Reads `--json`.
pub fn json() -> impl Parser<bool> {
    long("json").help("Print JSON for programs").switch()
}

/// Reads the name of a rule file.
pub fn file() -> impl Parser<PathBuf> {
    bpaf::positional("FILE")
        .help("Rule file, or - for the standard input")
        .complete_shell(bpaf::ShellComp::File { mask: None })
}

/// Where the platform is.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct Platform {
    /// Address of the platform's object API
    #[bpaf(env("CICADACRANK_PLATFORM"), argument("IP:PORT"))]
    platform: SocketAddr,
    /// Seconds until the command gives up (15 if not stated)
    #[bpaf(argument("SECONDS"), fallback(TIMEOUT_S))]
    timeout: u64,
}

impl Platform {
    /// Returns a client of the platform.
    pub fn client(&self) -> Client {
        let timeout = CALL_TIMEOUT.min(Duration::from_secs(self.timeout));
        Client::new(self.platform, timeout)
    }

    /// Starts a session with the rule object.
    pub fn session(&self) -> Result<Session, Error> {
        let timeout = Duration::from_secs(self.timeout);
        Ok(Session::new(self.client(), timeout))
    }
}

/// Who changes the rules, and why.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct Author {
    /// Your name, for the trail of changes
    #[bpaf(env("CICADACRANK_WHO"), argument("NAME"))]
    who: String,
    /// Reason, for the trail of changes
    #[bpaf(argument("REASON"))]
    why: String,
    /// Settle an earlier run whose outcome is not known
    #[bpaf(argument::<String>("ID"), parse(parse_change_id), optional)]
    change: Option<ChangeId>,
}

fn parse_change_id(text: String) -> Result<ChangeId, String> {
    ChangeId::from_name(&text).ok_or_else(|| format!("{text:?} is not the id of a change"))
}

impl Author {
    /// Returns the change, with a new id unless an earlier one is to be
    /// settled.
    pub fn change(self) -> Change {
        Change {
            id: self.change.unwrap_or_else(|| ChangeId::new(rand::random())),
            request: edit::Request {
                who: self.who,
                why: self.why,
            },
            at_ms: time::unix_ms(),
        }
    }
}

/// What to take out or bring back.
pub fn target() -> impl Parser<Target> {
    let data_centre = long("data-centre")
        .help("Name of a data centre")
        .argument::<String>("NAME")
        .map(Target::DataCentre);
    let endpoint = long("endpoint")
        .help("Name of an endpoint")
        .argument::<String>("NAME")
        .map(Target::Endpoint);
    bpaf::construct!([data_centre, endpoint])
}

/// Runs a command's calls to their end.
pub fn block_on<T>(future: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Error::not_run(Kind::Internal, error.to_string()))?
        .block_on(future)
}

/// A rule file that is valid.
pub struct RuleFile {
    /// Its text.
    pub text: String,
    /// What it states.
    pub definitions: Definitions,
}

impl RuleFile {
    /// Reads and checks a rule file.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let bytes = read_limited(path).map_err(|error| {
            Error::not_run(Kind::Rules, format!("reading {}: {error}", path.display()))
        })?;
        let with_path = |faults: rules::Faults| {
            let name = path.display().to_string();
            Error::Faults(vec![faults.with_name(&name)])
        };
        let definitions = rules::parse_bytes(&bytes).map_err(with_path)?;
        // What parses is valid UTF-8.
        let text = String::from_utf8_lossy(&bytes).into_owned();
        Ok(Self { text, definitions })
    }
}

/// Reads one byte more than the limit at most, so that the parser sees that a
/// file is too long.
fn read_limited(path: &Path) -> io::Result<Vec<u8>> {
    let limit = TEXT_LIMIT_BYTES as u64 + 1;
    let mut bytes = Vec::new();
    if path == Path::new(STDIN) {
        io::stdin().lock().take(limit).read_to_end(&mut bytes)?;
    } else {
        File::open(path)?.take(limit).read_to_end(&mut bytes)?;
    }
    Ok(bytes)
}
