//! Appends signed versions and settles what became of them.
//!
//! An append whose answer is lost may have taken effect, or may still. The
//! tool reads the stream back, and appends the very same record again if it
//! is not there: the fold counts a statement once, so the second does no
//! harm, and a record that lands late is the same as one that landed twice.

use std::time::Duration;

use godwitpost_bundle::blob::Digest;
use godwitpost_bundle::fold::{Fold, Next, Refusal};
use godwitpost_bundle::statement::Statement;
use godwitpost_types::id::Version;
use tokio::time::{Instant, sleep};

use crate::error::Error;
use crate::fleet::{Fleet, Read};
use crate::plan::{self, Signed};

/// The first pause after an append that failed; it doubles each time.
const PAUSE: Duration = Duration::from_millis(100);

/// The longest pause: outages are told from slips within a few tries.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Appends each version in its order and returns the last one in force.
///
/// # Errors
///
/// Returns [`Error::Lost`] or [`Error::Refused`] if one is not in force for
/// good, [`Error::Append`] if nothing of it can have been appended, and
/// [`Error::Unknown`] if its fate was not settled in time.
pub async fn roll(fleet: &mut Fleet, versions: &[Signed]) -> Result<Version, Error> {
    let start = fleet.fold().version();
    for version in versions {
        if let Err(error) = one(fleet, version).await {
            return Err(partial(start, fleet.fold().version(), version, error));
        }
    }
    Ok(fleet.fold().version())
}

// A change above a record's size may fail after some of its versions.
fn partial(start: Version, reached: Version, failed: &Signed, error: Error) -> Error {
    let some = failed.version > start + 1;
    if some {
        Error::Partial(reached, Box::new(error), reached + 1)
    } else {
        error
    }
}

async fn one(fleet: &mut Fleet, signed: &Signed) -> Result<(), Error> {
    let (version, digest) = plan::statement(&signed.bytes).ok_or_else(|| {
        Error::Refused(Refusal::Record(godwitpost_bundle::record::Error::IllFormed))
    })?;
    let deadline = Instant::now() + fleet.patience();
    let mut pause = PAUSE;
    let mut sent = Sent::No;
    loop {
        let why = append(fleet, &signed.bytes, &mut sent).await;
        match settled(fleet, version, digest).await {
            Ok(Some(result)) => return result,
            Ok(None) => {}
            Err(error) if Instant::now() >= deadline => {
                return Err(unsettled(sent, version, &error.to_string()));
            }
            Err(_down) => {}
        }
        if Instant::now() >= deadline {
            return Err(unsettled(sent, version, &why));
        }
        sleep(pause).await;
        pause = LONGEST_PAUSE.min(pause * 2);
    }
}

/// Appends a checkpoint until its version is in force.
///
/// A part that stands there twice does no harm, so the parts are appended
/// again from the first after a failure.
///
/// # Errors
///
/// Returns [`Error::Unknown`] if that does not show in time.
pub async fn anew(
    fleet: &mut Fleet,
    parts: &[Vec<u8>],
    version: Version,
) -> Result<Version, Error> {
    let deadline = Instant::now() + fleet.patience();
    let mut pause = PAUSE;
    loop {
        for part in parts {
            if fleet.append(part).await.is_err() {
                break;
            }
        }
        let why = match fleet.read(|_, _| ()).await {
            Ok(()) if fleet.fold().version() == version => return Ok(version),
            Ok(()) => "it does not show on the log yet".to_owned(),
            Err(error) => error.to_string(),
        };
        if Instant::now() >= deadline {
            return Err(Error::Unknown(version, why));
        }
        sleep(pause).await;
        pause = LONGEST_PAUSE.min(pause * 2);
    }
}

// What is known of a record's way to the log.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Sent {
    No,
    Maybe,
    // The log gave it an offset; reads may lag behind that.
    Yes,
}

// Appends unless the log has the record for sure, and returns what to say if
// its fate is not settled.
async fn append(fleet: &Fleet, bytes: &[u8], sent: &mut Sent) -> String {
    let error = match *sent {
        Sent::Yes => None,
        Sent::No | Sent::Maybe => fleet.append(bytes).await.err(),
    };
    match error {
        None => {
            *sent = Sent::Yes;
            "it does not show on the log yet".to_owned()
        }
        Some(error) => {
            if error.may_have_taken_effect() {
                *sent = Sent::Maybe;
            }
            error.to_string()
        }
    }
}

fn unsettled(sent: Sent, version: Version, why: &str) -> Error {
    match sent {
        Sent::No => Error::Append(why.to_owned()),
        Sent::Maybe | Sent::Yes => Error::Unknown(version, why.to_owned()),
    }
}

// Reads on, and returns the fate of a statement if the stream tells it.
async fn settled(
    fleet: &mut Fleet,
    version: Version,
    digest: Digest,
) -> Result<Option<Result<(), Error>>, godwitpost_client::log::read::Error> {
    let mut fate = None;
    let see = |fold: &Fold, read: &Read| {
        if fate.is_none() {
            fate = judge(fold, read, version, digest);
        }
    };
    fleet.read(see).await?;
    Ok(fate)
}

fn judge(fold: &Fold, read: &Read, version: Version, digest: Digest) -> Option<Result<(), Error>> {
    let ours = plan::statement(&read.body) == Some((version, digest));
    match &read.next {
        Next::InForce(_) if ours => Some(Ok(())),
        Next::InForce(found) if *found == version => Some(Err(lost(version, fold.statement()))),
        Next::Refused(refusal) if ours => Some(Err(Error::Refused(refusal.clone()))),
        Next::InForce(_) | Next::Refused(_) | Next::Ignored | Next::Waiting => None,
    }
}

fn lost(version: Version, winner: Option<&Statement>) -> Error {
    Error::Lost {
        version,
        winner: winner.map_or_else(String::new, |statement| statement.operator.clone()),
        next: version + 1,
    }
}
