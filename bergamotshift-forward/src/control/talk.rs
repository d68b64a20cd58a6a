//! Exchanges state with other entries: builds this entry's state and applies the states received.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use slog::info;

use super::Control;
use super::inner::Holder;
use super::inner::Inner;
use super::inner::core_share;
use crate::duty::Handover;
use crate::follow::Checkpoint;
use crate::limits::Keeper;
use crate::observe::Topic;
use crate::outside::Cursor;
use crate::peers::Freshness;
use crate::peers::Question;
use crate::peers::Registrations;
use crate::peers::Reply;
use crate::peers::Stage;
use crate::peers::State;
use crate::peers::Times;
use crate::peers::Usage;
use crate::view::Shared;

/// Maximum time in which the limit on uploads pays for those before, when another whole list is sent. A list of any length
/// is sent after that time.
const MAX_UPLOAD_DEBT: Duration = Duration::from_secs(1);

/// Converts a checkpoint to the form in which it is sent to other entries.
pub(super) fn freshness(checkpoint: &Checkpoint, now: Instant) -> Option<Freshness> {
    checkpoint.age(now).map(|age| Freshness {
        cursor: checkpoint.cursor(),
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    })
}

/// Updates a checkpoint from another entry that has the same data.
pub(super) fn confirm(checkpoint: &mut Checkpoint, now: Instant, freshness: Option<Freshness>) {
    if let Some(Freshness { cursor, age_ms }) = freshness {
        checkpoint.confirm(now, cursor, age(age_ms));
    }
}

/// Converts an age from the form in which it is sent to other entries.
fn age(millis: u32) -> Duration {
    Duration::from_millis(millis.into())
}

/// What the recipient of a state needs of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Recipient {
    /// Whether it needs only the brief form.
    pub is_brief: bool,
    /// Whether it needs the counts of usage windows, as the holder of the duties does. In a small fleet any entry may
    /// become the holder at once, and in a large one each entry contacts the holder every other second.
    pub needs_usage: bool,
}

impl Recipient {
    /// A seed, of which nothing is known but its address.
    pub const SEED: Self = Self {
        is_brief: false,
        needs_usage: true,
    };

    /// Returns the part of a state that the recipient needs.
    pub fn select(self, state: State) -> State {
        let state = if self.is_brief { state.brief() } else { state };
        if self.needs_usage { state } else { state.without_usage() }
    }
}

impl Control {
    /// Returns the times of a question to another entry; `None` stands for a seed, of which only the address is known.
    pub fn times(&self, entry: Option<&name::Entry>) -> Times {
        let now = self.now();
        let inner = self.inner.borrow();
        Times {
            sent: now,
            echo: entry.and_then(|entry| inner.members.echo(now, entry)),
        }
    }

    /// Applies the state of another entry, and returns the reply to it.
    pub fn handle_question(&self, question: Question) -> Reply {
        let now = self.now();
        let reply = self.inner.borrow_mut().handle_question(now, &self.shared, question);
        self.notify_newer_document();
        reply
    }

    /// Applies another entry's reply to a question that was sent at `asked`.
    pub fn handle_reply(&self, reply: Reply, asked: Instant) {
        let now = self.now();
        self.inner.borrow_mut().handle_reply(now, &self.shared, reply, asked);
        self.notify_newer_document();
    }
}

impl Inner {
    /// Returns what another entry needs of this entry's state.
    pub(super) fn recipient(&self, now: Instant, entry: &name::Entry) -> Recipient {
        let holder = self.duty_holder.as_ref().map(|holder| &holder.process.entry);
        Recipient {
            is_brief: self.members.is_brief(now, entry),
            needs_usage: !self.members.is_large() || holder == Some(entry),
        }
    }

    /// Returns the state that this entry sends to others.
    pub(super) fn state(&self, now: Instant, shared: &Shared) -> State {
        let is_large = self.members.is_large();
        let is_keeper = self.keepers.keeper == Keeper::Own;
        // In a large fleet only the keepers' shares are in use.
        let shared_limits = self.organisations.iter().filter(|_| is_keeper || !is_large);
        let limit_usage = shared_limits.map(|(name, organisation)| Usage {
            organisation: name.clone(),
            demand: organisation.demand.get(),
            share: if is_keeper {
                organisation.zone_share.announced()
            } else {
                organisation.share.announced()
            },
        });
        let in_flight = self.directory.endpoints().map(|endpoint| endpoint.in_flight(is_keeper));
        let (zones, members) = self.members.member_list(now);
        let prompt_demand = self
            .services
            .iter()
            .map(|(name, service)| (name.clone(), service.prompt_demand.get()));
        State {
            entry: shared.settings.name.clone(),
            incarnation: self.incarnation,
            address: shared.settings.peers_address(),
            relay: self.relay_address(shared),
            zone: shared.settings.zone.clone(),
            core_share: core_share(shared),
            stage: match is_keeper {
                _ if shared.is_stopping() => Stage::Stops,
                true => Stage::Keeps,
                false => Stage::Serves,
            },
            holds_duties: self.holds_duties,
            lease: self.lease_notice,
            holder: self.duty_holder.as_ref().filter(|holder| holder.holds).map(|holder| {
                let age = now.since(holder.reported).as_millis();
                (holder.process.clone(), u32::try_from(age).unwrap_or(u32::MAX))
            }),
            handover: self.handover,
            reaches_store: self.failed_calls.is_empty(),
            document: self.document.version,
            document_freshness: freshness(&self.document_checkpoint, now),
            endpoints: self.directory.digest(),
            // An unsettled directory is not sent as current. While the store was unreachable, this entry keeps
            // endpoints whose registrations are missing; another entry that adopted them as the newest state would send
            // requests to removed endpoints permanently.
            endpoints_freshness: freshness(&self.registrations_checkpoint, now)
                .filter(|_| self.directory.is_settled() && !self.has_diverged),
            limit_usage: limit_usage.collect(),
            in_flight: in_flight.filter(|load| load.running > 0).collect(),
            prompt_rates: prompt_demand.filter(|(_, rate)| *rate > 0.0).collect(),
            cached_parts: shared.cache_index().announced(now),
            windows: shared.tally.windows(),
            reported: self.reported,
            suspicions: self.quarantine.suspicions(now),
            parts: self.quarantine.part_suspicions(now),
            rates: Self::announced_rates(now, shared),
            tolerances: self.tolerances(now),
            rollouts: self.announced_rollouts(now),
            evidence: shared.rollout_evidence.evidence(),
            zones,
            members,
        }
    }

    /// Applies the state of another entry and returns the reply, which includes registrations if the other entry's are
    /// older.
    pub(super) fn handle_question(&mut self, now: Instant, shared: &Shared, question: Question) -> Reply {
        let Question { state, times } = question;
        let state = state.aged(times.age(now, self.incarnation));
        let peer = (state.endpoints, state.endpoints_freshness);
        let from = state.entry.clone();
        let recipient = Recipient {
            is_brief: state.is_brief(),
            needs_usage: state.holds_duties || !self.members.is_large(),
        };
        self.apply_state(now, shared, state, times.sent);
        let cursor = peer.1.map_or(Cursor::default(), |known| known.cursor);
        let is_newer = self.registrations_checkpoint.cursor() > cursor
            && self.directory.is_settled()
            && self.directory.digest() != peer.0;
        let endpoints = if is_newer {
            self.newer_registrations(now, shared, cursor)
        } else {
            None
        };
        let removals = if self.members.is_joining(now, &from) {
            self.directory.removals(now)
        } else {
            Vec::new()
        };
        Reply {
            state: recipient.select(self.state(now, shared)),
            endpoints,
            removals,
            sent: now,
            declared: self.register.declared().cloned().collect(),
        }
    }

    /// Returns what an entry lacks whose registrations are known at an older position: the changes since then if they are
    /// known, or else all registrations. Of the latter only so many are sent as the VM's link can carry; the requester asks
    /// again, or asks another entry.
    fn newer_registrations(&self, now: Instant, shared: &Shared, cursor: Cursor) -> Option<Registrations> {
        if let Some(changes) = self.directory.changes_since(cursor) {
            return Some(Registrations::changes(changes));
        }
        let registrations = self.directory.registrations();
        if self.uploads.owed(now) > MAX_UPLOAD_DEBT {
            shared.metrics.registrations_withheld.inc();
            return None;
        }
        self.uploads.charge(now, registrations.len() as u64);
        Some(Registrations::All(registrations))
    }

    /// Applies another entry's reply to a question that was sent at `asked`, and its registrations if they are newer than
    /// this entry's.
    pub(super) fn handle_reply(&mut self, now: Instant, shared: &Shared, reply: Reply, asked: Instant) {
        let Reply {
            state,
            endpoints,
            removals,
            sent,
            declared,
        } = reply;
        let state = state.aged(Some(now.since(asked)));
        let from = state.entry.clone();
        let peer = (state.endpoints, state.endpoints_freshness);
        let known = self.registrations_checkpoint.cursor();
        if let Some(endpoints) = endpoints
            && let Some(freshness) = state.endpoints_freshness.filter(|freshness| freshness.cursor > known)
        {
            // Changes are confirmed below, once both entries have the same registrations.
            let is_whole = matches!(endpoints, Registrations::All(_));
            if is_whole {
                self.confirm_registrations(now, shared, state.endpoints_freshness);
            }
            self.directory.set_position(freshness.cursor);
            let as_of = now - age(freshness.age_ms);
            self.apply_endpoints(now, as_of, shared, endpoints.into_event(), from.as_str());
            self.has_diverged = !is_whole && self.directory.digest() != state.endpoints;
        }
        let leaving = self.directory.learn_removals(now, removals);
        self.handle_leaving(now, shared, &leaving, from.as_str());
        self.apply_state(now, shared, state, sent);
        let era = self.registrations_checkpoint.cursor().era;
        if peer.0 == self.directory.digest() && peer.1.is_some_and(|freshness| freshness.cursor.era == era) {
            self.adopt_declared(&declared);
        }
    }

    /// Updates the registrations' checkpoint from another entry that has the same registrations.
    fn confirm_registrations(&mut self, now: Instant, shared: &Shared, freshness: Option<Freshness>) {
        if let Some(Freshness { cursor, age_ms }) = freshness {
            self.advance_registrations(now, shared, cursor, age(age_ms));
        }
    }

    /// Applies the demand and the limit shares of another entry or another zone.
    fn apply_limit_usage(&mut self, now: Instant, shared: &Shared, state: &State) {
        let is_keeper = self.keepers.keeper == Keeper::Own;
        let is_near = state.zone == shared.settings.zone;
        for usage in &state.limit_usage {
            let Some(organisation) = self.organisations.get_mut(&usage.organisation) else {
                continue;
            };
            match (state.stage == Stage::Keeps, is_near) {
                (false, _) => organisation
                    .share
                    .record_peer(now, &state.entry, usage.demand, usage.share),
                (true, false) => organisation
                    .zone_share
                    .record_peer(now, &state.zone, usage.demand, usage.share),
                // A keeper ignores its predecessor, which does not know yet that it was replaced.
                (true, true) if is_keeper => {}
                (true, true) => organisation.zone_share.adopt(usage.share),
            }
        }
    }

    /// Applies the parts of another entry's state that stay true when its process has ended.
    fn apply_lasting(&mut self, now: Instant, shared: &Shared, state: &State) {
        let before = self.peer_lease_notice.map(|(notice, _)| notice);
        if let Some(notice) = state
            .lease
            .filter(|notice| before.is_none_or(|before| notice.replaces(before)))
        {
            self.peer_lease_notice = Some((notice, now));
        }
        if let Some(handover) = state.handover {
            self.learn_handover(shared, handover, state.entry.as_str());
        }
        self.reported = self.reported.max(state.reported);
        self.merge_suspicions(now, shared, &state.suspicions, state.entry.as_str());
        self.merge_parts(now, shared, &state.parts, state.entry.as_str());
        let peer_usage = self.peer_usage.entry(state.process()).or_default();
        for (window, counts) in &state.windows {
            peer_usage.insert(*window, counts.clone());
        }
    }

    /// Records a handover of the duties if it is the newest one.
    pub(super) fn learn_handover(&mut self, shared: &Shared, handover: Handover, from: &str) {
        if self.handover.is_some_and(|known| known.number >= handover.number) {
            return;
        }
        info!(shared.log.always(), "duties handed over"; "number" => handover.number, "reported" => handover.reported,
            "uncertain" => handover.uncertain, "former" => handover.former, "from" => from);
        self.handover = Some(handover);
    }

    /// Updates who holds the duties from another entry's state.
    fn apply_holder(&mut self, now: Instant, shared: &Shared, state: &State) {
        // A holder that started again does not hold the duties any more, so they can be watched at once.
        let was_holder = self
            .duty_holder
            .as_ref()
            .is_some_and(|holder| holder.process.entry == state.entry);
        let holder = if state.holds_duties || was_holder {
            Some(Holder {
                process: state.process(),
                reported: now,
                holds: state.holds_duties,
            })
        } else {
            let relayed = state.holder.clone();
            let relayed = relayed.filter(|(process, _)| !self.members.is_superseded(now, process));
            relayed.map(|(process, age)| Holder {
                process,
                reported: now - Duration::from_millis(age.into()),
                holds: true,
            })
        };
        if let Some(holder) = holder.filter(|holder| holder.process.entry != shared.settings.name)
            && self
                .duty_holder
                .as_ref()
                .is_none_or(|before| before.reported < holder.reported)
        {
            self.duty_holder = Some(holder);
        }
    }

    /// Applies the state of another entry, which was sent at `sent` by its clock.
    fn apply_state(&mut self, now: Instant, shared: &Shared, state: State, sent: Instant) {
        if state.entry == shared.settings.name {
            return;
        }
        self.apply_lasting(now, shared, &state);
        if self.members.is_superseded(now, &state.process()) {
            if let Some((logger, left_out)) = shared.log.rate_limited(now, Topic::State) {
                info!(logger, "late state of an earlier process dropped"; "process" => %state.process(),
                    "left_out" => left_out);
            }
            return;
        }
        self.members.merge_members(now, &state.zones, &state.members);
        self.apply_limit_usage(now, shared, &state);
        self.apply_holder(now, shared, &state);
        Self::apply_peer_rates(now, shared, &state);
        Self::apply_tolerances(now, shared, &state);
        self.apply_peer_rollouts(now, shared, &state);
        self.record_peer_document(now, shared, &state);
        // If the other entry has the same data and confirmed it more recently, its confirmation applies here too.
        if state.document == self.document.version {
            confirm(&mut self.document_checkpoint, now, state.document_freshness);
        }
        if state.endpoints == self.directory.digest() {
            self.has_diverged = false;
            self.confirm_registrations(now, shared, state.endpoints_freshness);
        }
        let mut cache_index = shared.cache_index();
        for part in &state.cached_parts {
            cache_index.record(now, *part);
        }
        drop(cache_index);
        let process = state.process();
        if self.members.record_state(now, state)
            && let Some((logger, left_out)) = shared.log.rate_limited(now, Topic::State)
        {
            info!(logger, "entry heard"; "entry" => process.entry.as_str(), "process" => %process,
                "members" => self.members.count(), "left_out" => left_out);
        }
        self.members.record_sent(now, &process.entry, sent);
    }
}
