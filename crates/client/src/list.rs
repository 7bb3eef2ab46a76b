//! A client of the platform's list of live and leaving instances.
//!
//! The list lags behind the actual state, so its entries may be out of date. An
//! invalid entry is skipped and reported by name, so it never hides the others.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_types::endpoint::{Endpoint, Standing};
use godwitpost_types::id::{self, Incarnation};
use godwitpost_types::instance::Instance;
use http::{Request, StatusCode};
use serde::{Deserialize, Serialize};

use crate::connect::{self, Connector};
use crate::text;

mod watch;

pub use watch::Watch;

/// Maximum size of a list. 4,000 entries of 300 bytes take 1.2 MB.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// A client of the instance list.
#[derive(Clone, Debug)]
pub struct Client {
    connector: Connector,
    address: SocketAddr,
    timeout: Duration,
}

/// The instance list as of one response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The routers of the fleet.
    pub instances: Vec<Instance>,
    /// The back ends.
    pub endpoints: Vec<Endpoint>,
    /// Invalid entries that were skipped, each as its name and the error.
    pub refused: Vec<String>,
}

/// One entry as serialized by the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Its incarnation under that name; greater after each restart.
    pub incarnation: Incarnation,
    /// Its role.
    pub role: Role,
    /// Whether it may receive new requests.
    pub standing: Standing,
    /// Its availability zone.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The address on which a router listens for operators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operators_address: Option<SocketAddr>,
    /// The service of an endpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// The models that an endpoint has loaded.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub models: BTreeSet<String>,
}

/// The role of a list entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A router of the fleet.
    Router,
    /// A back end.
    Endpoint,
}

/// The reason for which the list can't be fetched.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// cannot reach the instance list: {0}
    Connect(connect::Error),
    /// the instance list answered {0}; try again after a pause
    Status(StatusCode),
    /// invalid instance list ({0}); try again after a pause
    InvalidResponse(connect::BoxError),
}

impl std::error::Error for Error {}

/// A response of the list: all entries, or the changes after a revision.
#[derive(Debug, Deserialize)]
struct ListResponse {
    #[serde(default)]
    revision: Option<u64>,
    #[serde(default)]
    instances: Option<Vec<serde_json::Value>>,
    #[serde(default)]
    changed: Vec<serde_json::Value>,
    #[serde(default)]
    removed: Vec<String>,
}

impl Client {
    /// Creates a client of the list at an address. `timeout` limits each call.
    #[must_use]
    pub const fn new(connector: Connector, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            connector,
            address,
            timeout,
        }
    }

    /// Fetches the list.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the list can't be reached or parsed as a whole.
    pub async fn fetch(&self) -> Result<Listing, Error> {
        let response = self.get("/v1/instances", self.timeout).await?;
        let instances = response.instances.unwrap_or_default();
        Ok(parse_entries(instances.iter()))
    }

    async fn get(&self, path: &str, wait: Duration) -> Result<ListResponse, Error> {
        let request = Request::get(path)
            .body(text::full(Bytes::new()))
            .map_err(|error| Error::InvalidResponse(error.into()))?;
        let response = self
            .connector
            .send(self.address, request, wait)
            .await
            .map_err(Error::Connect)?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(Error::Status(status));
        }
        let collected = text::collect(response.into_body(), MAX_RESPONSE_BYTES);
        let body = tokio::time::timeout(self.timeout, collected)
            .await
            .map_err(|late| Error::InvalidResponse(late.into()))?
            .map_err(Error::InvalidResponse)?;
        serde_json::from_slice(&body).map_err(|error| Error::InvalidResponse(error.into()))
    }
}

fn parse_entries<'v>(values: impl Iterator<Item = &'v serde_json::Value>) -> Listing {
    let mut listing = Listing::default();
    for value in values {
        let name = value["name"].as_str().unwrap_or("(no name)");
        let added = Entry::deserialize(value)
            .map_err(|error| error.to_string())
            .and_then(|entry| add_entry(&mut listing, entry));
        if let Err(reason) = added {
            listing.refused.push(format!("{name}: {reason}"));
        }
    }
    listing
}

fn add_entry(listing: &mut Listing, entry: Entry) -> Result<(), String> {
    match entry.role {
        Role::Router => listing.instances.push(instance(entry)?),
        Role::Endpoint => listing.endpoints.push(endpoint(entry)?),
    }
    Ok(())
}

fn instance(entry: Entry) -> Result<Instance, String> {
    let operators_address = entry
        .operators_address
        .ok_or("a router without operators_address; add it to the entry")?;
    Ok(Instance {
        id: id::from_name(&entry.name),
        incarnation: entry.incarnation,
        zone: id::from_name(&entry.zone),
        region: id::from_name(&entry.region),
        peer_address: entry.address,
        operators_address,
        standing: entry.standing,
        name: entry.name,
    })
}

fn endpoint(entry: Entry) -> Result<Endpoint, String> {
    let service = entry
        .service
        .ok_or("an endpoint without service; add it to the entry")?;
    Ok(Endpoint {
        id: id::from_name(&entry.name),
        incarnation: entry.incarnation,
        service: id::from_name(&service),
        models: entry.models.iter().map(|model| model_id(model)).collect(),
        zone: id::from_name(&entry.zone),
        region: id::from_name(&entry.region),
        address: entry.address,
        standing: entry.standing,
        name: entry.name,
    })
}

// Entries may name models as engines report them, with the version of the
// weights appended. The version changes while the model stays the same.
fn model_id(model: &str) -> id::ModelId {
    id::from_name(model.split_once('@').map_or(model, |(name, _)| name))
}
