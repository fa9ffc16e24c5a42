//! The operator's configuration on its way to couriers: as what differs from one that the courier holds, or packed
//! whole. Links may be slow and configurations long, and a new one differs little from the one before.

use zstd::bulk::{Compressor, Decompressor};
use zstd::zstd_safe::CParameter;

/// Higher levels cost an office more time than the bytes they save are worth.
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
    bytes.next_power_of_two().trailing_zeros().clamp(WINDOW_LOGS.0, WINDOW_LOGS.1)
}

/// What was packed on the same base, and is so long.
pub fn unpack(packed: &[u8], base: &[u8], length: usize, most: usize) -> Result<Vec<u8>, PackError> {
    if length > most {
        return Err(PackError::TooLong(length, most));
    }
    let body = Decompressor::with_dictionary(base)?.decompress(packed, length)?;
    if body.len() == length { Ok(body) } else { Err(PackError::Other(body.len(), length)) }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn configuration(routes: u64, changed: u64) -> Vec<u8> {
        let route = |n: u64| {
            let (name, path) = (n.wrapping_mul(0x9e37_79b9_7f4a_7c15), n.wrapping_mul(0xd6e8_feb8_6659_fd93));
            let timeout = if n == changed { 900 } else { 1_500 };
            format!(
                "{{\"name\":\"r-{name:x}\",\"pathPrefix\":\"/{path:x}/\",\"routeKind\":\"read_only\",\
                 \"timeoutMs\":{timeout},\"targetLatencyMs\":250,\"priority\":2,\"targetService\":\"huvo11a\",\
                 \"maxAttempts\":2}}"
            )
        };
        (0..routes).map(route).collect::<Vec<_>>().join(",").into_bytes()
    }

    #[test]
    fn what_differs_is_short_and_makes_the_whole_again() {
        let (base, body) = (configuration(2_000, 0), configuration(2_050, 1_234));
        let packed = pack(&body, &base).unwrap();
        assert!(packed.len() * 50 < body.len(), "{} of {} bytes", packed.len(), body.len());
        assert_eq!(unpack(&packed, &base, body.len(), 16 << 20).unwrap(), body);
        let whole = pack(&body, &[]).unwrap();
        assert!(whole.len() * 4 < body.len(), "{} of {} bytes", whole.len(), body.len());
        assert_eq!(unpack(&whole, &[], body.len(), 16 << 20).unwrap(), body);
    }

    #[test]
    fn what_differs_of_a_long_one_is_short() {
        let (base, body) = (configuration(35_000, 0), configuration(35_000, 17_000));
        let packed = pack(&body, &base).unwrap();
        assert!(packed.len() * 1_000 < body.len(), "{} of {} bytes", packed.len(), body.len());
        assert_eq!(unpack(&packed, &base, body.len(), 16 << 20).unwrap(), body);
    }

    #[test]
    fn what_is_cut_changed_or_too_long_is_refused() {
        let (base, body) = (configuration(40, 0), configuration(41, 7));
        let packed = pack(&body, &base).unwrap();
        assert!(matches!(unpack(&packed, &base, body.len(), body.len() - 1), Err(PackError::TooLong(..))));
        assert!(unpack(&packed, &base, body.len() + 1, 16 << 20).is_err());
        assert!(unpack(&packed, &base, body.len() - 1, 16 << 20).is_err());
        assert!(unpack(&packed, &configuration(40, 1), body.len(), 16 << 20).is_err());
        for cut in 0..packed.len() {
            assert!(unpack(&packed[..cut], &base, body.len(), 16 << 20).is_err(), "cut at {cut}");
        }
    }
}
