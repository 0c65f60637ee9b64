//! Arguments that several commands share, and reading of rule files.

use crate::error::Error;
use bpaf::{Parser, long};
use cicadacrank_core::{
    error::Kind,
    rules::{self, Book, TEXT_LIMIT_BYTES},
};
use std::{
    fs::File,
    io::{self, Read},
    path::{Path, PathBuf},
};

/// File name that stands for the standard input.
const STDIN: &str = "-";

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

/// A rule file that is valid.
pub struct RuleFile {
    /// Its text.
    pub text: String,
    /// What it states.
    pub book: Book,
}

impl RuleFile {
    /// Reads and checks a rule file.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let bytes = read(path).map_err(|error| {
            Error::not_run(Kind::Rules, format!("reading {}: {error}", path.display()))
        })?;
        let faulty = |faults: rules::Faults| {
            let name = path.display().to_string();
            Error::Faults(vec![faults.with_name(&name)])
        };
        let book = rules::parse_bytes(&bytes).map_err(faulty)?;
        // What parses is valid UTF-8.
        let text = String::from_utf8_lossy(&bytes).into_owned();
        Ok(Self { text, book })
    }
}

/// Reads one byte more than the limit at most, so that the parser sees that a
/// file is too long.
fn read(path: &Path) -> io::Result<Vec<u8>> {
    let limit = TEXT_LIMIT_BYTES as u64 + 1;
    let mut bytes = Vec::new();
    if path == Path::new(STDIN) {
        io::stdin().lock().take(limit).read_to_end(&mut bytes)?;
    } else {
        File::open(path)?.take(limit).read_to_end(&mut bytes)?;
    }
    Ok(bytes)
}
