//! How far the body of a message reaches among the bytes of its connection.

/// What is still to come of a body.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BodyLength {
    /// So many bytes.
    Bytes(u64),
    /// Chunks, up to the last one.
    Chunked(ChunkPosition),
    /// It breaks its own form: nobody can tell where it ends.
    Unknown,
}

/// Where a chunked body stands (RFC 9112, 7.1).
///
/// It is read as hyper reads it, byte by byte where lines are: the reader of `rookpulley-api` refuses what hyper takes,
/// and so would lose the place where hyper's body ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ChunkPosition {
    /// Before the first digit of a size.
    Start,
    /// Amid the digits.
    Size(u64),
    /// In spaces behind a size, to which no further digit may come.
    Spaces(u64),
    /// In an extension.
    Extension(u64),
    /// Before the line feed of a size.
    SizeLineFeed(u64),
    /// In the data, of which so much is to come.
    Data(u64),
    /// Before the carriage return behind the data.
    DataReturn,
    /// Before the line feed behind the data.
    DataLineFeed,
    /// At the start of a line behind the last chunk.
    LineStart,
    /// In a trailer.
    Trailer,
    /// Before the line feed of a trailer.
    TrailerLineFeed,
    /// Before the last line feed.
    LastLineFeed,
    /// Behind the body.
    End,
}

impl BodyLength {
    /// Of a chunked body of which nothing has come.
    pub const CHUNKED: Self = Self::Chunked(ChunkPosition::Start);

    /// Whether the body is complete.
    pub fn is_complete(&self) -> bool {
        matches!(self, Self::Bytes(0) | Self::Chunked(ChunkPosition::End))
    }

    /// How many of these bytes belong to the body.
    pub fn advance(&mut self, bytes: &[u8]) -> usize {
        match self {
            Self::Bytes(left) => {
                let taken =
                    usize::try_from(*left).map_or(bytes.len(), |left| left.min(bytes.len()));
                *left -= taken as u64;
                taken
            }
            Self::Chunked(_) => self.advance_chunked(bytes),
            Self::Unknown => bytes.len(),
        }
    }

    fn advance_chunked(&mut self, bytes: &[u8]) -> usize {
        let mut taken = 0;
        while let Self::Chunked(position) = self
            && *position != ChunkPosition::End
            && let Some(byte) = bytes.get(taken)
        {
            if let ChunkPosition::Data(left) = position {
                let available = bytes.len() - taken;
                let data = usize::try_from(*left).map_or(available, |left| left.min(available));
                taken += data;
                *left -= data as u64;
                if *left == 0 {
                    *position = ChunkPosition::DataReturn;
                }
                continue;
            }
            taken += 1;
            *self = position.step(*byte).map_or(Self::Unknown, Self::Chunked);
        }
        if *self == Self::Unknown {
            bytes.len()
        } else {
            taken
        }
    }
}

impl ChunkPosition {
    fn step(self, byte: u8) -> Option<Self> {
        use ChunkPosition::*;
        Some(match (self, byte) {
            (Start, _) if byte.is_ascii_hexdigit() => Size(digit(byte)),
            (Size(size), _) if byte.is_ascii_hexdigit() => {
                Size(size.checked_mul(16)?.checked_add(digit(byte))?)
            }
            (Size(size) | Spaces(size), b'\t' | b' ') => Spaces(size),
            (Size(size) | Spaces(size), b';') => Extension(size),
            (Size(size) | Spaces(size) | Extension(size), b'\r') => SizeLineFeed(size),
            (Extension(_), b'\n') => return None,
            (Extension(size), _) => Extension(size),
            (SizeLineFeed(0), b'\n') => LineStart,
            (SizeLineFeed(size), b'\n') => Data(size),
            (DataReturn, b'\r') => DataLineFeed,
            (DataLineFeed, b'\n') => Start,
            (LineStart, b'\r') => LastLineFeed,
            (Trailer, b'\r') => TrailerLineFeed,
            (LineStart | Trailer, _) => Trailer,
            (TrailerLineFeed, b'\n') => LineStart,
            (LastLineFeed, b'\n') => End,
            _ => return None,
        })
    }
}

fn digit(byte: u8) -> u64 {
    char::from(byte).to_digit(16).unwrap_or_default().into()
}
