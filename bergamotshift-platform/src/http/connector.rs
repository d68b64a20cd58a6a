//! Opens the connections of the HTTP client.

use core::time::Duration;
use std::io;

use ntex::ServiceFactory;
use ntex::SharedCfg;
use ntex::connect::Connect;
use ntex::connect::ConnectError;
use ntex::connect::ConnectServiceError;
use ntex::http::Uri;
use ntex::io::Io;
use ntex::rt::from_tcp_stream;
use ntex::service::Service;
use ntex::service::ServiceCtx;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::socket;

/// Opens connections that drop what they have not delivered when a call is given up.
#[derive(Clone, Copy, Debug)]
pub(super) struct Connector {
    /// How long a connection may take to come about.
    pub(super) patience: Duration,
}

/// A [`Connector`] with its configuration.
#[derive(Clone, Debug)]
pub(super) struct Dialer {
    patience: Duration,
    shared: SharedCfg,
}

impl ServiceFactory<Connect<Uri>, SharedCfg> for Connector {
    type Response = Io;
    type Error = ConnectError;
    type Service = Dialer;
    type InitError = ConnectServiceError;

    async fn create(&self, cfg: SharedCfg) -> Result<Self::Service, Self::InitError> {
        Ok(Dialer {
            patience: self.patience,
            shared: cfg,
        })
    }
}

impl Service<Connect<Uri>> for Dialer {
    type Response = Io;
    type Error = ConnectError;

    async fn call(&self, req: Connect<Uri>, _: ServiceCtx<'_, Self>) -> Result<Io, ConnectError> {
        let connected = timeout(self.patience, TcpStream::connect((req.host(), req.port())));
        let stream = connected.await.map_err(io::Error::from)??;
        stream.set_nodelay(true)?;
        socket::reset_on_close(&stream)?;
        Ok(from_tcp_stream(stream.into_std()?, self.shared.clone())?)
    }
}
