//! Endpoints as the fleet speaks of them, and the directory of those that the VM list shows.

use std::collections::BTreeMap;

use bergamotshift_core::name;
use bergamotshift_core::vm;
use bergamotshift_core::vm::Incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::tag;

/// One life of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Id {
    /// The VM that runs it.
    pub vm: name::Vm,
    /// Which life of the VM.
    pub incarnation: Incarnation,
}

impl Id {
    /// Returns the tag by which load reports name the endpoint.
    pub fn tag(&self) -> tag::Short {
        tag::Short::of_life(&self.vm, self.incarnation.get())
    }
}

/// What the directory holds of an endpoint.
#[derive(Clone, Debug)]
pub struct Known {
    /// Which life of the endpoint.
    pub id: Id,
    /// Its availability zone.
    pub zone: name::Zone,
    /// The service that it runs.
    pub service: name::Service,
    /// Counts the lists in a row that did not show it.
    missing: u8,
}

/// The endpoints that may be sent work, by the VM list.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    by_vm: BTreeMap<name::Vm, Known>,
    by_tag: BTreeMap<tag::Short, Option<name::Vm>>,
    generation: u64,
}

impl Directory {
    /// An endpoint is forgotten after this many lists in a row without it: the list lags and may skip one.
    const FORGET_AFTER: u8 = 3;

    /// Takes in a VM list.
    ///
    /// An older life than the known one is the list's lag and changes nothing.
    pub fn update(&mut self, list: &[vm::Listing]) {
        for known in self.by_vm.values_mut() {
            known.missing += 1;
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
                Some(known) if known.id.incarnation == id.incarnation => known.missing = 0,
                _ => {
                    changed = true;
                    let known = Known {
                        zone: listing.zone.clone(),
                        service: service.clone(),
                        missing: 0,
                        id,
                    };
                    self.by_vm.insert(listing.name.clone(), known);
                }
            }
        }
        let before = self.by_vm.len();
        self.by_vm.retain(|_, known| known.missing < Self::FORGET_AFTER);
        if changed || before != self.by_vm.len() {
            self.generation += 1;
            self.index();
        }
    }

    /// Returns the known life of a VM.
    pub fn get(&self, vm: &name::Vm) -> Option<&Known> {
        self.by_vm.get(vm)
    }

    /// Finds the endpoint of a tag; a tag of two endpoints finds none.
    pub fn tagged(&self, tag: tag::Short) -> Option<&Known> {
        let vm = self.by_tag.get(&tag)?.as_ref()?;
        self.by_vm.get(vm)
    }

    /// Returns all endpoints in the order of their VMs' names.
    pub fn iter(&self) -> impl Iterator<Item = &Known> {
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

    /// Returns a number that changes whenever an endpoint comes or goes.
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    fn index(&mut self) {
        self.by_tag.clear();
        for known in self.by_vm.values() {
            self.by_tag
                .entry(known.id.tag())
                .and_modify(|vm| *vm = None)
                .or_insert_with(|| Some(known.id.vm.clone()));
        }
    }
}
