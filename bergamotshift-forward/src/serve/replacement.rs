//! Streams that begin at another endpoint in place of a silent one.

use bytes::Bytes;
use tokio::time::timeout;

use super::Forwarder;
use super::attempt::Exchange;
use super::job::Job;
use crate::exchange::Connection;
use crate::exchange::Events;
use crate::exchange::Failure;
use crate::exchange::Framing;

/// Stream that another endpoint has begun in place of a silent one.
pub(super) struct Replacement {
    pub(super) exchange: Exchange,
    pub(super) events: Events,
    pub(super) first: Bytes,
}

impl Replacement {
    /// Waits for the first events of an answer that goes on after `last_event`.
    ///
    /// # Errors
    ///
    /// Returns the cause when the answer is no such stream.
    pub(super) async fn begin(
        forwarder: &Forwarder,
        job: &Job,
        mut exchange: Exchange,
        last_event: Option<u64>,
    ) -> Result<Self, &'static str> {
        if !exchange.head.status.is_success() || !exchange.head.is_event_stream() {
            return Err("failed");
        }
        let mut events = Events::after(last_event);
        let Exchange { head, connection, .. } = &mut exchange;
        let first = read_events(forwarder, job, connection, &mut head.framing, &mut events).await;
        let first = first.ok().flatten().ok_or("failed")?;
        Ok(Self {
            exchange,
            events,
            first,
        })
    }
}

/// Reads until at least one event is complete or the request's time is over; returns `None` at the end of the stream.
/// Nothing that was read is lost when the future is dropped.
pub(super) async fn read_events(
    forwarder: &Forwarder,
    job: &Job,
    connection: &mut Connection,
    framing: &mut Framing,
    events: &mut Events,
) -> Result<Option<Bytes>, Failure> {
    loop {
        let time_left = job.deadline.since(forwarder.shared.clock.now());
        if time_left.is_zero() {
            return Err(Failure::Silent);
        }
        let Ok(piece) = timeout(time_left, connection.body(framing)).await else {
            return Err(Failure::Silent);
        };
        let Some(piece) = piece? else {
            return Ok(None);
        };
        if let Some(events) = events.push(&piece) {
            return Ok(Some(events));
        }
        if events.is_oversized() {
            return Err(Failure::Malformed("an event is too large"));
        }
    }
}
