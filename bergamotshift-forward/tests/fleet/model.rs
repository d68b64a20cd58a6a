//! Fleet of entries in virtual time.

use core::cell::Cell;
use core::cell::RefCell;
use core::net::SocketAddr;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_forward::control::Control;
use bergamotshift_forward::daemon::control_tasks;
use bergamotshift_forward::dialect::Dialect;
use bergamotshift_forward::document::Document;
use bergamotshift_forward::document::Limit;
use bergamotshift_forward::document::Organisation;
use bergamotshift_forward::document::Route;
use bergamotshift_forward::document::Service;
use bergamotshift_forward::document::Split;
use bergamotshift_forward::document::Unit;
use bergamotshift_forward::endpoint::Registration;
use bergamotshift_forward::observe::Clock;
use bergamotshift_forward::outside::Cursor;
use bergamotshift_forward::settings::Settings;
use bergamotshift_forward::view::Shared;
use futures_util::future::LocalBoxFuture;
use slog::Logger;
use smol_str::SmolStr;
use tokio::runtime::Builder;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::task::LocalSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::network::Interface;
use crate::network::Process;
use crate::network::Switch;
use crate::network::Traffic;
use crate::pause::Pause;
pub use crate::size::Size;
use crate::store::Purpose;
use crate::store::Store;

/// Names of the availability zones.
const ZONES: [&str; 6] = ["z0", "z1", "z2", "z3", "z4", "z5"];

/// Interval at which each endpoint writes its registration.
const HEARTBEAT: Duration = Duration::from_secs(3);

/// Interval at which the model writes a part of the registrations.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Time within which all entries start.
const START_SPREAD: Duration = Duration::from_millis(300);

/// One entry.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    number: usize,
    /// Address of its last start; the others know that of its first one as a seed.
    address: Cell<SocketAddr>,
    zone: usize,
    control: RefCell<Option<Control>>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
    pause: Rc<Pause>,
}

impl Node {
    /// Returns the address at which other entries reach it.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Gives the entry another address, from its next start on.
    pub fn move_away(&self) {
        let mut address = self.address();
        address.set_port(address.port() + 1);
        self.address.set(address);
    }

    /// Returns the entry's control; `None` while it is down.
    pub fn control(&self) -> Option<Control> {
        self.control.borrow().clone()
    }

    /// Runs a task in the entry's process, which ends with it.
    pub fn spawn(&self, task: LocalBoxFuture<'static, ()>) {
        let pause = Rc::clone(&self.pause);
        let task = tokio::task::spawn_local(async move { pause.run(task).await });
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }

    /// Lets the entry's process stand still.
    pub fn pause(&self) {
        self.pause.begin();
    }

    /// Returns whether the entry's process stands still.
    pub fn is_paused(&self) -> bool {
        self.pause.is_under_way()
    }

    /// Lets the entry's process go on.
    pub fn resume(&self) {
        self.pause.end();
    }

    /// Asks the entry to stop in order; it gives up the duties and goes on answering others until it is killed.
    pub fn stop(&self) {
        if let Some(control) = self.control() {
            control.shared().stopping.store(true, Ordering::Release);
        }
    }

    /// Returns the share of a core that the entry's VM has, and the bandwidth of its link in megabits per second. One VM in
    /// sixteen of each zone is large.
    const fn vm(&self) -> (f64, f64) {
        if self.number / ZONES.len() % 16 == 5 {
            (1.0, 1_000.0)
        } else {
            (0.12, 20.0)
        }
    }

    /// Returns whether the entry can serve requests.
    pub fn can_serve(&self) -> bool {
        self.control()
            .is_some_and(|control| control.shared().view.load().is_complete())
    }

    /// Returns whether the entry sends no more requests to an endpoint.
    pub fn has_left(&self, hash: u64) -> bool {
        let control = self.control();
        control.is_some_and(|control| {
            let view = control.shared().view.load();
            view.endpoint(hash).is_none_or(|endpoint| endpoint.is_leaving())
        })
    }

    /// Returns the version of the document in force; 0 without one.
    pub fn document(&self) -> u64 {
        self.control().map_or(0, |control| control.document().version)
    }
}

/// Registrations as the endpoints themselves know them.
type Endpoints = Rc<RefCell<BTreeMap<SmolStr, Registration>>>;

/// Fleet of entries with their store and network.
#[derive(Debug)]
pub struct Fleet {
    pub size: Size,
    pub store: Store,
    endpoints: Endpoints,
    pub switch: Rc<Switch>,
    pub nodes: Vec<Node>,
    /// Length of a usage window.
    pub usage_window: Duration,
    clock: Clock,
}

/// Runs a future in virtual time.
pub fn run(future: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.expect("a runtime");
    LocalSet::new().block_on(&runtime, future);
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7_600))
}

impl Fleet {
    /// Creates a fleet of which no entry runs, with endpoints that write their registrations.
    pub fn new(size: Size) -> Self {
        let store = Store::default();
        store.put_document(document(1, size));
        let endpoints = Endpoints::default();
        for registration in (0..size.endpoints).map(registration) {
            store.register(&registration);
            endpoints.borrow_mut().insert(registration.id.clone(), registration);
        }
        tokio::task::spawn_local(heartbeats(store.clone(), Rc::clone(&endpoints)));
        let nodes = (0..size.entries).map(|number| Node {
            name: format!("entry-{}-{number:04}", ZONES[number % ZONES.len()]),
            number,
            address: Cell::new(address(number)),
            zone: number % ZONES.len(),
            control: RefCell::default(),
            tasks: RefCell::default(),
            pause: Rc::default(),
        });
        Self {
            size,
            store,
            endpoints,
            switch: Rc::default(),
            nodes: nodes.collect(),
            usage_window: Duration::from_secs(5),
            clock: Clock::Runtime(Instant::now()),
        }
    }

    /// Starts all entries within a fraction of a second.
    pub async fn start(&self) {
        let gap = START_SPREAD / self.nodes.len() as u32;
        for node in &self.nodes {
            self.start_node(node);
            sleep(gap).await;
        }
    }

    /// Starts one entry.
    pub fn start_node(&self, node: &Node) {
        let (notes, _inbox) = mpsc::unbounded_channel();
        let logger = Logger::root(slog::Discard, slog::o!());
        let shared = Shared::new(self.settings(node), Dialect::default(), self.clock, logger, notes);
        let control = Control::new(Arc::new(shared));
        let process = Process {
            shared: Arc::clone(control.shared()),
            queries: control.query_sender(),
            pause: Rc::clone(&node.pause),
        };
        self.switch.connect(node.address(), node.zone, node.vm().1, process);
        let network = self.interface(node);
        let tasks = control_tasks(&control, &self.store.clients(&node.name), &(Rc::clone(&network) as _));
        for task in tasks {
            node.spawn(task);
        }
        node.spawn(Box::pin(network.tell_origins(Arc::clone(control.shared()))));
        *node.control.borrow_mut() = Some(control);
    }

    /// Returns an entry's connection to the network.
    pub fn interface(&self, node: &Node) -> Rc<Interface> {
        Rc::new(Interface {
            switch: Rc::clone(&self.switch),
            address: node.address(),
        })
    }

    /// Returns the entry that holds the duties.
    pub fn holder(&self) -> Option<&Node> {
        let is_holder = |node: &&Node| {
            node.control()
                .is_some_and(|one| one.shared().metrics.duty_holder.get() == 1)
        };
        self.nodes.iter().find(is_holder)
    }

    /// Kills one entry.
    pub fn kill(&self, node: &Node) {
        self.switch.disconnect(node.address());
        for task in node.tasks.borrow_mut().drain(..) {
            task.abort();
        }
        node.control.borrow_mut().take();
    }

    fn settings(&self, node: &Node) -> Settings {
        let seeds: Vec<String> = self
            .nodes
            .iter()
            .take(3)
            .map(|seed| format!("\"{}\"", address(seed.number)))
            .collect();
        let text = format!(
            r#"
            name = "{name}"
            zone = "{zone}"
            core_share = {core_share}
            link_mbps = {mbps}
            outside = "model"
            [listen]
            callers = "{address}"
            ready = "{address}"
            peers = "{address}"
            metrics = "{address}"
            [store]
            address = "store"
            [peers]
            seeds = [{seeds}]
            [stop]
            grace_s = 8.0
            [duty]
            lease_ms = 3000
            usage_window_s = {usage_window_s:.1}
            usage_due_s = 10.0
            [limit]
            slack = 190000.0
            "#,
            name = node.name,
            zone = ZONES[node.zone],
            core_share = node.vm().0,
            mbps = node.vm().1,
            address = node.address(),
            seeds = seeds.join(","),
            usage_window_s = self.usage_window.as_secs_f64(),
        );
        Settings::parse(&text).expect("the settings are in order")
    }

    /// Changes what an endpoint says of itself, and writes its registration.
    pub fn write(&self, registration: Registration) {
        self.store.register(&registration);
        let id = registration.id.clone();
        self.endpoints.borrow_mut().insert(id, registration);
    }

    /// Ends an endpoint, and removes its registration.
    pub fn remove(&self, endpoint: &SmolStr) {
        self.endpoints.borrow_mut().remove(endpoint);
        self.store.remove(endpoint);
    }

    /// Lets all endpoints write their registrations again.
    pub fn write_all(&self) {
        let endpoints = self.endpoints.borrow();
        endpoints
            .values()
            .for_each(|registration| self.store.register(registration));
    }

    /// Lets the registrations of endpoints that have ended lapse, which a copy may have brought back.
    pub fn lapse(&self) {
        let endpoints = self.endpoints.borrow();
        let lapsed = self
            .store
            .registered()
            .into_iter()
            .filter(|id| !endpoints.contains_key(id));
        lapsed.for_each(|id| self.store.remove(&id));
    }

    /// Waits until a condition holds for all running entries, and returns how long that took; fails after `limit`.
    pub async fn wait_for_all(&self, what: &str, limit: Duration, condition: impl Fn(&Node) -> bool) -> Duration {
        const POLL_INTERVAL: Duration = Duration::from_millis(10);
        let began = Instant::now();
        loop {
            let running = self.nodes.iter().filter(|node| node.control.borrow().is_some());
            let missing = running.filter(|node| !condition(node)).count();
            if missing == 0 {
                return began.elapsed();
            }
            assert!(
                began.elapsed() < limit,
                "{what}: {missing} of {} entries lack it",
                self.nodes.len()
            );
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the time that a condition takes to hold for each running entry, in ascending order; fails after `limit`.
    pub async fn times_to(&self, limit: Duration, condition: impl Fn(&Node) -> bool) -> Vec<Duration> {
        const POLL_INTERVAL: Duration = Duration::from_millis(10);
        let began = Instant::now();
        let mut waiting: Vec<_> = self
            .nodes
            .iter()
            .filter(|node| node.control.borrow().is_some())
            .collect();
        let mut times = Vec::new();
        while !waiting.is_empty() {
            waiting.retain(|node| {
                let holds = condition(node);
                times.extend(holds.then(|| began.elapsed()));
                !holds
            });
            assert!(
                began.elapsed() < limit,
                "{} of {} entries lack it",
                waiting.len(),
                self.nodes.len()
            );
            sleep(POLL_INTERVAL).await;
        }
        times
    }

    /// Returns the number of calls of the store by purpose since a time, with the number of those that were refused.
    pub fn calls_since(&self, from: Instant) -> BTreeMap<Purpose, (usize, usize)> {
        let mut counts = BTreeMap::<_, (usize, usize)>::new();
        for call in self.store.calls_since(from) {
            let count = counts.entry(call.purpose).or_default();
            count.0 += 1;
            count.1 += usize::from(call.is_refused);
        }
        counts
    }

    /// Returns the traffic of each entry since the last call, ordered by bytes.
    pub fn take_traffic(&self) -> Vec<Traffic> {
        let mut traffic: Vec<_> = self
            .nodes
            .iter()
            .map(|node| self.switch.take_traffic(node.address()))
            .collect();
        traffic.sort_by_key(|one| one.bytes);
        traffic
    }
}

/// Returns the total of some counts.
pub fn total(calls: &BTreeMap<Purpose, (usize, usize)>) -> usize {
    calls.values().map(|(count, _)| count).sum()
}

/// Returns the document of a size.
pub fn document(version: u64, size: Size) -> Document {
    let organisations = (0..size.organisations).map(|number| Organisation {
        name: name::Organisation::new(format!("organisation-{number}")),
        keys: vec![format!("key-{number}").into()],
        urgency: None,
        limit: Some(Limit {
            rate: 50_000.0,
            burst: 100_000.0,
            unit: Unit::Tokens { plain: 200 },
        }),
    });
    Document {
        version,
        routes: vec![Route {
            name: "chat".into(),
            host: "chat.example".into(),
            prefix: "/chat/".into(),
            kind: bergamotshift_forward::document::Kind::Stream,
            timeout: Duration::from_secs(10),
            objective: Duration::from_millis(800),
            pause: Duration::from_millis(500),
            urgency: 0,
            splits: vec![Split {
                service: "planner".into(),
                weight: 1,
            }],
            attempts: 2,
            public: false,
            resumable: true,
        }],
        services: vec![Service {
            name: "planner".into(),
            connections: 100,
            engine: None,
            scale: None,
            health: None,
        }],
        organisations: organisations.collect(),
        ..Document::default()
    }
}

/// Returns the registration of an endpoint.
pub fn registration(number: usize) -> Registration {
    Registration {
        id: format!("i-{number:010}").into(),
        born: 0,
        version: "v1".into(),
        service: "planner".into(),
        address: SocketAddr::from(([10, 1, (number / 250) as u8, (number % 250) as u8], 8_086)),
        zone: ZONES[number % ZONES.len()].into(),
        slots: 48,
        leaving: false,
        market: Market::OnDemand,
        leaves_in: None,
        written: Cursor::default(),
    }
}

/// Lets each endpoint write its registration once in a heartbeat.
async fn heartbeats(store: Store, endpoints: Endpoints) {
    let rounds = (HEARTBEAT.as_millis() / WRITE_INTERVAL.as_millis()) as usize;
    for round in 0.. {
        sleep(WRITE_INTERVAL).await;
        let endpoints = endpoints.borrow();
        let due = endpoints.values().skip(round % rounds).step_by(rounds);
        due.for_each(|registration| store.register(registration));
    }
}
