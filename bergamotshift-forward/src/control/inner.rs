//! The state behind the control, and what the passing of time does to it.

use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering;
use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use bergamotshift_claim::lease::Word;
use bergamotshift_core::prelude::*;
use bergamotshift_limit::quarantine;
use bergamotshift_limit::quarantine::Quarantine;
use bergamotshift_limit::retry;
use bergamotshift_limit::retry::Budget;
use bergamotshift_rollout::Evidence;
use bergamotshift_rollout::Standing;
use rand::Rng;
use slog::info;

use super::copies::UpdateCache;
use super::organisation::Organisation;
use crate::document::Difference;
use crate::document::Document;
use crate::duty::Windows;
use crate::endpoint::Directory;
use crate::endpoint::Endpoint;
use crate::endpoint::Event;
use crate::follow::Freshness;
use crate::limits::Demand;
use crate::limits::Keeping;
use crate::limits::Timing;
use crate::limits::granter;
use crate::observe::Topic;
use crate::peers::Members;
use crate::random;
use crate::view::Shared;

/// How long what an entry said once stands in a large fleet, where news of it come through others and in some seconds.
const LARGE_FLEET_STATE_TTL: Duration = Duration::from_secs(5);

/// Over what time the reading of prompts is averaged; new endpoints take seconds to boot, so it follows quickly.
const PROMPT_DEMAND_WINDOW: Duration = Duration::from_secs(3);

/// How long what another entry said of its work under way counts; older figures say nothing of now.
pub(super) const STATE_TTL: Duration = Duration::from_millis(1_500);

/// How many entries there may be until the list of them was read; more than a small site has.
pub(super) const ASSUMED_ENTRIES: usize = 12;

/// How many windows of usage are kept of other entries.
const USAGE_WINDOWS: u64 = 6;

/// What outlives pictures of one service.
#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) budget: Arc<Budget>,
    /// Prompt tokens that callers asked to have read since the last tick.
    pub(super) requested_tokens: Arc<AtomicU64>,
    /// The same by the second.
    pub(super) prompt_demand: Demand,
    /// Tokens of a usual prompt.
    pub(super) typical_prompt: Arc<AtomicU64>,
}

/// Another entry that holds the duties, or did.
#[derive(Clone, Debug)]
pub(super) struct DutyHolder {
    pub(super) entry: name::Entry,
    /// When it was last so.
    pub(super) at: Instant,
    /// Whether it holds them; one that stops says itself that it does not any more.
    pub(super) holds: bool,
}

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) document: Arc<Document>,
    pub(super) document_freshness: Freshness,
    /// Since when another entry has been known to have a newer document; `None` when none has.
    pub(super) behind_since: Option<Instant>,
    /// What others are given of the document.
    pub(super) updates: UpdateCache,
    pub(super) directory: Directory,
    pub(super) registrations_freshness: Freshness,
    pub(super) organisations: BTreeMap<name::Organisation, Organisation>,
    pub(super) services: BTreeMap<name::Service, ServiceState>,
    pub(super) members: Members,
    pub(super) quarantine: Quarantine,
    /// What each life of each other entry counted.
    pub(super) peer_usage: BTreeMap<(name::Entry, u64), Windows>,
    /// Which versions of each service may take work.
    pub(super) standings: BTreeMap<name::Service, Standing>,
    /// The share of each service's new version in the last picture.
    pub(super) shares: BTreeMap<name::Service, u16>,
    /// What each life of each other entry saw of the answers of two versions.
    pub(super) peer_evidence: BTreeMap<(name::Entry, u64), Vec<(name::Service, Evidence)>>,
    /// Whether this entry holds the duties.
    pub(super) holds_duties: bool,
    /// What this entry tells of the duties' lease.
    pub(super) lease_notice: Option<Word>,
    /// What another entry told last of that lease, and when.
    pub(super) peer_lease_notice: Option<(Word, Instant)>,
    /// Which other entry was last known to hold the duties, or to have given them up.
    pub(super) duty_holder: Option<DutyHolder>,
    /// Whether the list of entries was read.
    pub(super) entries_listed: bool,
    /// The organisations that the entries wrote to be busy before this process started, until they are taken in.
    pub(super) busy_before_start: Option<Vec<name::Organisation>>,
    /// The calls that failed when they were last made.
    pub(super) failed_calls: BTreeSet<&'static str>,
    pub(super) life: u64,
    /// Who keeps the zone.
    pub(super) keeping: Keeping,
    /// The entries that grant requests to endpoints which name a rate.
    pub(super) granters: Arc<[granter::Candidate]>,
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
        members.start(now);
        Self {
            document: Arc::default(),
            document_freshness: Freshness::default(),
            behind_since: None,
            updates: UpdateCache::default(),
            directory: Directory::default(),
            registrations_freshness: Freshness::default(),
            organisations: BTreeMap::new(),
            services: BTreeMap::new(),
            members,
            quarantine: Quarantine::new(quarantine::Settings::default()),
            peer_usage: BTreeMap::new(),
            standings: BTreeMap::new(),
            shares: BTreeMap::new(),
            peer_evidence: BTreeMap::new(),
            holds_duties: false,
            lease_notice: None,
            peer_lease_notice: None,
            duty_holder: None,
            entries_listed: false,
            busy_before_start: None,
            failed_calls: BTreeSet::new(),
            life: random::generator().next_u64(),
            keeping: Keeping::default(),
            granters: Arc::default(),
            last_tick: now,
        }
    }

    /// Returns how many entries come before this one for what need be done once; one that does not reach the store
    /// comes last.
    pub(super) fn rank(&self, now: Instant) -> usize {
        if self.failed_calls.is_empty() {
            self.members.rank(now)
        } else {
            self.members.count()
        }
    }

    /// Puts a document in force if it is newer than the one that is; `steps` led to it, where they are known.
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
            "organisations" => document.organisations.len());
        let version = i64::try_from(document.version).unwrap_or(i64::MAX);
        shared.metrics.document.set(version);
        let steps = steps.unwrap_or_else(|| vec![Difference::between(&self.document, &document)]);
        self.updates.push_steps(&document, steps);
        self.document = Arc::new(document);
        shared
            .newest_document
            .fetch_max(self.document.version, Ordering::AcqRel);
        // Versions that follow one another quickly are got one by one; who gets on is not left behind.
        self.behind_since = self.behind_since.map(|_since| now);
        self.update_lag(now, shared);
        self.update_parts(now, shared);
        self.restore_limits(now, shared);
        self.publish(shared);
    }

    /// Takes in what somebody tells of the registrations.
    pub(super) fn apply_endpoints(&mut self, now: Instant, shared: &Shared, event: Event, from: &str) {
        let (before, digest) = (self.directory.endpoints().count(), self.directory.digest());
        let leaving = self.directory.apply(now, event);
        self.handle_leaving(now, shared, &leaving, from);
        if digest == self.directory.digest() && shared.view.load().knows_endpoints {
            return;
        }
        let after = self.directory.endpoints().count();
        if let Some((logger, left_out)) = shared.log.room(now, Topic::Belief) {
            info!(logger, "endpoints changed"; "before" => before, "after" => after, "from" => from,
                "cursor" => self.registrations_freshness.cursor().0, "left_out" => left_out);
        }
        self.publish(shared);
    }

    /// Takes in that endpoints stopped taking work.
    fn handle_leaving(&mut self, now: Instant, shared: &Shared, leaving: &[Arc<Endpoint>], from: &str) {
        for endpoint in leaving {
            self.quarantine.announce(now, victim(endpoint));
            if let Some((logger, left_out)) = shared.log.room(now, Topic::Belief) {
                info!(logger, "endpoint leaves"; "endpoint" => endpoint.registration.id.as_str(),
                    "service" => endpoint.registration.service.as_str(),
                    "zone" => endpoint.registration.zone.as_str(), "from" => from,
                    "leaves_in_ms" => endpoint.registration.leaves_in.map(|left| left.as_millis() as u64),
                    "cursor" => self.registrations_freshness.cursor().0, "left_out" => left_out);
            }
        }
        if !leaving.is_empty() {
            self.publish(shared);
        }
    }

    /// Works out shares and figures anew.
    pub(super) fn tick(&mut self, now: Instant, shared: &Shared) {
        let span = now.since(self.last_tick);
        self.last_tick = now;
        let timing = Timing::default();
        for organisation in self.organisations.values_mut() {
            organisation.demand.note(
                timing.memory,
                organisation.account.take_asked() + organisation.zone_account.take_asked(),
                span,
            );
        }
        // Failure: dozens of entries save up what a dozen may. Symptom: when endpoints break, all together send again more
        // than the platform allows, and the ones that are left break too.
        let slack = retry_slack(shared, self.members.count());
        for service in self.services.values_mut() {
            service.budget.bound(slack);
            service
                .prompt_demand
                .note(PROMPT_DEMAND_WINDOW, service.requested_tokens.swap(0, Relaxed), span);
        }
        for entry in self.members.expire(now) {
            if let Some((logger, left_out)) = shared.log.room(now, Topic::Belief) {
                info!(logger, "entry forgotten"; "entry" => entry.as_str(), "left_out" => left_out);
            }
            for organisation in self.organisations.values_mut() {
                organisation.share.forget(&entry);
            }
        }
        if !self.directory.is_settled() {
            // What another entry read lately proves what is missing, also when it brought no news.
            let age = self.registrations_freshness.age(now).unwrap_or(STATE_TTL);
            let left = self.directory.settle(now, now - age);
            self.handle_leaving(now, shared, &left, "time");
        }
        self.update_keeping(now, shared);
        self.update_granters(now, shared);
        self.update_stranded(now, shared);
        self.update_lag(now, shared);
        self.update_parts(now, shared);
        self.apply_shares(now, shared);
        shared.ledger().expire(now);
        self.update_in_flight(now, shared);
        let oldest = shared.tally.current().saturating_sub(USAGE_WINDOWS);
        self.peer_usage.retain(|_, windows| {
            windows.retain(|window, _| *window >= oldest);
            !windows.is_empty()
        });
        shared
            .metrics
            .peers
            .set(self.members.heard(now, STATE_TTL).count() as i64);
        self.quarantine.expire(now);
    }

    /// Returns the prompt tokens a second that callers of a service ask all entries to have read.
    pub(super) fn prompt_demand(&self, now: Instant, service: &name::Service) -> f64 {
        let own = self
            .services
            .get(service)
            .map_or(0.0, |state| state.prompt_demand.get());
        // Failure: in a large fleet each entry is heard every other second, and the figures of those heard less lately
        // are left out. Symptom: the demand comes out at three quarters of what it is.
        let others = self.members.heard(now, self.state_ttl());
        let told = others.flat_map(|(_, state)| state.reading.iter().filter(|(name, _)| name == service));
        own + told.map(|(_, rate)| rate).sum::<f64>()
    }

    /// Returns whether another entry said lately that the store answers it.
    pub(super) fn others_reach_store(&self, now: Instant) -> bool {
        self.members.heard(now, STATE_TTL).any(|(_, state)| state.reaches_store)
    }

    /// Returns whether another entry is known to hold the duties, in a large fleet by word that others pass on. The lease
    /// guards against two holders, so this only bounds how late a successor begins to watch it.
    pub(super) fn is_held_elsewhere(&self, now: Instant) -> bool {
        self.duty_holder
            .as_ref()
            .is_some_and(|holder| holder.holds && now.since(holder.at) < STATE_TTL)
    }

    /// Returns how long what each other entry said once stands for what it does now.
    fn state_ttl(&self) -> Duration {
        if self.members.is_large() {
            LARGE_FLEET_STATE_TTL
        } else {
            STATE_TTL
        }
    }
}

/// Returns this entry's part of what repeated sends may add to a service; the ratio holds by itself, as each entry counts
/// its own requests.
pub(super) fn retry_budget(shared: &Shared) -> Budget {
    const RATIO_USED: f64 = 0.75;
    let slack = retry_slack(shared, ASSUMED_ENTRIES);
    Budget::new(retry::Settings {
        ratio: shared.settings.retry.ratio * RATIO_USED,
        reserve: slack,
        burst: slack,
    })
}

/// Returns one entry's even share of the repeated sends that all may make beyond the ratio. A small site's is that of the
/// most entries that it has, so that it does not change with every entry that comes and goes.
fn retry_slack(shared: &Shared, entries: usize) -> u32 {
    (shared.settings.retry.slack / entries.max(ASSUMED_ENTRIES) as f64).max(1.0) as u32
}

/// Returns the part of a core that this entry may use, in thousandths.
pub(super) fn core_share(shared: &Shared) -> u16 {
    (shared.settings.core_share * 1e3) as u16
}

pub(super) fn victim(endpoint: &Endpoint) -> quarantine::Victim {
    let vm = name::Vm::new(&endpoint.registration.id);
    quarantine::Victim::new(vm, Incarnation::new(endpoint.registration.born))
}
