//! Requests whose answer comes whole.

use std::time::Instant;

use bytes::Bytes;
use ntex::time::sleep;
use serde::Deserialize;

use super::Caller;
use super::Exchange;
use super::exchange::Turn;
use super::http;
use crate::work::Request;

impl Caller {
    /// Asks one entry after the other until one answers.
    pub(super) async fn whole(&self, request: &Request, first: u64) -> Exchange {
        let deadline = Instant::now() + self.manners.patience;
        let mut exchange = Exchange::default();
        let mut place = first;
        while let Turn::Again(pause) = self.ask(request, place, deadline, &mut exchange).await {
            sleep(pause).await;
            place += 1;
        }
        exchange
    }

    async fn ask(&self, request: &Request, place: u64, deadline: Instant, exchange: &mut Exchange) -> Turn {
        let entry = self.entry(place);
        let left = deadline.saturating_duration_since(Instant::now());
        let response = match self.http.send(entry, request, left, None).await {
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
        match http::body(response, self.manners.silence).await {
            Ok(body) => exchange.deliver(request, body),
            Err(cause) => {
                exchange.broke(&cause);
                exchange.after_break(deadline)
            }
        }
    }
}

impl Exchange {
    /// Notes a whole body; of a completion, the text that was generated.
    pub(super) fn deliver(&mut self, request: &Request, body: Bytes) -> Turn {
        if !request.kind.is_model() {
            return self.finish(body);
        }
        match serde_json::from_slice::<Completion>(&body) {
            Ok(completion) => {
                self.tokens = completion.usage.completion_tokens;
                self.finish(completion.text().into())
            }
            // The content check tells what is wrong with it.
            Err(_) => self.finish(body),
        }
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Completion {
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Usage,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Choice {
    message: Option<Message>,
    text: Option<String>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Message {
    content: Option<String>,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct Usage {
    completion_tokens: u32,
}

impl Completion {
    fn text(self) -> String {
        let first = self.choices.into_iter().next();
        first
            .and_then(|choice| choice.text.or_else(|| choice.message?.content))
            .unwrap_or_default()
    }
}
