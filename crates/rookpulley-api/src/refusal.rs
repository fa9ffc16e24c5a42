//! Reasons for rejecting a message, each with its HTTP status and a hint on how to correct it.

/// Why a message was rejected. No handler runs for it, and the connection is closed after the reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum Refusal {
    #[error("the head can't be read as HTTP/1.1")]
    #[diagnostic(help(
        "send `METHOD /path HTTP/1.1`, then lines of `Name: value`, each on one line, then an empty line"
    ))]
    Head,
    #[error("the head is too long")]
    #[diagnostic(help("send fewer or shorter header lines"))]
    LongHead,
    #[error("this version of HTTP is not spoken here")]
    #[diagnostic(help("send HTTP/1.1"))]
    Version,
    #[error("this method is not known here")]
    #[diagnostic(help("send GET, PUT, POST or DELETE, in capitals"))]
    Method,
    #[error("the target is not a path")]
    #[diagnostic(help("send a target that begins with a slash and has no fragment"))]
    Target,
    #[error("a call has one Host line")]
    #[diagnostic(help("send `Host: name:port` once"))]
    Host,
    #[error("the length of the body is in doubt")]
    #[diagnostic(help(
        "send one Content-Length in plain digits, or one `Transfer-Encoding: chunked`, not both"
    ))]
    Length,
    #[error("this coding of the body is not known here")]
    #[diagnostic(help("send the body plain, with a Content-Length or in chunks"))]
    Coding,
    #[error("a chunk of the body can't be read")]
    #[diagnostic(help(
        "send each chunk as its size in hexadecimal digits, a line end, its bytes, a line end"
    ))]
    Chunk,
    #[error("the body is too large")]
    #[diagnostic(help("send a smaller body"))]
    LongBody,
    #[error("this expectation can't be met")]
    #[diagnostic(help("send `Expect: 100-continue` or no Expect"))]
    Expectation,
    #[error("the message came too slowly")]
    #[diagnostic(help("send the whole message without pauses"))]
    Slow,
    #[error("the message ended early")]
    #[diagnostic(help("send all of the body before closing"))]
    Cut,
    #[error("too much is being read from other callers")]
    #[diagnostic(help("send the same call again a little later"))]
    NoRoom,
}

impl Refusal {
    pub fn status(self) -> u16 {
        match self {
            Refusal::Head
            | Refusal::Target
            | Refusal::Host
            | Refusal::Length
            | Refusal::Chunk
            | Refusal::Cut => 400,
            Refusal::Slow => 408,
            Refusal::LongBody => 413,
            Refusal::Expectation => 417,
            Refusal::LongHead => 431,
            Refusal::Method | Refusal::Coding => 501,
            Refusal::NoRoom => 503,
            Refusal::Version => 505,
        }
    }
}
