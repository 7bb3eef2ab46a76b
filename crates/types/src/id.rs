//! Integer ids derived from names.

use crate::hash;

/// Identifies an instance of the router fleet, by its name.
pub type InstanceId = u64;
/// Identifies an endpoint (a model engine or a back end of a plain service), by its
/// name.
pub type EndpointId = u64;
/// Numbers the runs of an instance or endpoint; greater after each restart.
pub type Incarnation = u64;
/// Identifies a customer of the marketplace, by its name.
pub type WorkspaceId = u64;
/// Identifies a service of the bundle.
pub type ServiceId = u64;
/// Identifies a model of the bundle; [`NO_MODEL`] for plain services.
pub type ModelId = u64;
/// Identifies a class of requests of the bundle.
pub type ClassId = u64;
/// Identifies an availability zone, by its name.
pub type ZoneId = u64;
/// Identifies a region: a group of zones that may lose the connection to all others
/// at once.
pub type RegionId = u64;
/// Identifies a prefix of a prompt, by its model and its parts.
pub type PrefixId = u64;
/// Identifies a part of a prompt.
pub type PartId = u64;
/// Identifies a chat, by its workspace and its id or prompt prefix.
pub type ChatId = u64;
/// Identifies a request; random, chosen by the entry instance.
pub type RequestId = u128;
/// The version number of a bundle; the first is 1.
pub type Version = u64;
/// Identifies a build of an endpoint's software, by its text. Builds have no order.
pub type BuildId = u64;
/// Identifies a stream, by its workspace and the attempt that brought its first event.
pub type StreamId = u64;
/// An offset in a stream of the log service.
pub type Offset = u64;
/// How often a log was restored from a copy. Offsets of two eras can't be compared.
pub type Era = u64;
/// The digest of an idempotency key with its workspace.
pub type KeyDigest = [u8; 16];
/// The digest of a request's method, path and body.
pub type BodyDigest = [u8; 16];

/// The model id of a request to a plain service.
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

/// Returns the id of one incarnation of an instance or endpoint.
#[must_use]
pub fn incarnation_id(incarnation: Incarnation, name: &str) -> u64 {
    // Not a seed of the hash: seeds as small as incarnations have no effect on the
    // hash of a short name.
    hash::score(from_name(name), incarnation)
}

#[cfg(test)]
mod tests;
