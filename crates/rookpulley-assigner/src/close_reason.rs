//! Every way in which a connection can end, and what each means to the module.

use rookpulley::interface::{Input, ProxyId};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The other side closed it.
    Closed,
    /// It was reset, or reading or writing failed.
    Reset,
    /// It brought what can't be read.
    Malformed,
    /// It brought a line over the limit.
    LineTooLong,
    /// Its first message was neither a joining nor a collector's.
    Protocol,
    /// It had not joined in time.
    JoinTimeout,
    /// A new stream of the same proxy took its place.
    Replaced,
    /// It left too much unread.
    SlowReader,
    /// It had not joined, and its place was needed.
    Evicted,
    /// The assigner ends.
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
    /// What the module is told when the stream of a joined proxy ends like this.
    pub fn input(self, proxy: ProxyId) -> Option<Input> {
        match self {
            Self::Closed | Self::Reset | Self::Malformed | Self::LineTooLong => {
                Some(Input::ProxyLeft { proxy })
            }
            Self::Replaced | Self::SlowReader => Some(Input::ProxyLeft { proxy }),
            // Those have not joined.
            Self::Protocol | Self::JoinTimeout | Self::Evicted => None,
            // Nothing is ordered any more.
            Self::Shutdown => None,
        }
    }

    /// The name it is counted and logged by.
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
