//! Every way in which a connection can end, and what each means to the module.

use rookpulley::interface::{Input, ProxyId};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The other side closed it.
    Closed,
    /// It was reset, or reading or writing failed.
    Reset,
    /// It brought what can't be read.
    Unreadable,
    /// It brought a line over the limit.
    TooLong,
    /// Its first message was neither a joining nor a collector's.
    OutOfTurn,
    /// It had not joined in time.
    NotJoined,
    /// A new stream of the same proxy took its place.
    Replaced,
    /// It left too much unread.
    Unread,
    /// It had not joined, and its place was needed.
    Crowded,
    /// The assigner ends.
    Stopping,
}

pub const ALL: [Ending; 10] = [
    Ending::Closed,
    Ending::Reset,
    Ending::Unreadable,
    Ending::TooLong,
    Ending::OutOfTurn,
    Ending::NotJoined,
    Ending::Replaced,
    Ending::Unread,
    Ending::Crowded,
    Ending::Stopping,
];

impl Ending {
    /// What the module is told when the stream of a joined proxy ends like this.
    pub fn input(self, proxy: ProxyId) -> Option<Input> {
        match self {
            Self::Closed | Self::Reset | Self::Unreadable | Self::TooLong => {
                Some(Input::ProxyLeft { proxy })
            }
            Self::Replaced | Self::Unread => Some(Input::ProxyLeft { proxy }),
            // Those have not joined.
            Self::OutOfTurn | Self::NotJoined | Self::Crowded => None,
            // Nothing is ordered any more.
            Self::Stopping => None,
        }
    }

    /// The name it is counted and logged by.
    pub fn count(self) -> &'static str {
        match self {
            Self::Closed => "ended: closed",
            Self::Reset => "ended: reset",
            Self::Unreadable => "ended: unreadable",
            Self::TooLong => "ended: too long a line",
            Self::OutOfTurn => "ended: out of turn",
            Self::NotJoined => "ended: not joined in time",
            Self::Replaced => "ended: replaced",
            Self::Unread => "ended: left unread",
            Self::Crowded => "ended: crowded out",
            Self::Stopping => "ended: stopping",
        }
    }
}
