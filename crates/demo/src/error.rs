//! Why a fleet did not come up.

use std::io;

use displaydoc::Display;
use godwitpost_bundle::mistake::Mistakes;
use godwitpost_bundle::record;
use godwitpost_client::log::append;

/// Why a fleet did not come up, or a run could not be finished.
#[derive(Debug, Display)]
pub enum Error {
    /// a stand-in can't start: {0}
    Standin(godwitpost_standin::Error),
    /// a router's settings are wrong: {0}
    Settings(godwitpost_router::settings::Error),
    /// a router can't start: {0}
    Router(godwitpost_router::Error),
    /// the bundle is wrong: {0}
    Bundle(Mistakes),
    /// the bundle can't be recorded: {0}
    Record(record::Error),
    /// the log didn't take the bundle: {0}
    Append(append::Error),
    /// the fleet has no instance {0}; name one that runs
    Unknown(String),
    /// instance {0} did not learn of all endpoints in time; look at its log
    NoEndpoints(String),
    /// not every instance learned in time that endpoint {0} leaves; look at their logs
    NotLeft(String),
    /// version {0} was not in force everywhere in time; look at the routers' logs
    NotInForce(u64),
    /// the history can't be written ({0}); name a file that can be
    History(io::Error),
    /// the runtime can't start ({0}); allow this process more threads
    Threads(io::Error),
}

impl std::error::Error for Error {}
