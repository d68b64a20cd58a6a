//! Stand-ins of the platform and of endpoints, and entries that run one service's duty on a virtual clock.

use core::cell::Cell;
use core::time::Duration;
use std::collections::BTreeMap;
use std::rc::Rc;

use bergamotshift_capacity::demand::Demand;
use bergamotshift_capacity::market::Offer;
use bergamotshift_capacity::market::Pool;
use bergamotshift_claim::lease::Keeper;
use bergamotshift_config::config::Service;
use bergamotshift_config::folder;
use bergamotshift_core::attempt;
use bergamotshift_core::plugin;
use bergamotshift_core::prelude::*;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;
use bergamotshift_core::vm::Listing;
use bergamotshift_core::vm::Role;
use bergamotshift_core::vm::State;
use bergamotshift_endpoint::call::Target;
use bergamotshift_endpoint::client;
use bergamotshift_entry::duties::Capacity;
use bergamotshift_entry::duties::Clients;
use bergamotshift_entry::duties::Clock;
use bergamotshift_entry::duties::Endpoint;
use bergamotshift_entry::duties::Lease;
use bergamotshift_entry::duties::Observation;
use bergamotshift_entry::duties::Settings;
use bergamotshift_entry::worker;
use bergamotshift_platform::Error;
use bergamotshift_platform::Future;
use bergamotshift_platform::Kind;
use bergamotshift_platform::Platform;
use bergamotshift_platform::table::Page;
use bergamotshift_platform::table::Table;
use bergamotshift_standin::cloud;
use bergamotshift_standin::engine;
use bergamotshift_standin::table;
use bergamotshift_standin::weights;
use rand_pcg::Pcg64Mcg;
use smol_str::SmolStr;
use smol_str::format_smolstr;

/// Work that one VM does per second.
pub const RATE: f64 = 10.0;

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Table that counts its calls.
#[derive(Debug)]
struct Counter {
    table: Rc<dyn Table>,
    calls: Rc<Cell<u32>>,
}

impl Table for Counter {
    fn transact(&self, writes: Vec<Write>) -> Future<'_, Ending> {
        self.calls.update(|calls| calls + 1);
        self.table.transact(writes)
    }

    fn get(&self, keys: Vec<Key>) -> Future<'_, Result<Vec<Option<Row>>, Error>> {
        self.calls.update(|calls| calls + 1);
        self.table.get(keys)
    }

    fn query(&self, partition: SmolStr, after: Option<SmolStr>, limit: u32) -> Future<'_, Result<Page, Error>> {
        self.calls.update(|calls| calls + 1);
        self.table.query(partition, after, limit)
    }
}

/// Platform, the engines on its VMs, and a virtual clock.
pub struct Site {
    pub table: table::Server,
    pub cloud: cloud::Server,
    _weights: weights::Server,
    pub engines: BTreeMap<name::Vm, engine::Server>,
    pub engine: engine::Settings,
    pub settings: Settings,
    pub service: Service,
    /// Number of calls to the table.
    pub calls: Rc<Cell<u32>>,
    platform: Platform,
    now: Rc<Cell<Instant>>,
    entries: u128,
}

impl Site {
    /// Starts the platform; `checks` is whether engines refuse orders with old fencing numbers.
    pub async fn start(checks: bool) -> Self {
        let table = table::Server::start(table::Settings::default()).unwrap();
        let cloud = cloud::Server::start(cloud::Settings::default(), |_| {}).unwrap();
        let weights = weights::Server::start(weights::Settings {
            models: BTreeMap::from([("tiny".into(), 1)]),
            burst: 1_000,
            ..weights::Settings::default()
        });
        let weights = weights.unwrap();
        let url = |address: core::net::SocketAddr| Some(format_smolstr!("http://{address}"));
        let settings = bergamotshift_platform::Settings {
            table: url(table.address()),
            cloud: url(cloud.address()),
            weights: url(weights.address()),
            ..bergamotshift_platform::Settings::default()
        };
        let kind = plugin::find::<Kind>("http").unwrap();
        let platform = (kind.connect)(settings).await.unwrap();
        Self {
            table,
            cloud,
            _weights: weights,
            engines: BTreeMap::new(),
            engine: engine::Settings {
                checks_fencing: checks,
                ..engine::Settings::default()
            },
            settings: Settings::default(),
            service: service(checks),
            calls: Rc::default(),
            platform,
            now: Rc::new(Cell::new(Instant::from_secs(1))),
            entries: 0,
        }
    }

    /// Creates another entry, which holds or watches the duty.
    pub fn entry(&mut self) -> Capacity {
        self.entries += 1;
        let now = Rc::clone(&self.now);
        let clock = Clock::new(move || now.get());
        let settings = self.settings.clone();
        let holder = name::Entry::new(format!("entry-{}", self.entries));
        let keeper = Keeper::new(
            settings.lease,
            "capacity/llm".into(),
            holder,
            attempt::Id::new(self.entries),
        );
        let table = Rc::new(Counter {
            table: self.platform.table.clone().unwrap(),
            calls: Rc::clone(&self.calls),
        });
        let lease = Lease::new(keeper, table, clock.clone(), Pcg64Mcg::new(self.entries));
        let adapters = worker::adapters(&client::Settings::default()).unwrap();
        let clients = Clients {
            cloud: self.platform.cloud.clone().unwrap(),
            weights: self.platform.weights.clone(),
            adapter: Rc::clone(&adapters["engine"]),
            logger: slog::Logger::root(slog::Discard, slog::o!()),
        };
        Capacity::new(settings, self.service.clone(), lease, clients, clock)
    }

    /// Advances the clock of all entries.
    pub fn advance(&self, time: Duration) {
        self.now.set(self.now.get() + time);
    }

    /// Returns the state of the service for a given demand, with all endpoints idle or all busy.
    ///
    /// Starts an engine for each VM that has none.
    pub fn observation(&mut self, urgent: f64, idle: bool) -> Observation {
        let mut endpoints = BTreeMap::new();
        for spec in self.cloud.vms() {
            let settings = engine::Settings {
                name: spec.name.as_str().into(),
                ..self.engine.clone()
            };
            let start = || engine::Server::start(settings).unwrap();
            let engine = self.engines.entry(spec.name.clone()).or_insert_with(start);
            let incarnation = Incarnation::new(1);
            let target = Target::new(engine.address(), false);
            endpoints.insert(
                spec.name,
                Endpoint {
                    incarnation,
                    target,
                    idle,
                },
            );
        }
        let demand = Demand {
            urgent,
            deferrable: 0.0,
        };
        Observation {
            offers: offers(),
            demand,
            endpoints,
        }
    }

    /// Runs an entry's duty for a number of seconds.
    pub async fn run(&mut self, duty: &mut Capacity, seconds: u64, urgent: f64, idle: bool) {
        const LIST_INTERVAL: u64 = 5;
        for second in 0..seconds {
            self.advance(Duration::from_secs(1));
            duty.update_lease().await;
            if second % LIST_INTERVAL == 0 {
                duty.record_listings(&self.listings());
            }
            let observation = self.observation(urgent, idle);
            duty.tick(&observation).await;
        }
    }

    /// Returns the platform's VM list.
    pub fn listings(&self) -> Vec<Listing> {
        let listing = |spec: cloud::Spec| {
            let engine = self.engines.get(&spec.name)?;
            Some(Listing {
                name: spec.name,
                incarnation: Incarnation::new(1),
                address: engine.address(),
                zone: spec.zone,
                class: spec.class,
                market: spec.market,
                role: spec.role,
                state: State::Live,
            })
        };
        self.cloud.vms().into_iter().filter_map(listing).collect()
    }

    /// Returns the VMs whose endpoints report that they take no new requests.
    pub async fn draining(&self) -> Vec<name::Vm> {
        let adapters = worker::adapters(&client::Settings::default()).unwrap();
        let mut draining = Vec::new();
        for (vm, engine) in &self.engines {
            let report = adapters["engine"].load(&Target::new(engine.address(), false)).await;
            if report.unwrap().leaving {
                draining.push(vm.clone());
            }
        }
        draining
    }

    /// Returns the fencing numbers of the orders that an engine carried out, in their order.
    pub fn fencing_numbers(&self, vm: &name::Vm) -> Vec<u64> {
        let orders = self.engines[vm].duty().orders;
        orders.iter().map(|order| order.fencing.unwrap()).collect()
    }
}

fn offers() -> Vec<Offer> {
    let offer = |(zone, market)| Offer {
        pool: Pool::new(name::Zone::new(zone), name::Class::from("small"), market),
        price: Price::from_micros(if market == Market::OnDemand { 300_000 } else { 100_000 }),
        rate: RATE,
    };
    let markets = [Market::Reclaimable, Market::OnDemand];
    let slots = ZONES.iter().flat_map(|zone| markets.map(|market| (*zone, market)));
    slots.map(offer).collect()
}

fn service(checks: bool) -> Service {
    let text = format!(
        "[[service]]\nname = \"llm\"\nkind = \"model\"\nadapter = \"engine\"\nmodels = [\"tiny\"]\nchecks_fencing = \
         {checks}\n"
    );
    let config = folder::parse(&[("site.toml", text)]).unwrap_or_else(|error| panic!("{error}"));
    config.services["llm"].clone()
}

/// Returns whether a VM belongs to the service.
pub fn is_own(spec: &cloud::Spec) -> bool {
    spec.role == Role::Endpoint(name::Service::from("llm"))
}
