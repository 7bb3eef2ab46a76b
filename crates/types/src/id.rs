//! Integer ids derived from names.

use crate::hash;

/// An instance of the router fleet, from its name.
pub type InstanceId = u64;
/// An endpoint: a model engine or a plain service's back end, from its name.
pub type EndpointId = u64;
/// One life of an instance or endpoint; a restart has a greater one.
pub type Incarnation = u64;
/// A customer of the marketplace, from its name.
pub type WorkspaceId = u64;
/// A service that the bundle names.
pub type ServiceId = u64;
/// A model that the bundle names; [`NO_MODEL`] for plain services.
pub type ModelId = u64;
/// A class of requests that the bundle names.
pub type ClassId = u64;
/// An availability zone, from its name.
pub type ZoneId = u64;
/// A region: a group of zones that may lose its peers as a whole.
pub type RegionId = u64;
/// The beginning of a prompt, from its model and its parts.
pub type PrefixId = u64;
/// A chat, from its workspace and its id or prompt prefix.
pub type ChatId = u64;
/// One request as the entry instance accepted it; random.
pub type RequestId = u128;
/// A bundle's version number; the first bundle is 1.
pub type Version = u64;
/// An offset in a stream of the log service.
pub type Offset = u64;
/// How often a log came back from a copy; offsets of two eras can't be compared.
pub type Era = u64;
/// A digest of an idempotency key with its workspace.
pub type KeyDigest = [u8; 16];
/// A digest of a request's method, path and body.
pub type BodyDigest = [u8; 16];

/// The model of a request to a plain service.
pub const NO_MODEL: ModelId = 0;

/// Returns the id of a name: its 64-bit XXH3 hash.
#[must_use]
pub fn from_name(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// Returns the id of a name within a scope, such as a chat in a workspace.
#[must_use]
pub fn scoped(scope: u64, name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), scope)
}

/// Returns the id of one life of an instance or endpoint.
#[must_use]
pub fn incarnation_id(incarnation: Incarnation, name: &str) -> u64 {
    // Seeds that are as small as incarnations are lost in the hash of a short name.
    hash::score(from_name(name), incarnation)
}

#[cfg(test)]
mod tests;
