//! Builds fleets of a given shape.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_core::vm;
use bergamotshift_fleet::prelude::*;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::Faults;
use super::Fleet;
use super::Node;
use super::Occurrence;
use super::Traffic;

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub entries: usize,
    pub endpoints: usize,
    pub zones: usize,
    pub regions: usize,
    pub organisations: usize,
    pub services: usize,
}

impl Shape {
    /// Size of a current deployment.
    pub const CURRENT: Self = Self {
        entries: 8,
        endpoints: 16,
        zones: 4,
        regions: 1,
        organisations: 5,
        services: 2,
    };

    /// Size that the fleet is designed for.
    pub const TARGET: Self = Self {
        entries: 390,
        endpoints: 600,
        zones: 10,
        regions: 2,
        organisations: 10,
        services: 4,
    };
}

impl Fleet {
    /// Starts a fleet in which every entry knows two seeds and the VM list.
    pub fn new(shape: Shape, seed: u64) -> Self {
        Self::with(shape, seed, &Settings::default())
    }

    /// Starts a fleet with the given settings.
    pub fn with(shape: Shape, seed: u64, settings: &Settings) -> Self {
        let mut random = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
        let mut fleet = Self {
            now: Instant::from_secs(100),
            nodes: Vec::new(),
            faults: Faults::default(),
            traffic: Traffic::new(shape.entries),
            list: (0..shape.endpoints)
                .map(|index| endpoint_listing(shape, index))
                .collect(),
            organisations: shape.organisations,
            without_reports: BTreeSet::new(),
            zone_cuts: BTreeSet::new(),
            node_cuts: BTreeSet::new(),
            regions: (0..shape.zones)
                .map(|zone| zone * shape.regions / shape.zones)
                .collect(),
            addresses: BTreeMap::new(),
            queue: BinaryHeap::new(),
            count: 0,
            random: Pcg64Mcg::new(random.random()),
        };
        let settings = Settings {
            seeds: vec![address(0), address(1)],
            ..settings.clone()
        };
        for index in 0..shape.entries {
            let kernel = Kernel::new(
                fleet.now,
                record(shape, index, 1),
                settings.clone(),
                Pcg64Mcg::new(random.random()),
            );
            fleet.addresses.insert(address(index), index);
            fleet.nodes.push(Node::start(kernel, index % shape.zones));
            let phase = fleet.now + Duration::from_micros(random.random_range(0..1_000_000));
            fleet.schedule(phase, Occurrence::Second { node: index });
            fleet.event(index, Event::VmsListed(fleet.list.clone()));
        }
        fleet
    }

    /// Restarts an entry at its old address with the given incarnation.
    pub fn restart(&mut self, shape: Shape, node: usize, incarnation: u64) {
        let settings = Settings {
            seeds: vec![address(0), address(1)],
            ..Settings::default()
        };
        let random = Pcg64Mcg::new(self.random.random());
        let kernel = Kernel::new(self.now, record(shape, node, incarnation), settings, random);
        let restarts = self.nodes[node].restarts + 1;
        self.nodes[node] = Node {
            restarts,
            ..Node::start(kernel, node % shape.zones)
        };
        self.event(node, Event::VmsListed(self.list.clone()));
    }

    /// Returns the ID of a listed endpoint.
    pub fn endpoint(&self, index: usize) -> endpoint::Id {
        endpoint::Id {
            vm: self.list[index].name.clone(),
            incarnation: self.list[index].incarnation,
        }
    }
}

impl Node {
    fn start(kernel: Kernel, zone: usize) -> Self {
        Self {
            kernel,
            zone,
            is_up: true,
            paused_until: Instant::ZERO,
            marked: BTreeMap::new(),
            notes_received: BTreeMap::new(),
            member_changes: Vec::new(),
            pauses: Vec::new(),
            wake: Instant::ZERO,
            restarts: 0,
        }
    }
}

fn address(index: usize) -> SocketAddr {
    ([10, 0, (index >> 8) as u8, index as u8], 7_100).into()
}

/// Returns the name of a zone by its index.
pub fn zone_name(index: usize) -> name::Zone {
    name::Zone::new(format!("zone-{index:02}"))
}

fn record(shape: Shape, index: usize, incarnation: u64) -> member::Record {
    member::Record {
        name: name::Entry::new(format!("entry-{index:04}")),
        incarnation: Incarnation::new(incarnation),
        version: 0,
        state: member::State::Alive,
        address: address(index),
        zone: zone_name(index % shape.zones),
    }
}

fn endpoint_listing(shape: Shape, index: usize) -> vm::Listing {
    vm::Listing {
        name: name::Vm::new(format!("endpoint-{index:04}")),
        incarnation: Incarnation::new(1_700_000_000 + index as u64),
        address: ([10, 1, (index >> 8) as u8, index as u8], 8_000).into(),
        zone: zone_name(index % shape.zones),
        class: name::Class::new("accelerator"),
        market: Market::Reclaimable,
        role: vm::Role::Endpoint(name::Service::new(format!(
            "service-{}",
            index / shape.zones % shape.services
        ))),
        state: vm::State::Live,
    }
}
