//! The operator's configuration on its way to proxies: as what differs from one that the proxy holds, or packed
//! whole. Links may be slow and configurations long, and a new one differs little from the one before.

use zstd::bulk::{Compressor, Decompressor};
use zstd::zstd_safe::CParameter;

/// Higher levels cost a controller more time than the bytes they save are worth.
const LEVEL: i32 = 3;
/// The window of that level.
const LEVEL_WINDOW: usize = 1 << 21;
/// Enough places for a base of several megabytes: where places are too few, what stands early in it is not found again.
const HASH_LOG: u32 = 22;
/// What both sides can do.
const WINDOW_LOGS: (u32, u32) = (10, 26);

#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum PackError {
    #[error("{0} bytes are announced; {1} is the most")]
    #[diagnostic(help("raise the bound on both sides"))]
    TooLong(usize, usize),
    #[error("it can't be unpacked: {0}")]
    #[diagnostic(help("ask for it whole"))]
    Spoilt(#[from] std::io::Error),
    #[error("{0} bytes came of it instead of {1}")]
    #[diagnostic(help("ask for it whole"))]
    Other(usize, usize),
}

/// `base` is what the receiver holds already; empty: nothing.
pub fn pack(body: &[u8], base: &[u8]) -> Result<Vec<u8>, PackError> {
    let mut packer = Compressor::with_dictionary(LEVEL, base)?;
    // On another base something else would come of it.
    packer.set_parameter(CParameter::ChecksumFlag(true))?;
    if base.len() + body.len() > LEVEL_WINDOW {
        // What lies further back than the window is not found again.
        let window_log = window_log(base.len() + body.len());
        packer.set_parameter(CParameter::WindowLog(window_log))?;
        packer.set_parameter(CParameter::HashLog(window_log.min(HASH_LOG)))?;
        packer.set_parameter(CParameter::ChainLog(window_log.min(HASH_LOG)))?;
    }
    Ok(packer.compress(body)?)
}

/// The smallest power of two that holds so many bytes.
fn window_log(bytes: usize) -> u32 {
    bytes
        .next_power_of_two()
        .trailing_zeros()
        .clamp(WINDOW_LOGS.0, WINDOW_LOGS.1)
}

/// What was packed on the same base, and is so long.
pub fn unpack(
    packed: &[u8],
    base: &[u8],
    length: usize,
    most: usize,
) -> Result<Vec<u8>, PackError> {
    if length > most {
        return Err(PackError::TooLong(length, most));
    }
    let body = Decompressor::with_dictionary(base)?.decompress(packed, length)?;
    if body.len() == length {
        Ok(body)
    } else {
        Err(PackError::Other(body.len(), length))
    }
}

#[cfg(test)]
mod tests;
