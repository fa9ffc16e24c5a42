//! Finds the end of a request head in the byte stream, consistently with hyper's parser.

use crate::connection_monitor::ConnectionMonitor;

/// The scanner position within a head.
#[derive(Clone, Copy, PartialEq)]
pub enum HeadScanner {
    /// Before the first byte of the head; empty lines are skipped.
    BeforeHead,
    /// In the request line.
    RequestLine,
    /// In a header line.
    HeaderLine,
    /// At the start of a line.
    LineStart,
    /// After a carriage return at the start of a line.
    LineStartCr,
}

impl HeadScanner {
    /// Scans bytes and returns the number up to the end of the head, if it is among them.
    pub fn scan(&mut self, bytes: &[u8], monitor: &ConnectionMonitor) -> Option<usize> {
        let mut read = 0;
        if *self == Self::BeforeHead {
            let is_line_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
            read = bytes.iter().position(|byte| !is_line_end(byte))?;
            monitor.head_started();
            *self = Self::RequestLine;
        }
        let start = read;
        let mut end = None;
        while end.is_none()
            && let Some(rest @ [first, ..]) = bytes.get(read..)
        {
            read += match (*self, first) {
                (Self::LineStart | Self::LineStartCr, b'\n') => {
                    *self = Self::BeforeHead;
                    end = Some(read + 1);
                    1
                }
                (Self::LineStart, b'\r') => {
                    *self = Self::LineStartCr;
                    1
                }
                _ => self.scan_line(rest, monitor),
            };
        }
        let head_bytes = &monitor.head_bytes;
        head_bytes.set(head_bytes.get() + read - start);
        end
    }

    /// Scans to the end of the line and returns the number of bytes consumed.
    fn scan_line(&mut self, rest: &[u8], monitor: &ConnectionMonitor) -> usize {
        let line_feed = rest.iter().position(|&byte| byte == b'\n');
        let line = rest.get(..line_feed.unwrap_or(rest.len()));
        if *self == Self::RequestLine && line.unwrap_or_default().contains(&b'#') {
            monitor.has_fragment.set(true);
        }
        match line_feed {
            Some(_) => *self = Self::LineStart,
            None if *self != Self::RequestLine => *self = Self::HeaderLine,
            None => {}
        }
        line_feed.map_or(rest.len(), |line_feed| line_feed + 1)
    }
}
