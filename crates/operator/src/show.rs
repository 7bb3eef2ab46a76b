//! Which instances hold the bundle in force.

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

/// Bytes of an instance's answer, some hundred in truth.
const ANSWER_LIMIT: usize = 64 * 1024;

/// An instance and what it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Its name on the platform's list.
    pub name: String,
    /// Whether it may get new work.
    pub standing: Standing,
    /// What it answered.
    pub held: Held,
}

/// What an instance holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Held {
    /// This version with this root digest; version 0 for none.
    Bundle {
        /// The version.
        version: Version,
        /// The root digest in hexadecimal.
        root: String,
    },
    /// It did not answer, for this reason.
    Silent(String),
}

impl Row {
    /// Returns whether it holds this version, or need not.
    #[must_use]
    pub fn holds(&self, version: Version, root: &str) -> bool {
        let expected = Held::Bundle {
            version,
            root: root.to_owned(),
        };
        self.standing == Standing::Leaving || self.held == expected
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let standing = match self.standing {
            Standing::Live => "live",
            Standing::Leaving => "leaving",
        };
        write!(f, "{:<24} {standing:<8} ", self.name)?;
        match &self.held {
            Held::Bundle { version: 0, .. } => write!(f, "no bundle"),
            Held::Bundle { version, root } => {
                let short = root.get(..12).unwrap_or(root);
                write!(f, "version {version} root {short}")
            }
            Held::Silent(reason) => write!(f, "no answer: {reason}"),
        }
    }
}

/// Asks every instance on the list, by name.
///
/// # Errors
///
/// Returns [`Error::List`] if there is no list.
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
        held: match asked {
            Ok(Answer { version, root }) => Held::Bundle { version, root },
            Err(error) => Held::Silent(error.to_string()),
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
    let body = Limited::new(response.into_body(), ANSWER_LIMIT);
    let bytes = tokio::time::timeout(timeout, body.collect()).await??;
    Ok(serde_json::from_slice(&bytes.to_bytes())?)
}
