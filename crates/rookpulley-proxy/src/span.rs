//! How far the body of a message reaches among the bytes of its connection.

/// What is still to come of a body.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Span {
    Length(u64),
    Chunks(Chunks),
    /// It breaks its own form: nobody can tell where it ends.
    Endless,
}

/// Where a body in chunks stands. It is read as hyper reads it, byte by byte where lines are: the counter's reader
/// refuses what hyper takes, and so would lose the place where hyper's body ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Chunks {
    Start,
    Size(u64),
    /// Spaces behind a size, to which no further digit may come.
    Spaces(u64),
    Extension(u64),
    SizeFeed(u64),
    Data(u64),
    DataReturn,
    DataFeed,
    /// At the start of a line behind the last chunk.
    LineStart,
    Trailer,
    TrailerFeed,
    LastFeed,
    End,
}

impl Span {
    pub fn done(&self) -> bool {
        matches!(self, Span::Length(0) | Span::Chunks(Chunks::End))
    }

    /// How many of these bytes belong to the body.
    pub fn take(&mut self, bytes: &[u8]) -> usize {
        match self {
            Span::Length(left) => {
                let taken =
                    usize::try_from(*left).map_or(bytes.len(), |left| left.min(bytes.len()));
                *left -= taken as u64;
                taken
            }
            Span::Chunks(_) => self.take_chunks(bytes),
            Span::Endless => bytes.len(),
        }
    }

    fn take_chunks(&mut self, bytes: &[u8]) -> usize {
        let mut taken = 0;
        while let Span::Chunks(at) = self
            && *at != Chunks::End
            && let Some(byte) = bytes.get(taken)
        {
            if let Chunks::Data(left) = at {
                let here = bytes.len() - taken;
                let data = usize::try_from(*left).map_or(here, |left| left.min(here));
                taken += data;
                *left -= data as u64;
                if *left == 0 {
                    *at = Chunks::DataReturn;
                }
                continue;
            }
            taken += 1;
            *self = at.step(*byte).map_or(Span::Endless, Span::Chunks);
        }
        if *self == Span::Endless {
            bytes.len()
        } else {
            taken
        }
    }
}

impl Chunks {
    fn step(self, byte: u8) -> Option<Chunks> {
        use Chunks::*;
        Some(match (self, byte) {
            (Start, _) if byte.is_ascii_hexdigit() => Size(digit(byte)),
            (Size(size), _) if byte.is_ascii_hexdigit() => {
                Size(size.checked_mul(16)?.checked_add(digit(byte))?)
            }
            (Size(size) | Spaces(size), b'\t' | b' ') => Spaces(size),
            (Size(size) | Spaces(size), b';') => Extension(size),
            (Size(size) | Spaces(size) | Extension(size), b'\r') => SizeFeed(size),
            (Extension(_), b'\n') => return None,
            (Extension(size), _) => Extension(size),
            (SizeFeed(0), b'\n') => LineStart,
            (SizeFeed(size), b'\n') => Data(size),
            (DataReturn, b'\r') => DataFeed,
            (DataFeed, b'\n') => Start,
            (LineStart, b'\r') => LastFeed,
            (Trailer, b'\r') => TrailerFeed,
            (LineStart | Trailer, _) => Trailer,
            (TrailerFeed, b'\n') => LineStart,
            (LastFeed, b'\n') => End,
            _ => return None,
        })
    }
}

fn digit(byte: u8) -> u64 {
    char::from(byte).to_digit(16).unwrap_or_default().into()
}
