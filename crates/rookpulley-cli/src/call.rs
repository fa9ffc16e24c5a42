//! HTTP client for an assigner's operator API and a controller's control API.

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

const TIMEOUT: Duration = Duration::from_secs(15);
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Reasons why a command has no result.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    #[error(
        "no assigner answers at {address}: {cause}; check that it runs with --operators and that its operators' file sets this address()"
    )]
    Unreachable { address: SocketAddr, cause: String },
    #[error("{0}")]
    Rejected(ApiError),
    #[error(
        "invalid response from {address}: {cause}; check which program listens on this address"
    )]
    InvalidResponse { address: SocketAddr, cause: String },
    #[error(
        "no controller answers at {address}: {cause}; set --at to the controlPlane address from its settings"
    )]
    NoController { address: SocketAddr, cause: String },
    #[error("{0}; {help}", help = miette::Diagnostic::help(.0).map(|help| help.to_string()).unwrap_or_default())]
    Store(InspectError),
    #[error("cannot read the token file {}: {cause}", file.display())]
    Token {
        file: PathBuf,
        cause: std::io::Error,
    },
}

impl CommandError {
    /// Exit code of the command.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Rejected(_) => 1,
            Self::Unreachable { .. }
            | Self::NoController { .. }
            | Self::Store(_)
            | Self::InvalidResponse { .. }
            | Self::Token { .. } => 3,
        }
    }
}

/// A server address with the bearer token for it, if any.
pub struct Client {
    address: SocketAddr,
    token: Option<String>,
}

impl Client {
    pub fn new(address: SocketAddr, token_file: Option<&Path>) -> Result<Self, CommandError> {
        let read = |file: &Path| {
            let text = std::fs::read_to_string(file);
            let text = text.map_err(|cause| CommandError::Token {
                file: file.into(),
                cause,
            })?;
            Ok(text.lines().next().unwrap_or_default().trim().to_string())
        };
        Ok(Self {
            address,
            token: token_file.map(read).transpose()?,
        })
    }

    /// Sends a request and returns the status and the decoded body. An `error` object in the body becomes `Rejected`.
    pub fn request<T: serde::de::DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Result<(u16, T), CommandError> {
        let unreachable = |cause: String| CommandError::Unreachable {
            address: self.address,
            cause,
        };
        let (status, bytes) = self.exchange(method, path, body).map_err(unreachable)?;
        let invalid_response = |e: serde_json::Error| CommandError::InvalidResponse {
            address: self.address,
            cause: e.to_string(),
        };
        let mut value: Value = serde_json::from_slice(&bytes).map_err(invalid_response)?;
        if !value["error"].is_null() {
            let rejection: ApiError =
                serde_json::from_value(value["error"].take()).map_err(invalid_response)?;
            return Err(CommandError::Rejected(rejection));
        }
        Ok((
            status,
            serde_json::from_value(value).map_err(invalid_response)?,
        ))
    }

    /// Wraps a decoding failure with the server's address.
    pub fn invalid_response(&self, cause: String) -> CommandError {
        CommandError::InvalidResponse {
            address: self.address,
            cause,
        }
    }

    /// Fetches a page from a controller. Any status other than 200 is an error.
    pub fn get_from_controller(&self, path: &str) -> Result<Bytes, CommandError> {
        let (status, bytes) =
            self.exchange("GET", path, None)
                .map_err(|cause| CommandError::NoController {
                    address: self.address,
                    cause,
                })?;
        match status {
            200 => Ok(bytes),
            status => Err(self.invalid_response(format!("unexpected status {status}"))),
        }
    }

    fn exchange(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Result<(u16, Bytes), String> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(|e| e.to_string())?;
        let result =
            runtime.block_on(async { timeout(TIMEOUT, self.send(method, path, body)).await });
        result.unwrap_or_else(|_| Err(format!("no response within {} s", TIMEOUT.as_secs())))
    }

    async fn send(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Result<(u16, Bytes), String> {
        let socket = TcpStream::connect(self.address)
            .await
            .map_err(|e| e.to_string())?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(socket))
            .await
            .map_err(|e| e.to_string())?;
        let mut request = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string());
        if let Some(token) = &self.token {
            request = request.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        if body.is_some() {
            request = request.header(CONTENT_TYPE, "application/json");
        }
        let body = Full::new(Bytes::from(body.map(Value::to_string).unwrap_or_default()));
        let request = request.body(body).map_err(|e| e.to_string())?;
        let response = async {
            let response = sender
                .send_request(request)
                .await
                .map_err(|e| e.to_string())?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
                .collect()
                .await;
            Ok((status, body.map_err(|e| e.to_string())?.to_bytes()))
        };
        // The connection must be polled for the response to make progress.
        tokio::pin!(response, connection);
        tokio::select! {
            response = &mut response => response,
            ended = &mut connection => match ended {
                Ok(()) => response.await,
                Err(e) => Err(e.to_string()),
            },
        }
    }
}
