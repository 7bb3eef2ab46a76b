//! Runs what the command line asks for.

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

use crate::cli::{Log, Next, Side, Signer};
use crate::error::{EXIT_BEHIND, EXIT_DONE, Error};
use crate::fleet::Fleet;
use crate::plan::{self, Signed};
use crate::story::{self, Logs};
use crate::{diff, keyfile, roll, show};

/// A call to the platform or an instance; they are milliseconds away.
const TIMEOUT: Duration = Duration::from_secs(5);

/// What to print, and the exit code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Done {
    /// The text for standard output.
    pub text: String,
    /// The exit code.
    pub code: u8,
}

/// Runs a command.
///
/// # Errors
///
/// Returns why it failed; [`Error::code`] is the exit code.
pub async fn run(next: Next) -> Result<Done, Error> {
    match next {
        Next::Keygen(out) => {
            let key = keyfile::generate(&out)?;
            Ok(Done::new(keyfile::public(key.public()) + "\n"))
        }
        Next::Check(path) => check(&path),
        Next::Sign {
            bundle,
            out,
            log,
            signer,
        } => sign(&bundle, &out, log, signer).await,
        Next::Roll {
            bundle,
            log,
            signer,
        } => {
            let bundle = load(&bundle)?;
            let mut fleet = caught_up(log).await?;
            roll_bundle(&mut fleet, &bundle, signer).await
        }
        Next::Anew {
            bundle,
            log,
            signer,
        } => {
            let bundle = load(&bundle)?;
            anew(log, &bundle, signer).await
        }
        Next::RollSigned { record, log } => roll_signed(&record, log).await,
        Next::Show { log, list, yaml } => show(log, list, yaml).await,
        Next::Diff { old, new, log } => {
            let old = side(old, log.as_ref()).await?;
            let new = side(new, log.as_ref()).await?;
            let mut text = String::new();
            for line in diff::between(&old, &new) {
                writeln!(text, "{line}").expect("a string takes all");
            }
            Ok(Done::new(text))
        }
        Next::Rollback { to, log, signer } => rollback(to, log, signer).await,
        Next::Story { request, files } => told(&request, &files),
        Next::Say(text, code) => Ok(Done { text, code }),
    }
}

fn told(request: &str, files: &[PathBuf]) -> Result<Done, Error> {
    let mut logs = Logs::default();
    for path in files {
        let bytes = fs::read(path).map_err(|error| Error::File(path.clone(), error))?;
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        // A log that was cut in the middle of a character is still a log.
        logs.read(&name, &String::from_utf8_lossy(&bytes));
    }
    logs.story(request)
        .map(|story| Done::new(story.to_string()))
        .ok_or_else(|| Error::NoLine(story::missing(request, &logs)))
}

impl Done {
    fn new(text: String) -> Self {
        let code = EXIT_DONE;
        Self { text, code }
    }
}

/// Reads and checks a bundle's file.
///
/// # Errors
///
/// Returns an error with every mistake.
pub fn load(path: &Path) -> Result<Bundle, Error> {
    let yaml = fs::read_to_string(path).map_err(|error| Error::File(path.to_owned(), error))?;
    source::read(&yaml).map_err(|mistakes| Error::Mistakes(path.to_owned(), mistakes))
}

fn check(path: &Path) -> Result<Done, Error> {
    let bundle = load(path)?;
    let entries = entry::split(&bundle);
    Ok(Done::new(format!(
        "{}: version {} of {} is right: {} entries, root {}\n",
        path.display(),
        bundle.version,
        bundle.fleet.name,
        entries.len(),
        root::of(&entries)
    )))
}

async fn caught_up(log: Log) -> Result<Fleet, Error> {
    let mut fleet = unread(log);
    fleet.catch_up().await?;
    Ok(fleet)
}

fn unread(log: Log) -> Fleet {
    let connector = Connector::new(Settings::default());
    let client = log::Client::new(connector, log.address, TIMEOUT);
    Fleet::new(client, log.settings)
}

fn with_key(signer: Signer) -> Result<plan::Signer, Error> {
    Ok(plan::Signer {
        operator: signer.operator,
        key: keyfile::read(&signer.key)?,
    })
}

async fn sign(bundle: &Path, out: &Path, log: Log, signer: Signer) -> Result<Done, Error> {
    let bundle = load(bundle)?;
    let signer = with_key(signer)?;
    let fleet = caught_up(log).await?;
    let versions = plan::sign(fleet.fold(), &bundle, &signer)?;
    let mut text = String::new();
    for (index, signed) in versions.iter().enumerate() {
        // Nearly always one; a bundle above a record's size has more.
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
    Ok(Done::new(text))
}

async fn roll_bundle(fleet: &mut Fleet, bundle: &Bundle, signer: Signer) -> Result<Done, Error> {
    let versions = plan::sign(fleet.fold(), bundle, &with_key(signer)?)?;
    rolled(fleet, &versions).await
}

async fn anew(log: Log, bundle: &Bundle, signer: Signer) -> Result<Done, Error> {
    let signer = with_key(signer)?;
    let roots = log.settings.roots.clone();
    let mut fleet = unread(log);
    match fleet.catch_up().await {
        Err(Error::Gap) => {}
        Err(error) => return Err(error),
        Ok(()) => return Err(Error::NotLost(fleet.fold().version())),
    }
    let parts = plan::anew(bundle, &signer, roots, fleet.end())?;
    let version = roll::anew(&mut fleet, &parts, bundle.version).await?;
    Ok(Done::new(format!("version {version} is in force\n")))
}

async fn roll_signed(path: &Path, log: Log) -> Result<Done, Error> {
    let bytes = fs::read(path).map_err(|error| Error::File(path.to_owned(), error))?;
    let (version, _) = plan::statement(&bytes).ok_or_else(|| Error::Unsigned(path.to_owned()))?;
    let mut fleet = caught_up(log).await?;
    rolled(&mut fleet, &[Signed { version, bytes }]).await
}

async fn rolled(fleet: &mut Fleet, versions: &[Signed]) -> Result<Done, Error> {
    let version = roll::roll(fleet, versions).await?;
    let root = fleet.fold().tree().map(root::Tree::root);
    let root = root.unwrap_or_default();
    Ok(Done::new(format!(
        "version {version} is in force, root {root}\n"
    )))
}

async fn rollback(to: Version, log: Log, signer: Signer) -> Result<Done, Error> {
    let mut fleet = unread(log);
    let mut bundle = fleet.bundle_at(to).await?;
    fleet.catch_up().await?;
    // A key that was removed since, because it leaked, must not come back.
    bundle.operators = fleet.bundle()?.operators;
    bundle.version = fleet.fold().version() + 1;
    roll_bundle(&mut fleet, &bundle, signer).await
}

async fn side(side: Side, log: Option<&Log>) -> Result<Bundle, Error> {
    match (side, log) {
        (Side::File(path), _) => load(&path),
        (Side::Version(version), Some(log)) => unread(log.clone()).bundle_at(version).await,
        (Side::Version(version), None) => Err(Error::Forgotten(version)),
    }
}

async fn show(log: Log, list: Option<SocketAddr>, yaml: bool) -> Result<Done, Error> {
    let fleet = caught_up(log).await?;
    let bundle = fleet.bundle()?;
    if yaml {
        return Ok(Done::new(source::write(&bundle)));
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
        return Ok(Done::new(text));
    };
    let connector = Connector::new(Settings::default());
    let client = list::Client::new(connector.clone(), address, TIMEOUT);
    let rows = show::instances(&client, &connector, TIMEOUT).await?;
    for row in &rows {
        let mark = if row.holds(bundle.version, &root) {
            "ok"
        } else {
            "BEHIND"
        };
        writeln!(text, "{row} {mark}").expect("a string takes all");
    }
    let all = rows.iter().all(|row| row.holds(bundle.version, &root));
    let code = if all { EXIT_DONE } else { EXIT_BEHIND };
    Ok(Done { text, code })
}
