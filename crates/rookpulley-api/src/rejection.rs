//! Reasons for rejecting a message, each with its HTTP status and a hint on how to correct it.

/// Why a message was rejected. No handler runs for it, and the connection is closed after the reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum Rejection {
    #[error("the head can't be read as HTTP/1.1")]
    #[diagnostic(help(
        "send `METHOD /path HTTP/1.1`, then lines of `Name: value`, each on one line, then an empty line"
    ))]
    InvalidHead,
    #[error("the head is too long")]
    #[diagnostic(help("send fewer or shorter header lines"))]
    HeadTooLong,
    #[error("this version of HTTP is not spoken here")]
    #[diagnostic(help("send HTTP/1.1"))]
    Version,
    #[error("this method is not known here")]
    #[diagnostic(help("send GET, PUT, POST or DELETE, in capitals"))]
    UnknownMethod,
    #[error("the target is not a path")]
    #[diagnostic(help("send a target that begins with a slash and has no fragment"))]
    InvalidTarget,
    #[error("a call has one Host line")]
    #[diagnostic(help("send `Host: name:port` once"))]
    InvalidHost,
    #[error("the length of the body is in doubt")]
    #[diagnostic(help(
        "send one Content-Length in plain digits, or one `Transfer-Encoding: chunked`, not both"
    ))]
    InvalidLength,
    #[error("this coding of the body is not known here")]
    #[diagnostic(help("send the body plain, with a Content-Length or in chunks"))]
    UnknownCoding,
    #[error("a chunk of the body can't be read")]
    #[diagnostic(help(
        "send each chunk as its size in hexadecimal digits, a line end, its bytes, a line end"
    ))]
    InvalidChunk,
    #[error("the body is too large")]
    #[diagnostic(help("send a smaller body"))]
    BodyTooLong,
    #[error("this expectation can't be met")]
    #[diagnostic(help("send `Expect: 100-continue` or no Expect"))]
    Expectation,
    #[error("the message came too slowly")]
    #[diagnostic(help("send the whole message without pauses"))]
    Timeout,
    #[error("the message ended early")]
    #[diagnostic(help("send all of the body before closing"))]
    Truncated,
    #[error("too much is being read from other callers")]
    #[diagnostic(help("send the same call again a little later"))]
    OutOfMemory,
}

impl Rejection {
    pub fn status(self) -> u16 {
        match self {
            Rejection::InvalidHead
            | Rejection::InvalidTarget
            | Rejection::InvalidHost
            | Rejection::InvalidLength
            | Rejection::InvalidChunk
            | Rejection::Truncated => 400,
            Rejection::Timeout => 408,
            Rejection::BodyTooLong => 413,
            Rejection::Expectation => 417,
            Rejection::HeadTooLong => 431,
            Rejection::UnknownMethod | Rejection::UnknownCoding => 501,
            Rejection::OutOfMemory => 503,
            Rejection::Version => 505,
        }
    }
}
