//! The state of the control thread and its periodic update.

use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering;
use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use bergamotshift_claim::lease::Notice;
use bergamotshift_core::prelude::*;
use bergamotshift_limit::bucket::Bucket;
use bergamotshift_limit::quarantine;
use bergamotshift_limit::quarantine::Quarantine;
use bergamotshift_limit::retry;
use bergamotshift_limit::retry::Budget;
use bergamotshift_rollout::Evidence;
use bergamotshift_rollout::Tracker;
use bergamotshift_rollout::origin;
use bergamotshift_route::speed::Typical;
use rand::Rng;
use slog::info;

use super::copies::Cache;
use super::organisation::Organisation;
use super::routing::Routing;
use super::versions::Version;
use super::versions::Versions;
use crate::document::Difference;
use crate::document::Document;
use crate::duty::Handover;
use crate::duty::Windows;
use crate::endpoint::Directory;
use crate::endpoint::Endpoint;
use crate::endpoint::Event;
use crate::follow::Alarm;
use crate::follow::Checkpoint;
use crate::follow::FirstRead;
use crate::follow::Turn;
use crate::limits::Demand;
use crate::limits::Keepers;
use crate::limits::Policy;
use crate::limits::granter;
use crate::limits::retry_share;
use crate::observe::Topic;
use crate::outside::Cursor;
use crate::peers::Members;
use crate::peers::Process;
use crate::peers::State;
use crate::random;
use crate::view::Shared;

/// Time for which an entry's state counts as current in a large fleet, where updates arrive through other entries and
/// take some seconds.
const LARGE_FLEET_STATE_TTL: Duration = Duration::from_secs(5);

/// Time over which the rate of uncached prompt tokens is averaged. It is short because new endpoints take seconds to
/// boot.
const PROMPT_DEMAND_WINDOW: Duration = Duration::from_secs(3);

/// Time for which the state of another entry counts as current; older in-flight figures are out of date.
pub(super) const STATE_TTL: Duration = Duration::from_millis(1_500);

/// Number of entries assumed until the list of entries has been read; more than a small site has.
pub(super) const ASSUMED_ENTRIES: usize = 12;

/// Fraction of the link that whole lists of registrations for other entries may take.
const UPLOAD_SHARE: f64 = 0.5;

/// Size of a registration in a message, in bytes.
const REGISTRATION_BYTES: f64 = 70.0;

/// State of one service that outlives individual views.
#[derive(Debug)]
pub(super) struct ServiceState {
    /// Limit on retries.
    pub(super) budget: Arc<Budget>,
    /// Uncached prompt tokens of new requests since the last tick, without retries.
    pub(super) requested_tokens: Arc<AtomicU64>,
    /// Average of those tokens per second.
    pub(super) prompt_demand: Demand,
    /// Moving average of prompt sizes, in tokens.
    pub(super) typical_prompt: Arc<AtomicU64>,
    /// Learned figures of speed.
    pub(super) typical: Arc<Typical>,
}

/// Another entry that holds the duties or held them before.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    /// Process of the entry.
    pub(super) process: Process,
    /// Time at which this was last reported.
    pub(super) reported: Instant,
    /// Whether it holds the duties; an entry that stops reports that it no longer does, and so does one that started again.
    pub(super) holds: bool,
}

/// State of the control thread.
#[derive(Debug)]
pub(super) struct Inner {
    /// Document in force.
    pub(super) document: Arc<Document>,
    /// Freshness of the document.
    pub(super) document_checkpoint: Checkpoint,
    /// Start time of the process.
    started: Instant,
    /// Turn of this entry to read the store after its start.
    first_read: FirstRead,
    /// Alarm on the age of the document.
    pub(super) document_alarm: Alarm,
    /// Time since which another entry is known to have a newer document; `None` if none has.
    pub(super) behind_since: Option<Instant>,
    /// Document updates for other entries.
    pub(super) updates: Cache,
    /// Known endpoints.
    pub(super) directory: Directory,
    /// Freshness of the registrations.
    pub(super) registrations_checkpoint: Checkpoint,
    /// Alarm on the age of the registrations.
    pub(super) registrations_alarm: Alarm,
    /// Whether changes of another entry did not lead to its registrations, so that this one needs all of them.
    pub(super) has_diverged: bool,
    /// Limit on the registrations that are sent in whole lists to other entries.
    pub(super) uploads: Bucket,
    /// Limits and demand by organisation.
    pub(super) organisations: BTreeMap<name::Organisation, Organisation>,
    /// State by service.
    pub(super) services: BTreeMap<name::Service, ServiceState>,
    /// Versions that serve, or served within the lifetime of streams.
    pub(super) versions: Versions,
    /// Services that receive streams, and did before.
    pub(super) routing: Routing,
    /// Versions at which streams may begin.
    pub(super) register: origin::Register<Version>,
    /// Whether the versions that are declared in the store are complete.
    pub(super) trust: origin::Trust,
    /// Other entries.
    pub(super) members: Members,
    /// Requests suspected of crashing endpoints.
    pub(super) quarantine: Quarantine,
    /// Requests that were refused as suspected ones at the last change.
    pub(super) quarantined: BTreeSet<Fingerprint>,
    /// Parts of prompts that were refused at the last change, with the times from which they may be tried.
    pub(super) refused_parts: BTreeMap<Fingerprint, Instant>,
    /// Usage counted by each process of each other entry.
    pub(super) peer_usage: BTreeMap<Process, Windows>,
    /// Rollout state that determines which versions of each service may receive requests.
    pub(super) trackers: BTreeMap<name::Service, Tracker>,
    /// Share of requests for each service's new version in the last view, in thousandths.
    pub(super) shares: BTreeMap<name::Service, u16>,
    /// Evidence on old and new versions collected by each process of each other entry.
    pub(super) peer_evidence: BTreeMap<Process, Vec<(name::Service, Evidence)>>,
    /// Whether this entry holds the duties.
    pub(super) holds_duties: bool,
    /// Notice about the duties' lease that this entry sends to others.
    pub(super) lease_notice: Option<Notice>,
    /// Latest notice about that lease from another entry, and when it arrived.
    pub(super) peer_lease_notice: Option<(Notice, Instant)>,
    /// Other entry that was last known to hold the duties, or to have released them.
    pub(super) duty_holder: Option<Holder>,
    /// Newest handover of the duties, by this entry or another one.
    pub(super) handover: Option<Handover>,
    /// Last usage window that is known to be reported or left out.
    pub(super) reported: u64,
    /// Whether the list of entries has been read.
    pub(super) entries_listed: bool,
    /// Time at which the last write of this entry's row began that succeeded; at first, the start of the process.
    pub(super) row_written: Instant,
    /// Organisations that the entries stored as busy before this process started, until they have been applied.
    pub(super) busy_before_start: Option<Vec<name::Organisation>>,
    /// Calls of the store whose last attempt failed.
    pub(super) failed_calls: BTreeSet<&'static str>,
    /// Random identifier of this process.
    pub(super) incarnation: u64,
    /// Keeper and deputy of the zone.
    pub(super) keepers: Keepers,
    /// Entries that grant requests to endpoints with an announced rate.
    pub(super) granters: Arc<[granter::Candidate]>,
    /// Time of the last tick.
    last_tick: Instant,
}

impl Inner {
    pub(super) fn new(shared: &Shared) -> Self {
        let now = shared.clock.now();
        let mut members = Members::new(
            shared.settings.name.clone(),
            shared.settings.zone.clone(),
            core_share(shared),
        );
        members.set_started(now);
        Self {
            document: Arc::default(),
            document_checkpoint: Checkpoint::default(),
            started: now,
            first_read: FirstRead::of(&shared.settings),
            document_alarm: Alarm::default(),
            behind_since: None,
            updates: Cache::default(),
            directory: Directory::default(),
            registrations_checkpoint: Checkpoint::default(),
            registrations_alarm: Alarm::default(),
            has_diverged: false,
            uploads: upload_limit(shared),
            organisations: BTreeMap::new(),
            services: BTreeMap::new(),
            versions: Versions::default(),
            routing: Routing::default(),
            register: origin::Register::default(),
            trust: origin::Trust::default(),
            members,
            quarantine: Quarantine::new(quarantine::Settings::default()),
            quarantined: BTreeSet::new(),
            refused_parts: BTreeMap::new(),
            peer_usage: BTreeMap::new(),
            trackers: BTreeMap::new(),
            shares: BTreeMap::new(),
            peer_evidence: BTreeMap::new(),
            holds_duties: false,
            lease_notice: None,
            peer_lease_notice: None,
            duty_holder: None,
            handover: None,
            reported: 0,
            entries_listed: false,
            row_written: now,
            busy_before_start: None,
            failed_calls: BTreeSet::new(),
            incarnation: random::generator().next_u64(),
            keepers: Keepers::default(),
            granters: Arc::default(),
            last_tick: now,
        }
    }

    /// Returns this entry's turn to read the store, and to watch the duties. An entry that cannot reach the store, or just
    /// started, comes last.
    pub(super) fn turn(&self, now: Instant) -> Turn {
        let is_deferring = self.first_read.is_deferring(now.since(self.started));
        if self.failed_calls.is_empty() && !is_deferring {
            self.members.turn(now)
        } else {
            Turn::Reader(self.members.count())
        }
    }

    /// Puts a document in force if it is newer than the current one. `steps` are the differences that led to it, if
    /// known.
    pub(super) fn apply_document(
        &mut self,
        now: Instant,
        shared: &Shared,
        document: Document,
        steps: Option<Vec<Difference>>,
        from: &str,
    ) {
        if document.version <= self.document.version {
            return;
        }
        info!(shared.log.always(), "document in force"; "version" => document.version,
            "before" => self.document.version, "from" => from, "routes" => document.routes.len(),
            "organisations" => document.organisations.len(), "keys_required" => document.organisations.require_keys());
        let version = i64::try_from(document.version).unwrap_or(i64::MAX);
        shared.metrics.document_version.set(version);
        let steps = steps.unwrap_or_else(|| vec![Difference::between(&self.document, &document)]);
        self.updates.push_steps(&document, steps);
        let until = now + self.stream_lifetime();
        self.routing.replace(now, until, &document);
        self.document = Arc::new(document);
        shared
            .newest_document
            .fetch_max(self.document.version, Ordering::AcqRel);
        // Versions that follow each other quickly are fetched one by one; the lag restarts with each, since the entry
        // makes progress.
        self.behind_since = self.behind_since.map(|_since| now);
        self.update_lag(now, shared);
        self.update_quotas(now, shared);
        self.restore_limits(now, shared);
        self.publish(shared);
    }

    /// Records that the registrations at `cursor` were current `age` ago, and whether the store was restored since.
    pub(super) fn advance_registrations(&mut self, now: Instant, shared: &Shared, cursor: Cursor, age: Duration) {
        let is_first = self.registrations_checkpoint.age(now).is_none();
        let known = self.registrations_checkpoint.cursor();
        self.registrations_checkpoint.confirm(now, cursor, age);
        self.trust.observe(now, cursor.era);
        self.update_current(now, shared);
        if is_first || cursor.era <= known.era {
            return;
        }
        info!(shared.log.always(), "store restored"; "era" => cursor.era, "before" => known.era,
            "cursor" => %cursor, "known" => %known);
        shared.metrics.store_restores.inc();
        self.members.record_restore(now);
        self.reset_declared(shared);
        self.apply_endpoints(now, now, shared, Event::Restored(cursor), "store");
    }

    /// Applies an event about registrations as they were at `as_of`, and publishes a new view if the endpoints changed.
    pub(super) fn apply_endpoints(&mut self, now: Instant, as_of: Instant, shared: &Shared, event: Event, from: &str) {
        let (before, digest) = (self.directory.endpoints().count(), self.directory.digest());
        let leaving = self.directory.apply_as_of(now, as_of, event);
        self.record_returns(now, shared);
        self.handle_leaving(now, shared, &leaving, from);
        if digest == self.directory.digest() && shared.view.load().knows_endpoints {
            return;
        }
        let after = self.directory.endpoints().count();
        if let Some((logger, left_out)) = shared.log.rate_limited(now, Topic::State) {
            info!(logger, "endpoints changed"; "before" => before, "after" => after, "from" => from,
                "cursor" => %self.registrations_checkpoint.cursor(), "left_out" => left_out);
        }
        self.publish(shared);
    }

    /// Handles endpoints that stopped accepting requests.
    pub(super) fn handle_leaving(&mut self, now: Instant, shared: &Shared, leaving: &[Arc<Endpoint>], from: &str) {
        for endpoint in leaving {
            self.record_departure(now, shared, endpoint);
            if let Some((logger, left_out)) = shared.log.rate_limited(now, Topic::State) {
                info!(logger, "endpoint leaves"; "endpoint" => endpoint.registration.id.as_str(),
                    "service" => endpoint.registration.service.as_str(),
                    "zone" => endpoint.registration.zone.as_str(), "from" => from,
                    "announced" => self.directory.has_announced(endpoint),
                    "leaves_in_ms" => endpoint.registration.leaves_in.map(|left| left.as_millis() as u64),
                    "cursor" => %self.registrations_checkpoint.cursor(), "left_out" => left_out);
            }
        }
        if !leaving.is_empty() {
            self.publish(shared);
        }
    }

    /// Expires old state, and recomputes limit shares, in-flight counts and metrics.
    pub(super) fn tick(&mut self, now: Instant, shared: &Shared) {
        let span = now.since(self.last_tick);
        self.last_tick = now;
        let policy = Policy::default();
        for organisation in self.organisations.values_mut() {
            organisation.demand.note(
                policy.averaging_window,
                organisation.account.take_requested() + organisation.zone_account.take_requested(),
                span,
            );
        }
        // The retry budget of each entry shrinks as the fleet grows. Otherwise dozens of entries together would retry
        // more than the platform allows when endpoints fail, and overload the remaining endpoints.
        let burst = retry_burst(shared, self.members.count());
        for service in self.services.values_mut() {
            service.budget.set_burst(burst);
            service
                .prompt_demand
                .note(PROMPT_DEMAND_WINDOW, service.requested_tokens.swap(0, Relaxed), span);
        }
        for entry in self.members.expire(now) {
            if let Some((logger, left_out)) = shared.log.rate_limited(now, Topic::State) {
                info!(logger, "entry forgotten"; "entry" => entry.as_str(), "left_out" => left_out);
            }
            for organisation in self.organisations.values_mut() {
                organisation.share.forget(&entry);
            }
        }
        if !self.directory.is_settled() {
            // A recent read by another entry also proves which registrations are missing, even if nothing changed.
            let age = self.registrations_checkpoint.age(now).unwrap_or(STATE_TTL);
            let leaving = self.directory.settle(now, now - age);
            self.handle_leaving(now, shared, &leaving, "time");
        }
        self.update_keepers(now, shared);
        self.update_granters(now, shared);
        self.update_stranded(now, shared);
        self.update_relays(now, shared);
        self.update_tolerances(now, shared);
        self.update_lag(now, shared);
        self.update_ages(now, shared);
        self.update_origins(now, shared);
        self.update_quotas(now, shared);
        self.apply_shares(now, shared);
        shared.ledger().expire(now);
        self.update_in_flight(now, shared);
        let oldest = shared.tally.oldest_kept();
        self.peer_usage.retain(|_, windows| {
            windows.retain(|window, _| *window >= oldest);
            !windows.is_empty()
        });
        shared
            .metrics
            .peers
            .set(self.members.recent_states(now, STATE_TTL).count() as i64);
        self.quarantine.expire(now);
        self.log_quarantined(now, shared, "time");
        self.apply_answers(now, shared);
        self.update_parts(now, shared, "time");
    }

    /// Returns the uncached prompt tokens per second in a service's requests to all entries.
    pub(super) fn prompt_demand(&self, now: Instant, service: &name::Service) -> f64 {
        let own = self
            .services
            .get(service)
            .map_or(0.0, |state| state.prompt_demand.get());
        // In a large fleet each entry is heard from only every other second. With the short TTL of small fleets, a
        // quarter of the demand would be left out.
        let others = self.members.recent_states(now, self.state_ttl());
        let demands = others.flat_map(|(_, state)| state.prompt_rates.iter().filter(|(name, _)| name == service));
        own + demands.map(|(_, rate)| rate).sum::<f64>()
    }

    /// Returns whether another entry recently reported that it reaches the store.
    pub(super) fn others_reach_store(&self, now: Instant) -> bool {
        self.members
            .recent_states(now, STATE_TTL)
            .any(|(_, state)| state.reaches_store)
    }

    /// Returns whether another entry is known to hold the duties; in a large fleet, from reports that other entries
    /// relay. The lease prevents two holders, so this only bounds how late a successor begins to watch it.
    pub(super) fn is_held_elsewhere(&self, now: Instant) -> bool {
        self.duty_holder
            .as_ref()
            .is_some_and(|holder| holder.holds && now.since(holder.reported) < STATE_TTL)
    }

    /// Returns the time until this entry, which has read nothing yet, has to read the store itself. `has_copy` tells
    /// whether another entry's state shows that it could provide what is missing.
    pub(super) fn first_read_due(&self, now: Instant, has_copy: impl Fn(&State) -> bool) -> Duration {
        let mut states = self.members.recent_states(now, STATE_TTL);
        let may_be_given = states.any(|(_, state)| has_copy(state));
        self.first_read
            .due(now.since(self.started), self.members.count(), may_be_given)
    }

    /// Returns whether another entry has newer registrations than this one.
    pub(super) fn is_ahead(&self, state: &State) -> bool {
        let known = self.registrations_checkpoint.cursor();
        state.endpoints != self.directory.digest()
            && state
                .endpoints_freshness
                .is_some_and(|freshness| freshness.cursor > known)
    }

    /// Returns the time for which the state of another entry counts as current.
    pub(super) fn state_ttl(&self) -> Duration {
        if self.members.is_large() {
            LARGE_FLEET_STATE_TTL
        } else {
            STATE_TTL
        }
    }
}

/// Returns the limit on the registrations that this entry sends in whole lists.
fn upload_limit(shared: &Shared) -> Bucket {
    const BYTES_PER_MEGABIT: f64 = 1e6 / 8.0;
    let bytes_per_second = shared.settings.link_mbps * BYTES_PER_MEGABIT * UPLOAD_SHARE;
    let rate = bytes_per_second / REGISTRATION_BYTES;
    Bucket::new(rate, rate)
}

/// Returns this entry's part of a service's retry budget. The ratio needs no division, as each entry counts its own
/// requests.
pub(super) fn retry_budget(shared: &Shared) -> Budget {
    const RATIO_USED: f64 = 0.75;
    let burst = retry_burst(shared, ASSUMED_ENTRIES);
    Budget::new(retry::Settings {
        ratio: shared.settings.retry.ratio * RATIO_USED,
        reserve: burst,
        burst,
    })
}

/// Returns the burst of this entry's retry budget. A small site uses the share for [`ASSUMED_ENTRIES`], so that the share
/// does not change with every entry that joins or leaves.
fn retry_burst(shared: &Shared, entries: usize) -> u32 {
    let slack = shared.settings.retry.slack;
    // A budget keeps one of its attempts.
    retry_share(slack, entries.max(ASSUMED_ENTRIES), &shared.settings.name) + 1
}

/// Returns the share of a CPU core that this entry may use, in thousandths.
pub(super) fn core_share(shared: &Shared) -> u16 {
    (shared.settings.core_share * 1e3) as u16
}

/// Returns the quarantine's key for an endpoint.
pub(super) fn instance(endpoint: &Endpoint) -> quarantine::Instance {
    let vm = name::Vm::new(&endpoint.registration.id);
    quarantine::Instance::new(vm, Incarnation::new(endpoint.registration.born))
}
