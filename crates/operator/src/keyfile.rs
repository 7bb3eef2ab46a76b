//! Private key files that only their owner can read.

use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::os::unix::fs::{OpenOptionsExt, PermissionsExt};
use std::path::Path;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use godwitpost_bundle::blob::Digest;
use godwitpost_bundle::key::PrivateKey;
use rand::TryRng;
use rand::rngs::SysRng;

use crate::error::Error;

/// Only the owner can read and write.
const KEY_FILE_MODE: u32 = 0o600;

/// Permission bits of the group and of all other users.
const GROUP_AND_OTHER_BITS: u32 = 0o077;

/// Generates a key and writes it to a new file.
///
/// # Errors
///
/// Returns an error if the file can't be written or already exists: an
/// overwritten key may have been the only one that can sign.
pub fn generate(path: &Path) -> Result<PrivateKey, Error> {
    let mut seed = [0; 32];
    SysRng
        .try_fill_bytes(&mut seed)
        .map_err(|error| Error::Random(error.to_string()))?;
    let key = PrivateKey::from_seed(&seed);
    let failed = |error| Error::File(path.to_owned(), error);
    // The mode is set on creation: before a later chmod another user could
    // open the file.
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(KEY_FILE_MODE)
        .open(path)
        .map_err(failed)?;
    writeln!(file, "{}", STANDARD.encode(seed)).map_err(failed)?;
    file.sync_all().map_err(failed)?;
    Ok(key)
}

/// Reads a key.
///
/// # Errors
///
/// Returns an error if the file can't be read, holds no key, or can be read
/// by other users.
pub fn read(path: &Path) -> Result<PrivateKey, Error> {
    let failed = |error| Error::File(path.to_owned(), error);
    let mut file = File::open(path).map_err(failed)?;
    let mode = file.metadata().map_err(failed)?.permissions().mode() & 0o777;
    if mode & GROUP_AND_OTHER_BITS != 0 {
        return Err(Error::KeyMode(path.to_owned(), mode));
    }
    let mut text = String::new();
    file.read_to_string(&mut text).map_err(failed)?;
    let seed = digest(text.trim()).ok_or_else(|| Error::Key(path.to_owned()))?;
    Ok(PrivateKey::from_seed(&seed.0))
}

/// Encodes a public key as in settings and bundles.
#[must_use]
pub fn public(key: Digest) -> String {
    STANDARD.encode(key.0)
}

/// Parses a public key, or any 32 bytes in base64.
#[must_use]
pub fn digest(text: &str) -> Option<Digest> {
    let bytes = STANDARD.decode(text).ok()?;
    <[u8; 32]>::try_from(bytes).ok().map(Digest)
}
