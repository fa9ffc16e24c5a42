//! Reasons for closing a connection and the input that each one produces for the decision module.

use rookpulley::interface::{Input, ProxyId};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The remote side closed it.
    Closed,
    /// It was reset, or a read or write failed.
    Reset,
    /// It sent a malformed message.
    Malformed,
    /// It sent a line over the size limit.
    LineTooLong,
    /// Its first message identified neither a proxy nor a collector.
    Protocol,
    /// It did not identify itself in time.
    JoinTimeout,
    /// The same proxy opened a new stream.
    Replaced,
    /// Too much output was queued because it did not read.
    SlowReader,
    /// It was closed to make room for a new connection.
    Evicted,
    /// The assigner is shutting down.
    Shutdown,
}

pub const ALL: [CloseReason; 10] = [
    CloseReason::Closed,
    CloseReason::Reset,
    CloseReason::Malformed,
    CloseReason::LineTooLong,
    CloseReason::Protocol,
    CloseReason::JoinTimeout,
    CloseReason::Replaced,
    CloseReason::SlowReader,
    CloseReason::Evicted,
    CloseReason::Shutdown,
];

impl CloseReason {
    /// The input for the decision module when the stream of a joined proxy closes.
    pub fn input(self, proxy: ProxyId) -> Option<Input> {
        match self {
            Self::Closed | Self::Reset | Self::Malformed | Self::LineTooLong => {
                Some(Input::ProxyLeft { proxy })
            }
            Self::Replaced | Self::SlowReader => Some(Input::ProxyLeft { proxy }),
            // Connections without a joined proxy.
            Self::Protocol | Self::JoinTimeout | Self::Evicted => None,
            // The decision module is not called any more.
            Self::Shutdown => None,
        }
    }

    /// The counter name, also used in log lines.
    pub fn counter(self) -> &'static str {
        match self {
            Self::Closed => "ended: closed",
            Self::Reset => "ended: reset",
            Self::Malformed => "ended: unreadable",
            Self::LineTooLong => "ended: too long a line",
            Self::Protocol => "ended: out of turn",
            Self::JoinTimeout => "ended: not joined in time",
            Self::Replaced => "ended: replaced",
            Self::SlowReader => "ended: left unread",
            Self::Evicted => "ended: crowded out",
            Self::Shutdown => "ended: stopping",
        }
    }
}
