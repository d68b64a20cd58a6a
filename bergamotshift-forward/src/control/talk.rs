//! What this entry tells the others, and what it takes from them.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use slog::info;

use super::inner::Holder;
use super::inner::Inner;
use super::inner::core_share;
use crate::endpoint::Event;
use crate::follow::Checkpoint;
use crate::limits::Keeper;
use crate::observe::Topic;
use crate::outside::Cursor;
use crate::peers::Freshness;
use crate::peers::LimitUsage;
use crate::peers::Reply;
use crate::peers::Stage;
use crate::peers::State;
use crate::view::Shared;

/// Returns how fresh something is known, in the form in which it is told.
pub(super) fn told(knowledge: &Checkpoint, now: Instant) -> Option<Freshness> {
    knowledge.age(now).map(|age| Freshness {
        cursor: knowledge.cursor().0,
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    })
}

/// Takes in how fresh another entry knows something that it has in the same state.
pub(super) fn learn(knowledge: &mut Checkpoint, now: Instant, known: Option<Freshness>) {
    if let Some(Freshness { cursor, age_ms }) = known {
        knowledge.confirm(now, Cursor(cursor), Duration::from_millis(age_ms.into()));
    }
}

impl Inner {
    pub(super) fn state(&self, now: Instant, shared: &Shared) -> State {
        let is_large = self.members.is_large();
        let keeps = self.keeping.keeper == Keeper::Own;
        // In a large fleet only the keepers' shares are in use.
        let sharing = self.organisations.iter().filter(|_| keeps || !is_large);
        let uses = sharing.map(|(name, organisation)| LimitUsage {
            organisation: name.clone(),
            demand: organisation.demand.get(),
            share: if keeps {
                organisation.zone_share.announced()
            } else {
                organisation.share.announced()
            },
        });
        let flown = self.directory.endpoints().map(|endpoint| endpoint.in_flight(keeps));
        let (zones, members) = self.members.member_list(now);
        let reading = self
            .services
            .iter()
            .map(|(name, lasting)| (name.clone(), lasting.reading.get()));
        State {
            entry: shared.settings.name.clone(),
            incarnation: self.life,
            address: shared.settings.listen.peers,
            zone: shared.settings.zone.clone(),
            core_share: core_share(shared),
            stage: match keeps {
                _ if shared.is_stopping() => Stage::Stops,
                true => Stage::Keeps,
                false => Stage::Serves,
            },
            holds_duties: self.holds,
            lease: self.word,
            holder: self.holder.as_ref().filter(|holder| holder.holds).map(|holder| {
                let age = now.since(holder.at).as_millis();
                (holder.entry.clone(), u32::try_from(age).unwrap_or(u32::MAX))
            }),
            reaches_store: self.lost_calls.is_empty(),
            document: self.document.version,
            document_freshness: told(&self.document_known, now),
            endpoints: self.directory.digest(),
            // Failure: this entry keeps endpoints whose registrations are missing, since the store was away for it, and
            // another one takes them over as the newest state. Symptom: endpoints that left get work for good. What is
            // not settled is not told as knowledge.
            endpoints_freshness: told(&self.registrations_known, now).filter(|_| self.directory.is_settled()),
            limit_usage: uses.collect(),
            in_flight: flown.filter(|flown| flown.running > 0).collect(),
            prompt_rates: reading.filter(|(_, rate)| *rate > 0.0).collect(),
            cached_parts: shared.recall().announced(now),
            windows: shared.tally.windows(),
            suspicions: self.quarantine.suspicions(now),
            rates: self.told_rates(now),
            rollouts: self.told_rollouts(now),
            evidence: shared.rollout_evidence.evidence(),
            zones,
            members,
        }
    }

    /// Takes in what another entry says of itself, and returns what it is told: also what it has in an older state.
    pub(super) fn asked(&mut self, now: Instant, shared: &Shared, state: State) -> Reply {
        let theirs = (state.endpoints, state.endpoints_freshness);
        let is_brief = state.is_brief();
        self.heard(now, shared, state);
        let cursor = theirs.1.map_or(0, |known| known.cursor);
        let fresher = self.registrations_known.cursor().0 > cursor
            && self.directory.is_settled()
            && self.directory.digest() != theirs.0;
        let own = self.state(now, shared);
        Reply {
            state: if is_brief { own.brief() } else { own },
            endpoints: fresher.then(|| self.directory.registrations()),
        }
    }

    /// Takes in another entry's answer.
    pub(super) fn answered(&mut self, now: Instant, shared: &Shared, reply: Reply) {
        let Reply { state, endpoints } = reply;
        let from = state.entry.clone();
        if let Some(endpoints) = endpoints
            && state
                .endpoints_freshness
                .is_some_and(|known| known.cursor > self.registrations_known.cursor().0)
        {
            learn(&mut self.registrations_known, now, state.endpoints_freshness);
            self.on_endpoints(now, shared, Event::Relayed(endpoints), from.as_str());
        }
        self.heard(now, shared, state);
    }

    /// Takes in which shares of limits another entry, or another zone, uses.
    fn hear_uses(&mut self, now: Instant, shared: &Shared, state: &State) {
        let keeps = self.keeping.keeper == Keeper::Own;
        let is_near = state.zone == shared.settings.zone;
        for used in &state.limit_usage {
            let Some(organisation) = self.organisations.get_mut(&used.organisation) else {
                continue;
            };
            match (state.stage == Stage::Keeps, is_near) {
                (false, _) => organisation
                    .share
                    .record_peer(now, &state.entry, used.demand, used.share),
                (true, false) => organisation
                    .zone_share
                    .record_peer(now, &state.zone, used.demand, used.share),
                // A keeper is told nothing by one before it that does not know yet.
                (true, true) if keeps => {}
                (true, true) => organisation.zone_share.adopt(used.share),
            }
        }
    }

    fn heard(&mut self, now: Instant, shared: &Shared, state: State) {
        if state.entry == shared.settings.name {
            return;
        }
        self.members.merge_members(now, &state.zones, &state.members);
        self.hear_uses(now, shared, &state);
        let before = self.heard_word.map(|(word, _)| word);
        if let Some(word) = state
            .lease
            .filter(|word| before.is_none_or(|before| word.replaces(before)))
        {
            self.heard_word = Some((word, now));
        }
        let was_holder = self.holder.as_ref().is_some_and(|holder| holder.entry == state.entry);
        let said = if state.holds_duties || was_holder {
            Some(Holder {
                entry: state.entry.clone(),
                at: now,
                holds: state.holds_duties,
            })
        } else {
            let told = state.holder.clone();
            told.map(|(entry, age)| Holder {
                entry,
                at: now - Duration::from_millis(age.into()),
                holds: true,
            })
        };
        if let Some(holder) = said.filter(|holder| holder.entry != shared.settings.name)
            && self.holder.as_ref().is_none_or(|before| before.at < holder.at)
        {
            self.holder = Some(holder);
        }
        self.hear_rates(now, shared, &state);
        self.hear_rollouts(now, shared, &state);
        self.hear_document(now, shared, &state);
        // Who has the same, and knows it to be newer, makes this entry's knowledge as fresh as its own.
        if state.document == self.document.version {
            learn(&mut self.document_known, now, state.document_freshness);
        }
        if state.endpoints == self.directory.digest() {
            learn(&mut self.registrations_known, now, state.endpoints_freshness);
        }
        if !state.suspicions.is_empty() {
            self.quarantine.merge(now, &state.suspicions);
            self.publish(shared);
        }
        let mut recall = shared.recall();
        for reading in &state.cached_parts {
            recall.record(now, *reading);
        }
        drop(recall);
        let counted = self
            .counted
            .entry((state.entry.clone(), state.incarnation))
            .or_default();
        for (window, counts) in &state.windows {
            counted.insert(*window, counts.clone());
        }
        let entry = state.entry.clone();
        if self.members.record_state(now, state)
            && let Some((logger, left_out)) = shared.log.room(now, Topic::Belief)
        {
            info!(logger, "entry heard"; "entry" => entry.as_str(), "members" => self.members.count(),
                "left_out" => left_out);
        }
    }
}
