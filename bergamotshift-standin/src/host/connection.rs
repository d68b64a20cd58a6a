//! Accepts connections and cuts them.

use core::time::Duration;
use std::io;
use std::net::Shutdown;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_core::vm::Incarnation;
use ntex::Pipeline;
use ntex::ServiceFactory;
use ntex::SharedCfg;
use ntex::fn_service;
use ntex::http::HttpService;
use ntex::http::HttpServiceConfig;
use ntex::http::Request;
use ntex::io::Io;
use ntex::time::Seconds;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::control::Control;
use super::control::Phase;
use super::exchange::Exchange;
use super::exchange::Site;

const KEEP_ALIVE: Seconds = Seconds(120);

/// Cuts a connection: unsent data is thrown away and the peer sees it end in the middle.
pub(super) fn cut(stream: &std::net::TcpStream) {
    drop(SockRef::from(stream).set_linger(Some(Duration::ZERO)));
    drop(stream.shutdown(Shutdown::Both));
}

/// Serves `site` until the host stops; to be called on a thread of the pool.
pub(super) fn serve(control: Arc<Control>, site: Arc<dyn Site>) {
    ntex::rt::spawn(async move {
        let mut phase = control.phase();
        let exchange = Rc::new(Exchange::new(Arc::clone(&control), site));
        loop {
            let current = *phase.borrow_and_update();
            match current {
                Phase::Stopped => return,
                Phase::Down => {}
                Phase::Up(incarnation) => drop(listen(&control, &exchange, incarnation, &mut phase).await),
            }
            // While it is up, the listening ends only with a change of phase or an error of the listener.
            if *phase.borrow() == current && phase.changed().await.is_err() {
                return;
            }
        }
    });
}

/// Takes a connection in, unless the host went down meanwhile.
fn open(control: &Control, incarnation: Incarnation, stream: TcpStream, config: &SharedCfg) -> io::Result<(u64, Io)> {
    let stream = stream.into_std()?;
    let id = control
        .opened(stream.try_clone()?, incarnation)
        .ok_or(io::ErrorKind::ConnectionReset)?;
    let io = ntex::rt::from_tcp_stream(stream, config.clone()).inspect_err(|_| control.closed(id))?;
    Ok((id, io))
}

async fn listen(
    control: &Arc<Control>,
    exchange: &Rc<Exchange>,
    incarnation: Incarnation,
    phase: &mut watch::Receiver<Phase>,
) -> io::Result<()> {
    let listener = TcpListener::from_std(control.listener()?)?;
    let config = SharedCfg::new("standin")
        .add(
            HttpServiceConfig::new()
                .set_keepalive(KEEP_ALIVE)
                .set_client_timeout(KEEP_ALIVE),
        )
        .build();
    let shared = Rc::clone(exchange);
    let factory = HttpService::h1(fn_service(move |request: Request| {
        let exchange = Rc::clone(&shared);
        async move { Ok::<_, io::Error>(exchange.answer(request, incarnation).await) }
    }));
    let service = factory
        .create(config.clone())
        .await
        .map_err(|()| io::ErrorKind::Other)?;
    let pipeline = Pipeline::new(service).bind();
    loop {
        let stream = tokio::select! {
            biased;
            _ = phase.changed() => return Ok(()),
            accepted = listener.accept() => accepted,
        };
        let Ok((id, io)) = stream.and_then(|(stream, _)| open(control, incarnation, stream, &config)) else {
            // One connection went wrong, or there is no room for one more at the moment; the next may do.
            tokio::task::yield_now().await;
            continue;
        };
        let call = pipeline.call(io);
        let control = Arc::clone(control);
        ntex::rt::spawn(async move {
            drop(call.await);
            control.closed(id);
        });
    }
}
