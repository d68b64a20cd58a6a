//! The decision on a request, and the account of what it used.

use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::admission::Decision;
use bergamotshift_limit::admission::Reason;
use bergamotshift_limit::admission::Request;
use bergamotshift_limit::quota::Cost;
use serde::Deserialize;

use super::Refusal;
use super::Table;
use super::size::Size;
use crate::exchange::Call;
use crate::snapshot::Snapshot;
use crate::worker::Worker;

/// Whether a request goes on.
#[derive(Debug)]
pub enum Admission {
    /// It goes on to an endpoint now.
    Admitted(Ticket),
    /// It is to be kept for later.
    Deferred,
    /// It gets its final answer now: not run.
    Refused(Refusal),
}

/// Decides on a request; `deferrable` says whether rules and caller let it run later.
pub fn decide(worker: &Worker, snapshot: &Snapshot, call: &Rc<Call>, deferrable: bool) -> Admission {
    let now = worker.shared.now();
    let table = &snapshot.sharing;
    let Some(size) = table.sizes.get(&call.service) else {
        return Admission::Admitted(Ticket::free(call));
    };
    let work = size.work(&call.work);
    let expected = size.cost(&call.work);
    let request = Request {
        urgency: call.urgency,
        target: call.times.first_token,
        deadline: call.times.deadline,
        deferrable,
        work,
    };
    let decision = worker.with_generator(|generator| {
        let desk = &table.desk;
        desk.decide(now, &call.organisation, &call.service, request, expected, generator)
    });
    match decision {
        Some(Decision::Admit) => {
            size.admitted(work);
            let account = Account {
                table: table.clone(),
                size: Arc::clone(size),
                work,
                charged: expected,
            };
            Admission::Admitted(Ticket {
                account: Some(account),
                ..Ticket::free(call)
            })
        }
        Some(Decision::Defer) => Admission::Deferred,
        Some(Decision::Refuse { reason, retry_after }) => Admission::Refused(Refusal { reason, retry_after }),
        None => Admission::Admitted(Ticket::free(call)),
    }
}

/// Decides on a request that cannot be kept for later.
///
/// # Errors
///
/// Returns the refusal that its caller is told of; no byte went towards an endpoint.
pub fn admit(worker: &Worker, snapshot: &Snapshot, call: &Rc<Call>) -> Result<Ticket, Refusal> {
    match decide(worker, snapshot, call, false) {
        Admission::Admitted(ticket) => Ok(ticket),
        Admission::Refused(refusal) => Err(refusal),
        // Only what is deferrable is kept for later; were it not so, the service would be too busy.
        Admission::Deferred => Err(Refusal {
            reason: Reason::Target,
            retry_after: call.times.first_token,
        }),
    }
}

/// What an answer that came whole says of its size.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct Answer {
    usage: Usage,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct Usage {
    completion_tokens: u64,
}

#[derive(Debug)]
struct Account {
    table: Table,
    size: Arc<Size>,
    work: u64,
    /// What the organisation's account holds for this request so far.
    charged: Cost,
}

/// Counts what an admitted request uses, and corrects its organisation's account at its end.
#[derive(Debug)]
pub struct Ticket {
    call: Rc<Call>,
    account: Option<Account>,
    tokens: u64,
}

/// Tokens beyond what was expected are charged so many at a time.
const CHARGED_TOKENS: u64 = 64;

impl Ticket {
    /// Makes a ticket of a request that no account counts.
    fn free(call: &Rc<Call>) -> Self {
        let call = Rc::clone(call);
        Self {
            call,
            account: None,
            tokens: 0,
        }
    }

    /// Counts tokens of the answer as they arrive.
    pub fn count(&mut self, now: Instant, tokens: u64) {
        self.tokens += tokens;
        let Some(account) = &self.account else { return };
        let used = account.size.used(&self.call.work, self.tokens);
        if used.tokens >= account.charged.tokens + CHARGED_TOKENS {
            self.charge(now, used);
        }
    }

    /// Counts the tokens of an answer that came whole.
    pub fn count_whole(&mut self, now: Instant, body: &[u8]) {
        let answer: Answer = serde_json::from_slice(body).unwrap_or_default();
        self.count(now, answer.usage.completion_tokens);
    }

    /// Corrects the organisation's account to what the request did use; one that did not run used nothing.
    pub fn settle(mut self, now: Instant, outcome: Outcome) {
        let Some(account) = &self.account else { return };
        let call = &self.call;
        account.table.desk().complete(&call.service, call.urgency, account.work);
        if outcome == Outcome::NotRun {
            return self.charge(now, Cost::default());
        }
        account.size.answered(self.tokens);
        let used = account.size.used(&self.call.work, self.tokens);
        self.charge(now, used);
    }

    fn charge(&mut self, now: Instant, used: Cost) {
        let Some(account) = &mut self.account else { return };
        let desk = account.table.desk();
        desk.settle(now, &self.call.organisation, account.charged, used);
        account.charged = used;
    }
}
