//! Endpoint IDs, and the directory of endpoints that the VM list shows.

use std::collections::BTreeMap;

use bergamotshift_core::name;
use bergamotshift_core::vm;
use bergamotshift_core::vm::Incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::tag;

/// One incarnation of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Id {
    /// VM that runs the endpoint.
    pub vm: name::Vm,
    /// Incarnation of the VM.
    pub incarnation: Incarnation,
}

impl Id {
    /// Returns the tag by which load reports refer to the endpoint.
    pub fn tag(&self) -> tag::Short {
        tag::Short::of_incarnation(&self.vm, self.incarnation.get())
    }
}

/// Directory record of an endpoint.
#[derive(Clone, Debug)]
pub struct Record {
    /// Incarnation of the endpoint.
    pub id: Id,
    /// Availability zone of the endpoint.
    pub zone: name::Zone,
    /// Service that the endpoint runs.
    pub service: name::Service,
    /// Number of consecutive lists that did not show the endpoint.
    missed_lists: u8,
}

/// Endpoints that the VM list shows, which may be given work.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    by_vm: BTreeMap<name::Vm, Record>,
    by_tag: BTreeMap<tag::Short, Option<name::Vm>>,
    generation: u64,
}

impl Directory {
    /// Consecutive lists without an endpoint after which it is removed; the list lags and may skip one.
    const MAX_MISSED_LISTS: u8 = 3;

    /// Updates the directory from a VM list.
    ///
    /// An incarnation older than the known one is ignored, because the list lags.
    pub fn update(&mut self, list: &[vm::Listing]) {
        for known in self.by_vm.values_mut() {
            known.missed_lists += 1;
        }
        let mut changed = false;
        for listing in list {
            let vm::Role::Endpoint(service) = &listing.role else {
                continue;
            };
            let id = Id {
                vm: listing.name.clone(),
                incarnation: listing.incarnation,
            };
            let known = self.by_vm.get_mut(&id.vm);
            match known {
                Some(known) if known.id.incarnation > id.incarnation => {}
                Some(known) if known.id.incarnation == id.incarnation => known.missed_lists = 0,
                _ => {
                    changed = true;
                    let known = Record {
                        zone: listing.zone.clone(),
                        service: service.clone(),
                        missed_lists: 0,
                        id,
                    };
                    self.by_vm.insert(listing.name.clone(), known);
                }
            }
        }
        let before = self.by_vm.len();
        self.by_vm
            .retain(|_, known| known.missed_lists < Self::MAX_MISSED_LISTS);
        if changed || before != self.by_vm.len() {
            self.generation += 1;
            self.rebuild_tag_index();
        }
    }

    /// Returns the known incarnation of a VM.
    pub fn get(&self, vm: &name::Vm) -> Option<&Record> {
        self.by_vm.get(vm)
    }

    /// Finds an endpoint by its tag; returns `None` if two endpoints share the tag.
    pub fn find_by_tag(&self, tag: tag::Short) -> Option<&Record> {
        let vm = self.by_tag.get(&tag)?.as_ref()?;
        self.by_vm.get(vm)
    }

    /// Returns all endpoints, ordered by VM name.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.by_vm.values()
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.by_vm.len()
    }

    /// Returns whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.by_vm.is_empty()
    }

    /// Returns a number that changes whenever an endpoint is added, replaced or removed.
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    fn rebuild_tag_index(&mut self) {
        self.by_tag.clear();
        for known in self.by_vm.values() {
            self.by_tag
                .entry(known.id.tag())
                .and_modify(|vm| *vm = None)
                .or_insert_with(|| Some(known.id.vm.clone()));
        }
    }
}
