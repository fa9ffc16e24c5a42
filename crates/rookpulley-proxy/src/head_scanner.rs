//! Finds the end of a request's head among the bytes of its connection, as hyper's parser finds it.

use crate::connection_monitor::ConnectionMonitor;

/// Where in a head the bytes stand.
#[derive(Clone, Copy, PartialEq)]
pub enum HeadScanner {
    /// Before the first byte that counts; empty lines may come before it.
    BeforeHead,
    /// In the first line.
    FirstLine,
    /// In a later one.
    LaterLine,
    /// At the start of a line.
    LineStart,
    /// Behind a carriage return at the start of a line.
    LineStartReturn,
}

impl HeadScanner {
    /// Reads on. How many bytes there are up to the head's end, if it is here.
    pub fn scan(&mut self, bytes: &[u8], monitor: &ConnectionMonitor) -> Option<usize> {
        let mut read = 0;
        if *self == Self::BeforeHead {
            let is_line_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
            read = bytes.iter().position(|byte| !is_line_end(byte))?;
            monitor.head_began();
            *self = Self::FirstLine;
        }
        let start = read;
        let mut end = None;
        while end.is_none()
            && let Some(rest @ [first, ..]) = bytes.get(read..)
        {
            read += match (*self, first) {
                (Self::LineStart | Self::LineStartReturn, b'\n') => {
                    *self = Self::BeforeHead;
                    end = Some(read + 1);
                    1
                }
                (Self::LineStart, b'\r') => {
                    *self = Self::LineStartReturn;
                    1
                }
                _ => self.scan_line(rest, monitor),
            };
        }
        let head_bytes = &monitor.head_bytes;
        head_bytes.set(head_bytes.get() + read - start);
        end
    }

    /// Reads up to the end of a line, and says how many bytes that takes.
    fn scan_line(&mut self, rest: &[u8], monitor: &ConnectionMonitor) -> usize {
        let line_feed = rest.iter().position(|&byte| byte == b'\n');
        let line = rest.get(..line_feed.unwrap_or(rest.len()));
        if *self == Self::FirstLine && line.unwrap_or_default().contains(&b'#') {
            monitor.has_fragment.set(true);
        }
        match line_feed {
            Some(_) => *self = Self::LineStart,
            None if *self != Self::FirstLine => *self = Self::LaterLine,
            None => {}
        }
        line_feed.map_or(rest.len(), |line_feed| line_feed + 1)
    }
}
