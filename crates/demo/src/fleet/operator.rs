//! The operator of a fleet: signs versions and appends them to the log.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use godwitpost_bundle::key::PrivateKey;
use godwitpost_bundle::record::{Change, Record, STREAM};
use godwitpost_bundle::root::Tree;
use godwitpost_bundle::{entry, source};
use godwitpost_client::connect::{self, Connector};
use godwitpost_client::log::Client;
use godwitpost_history::event::Accepted;
use tokio::time::sleep;

use crate::deployment::Deployment;
use crate::error::Error;

/// Appends of one record at most, with the pause between: longer than the
/// demo's log is ever down.
const TRIES: u32 = 100;
const PAUSE: Duration = Duration::from_millis(100);

/// How long the log may take for one append.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Signs and rolls versions.
#[derive(Debug)]
pub(super) struct Operator {
    key: PrivateKey,
    fleet: &'static str,
    log: Client,
    tree: Option<Tree>,
    version: u64,
    load_bound: f64,
}

impl Operator {
    pub(super) fn new(deployment: &Deployment, log: SocketAddr) -> Self {
        let connector = Connector::new(connect::Settings::default());
        Self {
            key: PrivateKey::from_seed(&seed(deployment.operator)),
            fleet: deployment.fleet,
            log: Client::new(connector, log, TIMEOUT),
            tree: None,
            version: 0,
            load_bound: 0.0,
        }
    }

    pub(super) fn public(&self) -> String {
        STANDARD.encode(self.key.public().0)
    }

    pub(super) const fn load_bound(&self) -> f64 {
        self.load_bound
    }

    pub(super) fn fleet_key(&self) -> String {
        STANDARD.encode(seed(self.fleet))
    }

    /// Signs the next version and appends it.
    pub(super) async fn roll(&mut self, deployment: &Deployment) -> Result<Accepted, Error> {
        let version = self.version + 1;
        let text = deployment.bundle(version, &self.public());
        let bundle = source::read(&text).map_err(Error::Bundle)?;
        let change = Change::sign(self.tree.as_ref(), &bundle, deployment.operator, &self.key);
        let tree = Tree::new(entry::split(&bundle));
        let record = Record::Change(change).encode().map_err(Error::Record)?;
        let offset = self.append(Bytes::from(record)).await?;
        let root = tree.root().to_string();
        self.version = version;
        self.tree = Some(tree);
        let drafting = bundle.services.get("drafting");
        self.load_bound = drafting.map_or(0.0, |service| service.load_bound);
        Ok(Accepted {
            version,
            root,
            offset,
        })
    }

    // A record that is appended twice counts once: the second no longer names
    // the version in force as its parent.
    async fn append(&self, record: Bytes) -> Result<u64, Error> {
        let mut tries = 1;
        loop {
            match self.log.append(STREAM, record.clone()).await {
                Ok(appended) => return Ok(appended.offset),
                Err(error) if tries == TRIES => return Err(Error::Append(error)),
                Err(_) => sleep(PAUSE).await,
            }
            tries += 1;
        }
    }
}

// Keys of a demo on loopback guard nothing, so they may come from names.
fn seed(name: &str) -> [u8; 32] {
    let mut seed = [0; 32];
    for (byte, letter) in seed.iter_mut().zip(name.bytes().cycle()) {
        *byte = letter;
    }
    seed
}
