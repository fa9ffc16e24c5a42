//! One call to an assigner's operators' address, or to a controller's control address.

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use hyper_util::rt::TokioIo;
use rookpulley_operators::api::ApiError;
use rookpulley_store::InspectError;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

const WITHIN: Duration = Duration::from_secs(15);
const ANSWER_MOST: usize = 64 << 20;

#[derive(Debug, thiserror::Error)]
pub enum CannotAsk {
    #[error(
        "no assigner answers at {at}: {why}; is it started with --operators, and does the file name this address()?"
    )]
    Unreachable { at: SocketAddr, why: String },
    #[error("{0}")]
    No(ApiError),
    #[error("the answer from {at} can't be read: {why}; is another program there?")]
    Unreadable { at: SocketAddr, why: String },
    #[error(
        "no controller answers at {at}: {why}; give its controlPlane address with --at, as its settings have it"
    )]
    NoController { at: SocketAddr, why: String },
    #[error("{0}; {help}", help = miette::Diagnostic::help(.0).map(|help| help.to_string()).unwrap_or_default())]
    Store(InspectError),
    #[error("the token file {} can't be read: {why}", file.display())]
    Token { file: PathBuf, why: std::io::Error },
}

impl CannotAsk {
    /// The code that the command ends with.
    pub fn code(&self) -> u8 {
        match self {
            Self::No(_) => 1,
            Self::Unreachable { .. }
            | Self::NoController { .. }
            | Self::Store(_)
            | Self::Unreadable { .. }
            | Self::Token { .. } => 3,
        }
    }
}

pub struct Place {
    at: SocketAddr,
    token: Option<String>,
}

impl Place {
    pub fn of(at: SocketAddr, token_file: Option<&Path>) -> Result<Self, CannotAsk> {
        let read = |file: &Path| {
            let text = std::fs::read_to_string(file);
            let text = text.map_err(|why| CannotAsk::Token {
                file: file.into(),
                why,
            })?;
            Ok(text.lines().next().unwrap_or_default().trim().to_string())
        };
        Ok(Self {
            at,
            token: token_file.map(read).transpose()?,
        })
    }

    /// The status and the answer; an answer that is an error is one here.
    pub fn ask<T: serde::de::DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Result<(u16, T), CannotAsk> {
        let unreachable = |why: String| CannotAsk::Unreachable { at: self.at, why };
        let (status, bytes) = self.reach(method, path, body).map_err(unreachable)?;
        let unreadable = |e: serde_json::Error| CannotAsk::Unreadable {
            at: self.at,
            why: e.to_string(),
        };
        let mut value: Value = serde_json::from_slice(&bytes).map_err(unreadable)?;
        if !value["error"].is_null() {
            let refusal: ApiError =
                serde_json::from_value(value["error"].take()).map_err(unreadable)?;
            return Err(CannotAsk::No(refusal));
        }
        Ok((status, serde_json::from_value(value).map_err(unreadable)?))
    }

    pub fn unreadable(&self, why: String) -> CannotAsk {
        CannotAsk::Unreadable { at: self.at, why }
    }

    /// What a controller shows.
    pub fn controller(&self, path: &str) -> Result<Bytes, CannotAsk> {
        let (status, bytes) = self
            .reach("GET", path, None)
            .map_err(|why| CannotAsk::NoController { at: self.at, why })?;
        match status {
            200 => Ok(bytes),
            status => Err(self.unreadable(format!("its status is {status}"))),
        }
    }

    fn reach(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Result<(u16, Bytes), String> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(|e| e.to_string())?;
        let answered =
            runtime.block_on(async { timeout(WITHIN, self.call(method, path, body)).await });
        answered.unwrap_or_else(|_| Err(format!("nothing came within {} s", WITHIN.as_secs())))
    }

    async fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Result<(u16, Bytes), String> {
        let socket = TcpStream::connect(self.at)
            .await
            .map_err(|e| e.to_string())?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(socket))
            .await
            .map_err(|e| e.to_string())?;
        let mut request = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.at.to_string());
        if let Some(token) = &self.token {
            request = request.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        if body.is_some() {
            request = request.header(CONTENT_TYPE, "application/json");
        }
        let body = Full::new(Bytes::from(body.map(Value::to_string).unwrap_or_default()));
        let request = request.body(body).map_err(|e| e.to_string())?;
        let answer = async {
            let answer = sender
                .send_request(request)
                .await
                .map_err(|e| e.to_string())?;
            let status = answer.status().as_u16();
            let body = Limited::new(answer.into_body(), ANSWER_MOST)
                .collect()
                .await;
            Ok((status, body.map_err(|e| e.to_string())?.to_bytes()))
        };
        // The connection does its work beside the answer, and ends with it.
        tokio::pin!(answer, connection);
        tokio::select! {
            answer = &mut answer => answer,
            ended = &mut connection => match ended {
                Ok(()) => answer.await,
                Err(e) => Err(e.to_string()),
            },
        }
    }
}
