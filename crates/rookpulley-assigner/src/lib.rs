//! The assigner: runs the decision module and connects it to proxies, collectors, discovery and peers
//! over sockets. The README describes its structure.

pub mod close_reason;
pub mod config;
pub mod connections;
pub mod counters;
pub mod driver;
pub mod list_client;
pub mod log;
pub mod messages;
pub mod operators;
pub mod orders;
pub mod outbox;
pub mod peers;
pub mod reload;
pub mod server_file;

use close_reason::CloseReason;
use config::Config;
use connections::Connections;
use driver::{Context, Driver, Event, OptionalParts};
use list_client::{Backoff, ListClient};
use messages::List;
use operators::OperatorApi;
use peers::PeerSocket;
use reload::ConfigReloader;
use rookpulley::interface::Start;
use rookpulley_operators::{FileError, OperatorSettings};
use server_file::ServerFile;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;

/// File descriptors reserved for standard streams, the runtime, listeners and discovery requests.
const RESERVED_DESCRIPTORS: usize = 32;
const EVENT_QUEUE: usize = 1024;
/// Log lines of one kind that are written per rate-limit window.
const LOG_LINES_PER_WINDOW: u32 = 50;
const MB: f64 = 1024.0 * 1024.0;

#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("{0}")]
    Config(#[from] config::ConfigError),
    #[error("operators file {0}")]
    Operators(#[from] FileError),
    #[error("cannot bind {what} {address}: {error}")]
    Address {
        what: &'static str,
        address: SocketAddr,
        error: std::io::Error,
    },
    #[error("cannot create {0}: {1}")]
    System(&'static str, std::io::Error),
}

/// Handlers for SIGTERM, SIGUSR1 and SIGHUP. Once installed, they replace the default action,
/// which would terminate the process.
pub struct Signals {
    stop: Signal,
    print: Signal,
    reload: Signal,
}

impl Signals {
    /// Must be called within a Tokio runtime.
    pub fn take() -> Result<Self, StartError> {
        let take = |kind| signal(kind).map_err(|e| StartError::System("signal handlers", e));
        let (stop, print) = (
            take(SignalKind::terminate())?,
            take(SignalKind::user_defined1())?,
        );
        Ok(Self {
            stop,
            print,
            reload: take(SignalKind::hangup())?,
        })
    }
}

/// An assigner whose sockets are bound but that does not serve yet.
pub struct Assigner {
    pub ctx: Rc<Context>,
    listener: TcpListener,
    peer_socket: Option<Rc<PeerSocket>>,
    signals: Signals,
    reloader: ConfigReloader,
    events: mpsc::Receiver<Event>,
    discovery: SocketAddr,
    cached_list: List,
    tick_ms: f64,
    start: Start,
    operator_api: Option<OperatorApi>,
    optional: OptionalParts,
}

fn at(what: &'static str, address: SocketAddr) -> impl FnOnce(std::io::Error) -> StartError {
    move |error| StartError::Address {
        what,
        address,
        error,
    }
}

impl Assigner {
    pub async fn bind(
        config: Config,
        path: PathBuf,
        signals: Signals,
        operators: &OperatorSettings,
    ) -> Result<Self, StartError> {
        let Config {
            static_fields,
            name,
            listen,
            discovery,
            limits,
            peers,
            cached_list,
            mut codec,
            tick_ms,
            start,
        } = config;
        // The operator API and versions are disabled unless the operators file enables them.
        let operator_api = OperatorApi::bind(operators.address.as_ref()).await?;
        let manager = operators
            .versions
            .map(|keep| operators::version_manager(&name, keep, &start.channel));
        codec.versions = manager.is_some();
        let server_file = operators
            .servers
            .clone()
            .map(|file| ServerFile::new(file, &start, &codec));
        let listener = TcpListener::bind(listen)
            .await
            .map_err(at("listen address", listen))?;
        let mut peer_socket = None;
        if let Some(addresses) = peers {
            let address = addresses.listen;
            let socket = UdpSocket::bind(address)
                .await
                .map_err(at("peer address", address))?;
            peer_socket = Some(Rc::new(PeerSocket {
                socket,
                addresses,
                own_index: start.topology.index,
            }));
        }
        let (sender, events) = mpsc::channel(EVENT_QUEUE);
        let max_connections = limits.sockets.saturating_sub(RESERVED_DESCRIPTORS).max(1);
        let ctx = Rc::new(Context {
            log: log::Log::new(name, LOG_LINES_PER_WINDOW),
            counters: counters::Counters::default(),
            codec,
            conns: Connections::new(max_connections, (limits.memory_mb * MB / 4.0) as usize),
            events: sender,
        });
        let reloader = ConfigReloader {
            path,
            static_fields,
        };
        Ok(Self {
            ctx,
            listener,
            peer_socket,
            signals,
            reloader,
            events,
            discovery,
            cached_list,
            tick_ms,
            start,
            operator_api,
            optional: OptionalParts {
                manager,
                server_file,
            },
        })
    }

    /// The address of the operator API, if it is enabled.
    pub fn operators_address(&self) -> Option<SocketAddr> {
        self.operator_api.as_ref().and_then(OperatorApi::address)
    }

    /// The addresses of the listener and of the peer socket.
    pub fn addresses(&self) -> (Option<SocketAddr>, Option<SocketAddr>) {
        let peers = self
            .peer_socket
            .as_ref()
            .and_then(|n| n.socket.local_addr().ok());
        (self.listener.local_addr().ok(), peers)
    }

    /// Serves until SIGTERM. Must be called within a `LocalSet`.
    pub async fn serve(self) {
        let address = self.addresses().0;
        let Self {
            ctx,
            listener,
            peer_socket,
            signals,
            mut events,
            cached_list,
            start,
            operator_api,
            optional,
            ..
        } = self;
        let Signals {
            mut stop,
            mut print,
            reload,
        } = signals;
        let on_request = start.list.on_request;
        let list_client =
            ListClient::new(self.discovery, cached_list.version, on_request, ctx.clone());
        if !on_request {
            tokio::task::spawn_local(list_client.clone().follow(Backoff::new(start.seed)));
        }
        tokio::task::spawn_local(self.reloader.run(reload, list_client.clone(), ctx.clone()));
        if let Some(peers) = &peer_socket {
            tokio::task::spawn_local(peers.clone().receive(ctx.clone()));
        }
        if let Some(server_file) = &optional.server_file {
            server_file.spawn_watch(&ctx);
        }
        if let Some(operator_api) = operator_api {
            operator_api.spawn(&ctx);
        }
        if let Some(address) = address {
            log_event!(
                ctx.log,
                "start",
                "listening at {address}, {} servers known",
                cached_list.lines.len()
            );
        }
        let mut driver = Driver::start(
            ctx.clone(),
            start,
            cached_list,
            self.tick_ms,
            peer_socket,
            list_client,
            optional,
        );
        let mut listener = Some(listener);
        loop {
            // Accept no connections until the server list is known.
            if let Some(listener) = listener.take_if(|_| driver.knows_servers()) {
                tokio::task::spawn_local(connections::accept(listener, ctx.clone()));
            }
            tokio::select! {
                () = driver.run_once(&mut events) => {}
                _ = print.recv() => ctx.log_counters(),
                _ = stop.recv() => break,
            }
        }
        log_event!(ctx.log, "stop", "received SIGTERM, shutting down");
        ctx.counters
            .add(CloseReason::Shutdown.counter(), ctx.conns.count() as u64);
        ctx.log_counters();
    }
}
