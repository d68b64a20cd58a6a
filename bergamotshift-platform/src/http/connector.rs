//! Connector of the HTTP client.

use core::time::Duration;
use std::io;

use ntex::ServiceFactory;
use ntex::SharedCfg;
use ntex::connect::Connect;
use ntex::connect::ConnectError;
use ntex::connect::ConnectServiceError;
use ntex::http::Uri;
use ntex::io::Io;
use ntex::io::Layer;
use ntex::rt::from_tcp_stream;
use ntex::service::Service;
use ntex::service::ServiceCtx;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::socket;
use crate::unread::Unread;

/// Factory of [`Connector`]s.
#[derive(Clone, Copy, Debug)]
pub(super) struct Factory {
    /// Timeout for opening a connection.
    pub(super) connect_timeout: Duration,
}

/// Opens connections that discard their undelivered data when they are closed.
#[derive(Clone, Debug)]
pub(super) struct Connector {
    connect_timeout: Duration,
    shared: SharedCfg,
}

impl ServiceFactory<Connect<Uri>, SharedCfg> for Factory {
    type Response = Io<Layer<Unread>>;
    type Error = ConnectError;
    type Service = Connector;
    type InitError = ConnectServiceError;

    async fn create(&self, cfg: SharedCfg) -> Result<Self::Service, Self::InitError> {
        Ok(Connector {
            connect_timeout: self.connect_timeout,
            shared: cfg,
        })
    }
}

impl Service<Connect<Uri>> for Connector {
    type Response = Io<Layer<Unread>>;
    type Error = ConnectError;

    async fn call(&self, req: Connect<Uri>, _: ServiceCtx<'_, Self>) -> Result<Self::Response, ConnectError> {
        let connected = timeout(self.connect_timeout, TcpStream::connect((req.host(), req.port())));
        let stream = connected.await.map_err(io::Error::from)??;
        stream.set_nodelay(true)?;
        socket::reset_on_close(&stream)?;
        Ok(from_tcp_stream(stream.into_std()?, self.shared.clone())?.add_filter(Unread))
    }
}
