//! Initial state of an exploration.

use std::collections::BTreeMap;
use std::sync::Arc;

use bergamotshift_config::accept::Head;
use bergamotshift_config::accept::Member;
use bergamotshift_config::accept::Proposer;
use bergamotshift_config::accept::member;
use bergamotshift_config::accept::proposer;
use bergamotshift_config::accept::proposer::Request;
use bergamotshift_config::accept::record;
use bergamotshift_config::accept::record::Id;
use bergamotshift_config::accept::record::Record;
use bergamotshift_config::accept::record::Revision;
use bergamotshift_config::accept::record::Version;
use bergamotshift_core::prelude::*;
use bergamotshift_core::table::Change;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Write;

use super::Bounds;
use super::Entry;
use super::Operator;
use super::State;
use super::ZONES;
use super::json;
use super::timing;
use crate::support::class;
use crate::support::edit;
use crate::support::folder;
use crate::support::table::Table;

impl State {
    /// Returns the initial state: version 1 is accepted, and each operator and entry has made its first step.
    pub fn first(bounds: &Bounds) -> Self {
        let now = Instant::from_secs(100);
        let base = folder(&ZONES[..bounds.zones], "20-a.toml", &class("a", 1));
        let revision = Revision {
            version: Version::new(1),
            digest: base.digest(),
        };
        let head = Head {
            accepted: Some(revision),
            proposed: None,
        };
        let record = Record {
            id: Id::new(99),
            revision,
            author: "first".into(),
            at: 0,
            passed_over: Vec::new(),
        };
        let mut table = Table::default();
        let put = |key, body| Write {
            key,
            condition: Condition::Absent,
            change: Change::Put(body),
        };
        let rows = [
            put(record::head_key(), json(&head)),
            put(record::version_key(revision.version), json(&record)),
        ];
        assert_eq!(table.transact(&rows), Ending::Applied);
        let operators = (0..bounds.operators).map(|index| {
            let (file, name) = if index == 0 || bounds.same_file {
                ("20-a.toml", "a")
            } else {
                ("30-b.toml", "b")
            };
            let request = Request {
                id: Id::new(index as u128),
                author: "operator".into(),
                at: 0,
                base: base.clone(),
                ours: edit(&base, file, &class(name, 2 + index as u32)),
            };
            Operator {
                proposer: Some(Proposer::new(request, timing(), now)),
                call: None,
                outcome: None,
            }
        });
        let operators = operators.collect();
        let mut state = Self {
            now,
            table,
            objects: Arc::new(BTreeMap::from([(base.digest(), base)])),
            operators,
            entries: Vec::new(),
            delayed_write: None,
            is_cut: false,
            stage_changed_at: [now; 2],
            proposed_at: now,
            remaining: [bounds.steps, bounds.lost, bounds.delayed, bounds.cuts, bounds.restarts],
        };
        for index in 0..bounds.operators {
            state
                .step_operator(index, proposer::Event::Tick, bounds)
                .expect("the first step only reads");
        }
        for zone in 0..bounds.zones {
            state.entries.push(Entry {
                member: state.new_member(zone),
                calls: Vec::new(),
                in_force: None,
            });
            state
                .step_entry(zone, member::Event::Tick, bounds)
                .expect("no version is in force yet");
        }
        state
    }

    pub(super) fn new_member(&self, zone: usize) -> Member {
        let settings = member::Settings {
            zone: ZONES[zone].into(),
            timing: timing(),
            adapters: None,
        };
        Member::new(settings, self.now)
    }
}
