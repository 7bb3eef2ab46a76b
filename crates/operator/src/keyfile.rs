//! Private keys in files that only their owner reads.

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

/// The owner alone reads and writes.
const MODE: u32 = 0o600;

/// Bits that let anybody else in.
const OTHERS: u32 = 0o077;

/// Draws a key and writes it to a new file.
///
/// # Errors
///
/// Returns an error if the file exists, since a key that is overwritten may
/// be the only one that can sign, or if it can't be written.
pub fn generate(path: &Path) -> Result<PrivateKey, Error> {
    let mut seed = [0; 32];
    SysRng
        .try_fill_bytes(&mut seed)
        .map_err(|error| Error::Random(error.to_string()))?;
    let key = PrivateKey::from_seed(&seed);
    let failed = |error| Error::File(path.to_owned(), error);
    // The mode is set as the file is made: with a chmod afterwards another
    // user could open it in between.
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(MODE)
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
/// Returns an error if the file can't be read, holds no key, or may be read
/// by anybody but its owner.
pub fn read(path: &Path) -> Result<PrivateKey, Error> {
    let failed = |error| Error::File(path.to_owned(), error);
    let mut file = File::open(path).map_err(failed)?;
    let mode = file.metadata().map_err(failed)?.permissions().mode() & 0o777;
    if mode & OTHERS != 0 {
        return Err(Error::KeyMode(path.to_owned(), mode));
    }
    let mut text = String::new();
    file.read_to_string(&mut text).map_err(failed)?;
    let seed = digest(text.trim()).ok_or_else(|| Error::Key(path.to_owned()))?;
    Ok(PrivateKey::from_seed(&seed.0))
}

/// Returns a public key as settings and bundles write it.
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
