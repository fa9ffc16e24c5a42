//! Compression of the operator's configuration for proxies, with the version that the proxy holds as the dictionary.
//!
//! Configurations can be large and links slow, and successive versions differ little.

use zstd::bulk::{Compressor, Decompressor};
use zstd::zstd_safe::CParameter;

/// Compression level of zstd. Higher levels cost the controller more time than the saved bytes are worth.
const LEVEL: i32 = 3;
/// Window size of this level.
const LEVEL_WINDOW: usize = 1 << 21;
/// Large enough to index a base of several megabytes, so that matches early in the base are found.
const HASH_LOG: u32 = 22;
/// Range of window sizes that both sides support.
const MIN_WINDOW_LOG: u32 = 10;
const MAX_WINDOW_LOG: u32 = 26;

/// Error packing or unpacking a configuration.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum PackError {
    /// The announced length exceeds the maximum.
    #[error("announced length {0} exceeds the maximum of {1} bytes")]
    #[diagnostic(help("raise the limit on both sides"))]
    TooLong(usize, usize),
    /// The data is corrupted, or was packed against a different base.
    #[error("cannot compress or decompress the configuration: {0}")]
    #[diagnostic(help("request the configuration without a base"))]
    Malformed(#[from] std::io::Error),
    /// The decompressed length differs from the announced length.
    #[error("decompressed length is {0} bytes instead of {1}")]
    #[diagnostic(help("request the configuration without a base"))]
    WrongLength(usize, usize),
}

/// Compresses `body` against `base`, which the receiver already holds. `base` is empty if the receiver holds none.
pub fn pack(body: &[u8], base: &[u8]) -> Result<Vec<u8>, PackError> {
    let mut compressor = Compressor::with_dictionary(LEVEL, base)?;
    // Detects decompression against a different base.
    compressor.set_parameter(CParameter::ChecksumFlag(true))?;
    if base.len() + body.len() > LEVEL_WINDOW {
        // Matches are found only within the window, so it must cover the base and the body.
        let window_log = window_log(base.len() + body.len());
        compressor.set_parameter(CParameter::WindowLog(window_log))?;
        compressor.set_parameter(CParameter::HashLog(window_log.min(HASH_LOG)))?;
        compressor.set_parameter(CParameter::ChainLog(window_log.min(HASH_LOG)))?;
    }
    Ok(compressor.compress(body)?)
}

/// Binary logarithm of the smallest supported window that holds `bytes`.
fn window_log(bytes: usize) -> u32 {
    bytes
        .next_power_of_two()
        .trailing_zeros()
        .clamp(MIN_WINDOW_LOG, MAX_WINDOW_LOG)
}

/// Decompresses a configuration that was packed against `base` and is `length` bytes long.
pub fn unpack(
    packed: &[u8],
    base: &[u8],
    length: usize,
    max_bytes: usize,
) -> Result<Vec<u8>, PackError> {
    if length > max_bytes {
        return Err(PackError::TooLong(length, max_bytes));
    }
    let body = Decompressor::with_dictionary(base)?.decompress(packed, length)?;
    if body.len() == length {
        Ok(body)
    } else {
        Err(PackError::WrongLength(body.len(), length))
    }
}

#[cfg(test)]
mod tests;
