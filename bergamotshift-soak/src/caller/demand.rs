//! Callers that ask model engines, and return when they are told to.

use core::ops::Range;
use core::sync::atomic::AtomicBool;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::thread;
use std::time::Instant;

use smol_str::SmolStr;

use super::Caller;
use super::Door;
use super::header;
use super::open;
use crate::demand::Demand;
use crate::demand::LONGEST;
use crate::fleet::Doors;
use crate::ledger::Attempt;
use crate::ledger::Outcome;
use crate::site::EVENTS;
use crate::site::HOST;
use crate::site::Kind;
use crate::site::PATIENCE;
use crate::site::Tenant;

/// The mean time between two requests of a caller, in milliseconds: a request lasts no longer unless it is sent again, so that
/// slow answers do not lower the demand.
const PERIOD_MS: u64 = 4_000;

/// How often a caller looks whether it is to stop.
const LOOK: Duration = Duration::from_millis(100);

/// Tokens of a prompt.
const TOKENS: Range<u64> = 1_000..4_000;

/// Of so many callers one ignores the time to return, and comes back at once.
const IGNORING: u64 = 8;

impl Caller {
    /// Sends requests of an organisation, or of any that overloads the engines while one does, until told to stop.
    pub fn demand(mut self, team: Option<usize>, demand: &Demand, doors: &Doors, stop: &AtomicBool) {
        let mut due = Instant::now() + Duration::from_millis(self.below(PERIOD_MS));
        while !stop.load(Ordering::Relaxed) {
            let wait = due.saturating_duration_since(Instant::now());
            thread::sleep(wait.min(LOOK));
            if wait > LOOK {
                continue;
            }
            if let Some(team) = team.or_else(|| demand.overload()) {
                self.generate(Tenant::Team(team), doors);
            }
            due = Instant::now().max(due + Duration::from_millis(PERIOD_MS / 2 + self.below(PERIOD_MS)));
        }
    }

    /// Sends one request, and again at another entry if it is refused and may be served in time.
    fn generate(&mut self, tenant: Tenant, doors: &Doors) {
        let begun = Instant::now();
        let tokens = TOKENS.start + self.below(TOKENS.end - TOKENS.start);
        let Some(door) = self.door(doors) else { return };
        let Some(first) = self.attempt(door, tenant, tokens, PATIENCE, None) else {
            return;
        };
        let left = PATIENCE.saturating_sub(begun.elapsed());
        let Some(after) = first.retry_after.filter(|after| *after <= left / LONGEST) else {
            return;
        };
        if !self.number.is_multiple_of(IGNORING) {
            thread::sleep(after);
        }
        let mut others = doors.open();
        others.retain(|other| other.entry != door.entry);
        if others.is_empty() {
            return;
        }
        let other = others[self.below(others.len() as u64) as usize];
        let left = PATIENCE.saturating_sub(begun.elapsed());
        self.attempt(other, tenant, tokens, left, Some(&first.id));
    }

    /// Sends one attempt to an entry; returns what is known of it, or `None` if the entry was not reached.
    fn attempt(
        &mut self,
        door: Door,
        tenant: Tenant,
        tokens: u64,
        left: Duration,
        first: Option<&SmolStr>,
    ) -> Option<Attempt> {
        self.connection = Some(open(door).ok()?);
        self.is_fresh = true;
        let id = self.next_id();
        // The same method, path and body tell an entry that a caller returns.
        let request = first.unwrap_or(&id).clone();
        let text = format!(
            "POST {}{request} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: {} {}\r\n{}: {id}\r\n{}: {}\r\n\
             {}: {tokens},{EVENTS}\r\ncontent-length: 2\r\n\r\n{{}}",
            Kind::Generate.prefix(),
            self.dialect.key_scheme,
            tenant.key(),
            self.dialect.request,
            self.dialect.time_left,
            left.as_millis(),
            self.dialect.size,
        );
        let (outcome, head) = self.exchange(&id, &text, Kind::Generate, tenant, None);
        let is_refused = matches!(outcome, Outcome::Answered(429 | 503));
        let told = header(&head, "retry-after").and_then(|text| text.parse().ok());
        let attempt = Attempt {
            id,
            request,
            left,
            retry_after: told.filter(|_| is_refused).map(Duration::from_secs_f64),
        };
        self.ledger.book().attempts.push(attempt.clone());
        Some(attempt)
    }
}
