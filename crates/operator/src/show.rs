//! Shows which instances have the bundle in force.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::connect::{self, BoxError, Connector};
use godwitpost_client::list;
use godwitpost_types::endpoint::Standing;
use godwitpost_types::id::Version;
use godwitpost_types::instance::Instance;
use http::{Request, StatusCode};
use http_body_util::{BodyExt as _, Empty, Limited};
use serde::Deserialize;

use crate::error::Error;

/// A response normally has some hundred bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// An instance and the bundle it has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Its name on the platform's instance list.
    pub name: String,
    /// Whether it may receive new requests.
    pub standing: Standing,
    /// Its bundle, or why it is not known.
    pub status: BundleStatus,
}

/// The bundle of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BundleStatus {
    /// This version with this root digest; version 0 for none.
    Bundle {
        /// The version.
        version: Version,
        /// The root digest in hexadecimal.
        root: String,
    },
    /// It did not respond, for this reason.
    NoAnswer(String),
}

impl Row {
    /// Returns whether it has this version, or is leaving and need not have it.
    #[must_use]
    pub fn is_up_to_date(&self, version: Version, root: &str) -> bool {
        let expected = BundleStatus::Bundle {
            version,
            root: root.to_owned(),
        };
        self.standing == Standing::Leaving || self.status == expected
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let standing = match self.standing {
            Standing::Live => "live",
            Standing::Leaving => "leaving",
        };
        write!(f, "{:<24} {standing:<8} ", self.name)?;
        match &self.status {
            BundleStatus::Bundle { version: 0, .. } => write!(f, "no bundle"),
            BundleStatus::Bundle { version, root } => {
                let short = root.get(..12).unwrap_or(root);
                write!(f, "version {version} root {short}")
            }
            BundleStatus::NoAnswer(reason) => write!(f, "no answer: {reason}"),
        }
    }
}

/// Queries every instance on the list, sorted by name.
///
/// # Errors
///
/// Returns [`Error::List`] if the list can't be read.
pub async fn instances(
    list: &list::Client,
    connector: &Connector,
    timeout: Duration,
) -> Result<Vec<Row>, Error> {
    let listing = list
        .fetch()
        .await
        .map_err(|error| Error::List(error.to_string()))?;
    let mut rows = Vec::new();
    for instance in listing.instances {
        rows.push(row(connector, &instance, timeout).await);
    }
    rows.sort_by(|one, other| one.name.cmp(&other.name));
    Ok(rows)
}

#[derive(Deserialize)]
struct Answer {
    version: Version,
    root: String,
}

async fn row(connector: &Connector, instance: &Instance, timeout: Duration) -> Row {
    let asked = ask(connector, instance.operators_address, timeout).await;
    Row {
        name: instance.name.clone(),
        standing: instance.standing,
        status: match asked {
            Ok(Answer { version, root }) => BundleStatus::Bundle { version, root },
            Err(error) => BundleStatus::NoAnswer(error.to_string()),
        },
    }
}

async fn ask(
    connector: &Connector,
    address: SocketAddr,
    timeout: Duration,
) -> Result<Answer, BoxError> {
    let body: connect::Body = Empty::<Bytes>::new()
        .map_err(|never| match never {})
        .boxed_unsync();
    let request = Request::builder().uri("/bundle").body(body)?;
    let response = connector
        .send(address, request, timeout)
        .await
        .map_err(|error| error.to_string())?;
    if response.status() != StatusCode::OK {
        return Err(format!("it answered {}", response.status()).into());
    }
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let bytes = tokio::time::timeout(timeout, body.collect()).await??;
    Ok(serde_json::from_slice(&bytes.to_bytes())?)
}
