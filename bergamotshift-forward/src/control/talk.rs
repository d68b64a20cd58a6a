//! What this entry tells the others, and what it takes from them.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use slog::info;

use super::inner::DutyHolder;
use super::inner::Inner;
use super::inner::core_share;
use crate::endpoint::Event;
use crate::follow::Freshness;
use crate::limits::Keeper;
use crate::observe::Topic;
use crate::outside::Cursor;
use crate::peers::Known;
use crate::peers::Reply;
use crate::peers::Stage;
use crate::peers::State;
use crate::peers::Use;
use crate::view::Shared;

/// Returns how fresh something is known, in the form in which it is told.
pub(super) fn known(freshness: &Freshness, now: Instant) -> Option<Known> {
    freshness.age(now).map(|age| Known {
        cursor: freshness.cursor().0,
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    })
}

/// Takes in how fresh another entry knows something that it has in the same state.
pub(super) fn confirm(freshness: &mut Freshness, now: Instant, known: Option<Known>) {
    if let Some(Known { cursor, age_ms }) = known {
        freshness.confirm(now, Cursor(cursor), Duration::from_millis(age_ms.into()));
    }
}

impl Inner {
    pub(super) fn state(&self, now: Instant, shared: &Shared) -> State {
        let is_large = self.members.is_large();
        let keeps = self.keeping.keeper == Keeper::Own;
        // In a large fleet only the keepers' shares are in use.
        let sharing = self.organisations.iter().filter(|_| keeps || !is_large);
        let uses = sharing.map(|(name, organisation)| Use {
            organisation: name.clone(),
            demand: organisation.demand.get(),
            share: if keeps {
                organisation.zone_share.told()
            } else {
                organisation.share.told()
            },
        });
        let flown = self.directory.endpoints().map(|endpoint| endpoint.in_flight(keeps));
        let (zones, members) = self.members.names(now);
        let reading = self
            .services
            .iter()
            .map(|(name, service)| (name.clone(), service.prompt_demand.get()));
        State {
            entry: shared.settings.name.clone(),
            life: self.life,
            address: shared.settings.listen.peers,
            zone: shared.settings.zone.clone(),
            core_share: core_share(shared),
            stage: match keeps {
                _ if shared.is_stopping() => Stage::Stops,
                true => Stage::Keeps,
                false => Stage::Serves,
            },
            holds: self.holds_duties,
            lease: self.lease_notice,
            holder: self.duty_holder.as_ref().filter(|holder| holder.holds).map(|holder| {
                let age = now.since(holder.at).as_millis();
                (holder.entry.clone(), u32::try_from(age).unwrap_or(u32::MAX))
            }),
            reaches_store: self.failed_calls.is_empty(),
            document: self.document.version,
            document_known: known(&self.document_freshness, now),
            endpoints: self.directory.digest(),
            // Failure: this entry keeps endpoints whose registrations are missing, since the store was away for it, and
            // another one takes them over as the newest state. Symptom: endpoints that left get work for good. What is
            // not settled is not told as knowledge.
            endpoints_known: known(&self.registrations_freshness, now).filter(|_| self.directory.is_settled()),
            uses: uses.collect(),
            flown: flown.filter(|flown| flown.running > 0).collect(),
            reading: reading.filter(|(_, rate)| *rate > 0.0).collect(),
            readings: shared.recall().told(now),
            windows: shared.tally.windows(),
            suspicions: self.quarantine.suspicions(now),
            rates: self.announced_rates(now),
            rollouts: self.announced_rollouts(now),
            evidence: shared.rollout_evidence.evidence(),
            zones,
            members,
        }
    }

    /// Takes in what another entry says of itself, and returns what it is told: also what it has in an older state.
    pub(super) fn handle_state(&mut self, now: Instant, shared: &Shared, state: State) -> Reply {
        let theirs = (state.endpoints, state.endpoints_known);
        let is_brief = state.is_brief();
        self.apply_state(now, shared, state);
        let cursor = theirs.1.map_or(0, |known| known.cursor);
        let fresher = self.registrations_freshness.cursor().0 > cursor
            && self.directory.is_settled()
            && self.directory.digest() != theirs.0;
        let own = self.state(now, shared);
        Reply {
            state: if is_brief { own.brief() } else { own },
            endpoints: fresher.then(|| self.directory.registrations()),
        }
    }

    /// Takes in another entry's answer.
    pub(super) fn handle_reply(&mut self, now: Instant, shared: &Shared, reply: Reply) {
        let Reply { state, endpoints } = reply;
        let from = state.entry.clone();
        if let Some(endpoints) = endpoints
            && state
                .endpoints_known
                .is_some_and(|known| known.cursor > self.registrations_freshness.cursor().0)
        {
            confirm(&mut self.registrations_freshness, now, state.endpoints_known);
            self.apply_endpoints(now, shared, Event::Relayed(endpoints), from.as_str());
        }
        self.apply_state(now, shared, state);
    }

    /// Takes in which shares of limits another entry, or another zone, uses.
    fn apply_peer_uses(&mut self, now: Instant, shared: &Shared, state: &State) {
        let keeps = self.keeping.keeper == Keeper::Own;
        let is_near = state.zone == shared.settings.zone;
        for used in &state.uses {
            let Some(organisation) = self.organisations.get_mut(&used.organisation) else {
                continue;
            };
            match (state.stage == Stage::Keeps, is_near) {
                (false, _) => organisation.share.heard(now, &state.entry, used.demand, used.share),
                (true, false) => organisation.zone_share.heard(now, &state.zone, used.demand, used.share),
                // A keeper is told nothing by one before it that does not know yet.
                (true, true) if keeps => {}
                (true, true) => organisation.zone_share.adopt(used.share),
            }
        }
    }

    fn apply_state(&mut self, now: Instant, shared: &Shared, state: State) {
        if state.entry == shared.settings.name {
            return;
        }
        self.members.told(now, &state.zones, &state.members);
        self.apply_peer_uses(now, shared, &state);
        let before = self.peer_lease_notice.map(|(word, _)| word);
        if let Some(word) = state
            .lease
            .filter(|word| before.is_none_or(|before| word.replaces(before)))
        {
            self.peer_lease_notice = Some((word, now));
        }
        let was_holder = self
            .duty_holder
            .as_ref()
            .is_some_and(|holder| holder.entry == state.entry);
        let said = if state.holds || was_holder {
            Some(DutyHolder {
                entry: state.entry.clone(),
                at: now,
                holds: state.holds,
            })
        } else {
            let told = state.holder.clone();
            told.map(|(entry, age)| DutyHolder {
                entry,
                at: now - Duration::from_millis(age.into()),
                holds: true,
            })
        };
        if let Some(holder) = said.filter(|holder| holder.entry != shared.settings.name)
            && self.duty_holder.as_ref().is_none_or(|before| before.at < holder.at)
        {
            self.duty_holder = Some(holder);
        }
        self.apply_peer_rates(now, shared, &state);
        self.apply_peer_rollouts(now, shared, &state);
        self.record_peer_document(now, shared, &state);
        // Who has the same, and knows it to be newer, makes this entry's knowledge as fresh as its own.
        if state.document == self.document.version {
            confirm(&mut self.document_freshness, now, state.document_known);
        }
        if state.endpoints == self.directory.digest() {
            confirm(&mut self.registrations_freshness, now, state.endpoints_known);
        }
        if !state.suspicions.is_empty() {
            self.quarantine.merge(now, &state.suspicions);
            self.publish(shared);
        }
        let mut recall = shared.recall();
        for reading in &state.readings {
            recall.hear(now, *reading);
        }
        drop(recall);
        let counted = self.peer_usage.entry((state.entry.clone(), state.life)).or_default();
        for (window, counts) in &state.windows {
            counted.insert(*window, counts.clone());
        }
        let entry = state.entry.clone();
        if self.members.heard_of(now, state)
            && let Some((logger, left_out)) = shared.log.room(now, Topic::Belief)
        {
            info!(logger, "entry heard"; "entry" => entry.as_str(), "members" => self.members.count(),
                "left_out" => left_out);
        }
    }
}
