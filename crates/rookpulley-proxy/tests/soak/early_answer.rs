//! Answers of instances that begin before a long request has been read, some of which are broken off.

use crate::task::{fill, header, read_body};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// The path of requests that are answered so.
pub const UPLOADS: &str = "/upload/";
/// The length of the body of each such answer, if it is whole.
pub const BODY_BYTES: usize = 40_000;
/// An instance that breaks its answer off after it has read a part of the request waits so long for that part.
const MAX_READ_TIME: Duration = Duration::from_millis(200);

/// How an instance states the end of its answer.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
    UntilClose,
}

/// What an instance does after half of its answer.
///
/// One that has received the whole request doesn't end in order: nobody could tell that it had broken its answer off. It
/// sends the other half.
#[derive(Clone, Copy, Debug)]
enum Course {
    /// It sends the other half and reads the request.
    AnswerThenRequest,
    /// It reads the request and sends the other half.
    RequestThenAnswer,
    /// It ends when it has worked, without reading on.
    EndUnread,
    /// It reads on while it works, and ends once a read returns after that.
    EndAfterReading,
    /// It resets the connection when it has worked.
    Reset,
}

/// How an answer has ended.
pub enum AnswerEnd {
    Whole,
    /// By the instance.
    BrokenOff,
    /// By the proxy.
    Failed,
}

/// An answer, as its request's id selects it.
#[derive(Clone, Copy, Debug)]
pub struct EarlyAnswer {
    framing: Framing,
    course: Course,
}

impl EarlyAnswer {
    pub fn select(id: &str) -> Self {
        let sum: usize = id.bytes().map(usize::from).sum();
        let framings = [Framing::Length, Framing::Chunks, Framing::UntilClose];
        let courses = [
            Course::AnswerThenRequest,
            Course::RequestThenAnswer,
            Course::AnswerThenRequest,
            Course::RequestThenAnswer,
            Course::EndUnread,
            Course::EndAfterReading,
            Course::Reset,
        ];
        Self {
            framing: framings[sum % framings.len()],
            course: courses[sum % courses.len()],
        }
    }

    /// Both halves.
    fn halves(self, id: &str) -> (Vec<u8>, Vec<u8>) {
        let half = vec![b'x'; BODY_BYTES / 2];
        let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n");
        let chunk = || {
            let size = format!("{:x}\r\n", half.len());
            [size.as_bytes(), &half, b"\r\n"].concat()
        };
        let with_head = |framing: &str, body: &[u8]| {
            [head.as_bytes(), framing.as_bytes(), b"\r\n", body].concat()
        };
        match self.framing {
            Framing::Length => {
                let length = format!("Content-Length: {BODY_BYTES}\r\n");
                (with_head(&length, &half), half)
            }
            Framing::Chunks => {
                let second = [chunk().as_slice(), b"0\r\n\r\n"].concat();
                (
                    with_head("Transfer-Encoding: chunked\r\n", &chunk()),
                    second,
                )
            }
            Framing::UntilClose => (with_head("Connection: close\r\n", &half), half),
        }
    }

    /// Plays the answer to a request whose head has been read, and some of its body.
    pub async fn play(
        self,
        stream: &mut TcpStream,
        received: &mut Vec<u8>,
        head: &str,
        work: Duration,
    ) -> AnswerEnd {
        let id = header(head, "request-id").unwrap_or_default();
        let (first, second) = self.halves(id);
        if stream.write_all(&first).await.is_err() {
            return AnswerEnd::Failed;
        }
        let is_whole = match self.course {
            Course::AnswerThenRequest => {
                sleep(work).await;
                stream.write_all(&second).await.is_ok()
                    && read_body(stream, received, head).await.is_some()
            }
            Course::RequestThenAnswer => {
                read_body(stream, received, head).await.is_some()
                    && stream.write_all(&second).await.is_ok()
            }
            Course::EndUnread | Course::EndAfterReading => {
                self.course.wait_before_end(stream, received, work).await;
                if received.len() < body_length(head) {
                    return AnswerEnd::BrokenOff;
                }
                received.clear();
                stream.write_all(&second).await.is_ok()
            }
            Course::Reset => {
                sleep(work).await;
                let socket = socket2::SockRef::from(&*stream);
                socket.set_linger(Some(Duration::ZERO)).unwrap();
                return AnswerEnd::BrokenOff;
            }
        };
        if !is_whole {
            return AnswerEnd::Failed;
        }
        if matches!(self.framing, Framing::UntilClose) {
            // What is still on its way is read, so that the connection is not reset.
            _ = stream.shutdown().await;
            while fill(stream, received).await.is_some() {}
        }
        AnswerEnd::Whole
    }
}

impl Course {
    /// Waits until the instance ends amid its answer.
    async fn wait_before_end(self, stream: &mut TcpStream, received: &mut Vec<u8>, work: Duration) {
        if !matches!(self, Self::EndAfterReading) {
            return sleep(work).await;
        }
        let reading = async { while fill(stream, received).await.is_some() {} };
        _ = timeout(work, reading).await;
        _ = timeout(MAX_READ_TIME, fill(stream, received)).await;
    }
}

/// The length of a request's body, which is stated.
fn body_length(head: &str) -> usize {
    header(head, "content-length").map_or(0, |length| length.parse().unwrap())
}
