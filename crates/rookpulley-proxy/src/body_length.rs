//! Tracks where a message body ends in the byte stream of its connection.

/// The remaining part of a body.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BodyLength {
    /// This many bytes remain.
    Bytes(u64),
    /// Chunked transfer coding, at this position.
    Chunked(ChunkPosition),
    /// The framing is malformed, so the end cannot be determined.
    Invalid,
}

/// The parser position within a chunked body (RFC 9112, section 7.1).
///
/// Accepts exactly what hyper accepts. The stricter parser of `rookpulley-api` could place the end
/// of a body elsewhere.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ChunkPosition {
    /// Before the first digit of a chunk size.
    Start,
    /// Within the digits of a chunk size.
    Size(u64),
    /// In whitespace after a chunk size; no further digit may follow.
    Spaces(u64),
    /// In a chunk extension.
    Extension(u64),
    /// Before the line feed that ends a chunk size line.
    SizeLf(u64),
    /// In chunk data, with this many bytes remaining.
    Data(u64),
    /// Before the carriage return after chunk data.
    DataCr,
    /// Before the line feed after chunk data.
    DataLf,
    /// At the start of a line after the last chunk.
    LineStart,
    /// In a trailer field.
    Trailer,
    /// Before the line feed that ends a trailer field.
    TrailerLf,
    /// Before the line feed that ends the body.
    FinalLf,
    /// After the end of the body.
    End,
}

impl BodyLength {
    /// A chunked body of which nothing has been read.
    pub const CHUNKED: Self = Self::Chunked(ChunkPosition::Start);

    pub fn is_complete(&self) -> bool {
        matches!(self, Self::Bytes(0) | Self::Chunked(ChunkPosition::End))
    }

    /// Consumes the part of `bytes` that belongs to the body and returns its length.
    pub fn advance(&mut self, bytes: &[u8]) -> usize {
        match self {
            Self::Bytes(remaining) => {
                let consumed = usize::try_from(*remaining)
                    .map_or(bytes.len(), |remaining| remaining.min(bytes.len()));
                *remaining -= consumed as u64;
                consumed
            }
            Self::Chunked(_) => self.advance_chunked(bytes),
            Self::Invalid => bytes.len(),
        }
    }

    fn advance_chunked(&mut self, bytes: &[u8]) -> usize {
        let mut consumed = 0;
        while let Self::Chunked(position) = self
            && *position != ChunkPosition::End
            && let Some(byte) = bytes.get(consumed)
        {
            if let ChunkPosition::Data(remaining) = position {
                let available = bytes.len() - consumed;
                let data = usize::try_from(*remaining)
                    .map_or(available, |remaining| remaining.min(available));
                consumed += data;
                *remaining -= data as u64;
                if *remaining == 0 {
                    *position = ChunkPosition::DataCr;
                }
                continue;
            }
            consumed += 1;
            *self = position.step(*byte).map_or(Self::Invalid, Self::Chunked);
        }
        if *self == Self::Invalid {
            bytes.len()
        } else {
            consumed
        }
    }
}

impl ChunkPosition {
    fn step(self, byte: u8) -> Option<Self> {
        use ChunkPosition::*;
        Some(match (self, byte) {
            (Start, _) if byte.is_ascii_hexdigit() => Size(hex_value(byte)),
            (Size(size), _) if byte.is_ascii_hexdigit() => {
                Size(size.checked_mul(16)?.checked_add(hex_value(byte))?)
            }
            (Size(size) | Spaces(size), b'\t' | b' ') => Spaces(size),
            (Size(size) | Spaces(size), b';') => Extension(size),
            (Size(size) | Spaces(size) | Extension(size), b'\r') => SizeLf(size),
            (Extension(_), b'\n') => return None,
            (Extension(size), _) => Extension(size),
            (SizeLf(0), b'\n') => LineStart,
            (SizeLf(size), b'\n') => Data(size),
            (DataCr, b'\r') => DataLf,
            (DataLf, b'\n') => Start,
            (LineStart, b'\r') => FinalLf,
            (Trailer, b'\r') => TrailerLf,
            (LineStart | Trailer, _) => Trailer,
            (TrailerLf, b'\n') => LineStart,
            (FinalLf, b'\n') => End,
            _ => return None,
        })
    }
}

fn hex_value(byte: u8) -> u64 {
    char::from(byte).to_digit(16).unwrap_or_default().into()
}
