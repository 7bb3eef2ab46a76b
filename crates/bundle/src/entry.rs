//! Entries: the small named parts into which a bundle is split for signing.
//!
//! A bundle is a map from names such as `workspace/otaru` to the canonical
//! bytes of that part, so a change to one workspace among thousands affects
//! one entry. Canonical bytes are `rmp-serde` of the structs in
//! [`schema`](crate::schema).

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use displaydoc::Display;
use godwitpost_types::id::Version;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::blob::Blob;
use crate::schema::Bundle;

/// Entries by name: the canonical form of a bundle without its version.
pub type Entries = BTreeMap<String, Blob>;

/// The name of the entry with the fleet-wide settings.
pub const FLEET: &str = "fleet";
/// The name of the entry with all routes; it keeps their declared order.
pub const ROUTES: &str = "routes";
/// The prefix of operators' entries.
pub const OPERATOR: &str = "operator/";
/// The prefix of classes' entries.
pub const CLASS: &str = "class/";
/// The prefix of services' entries.
pub const SERVICE: &str = "service/";
/// The prefix of models' entries.
pub const MODEL: &str = "model/";
/// The prefix of workspaces' entries.
pub const WORKSPACE: &str = "workspace/";

/// Why entries do not form a bundle.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// entry {0} is ill-formed; sign the bundle again with this version of the tool
    IllFormed(String),
    /// entry {0} is of an unknown kind; update this program before the bundle
    UnknownKind(String),
    /// entry {0} is missing; sign a whole bundle
    Missing(&'static str),
}

impl std::error::Error for Error {}

/// Splits a bundle into entries.
#[must_use]
pub fn split(bundle: &Bundle) -> Entries {
    let mut entries = Entries::new();
    entries.insert(FLEET.to_owned(), encode(&bundle.fleet));
    entries.insert(ROUTES.to_owned(), encode(&bundle.routes));
    put(&mut entries, OPERATOR, &bundle.operators);
    put(&mut entries, CLASS, &bundle.classes);
    put(&mut entries, SERVICE, &bundle.services);
    put(&mut entries, MODEL, &bundle.models);
    put(&mut entries, WORKSPACE, &bundle.workspaces);
    entries
}

/// Assembles a bundle from its entries.
///
/// # Errors
///
/// Returns an error if an entry is ill-formed, of an unknown kind or missing.
pub fn join(version: Version, entries: &Entries) -> Result<Bundle, Error> {
    for name in entries.keys() {
        known(name)?;
    }
    Ok(Bundle {
        version,
        fleet: single(entries, FLEET)?,
        routes: single(entries, ROUTES)?,
        operators: section(entries, OPERATOR)?,
        classes: section(entries, CLASS)?,
        services: section(entries, SERVICE)?,
        models: section(entries, MODEL)?,
        workspaces: section(entries, WORKSPACE)?,
    })
}

/// Returns the canonical bytes of one part.
///
/// # Panics
///
/// Panics if the part cannot be encoded, which is a bug: the schema has no
/// type that MessagePack cannot represent.
#[must_use]
pub fn encode<T: Serialize>(part: &T) -> Blob {
    Blob(rmp_serde::to_vec(part).expect("the schema can be written as MessagePack"))
}

/// Decodes the bytes of an entry.
///
/// # Errors
///
/// Returns [`Error::IllFormed`] with the entry's name if the bytes do not decode.
pub fn decode<T: DeserializeOwned>(name: &str, blob: &Blob) -> Result<T, Error> {
    rmp_serde::from_slice(&blob.0).map_err(|_cause| Error::IllFormed(name.to_owned()))
}

/// Decodes the entries whose names start with `prefix`, keyed by the name
/// without it.
///
/// # Errors
///
/// Returns [`Error::IllFormed`] for the first entry that does not decode.
pub fn section<T: DeserializeOwned>(
    entries: &Entries,
    prefix: &str,
) -> Result<BTreeMap<String, T>, Error> {
    entries
        .range(prefix.to_owned()..)
        .map_while(|(name, blob)| Some((name, name.strip_prefix(prefix)?, blob)))
        .map(|(name, bare, blob)| Ok((bare.to_owned(), decode(name, blob)?)))
        .collect()
}

fn single<T: DeserializeOwned>(entries: &Entries, name: &'static str) -> Result<T, Error> {
    let blob = entries.get(name).ok_or(Error::Missing(name))?;
    decode(name, blob)
}

fn known(name: &str) -> Result<(), Error> {
    let prefixes = [OPERATOR, CLASS, SERVICE, MODEL, WORKSPACE];
    let known =
        name == FLEET || name == ROUTES || prefixes.iter().any(|prefix| name.starts_with(prefix));
    if known {
        Ok(())
    } else {
        Err(Error::UnknownKind(name.to_owned()))
    }
}

fn put<T: Serialize>(entries: &mut Entries, prefix: &str, parts: &BTreeMap<String, T>) {
    for (name, part) in parts {
        entries.insert(format!("{prefix}{name}"), encode(part));
    }
}
