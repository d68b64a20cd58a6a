//! Requests whose answer streams, taken up again where it broke off.

use core::pin::pin;
use core::time::Duration;
use std::borrow::Cow;
use std::time::Instant;

use eventsource_stream::Eventsource;
use futures_util::Stream;
use futures_util::StreamExt;
use ntex::time::sleep;
use serde::Deserialize;

use super::Caller;
use super::Exchange;
use super::exchange::Turn;
use crate::work::Request;

const END: &str = "[DONE]";

/// What came of a stream so far.
#[derive(Debug, Default)]
pub(crate) struct Text {
    pub(crate) whole: String,
    pub(crate) tokens: u32,
    pub(crate) last_event: Option<String>,
    pub(crate) first: Option<Instant>,
    latest: Option<Instant>,
}

impl Caller {
    /// Reads a stream to its end, from one entry after the other.
    pub(super) async fn stream(&self, request: &Request, first: u64, gap: &impl Fn(Duration)) -> Exchange {
        let deadline = Instant::now() + self.manners.patience;
        let mut exchange = Exchange::default();
        let mut text = Text::default();
        let mut place = first;
        while let Turn::Again(pause) = self
            .listen(request, place, deadline, &mut exchange, &mut text, gap)
            .await
        {
            sleep(pause).await;
            place += 1;
        }
        exchange.first_token = text.first;
        exchange
    }

    async fn listen(
        &self,
        request: &Request,
        place: u64,
        deadline: Instant,
        exchange: &mut Exchange,
        text: &mut Text,
        gap: &impl Fn(Duration),
    ) -> Turn {
        let entry = self.entry(place);
        let sent = self
            .http
            .send(entry, request, self.manners.silence, text.last_event.as_deref())
            .await;
        let response = match sent {
            Ok(response) => response,
            Err(cause) => {
                exchange.unanswered(entry, &cause.to_string());
                return exchange.after_break(deadline);
            }
        };
        exchange.answered(entry, &response);
        if !response.status().is_success() {
            return exchange.after_refusal(&response, &self.manners, deadline);
        }
        let read = read(response, self.manners.silence, text, gap).await;
        exchange.tokens = text.tokens;
        match read {
            Ok(()) => exchange.finish(core::mem::take(&mut text.whole).into()),
            Err(cause) => {
                exchange.broke(&cause);
                text.rewind();
                exchange.after_break(deadline)
            }
        }
    }
}

impl Text {
    /// Forgets what came from a server that numbers no events: the next one starts over.
    fn rewind(&mut self) {
        if self.last_event.is_none() {
            self.whole.clear();
            self.tokens = 0;
        }
    }

    fn take(&mut self, part: &str, gap: &impl Fn(Duration)) {
        if part.is_empty() {
            return;
        }
        let now = Instant::now();
        self.first.get_or_insert(now);
        if let Some(latest) = self.latest.replace(now) {
            gap(now - latest);
        }
        self.whole.push_str(part);
        self.tokens += 1;
    }
}

/// Reads events up to the terminal one.
///
/// # Errors
///
/// Returns why the stream ended without it: cut, silent, broken or ended by an error event.
pub(crate) async fn read<S, B, E>(
    bytes: S,
    silence: Duration,
    text: &mut Text,
    gap: &impl Fn(Duration),
) -> Result<(), String>
where
    S: Stream<Item = Result<B, E>>,
    B: AsRef<[u8]>,
    E: core::fmt::Display,
{
    let mut events = pin!(bytes.eventsource());
    loop {
        let event = match ntex::time::timeout(silence, events.next()).await {
            Err(()) => return Err("the stream fell silent".to_owned()),
            Ok(None) => return Err("the stream ended without its terminal event".to_owned()),
            Ok(Some(Err(cause))) => return Err(cause.to_string()),
            Ok(Some(Ok(event))) => event,
        };
        if event.data == END {
            return Ok(());
        }
        let chunk: Chunk<'_> = serde_json::from_str(&event.data).map_err(|cause| format!("a broken event: {cause}"))?;
        if let Some(error) = chunk.error {
            return Err(format!("an error event: {error}"));
        }
        for choice in &chunk.choices {
            text.take(choice.part(), gap);
        }
        if !event.id.is_empty() {
            text.last_event = Some(event.id);
        }
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Chunk<'a> {
    #[serde(default, borrow)]
    choices: Vec<Choice<'a>>,
    error: Option<serde_json::Value>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(borrow)]
    delta: Option<Delta<'a>>,
    #[serde(borrow)]
    text: Option<Cow<'a, str>>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Delta<'a> {
    #[serde(borrow)]
    content: Option<Cow<'a, str>>,
}

impl Choice<'_> {
    fn part(&self) -> &str {
        let delta = self.delta.as_ref().and_then(|delta| delta.content.as_deref());
        delta.or(self.text.as_deref()).unwrap_or_default()
    }
}
