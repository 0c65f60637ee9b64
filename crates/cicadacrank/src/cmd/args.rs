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

/// File name that denotes the standard input.
const STDIN: &str = "-";

/// Longest time for one call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Default of `--timeout`: seconds for all calls of a command to the platform.
const TIMEOUT_S: u64 = 15;

/// Returns the parser of `--json`.
pub fn json() -> impl Parser<bool> {
    long("json").help("Print the result as JSON").switch()
}

/// Returns the parser of the path of a rule file.
pub fn file() -> impl Parser<PathBuf> {
    bpaf::positional("FILE")
        .help("Rule file, or - for standard input")
        .complete_shell(bpaf::ShellComp::File { mask: None })
}

/// Arguments that locate the platform and limit the time of calls to it.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct Platform {
    /// Address of the platform's object API
    #[bpaf(env("CICADACRANK_PLATFORM"), argument("IP:PORT"))]
    platform: SocketAddr,
    /// Seconds until the command gives up (default: 15)
    #[bpaf(argument("SECONDS"), fallback(TIMEOUT_S))]
    timeout: u64,
}

impl Platform {
    /// Returns a client for the platform.
    ///
    /// A call takes no longer than the timeout of the command.
    pub fn client(&self) -> Client {
        let timeout = CALL_TIMEOUT.min(Duration::from_secs(self.timeout));
        Client::new(self.platform, timeout)
    }

    /// Starts a session that accesses the rule object.
    pub fn session(&self) -> Result<Session, Error> {
        let timeout = Duration::from_secs(self.timeout);
        Ok(Session::new(self.client(), timeout))
    }
}

/// Arguments that identify a change to the rules: its author, reason and id.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct Author {
    /// Your name, recorded in the audit trail
    #[bpaf(env("CICADACRANK_WHO"), argument("NAME"))]
    who: String,
    /// Reason for the change, recorded in the audit trail
    #[bpaf(argument("REASON"))]
    why: String,
    /// Id of an earlier change whose outcome is unknown, to resolve it
    #[bpaf(argument::<String>("ID"), parse(parse_change_id), optional)]
    change: Option<ChangeId>,
}

fn parse_change_id(text: String) -> Result<ChangeId, String> {
    ChangeId::from_name(&text).ok_or_else(|| format!("{text:?} is not a valid change id"))
}

impl Author {
    /// Returns the change, with the id given or else a new random one.
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

/// Returns the parser of the data centre or endpoint to take out or bring back.
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

/// Runs a future to completion on a new single-threaded runtime.
pub fn block_on<T>(future: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Error::not_run(Kind::Internal, error.to_string()))?
        .block_on(future)
}

/// A valid rule file.
pub struct RuleFile {
    /// Text of the file.
    pub text: String,
    /// Definitions parsed from the text.
    pub definitions: Definitions,
}

impl RuleFile {
    /// Reads and parses a rule file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or has faults.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let bytes = read_limited(path).map_err(|error| {
            Error::not_run(Kind::Rules, format!("reading {}: {error}", path.display()))
        })?;
        let with_path = |faults: rules::Faults| {
            let name = path.display().to_string();
            Error::Faults(vec![faults.with_name(&name)])
        };
        let definitions = rules::parse_bytes(&bytes).map_err(with_path)?;
        // The parser accepts only valid UTF-8, so no character is replaced.
        let text = String::from_utf8_lossy(&bytes).into_owned();
        Ok(Self { text, definitions })
    }
}

/// Reads at most one byte more than the size limit, which is enough for the parser
/// to detect a file that is too large.
pub fn read_limited(path: &Path) -> io::Result<Vec<u8>> {
    let limit = TEXT_LIMIT_BYTES as u64 + 1;
    let mut bytes = Vec::new();
    if path == Path::new(STDIN) {
        io::stdin().lock().take(limit).read_to_end(&mut bytes)?;
    } else {
        File::open(path)?.take(limit).read_to_end(&mut bytes)?;
    }
    Ok(bytes)
}
