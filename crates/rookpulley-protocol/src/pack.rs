//! Compresses the operator's configuration for proxies, against one that the proxy holds where it holds one.
//!
//! Links may be slow and configurations long, and a new one differs little from the one before.

use zstd::bulk::{Compressor, Decompressor};
use zstd::zstd_safe::CParameter;

/// Compression level of zstd. Higher ones cost a controller more time than the bytes they save are worth.
const LEVEL: i32 = 3;
/// The window of that level.
const LEVEL_WINDOW: usize = 1 << 21;
/// Enough hash entries for a base of several megabytes: with fewer, what stands early in it is not found again.
const HASH_LOG: u32 = 22;
/// The windows that both sides can do.
const MIN_WINDOW_LOG: u32 = 10;
const MAX_WINDOW_LOG: u32 = 26;

/// Why a configuration can't be packed or unpacked.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum PackError {
    /// More bytes are announced than may be.
    #[error("{0} bytes are announced; {1} is the most")]
    #[diagnostic(help("raise the bound on both sides"))]
    TooLong(usize, usize),
    /// It is broken, or was packed against another base.
    #[error("it can't be unpacked: {0}")]
    #[diagnostic(help("ask for it whole"))]
    Malformed(#[from] std::io::Error),
    /// It has another length than announced.
    #[error("{0} bytes came of it instead of {1}")]
    #[diagnostic(help("ask for it whole"))]
    WrongLength(usize, usize),
}

/// Compresses `body` against `base`, which the receiver holds already. Empty: it holds none.
pub fn pack(body: &[u8], base: &[u8]) -> Result<Vec<u8>, PackError> {
    let mut compressor = Compressor::with_dictionary(LEVEL, base)?;
    // On another base something else would come of it.
    compressor.set_parameter(CParameter::ChecksumFlag(true))?;
    if base.len() + body.len() > LEVEL_WINDOW {
        // What lies further back than the window is not found again.
        let window_log = window_log(base.len() + body.len());
        compressor.set_parameter(CParameter::WindowLog(window_log))?;
        compressor.set_parameter(CParameter::HashLog(window_log.min(HASH_LOG)))?;
        compressor.set_parameter(CParameter::ChainLog(window_log.min(HASH_LOG)))?;
    }
    Ok(compressor.compress(body)?)
}

/// The smallest power of two that holds so many bytes.
fn window_log(bytes: usize) -> u32 {
    bytes
        .next_power_of_two()
        .trailing_zeros()
        .clamp(MIN_WINDOW_LOG, MAX_WINDOW_LOG)
}

/// Decompresses what was packed against the same base, and is so long.
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
