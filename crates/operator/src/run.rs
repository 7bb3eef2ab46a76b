//! Runs commands.

use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use godwitpost_bundle::entry;
use godwitpost_bundle::root;
use godwitpost_bundle::schema::Bundle;
use godwitpost_bundle::source;
use godwitpost_client::connect::{Connector, Settings};
use godwitpost_client::{list, log};
use godwitpost_types::id::Version;

use crate::cli::{Command, Log, Side, Signer};
use crate::error::{EXIT_BEHIND, EXIT_DONE, Error};
use crate::fleet::Fleet;
use crate::plan::{self, Signed};
use crate::story::{self, Logs};
use crate::{diff, keyfile, roll, show};

/// The timeout of a call to the platform or an instance, which normally take
/// milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The output of a command and its exit code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// The text for standard output.
    pub text: String,
    /// The exit code.
    pub code: u8,
}

/// Runs a command.
///
/// # Errors
///
/// Returns an error whose exit code is [`Error::code`].
pub async fn run(command: Command) -> Result<Output, Error> {
    match command {
        Command::Keygen(out) => {
            let key = keyfile::generate(&out)?;
            Ok(Output::new(keyfile::public(key.public()) + "\n"))
        }
        Command::Check(path) => check(&path),
        Command::Sign {
            bundle,
            out,
            log,
            signer,
        } => sign(&bundle, &out, log, signer).await,
        Command::Roll {
            bundle,
            log,
            signer,
        } => {
            let bundle = load(&bundle)?;
            let mut fleet = connect_and_catch_up(log).await?;
            roll_bundle(&mut fleet, &bundle, signer).await
        }
        Command::Anew {
            bundle,
            log,
            signer,
        } => {
            let bundle = load(&bundle)?;
            anew(log, &bundle, signer).await
        }
        Command::RollSigned { record, log } => roll_signed(&record, log).await,
        Command::Show { log, list, yaml } => show(log, list, yaml).await,
        Command::Diff { old, new, log } => {
            let old = load_side(old, log.as_ref()).await?;
            let new = load_side(new, log.as_ref()).await?;
            let mut text = String::new();
            for line in diff::between(&old, &new) {
                writeln!(text, "{line}").expect("a string takes all");
            }
            Ok(Output::new(text))
        }
        Command::Rollback { to, log, signer } => rollback(to, log, signer).await,
        Command::Story { request, files } => request_story(&request, &files),
        Command::Print(text, code) => Ok(Output { text, code }),
    }
}

fn request_story(request: &str, files: &[PathBuf]) -> Result<Output, Error> {
    let mut logs = Logs::default();
    for path in files {
        let bytes = fs::read(path).map_err(|error| Error::File(path.clone(), error))?;
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        // A log may be truncated in the middle of a character.
        logs.read(&name, &String::from_utf8_lossy(&bytes));
    }
    logs.story(request)
        .map(|story| Output::new(story.to_string()))
        .ok_or_else(|| Error::NoLogLine(story::missing(request, &logs)))
}

impl Output {
    fn new(text: String) -> Self {
        let code = EXIT_DONE;
        Self { text, code }
    }
}

/// Reads and checks a bundle file.
///
/// # Errors
///
/// Returns an error with all mistakes.
pub fn load(path: &Path) -> Result<Bundle, Error> {
    let yaml = fs::read_to_string(path).map_err(|error| Error::File(path.to_owned(), error))?;
    source::read(&yaml).map_err(|mistakes| Error::Mistakes(path.to_owned(), mistakes))
}

fn check(path: &Path) -> Result<Output, Error> {
    let bundle = load(path)?;
    let entries = entry::split(&bundle);
    Ok(Output::new(format!(
        "{}: version {} of {} is right: {} entries, root {}\n",
        path.display(),
        bundle.version,
        bundle.fleet.name,
        entries.len(),
        root::of(&entries)
    )))
}

async fn connect_and_catch_up(log: Log) -> Result<Fleet, Error> {
    let mut fleet = connect(log);
    fleet.catch_up().await?;
    Ok(fleet)
}

fn connect(log: Log) -> Fleet {
    let connector = Connector::new(Settings::default());
    let client = log::Client::new(connector, log.address, CALL_TIMEOUT);
    Fleet::new(client, log.settings)
}

fn load_signer(signer: Signer) -> Result<plan::Signer, Error> {
    Ok(plan::Signer {
        operator: signer.operator,
        key: keyfile::read(&signer.key)?,
    })
}

async fn sign(bundle: &Path, out: &Path, log: Log, signer: Signer) -> Result<Output, Error> {
    let bundle = load(bundle)?;
    let signer = load_signer(signer)?;
    let fleet = connect_and_catch_up(log).await?;
    let versions = plan::sign(fleet.fold(), &bundle, &signer)?;
    let mut text = String::new();
    for (index, signed) in versions.iter().enumerate() {
        // Usually there is one; a bundle larger than a record has more.
        let path = match index {
            0 => out.to_owned(),
            _ => out.with_extension(signed.version.to_string()),
        };
        fs::write(&path, &signed.bytes).map_err(|error| Error::File(path.clone(), error))?;
        let bytes = signed.bytes.len();
        let version = signed.version;
        let path = path.display();
        writeln!(text, "{path}: version {version}, {bytes} bytes").expect("a string takes all");
    }
    Ok(Output::new(text))
}

async fn roll_bundle(fleet: &mut Fleet, bundle: &Bundle, signer: Signer) -> Result<Output, Error> {
    let versions = plan::sign(fleet.fold(), bundle, &load_signer(signer)?)?;
    append_versions(fleet, &versions).await
}

async fn anew(log: Log, bundle: &Bundle, signer: Signer) -> Result<Output, Error> {
    let signer = load_signer(signer)?;
    let roots = log.settings.roots.clone();
    let mut fleet = connect(log);
    match fleet.catch_up().await {
        Err(Error::Gap) => {}
        Err(error) => return Err(error),
        Ok(()) => return Err(Error::NotLost(fleet.fold().version())),
    }
    let parts = plan::anew(bundle, &signer, roots, fleet.end())?;
    let version = roll::anew(&mut fleet, &parts, bundle.version).await?;
    Ok(Output::new(format!("version {version} is in force\n")))
}

async fn roll_signed(path: &Path, log: Log) -> Result<Output, Error> {
    let bytes = fs::read(path).map_err(|error| Error::File(path.to_owned(), error))?;
    let (version, _) = plan::statement(&bytes).ok_or_else(|| Error::NotARecord(path.to_owned()))?;
    let mut fleet = connect_and_catch_up(log).await?;
    append_versions(&mut fleet, &[Signed { version, bytes }]).await
}

async fn append_versions(fleet: &mut Fleet, versions: &[Signed]) -> Result<Output, Error> {
    let version = roll::roll(fleet, versions).await?;
    let root = fleet.fold().tree().map(root::Tree::root);
    let root = root.unwrap_or_default();
    Ok(Output::new(format!(
        "version {version} is in force, root {root}\n"
    )))
}

async fn rollback(to: Version, log: Log, signer: Signer) -> Result<Output, Error> {
    let mut fleet = connect(log);
    let mut bundle = fleet.bundle_at(to).await?;
    fleet.catch_up().await?;
    // The operators are not rolled back: a key that was removed since may have
    // leaked and must not be restored.
    bundle.operators = fleet.bundle()?.operators;
    bundle.version = fleet.fold().version() + 1;
    roll_bundle(&mut fleet, &bundle, signer).await
}

async fn load_side(side: Side, log: Option<&Log>) -> Result<Bundle, Error> {
    match (side, log) {
        (Side::File(path), _) => load(&path),
        (Side::Version(version), Some(log)) => connect(log.clone()).bundle_at(version).await,
        (Side::Version(version), None) => Err(Error::VersionNotOnLog(version)),
    }
}

async fn show(log: Log, list: Option<SocketAddr>, yaml: bool) -> Result<Output, Error> {
    let fleet = connect_and_catch_up(log).await?;
    let bundle = fleet.bundle()?;
    if yaml {
        return Ok(Output::new(source::write(&bundle)));
    }
    let fold = fleet.fold();
    let root = fold.tree().map(root::Tree::root).unwrap_or_default();
    let root = root.to_string();
    let operator = fold.statement().map(|statement| statement.operator.clone());
    let mut text = format!(
        "version {} of {} by {}, root {root}\n",
        bundle.version,
        bundle.fleet.name,
        operator.unwrap_or_default()
    );
    let Some(address) = list else {
        return Ok(Output::new(text));
    };
    let connector = Connector::new(Settings::default());
    let client = list::Client::new(connector.clone(), address, CALL_TIMEOUT);
    let rows = show::instances(&client, &connector, CALL_TIMEOUT).await?;
    for row in &rows {
        let mark = if row.is_up_to_date(bundle.version, &root) {
            "ok"
        } else {
            "BEHIND"
        };
        writeln!(text, "{row} {mark}").expect("a string takes all");
    }
    let all = rows
        .iter()
        .all(|row| row.is_up_to_date(bundle.version, &root));
    let code = if all { EXIT_DONE } else { EXIT_BEHIND };
    Ok(Output { text, code })
}
