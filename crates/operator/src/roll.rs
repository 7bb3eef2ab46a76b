//! Appends signed versions and determines their outcome.
//!
//! An append whose response is lost may have taken effect, or may do so later.
//! The tool reads the stream back, and appends the same record again if it is
//! not there. This is safe: the fold counts a statement once, so a duplicate
//! has no effect, whether it was appended twice or took effect late.

use std::time::Duration;

use godwitpost_bundle::blob::Digest;
use godwitpost_bundle::fold::{Fold, Next, Refusal};
use godwitpost_bundle::statement::Statement;
use godwitpost_types::id::Version;
use tokio::time::{Instant, sleep};

use crate::error::Error;
use crate::fleet::{Fleet, Read};
use crate::plan::{self, Signed};

/// The delay after the first failed append; it doubles each time.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The delay reaches this limit after a few retries, which suffices to tell an
/// outage from a short failure.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Appends the versions in order and returns the last one in force.
///
/// # Errors
///
/// Returns [`Error::Lost`] or [`Error::Refused`] if a version
/// will never be in force, [`Error::Append`] if it was certainly not appended, and
/// [`Error::Unknown`] if its outcome was not known in time.
pub async fn roll(fleet: &mut Fleet, versions: &[Signed]) -> Result<Version, Error> {
    let start = fleet.fold().version();
    for version in versions {
        if let Err(error) = roll_version(fleet, version).await {
            return Err(partial(start, fleet.fold().version(), version, error));
        }
    }
    Ok(fleet.fold().version())
}

// A change larger than a record may fail after some of its versions are in
// force.
fn partial(start: Version, reached: Version, failed: &Signed, error: Error) -> Error {
    let some = failed.version > start + 1;
    if some {
        Error::Partial(reached, Box::new(error), reached + 1)
    } else {
        error
    }
}

async fn roll_version(fleet: &mut Fleet, signed: &Signed) -> Result<(), Error> {
    let (version, digest) = plan::statement(&signed.bytes).ok_or_else(|| {
        Error::Refused(Refusal::Record(godwitpost_bundle::record::Error::IllFormed))
    })?;
    let deadline = Instant::now() + fleet.roll_timeout();
    let mut delay = INITIAL_RETRY_DELAY;
    let mut state = AppendState::NotAppended;
    loop {
        let reason = append(fleet, &signed.bytes, &mut state).await;
        match read_outcome(fleet, version, digest).await {
            Ok(Some(result)) => return result,
            Ok(None) => {}
            Err(error) if Instant::now() >= deadline => {
                return Err(unsettled_error(state, version, &error.to_string()));
            }
            Err(_down) => {}
        }
        if Instant::now() >= deadline {
            return Err(unsettled_error(state, version, &reason));
        }
        sleep(delay).await;
        delay = MAX_RETRY_DELAY.min(delay * 2);
    }
}

/// Appends a checkpoint until its version is in force.
///
/// A duplicate part has no effect, so after a failure all parts are appended
/// again from the first one.
///
/// # Errors
///
/// Returns [`Error::Unknown`] if it does not appear in time.
pub async fn anew(
    fleet: &mut Fleet,
    parts: &[Vec<u8>],
    version: Version,
) -> Result<Version, Error> {
    let deadline = Instant::now() + fleet.roll_timeout();
    let mut delay = INITIAL_RETRY_DELAY;
    loop {
        for part in parts {
            if fleet.append(part).await.is_err() {
                break;
            }
        }
        let reason = match fleet.read(|_, _| ()).await {
            Ok(()) if fleet.fold().version() == version => return Ok(version),
            Ok(()) => "it does not show on the log yet".to_owned(),
            Err(error) => error.to_string(),
        };
        if Instant::now() >= deadline {
            return Err(Error::Unknown(version, reason));
        }
        sleep(delay).await;
        delay = MAX_RETRY_DELAY.min(delay * 2);
    }
}

// Whether the log has a record.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AppendState {
    NotAppended,
    Unknown,
    // The log returned an offset; reads may lag behind it.
    Appended,
}

// Appends unless the log certainly has the record. Returns the reason to
// report if the outcome stays unknown.
async fn append(fleet: &Fleet, bytes: &[u8], state: &mut AppendState) -> String {
    let error = match *state {
        AppendState::Appended => None,
        AppendState::NotAppended | AppendState::Unknown => fleet.append(bytes).await.err(),
    };
    match error {
        None => {
            *state = AppendState::Appended;
            "it does not show on the log yet".to_owned()
        }
        Some(error) => {
            if error.may_have_taken_effect() {
                *state = AppendState::Unknown;
            }
            error.to_string()
        }
    }
}

fn unsettled_error(state: AppendState, version: Version, reason: &str) -> Error {
    match state {
        AppendState::NotAppended => Error::Append(reason.to_owned()),
        AppendState::Unknown | AppendState::Appended => Error::Unknown(version, reason.to_owned()),
    }
}

// Reads new records and returns the outcome of a statement if they show it.
async fn read_outcome(
    fleet: &mut Fleet,
    version: Version,
    digest: Digest,
) -> Result<Option<Result<(), Error>>, godwitpost_client::log::read::Error> {
    let mut outcome = None;
    let on_record = |fold: &Fold, read: &Read| {
        if outcome.is_none() {
            outcome = outcome_of(fold, read, version, digest);
        }
    };
    fleet.read(on_record).await?;
    Ok(outcome)
}

fn outcome_of(
    fold: &Fold,
    read: &Read,
    version: Version,
    digest: Digest,
) -> Option<Result<(), Error>> {
    let ours = plan::statement(&read.body) == Some((version, digest));
    match &read.next {
        Next::InForce(_) if ours => Some(Ok(())),
        Next::InForce(found) if *found == version => {
            Some(Err(lost_error(version, fold.statement())))
        }
        Next::Refused(refusal) if ours => Some(Err(Error::Refused(refusal.clone()))),
        Next::InForce(_) | Next::Refused(_) | Next::Ignored | Next::Waiting => None,
    }
}

fn lost_error(version: Version, winner: Option<&Statement>) -> Error {
    Error::Lost {
        version,
        winner: winner.map_or_else(String::new, |statement| statement.operator.clone()),
        next: version + 1,
    }
}
