//! Deferred requests: answered 202 at once, and fetched later from any entry.

use core::time::Duration;
use std::time::Instant;

use ntex::client::ClientResponse;
use ntex::http::StatusCode;
use ntex::time::sleep;

use super::Caller;
use super::Exchange;
use super::exchange;
use super::exchange::Turn;
use super::http;
use crate::work::Request;

const POLL: Duration = Duration::from_millis(100);

impl Caller {
    /// Files a job, then asks one entry after the other for its result.
    pub(super) async fn job(&self, request: &Request, first: u64) -> Exchange {
        let deadline = Instant::now() + self.manners.patience;
        let mut exchange = Exchange::default();
        let mut place = first;
        let location = loop {
            match self.file(request, place, deadline, &mut exchange).await {
                Filed::At(location) => break location,
                Filed::Not(Turn::Done) => return exchange,
                Filed::Not(Turn::Again(pause)) => sleep(pause).await,
            }
            place += 1;
        };
        loop {
            sleep(POLL).await;
            place += 1;
            match self.collect(request, &location, place, deadline, &mut exchange).await {
                Turn::Done => return exchange,
                Turn::Again(pause) => sleep(pause).await,
            }
        }
    }

    async fn file(&self, request: &Request, place: u64, deadline: Instant, exchange: &mut Exchange) -> Filed {
        let entry = self.entry(place);
        let left = deadline.saturating_duration_since(Instant::now());
        let response = match self.http.send(entry, request, left, None).await {
            Ok(response) => response,
            Err(cause) => {
                exchange.unanswered(entry, &cause.to_string());
                return Filed::Not(exchange.after_break(deadline));
            }
        };
        exchange.answered(entry, &response);
        if !response.status().is_success() {
            return Filed::Not(exchange.after_refusal(&response, &self.manners, deadline));
        }
        match (response.status(), location(&response)) {
            (StatusCode::ACCEPTED, Some(location)) => Filed::At(location),
            // The service may as well answer at once.
            _ => Filed::Not(self.take(request, response, deadline, exchange).await),
        }
    }

    async fn collect(
        &self,
        request: &Request,
        location: &str,
        place: u64,
        deadline: Instant,
        exchange: &mut Exchange,
    ) -> Turn {
        let entry = self.entry(place);
        let response = match self.http.fetch(entry, location, self.manners.silence).await {
            Ok(response) => response,
            Err(cause) => {
                exchange.unanswered(entry, &cause.to_string());
                return exchange.after_break(deadline);
            }
        };
        if response.status() == StatusCode::OK {
            exchange.answered(entry, &response);
            return self.take(request, response, deadline, exchange).await;
        }
        // Not there yet, or an entry that cannot tell at the moment: the result is asked for until the deadline.
        if response.status() != StatusCode::ACCEPTED {
            exchange.answered(entry, &response);
        }
        exchange.after_break(deadline)
    }

    async fn take(
        &self,
        request: &Request,
        response: ClientResponse,
        deadline: Instant,
        exchange: &mut Exchange,
    ) -> Turn {
        match http::body(response, self.manners.silence).await {
            Ok(body) => exchange.deliver(request, body),
            Err(cause) => {
                exchange.broke(&cause);
                exchange.after_break(deadline)
            }
        }
    }
}

/// Where a job was filed, or what its caller does next.
#[derive(Debug)]
enum Filed {
    At(String),
    Not(Turn),
}

/// Returns the path of a job's result, without the entry's own address.
fn location(response: &ClientResponse) -> Option<String> {
    let location = exchange::header(response.headers(), "location")?;
    let path = match location.split_once("://") {
        Some((_, rest)) => rest.find('/').map(|start| &rest[start..])?,
        None => location,
    };
    Some(path.to_owned())
}
