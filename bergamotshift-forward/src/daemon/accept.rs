//! Accepts callers' connections on the thread that serves them, and no more than there is room for.

use core::time::Duration;
use std::io;
use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use futures_util::future::join;
use ntex::Pipeline;
use ntex::Service;
use ntex::SharedCfg;
use ntex::io::Io;
use ntex::rt::from_tcp_stream;
use tokio::net::TcpListener;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::sleep;

use crate::serve::Forwarder;

/// Number of connections above the maximum: the one that is about to be admitted, while another is closed for it.
const MARGIN: usize = 1;

/// Time after a failure to accept a connection, such as for want of descriptors.
const PAUSE: Duration = Duration::from_millis(50);

/// Owner of a listener for callers, which is closed when this is dropped.
#[derive(Debug)]
pub(super) struct Door(#[expect(dead_code, reason = "its end closes the listener")] watch::Sender<()>);

/// Way of one thread to accept connections from a listener as long as its owner keeps it open.
#[derive(Clone, Debug)]
pub(super) struct Acceptor {
    listener: Arc<Mutex<Option<StdListener>>>,
    open: watch::Receiver<()>,
}

impl Door {
    pub(super) fn new(listener: StdListener) -> (Self, Acceptor) {
        let (sender, open) = watch::channel(());
        let listener = Arc::new(Mutex::new(Some(listener)));
        (Self(sender), Acceptor { listener, open })
    }
}

impl Acceptor {
    /// Accepts connections and serves each on a task of its own until the listener is closed.
    ///
    /// A connection has its place from before it is accepted until its descriptor is closed. Connections without a place
    /// wait in the queue of the operating system, so a crowd takes no more descriptors than there are places.
    pub(super) async fn run<S>(mut self, forwarder: Rc<Forwarder>, service: Pipeline<S>, config: SharedCfg)
    where
        S: Service<Io> + 'static,
    {
        match self.listen() {
            Ok(listener) => tokio::select! {
                _closed = self.open.changed() => {}
                () = accept(&listener, &forwarder, &service, &config) => {}
            },
            Err(error) => forwarder.log_not_accepted(&error),
        }
    }

    /// Takes the listener, which only one thread can have.
    fn listen(&self) -> io::Result<TcpListener> {
        let listener = self.listener.lock().unwrap_or_else(PoisonError::into_inner).take();
        let listener = listener.ok_or(io::ErrorKind::NotConnected)?;
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    }
}

async fn accept<S>(listener: &TcpListener, forwarder: &Forwarder, service: &Pipeline<S>, config: &SharedCfg)
where
    S: Service<Io> + 'static,
{
    let places = Arc::new(Semaphore::new(forwarder.max_callers() + MARGIN));
    while let Ok(place) = Arc::clone(&places).acquire_owned().await {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                forwarder.log_not_accepted(&error);
                sleep(PAUSE).await;
                continue;
            }
        };
        let connection = stream
            .into_std()
            .and_then(|stream| from_tcp_stream(stream, config.clone()));
        match connection {
            Ok(connection) => {
                forwarder.admit_connection(&connection.get_ref());
                ntex::rt::spawn(serve(service.clone(), connection, place));
            }
            Err(error) => forwarder.log_not_accepted(&error),
        }
    }
}

/// Serves a connection, which keeps its place until its descriptor is closed.
async fn serve<S: Service<Io>>(service: Pipeline<S>, connection: Io, place: OwnedSemaphorePermit) {
    let ended = connection.on_disconnect();
    let closed = async {
        ended.await;
        // The tasks that hold the descriptor have been woken, and end first.
        yield_now().await;
        drop(place);
    };
    // The service has answered or ended the connection, and its errors concern no one else.
    let (_, ()) = join(service.call(connection), closed).await;
}
