//! Stand-in of a worker of a plain service.

use std::collections::HashMap;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::http::Message;

/// Run of a request at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// Worker that ran it.
    pub worker: String,
    /// Time at which the worker began.
    pub began: Instant,
    /// Whether the whole answer was written to the connection.
    pub is_answered: bool,
}

/// Runs of all workers, by the identifier of the request.
#[derive(Clone, Debug, Default)]
pub struct Runs(Arc<Mutex<HashMap<String, Vec<Run>>>>);

impl Runs {
    /// Locks the runs.
    pub fn lock(&self) -> MutexGuard<'_, HashMap<String, Vec<Run>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Worker that runs until the process ends.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Identifier.
    pub id: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Zone.
    pub zone: String,
    /// Service.
    pub service: String,
    work: Duration,
    runs: Runs,
}

impl Worker {
    /// Starts a worker on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if no port is free.
    pub fn start(id: &str, service: &str, zone: &str, work: Duration, runs: &Runs) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            zone: zone.to_owned(),
            service: service.to_owned(),
            work,
            runs: runs.clone(),
        };
        let server = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                // The end of one connection does not concern the others.
                thread::spawn(move || drop(server.serve(stream)));
            }
        });
        Ok(worker)
    }

    /// Returns its entry in the store.
    #[must_use]
    pub fn registration(&self, seq: u64) -> Value {
        json!({
            "service": self.service,
            "address": self.address.to_string(),
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": seq,
        })
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = http::read(&mut reader)? {
            self.answer(&mut stream, &request)?;
        }
        Ok(())
    }

    fn answer(&self, stream: &mut TcpStream, request: &Message) -> io::Result<()> {
        let id = request.field("x-request-id").unwrap_or_default().to_owned();
        let common = format!(
            "X-Request-Id: {id}\r\nX-Instance-Id: {}\r\nKeep-Alive: timeout=10\r\n",
            self.id
        );
        if request
            .field("x-expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            let text = format!("HTTP/1.1 421 X\r\n{common}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return stream.write_all(text.as_bytes());
        }
        if request.target().1 == "/health" {
            let text = format!("HTTP/1.1 200 OK\r\n{common}Content-Length: 0\r\n\r\n");
            return stream.write_all(text.as_bytes());
        }
        let index = {
            let mut runs = self.runs.lock();
            let runs = runs.entry(id.clone()).or_default();
            runs.push(Run {
                worker: self.id.clone(),
                began: Instant::now(),
                is_answered: false,
            });
            runs.len() - 1
        };
        thread::sleep(self.work);
        let body = format!("answer to {id}");
        let length = body.len();
        let text = format!(
            "HTTP/1.1 200 OK\r\n{common}X-Server-Seal: {id}.{length}\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        stream.write_all(text.as_bytes())?;
        if let Some(run) = self.runs.lock().get_mut(&id).and_then(|runs| runs.get_mut(index)) {
            run.is_answered = true;
        }
        Ok(())
    }
}
