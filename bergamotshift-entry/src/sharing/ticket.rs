//! Admission decisions and the accounting of admitted requests.

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

/// Result of the admission decision on a request.
#[derive(Debug)]
pub enum Admission {
    /// The request may be sent to an endpoint now.
    Admitted(Ticket),
    /// The request is deferred.
    Deferred,
    /// The request is refused without having run.
    Refused(Refusal),
}

/// Decides on a request; `deferrable` states whether the rules and the caller allow it to run later.
pub fn decide(worker: &Worker, snapshot: &Snapshot, call: &Rc<Call>, deferrable: bool) -> Admission {
    let now = worker.shared.now();
    let table = &snapshot.sharing;
    let Some(size) = table.sizes.get(&call.service) else {
        return Admission::Admitted(Ticket::unaccounted(call));
    };
    let work = size.expected_work(&call.work);
    let expected = size.expected_cost(&call.work);
    let request = Request {
        urgency: call.urgency,
        target: call.times.first_token,
        deadline: call.times.deadline,
        deferrable,
        work,
    };
    let decision = worker.with_generator(|generator| {
        let limiter = &table.limiter;
        limiter.decide(now, &call.organisation, &call.service, request, expected, generator)
    });
    match decision {
        Some(Decision::Admit) => {
            size.record_admitted(work);
            let account = Account {
                table: table.clone(),
                size: Arc::clone(size),
                work,
                charged: expected,
            };
            Admission::Admitted(Ticket {
                account: Some(account),
                ..Ticket::unaccounted(call)
            })
        }
        Some(Decision::Defer) => Admission::Deferred,
        Some(Decision::Refuse { reason, retry_after }) => Admission::Refused(Refusal { reason, retry_after }),
        None => Admission::Admitted(Ticket::unaccounted(call)),
    }
}

/// Decides on a request that cannot be deferred.
///
/// # Errors
///
/// Returns the refusal to report to the caller; no byte was sent to an endpoint.
pub fn admit(worker: &Worker, snapshot: &Snapshot, call: &Rc<Call>) -> Result<Ticket, Refusal> {
    match decide(worker, snapshot, call, false) {
        Admission::Admitted(ticket) => Ok(ticket),
        Admission::Refused(refusal) => Err(refusal),
        // Not expected, as the request is not deferrable. Treated as a service that is too busy.
        Admission::Deferred => Err(Refusal {
            reason: Reason::Target,
            retry_after: call.times.first_token,
        }),
    }
}

/// Usage field of an answer that was not streamed.
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

/// State for the accounting of one admitted request.
#[derive(Debug)]
struct Account {
    table: Table,
    size: Arc<Size>,
    work: u64,
    /// Cost charged to the organisation's account for this request so far.
    charged: Cost,
}

/// Accounting of an admitted request, which corrects the organisation's account when the request ends.
#[derive(Debug)]
pub struct Ticket {
    call: Rc<Call>,
    account: Option<Account>,
    tokens: u64,
}

/// Minimum number of tokens beyond the charged cost for which the account is charged again.
const CHARGE_STEP_TOKENS: u64 = 64;

impl Ticket {
    /// Creates a ticket for a request that is not charged to an account.
    fn unaccounted(call: &Rc<Call>) -> Self {
        let call = Rc::clone(call);
        Self {
            call,
            account: None,
            tokens: 0,
        }
    }

    /// Counts tokens of a streamed answer as they arrive.
    pub fn count(&mut self, now: Instant, tokens: u64) {
        self.tokens += tokens;
        let Some(account) = &self.account else { return };
        let used = account.size.actual_cost(&self.call.work, self.tokens);
        if used.tokens >= account.charged.tokens + CHARGE_STEP_TOKENS {
            self.charge(now, used);
        }
    }

    /// Counts the tokens of a complete answer.
    pub fn count_whole(&mut self, now: Instant, body: &[u8]) {
        let answer: Answer = serde_json::from_slice(body).unwrap_or_default();
        self.count(now, answer.usage.completion_tokens);
    }

    /// Replaces the charged cost by the actual cost, which is zero for a request that did not run.
    pub fn settle(mut self, now: Instant, outcome: Outcome) {
        let Some(account) = &self.account else { return };
        let call = &self.call;
        account
            .table
            .limiter()
            .complete(&call.service, call.urgency, account.work);
        if outcome == Outcome::NotRun {
            return self.charge(now, Cost::default());
        }
        account.size.record_answered(self.tokens);
        let used = account.size.actual_cost(&self.call.work, self.tokens);
        self.charge(now, used);
    }

    fn charge(&mut self, now: Instant, used: Cost) {
        let Some(account) = &mut self.account else { return };
        let limiter = account.table.limiter();
        limiter.settle(now, &self.call.organisation, account.charged, used);
        account.charged = used;
    }
}
