//! A store and a cloud in memory, with faults on order.

use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::LazyLock;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bergamotshift_core::plugin::inventory;
use bergamotshift_core::table;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;
use bergamotshift_forward::dialect::Dialect;
use bergamotshift_forward::document::Document;
use bergamotshift_forward::endpoint::Change;
use bergamotshift_forward::endpoint::Registration;
use bergamotshift_forward::outside::Addresses;
use bergamotshift_forward::outside::Clients;
use bergamotshift_forward::outside::Cursor;
use bergamotshift_forward::outside::Duties;
use bergamotshift_forward::outside::FencingToken;
use bergamotshift_forward::outside::Gap;
use bergamotshift_forward::outside::Instructions;
use bergamotshift_forward::outside::Kind;
use bergamotshift_forward::outside::Operators;
use bergamotshift_forward::outside::Order;
use bergamotshift_forward::outside::Registry;
use bergamotshift_forward::outside::Usage;
use bergamotshift_platform::Error;
use bergamotshift_platform::Future;
use bergamotshift_platform::table::Page;
use bergamotshift_rollout::Order as Rollout;
use bergamotshift_rollout::order::State;
use smol_str::SmolStr;

/// What the store holds, and what the cloud was told.
#[derive(Debug, Default)]
pub struct World {
    pub document: Option<Document>,
    pub registrations: BTreeMap<SmolStr, Registration>,
    /// Orders to roll a version out, with what the operators were told of each.
    pub rollouts: Vec<(Rollout, State)>,
    pub rows: BTreeMap<Key, Row>,
    /// All that was written, in order.
    pub written: Vec<(Key, Vec<u8>)>,
    pub reports: Vec<(FencingToken, Usage)>,
    pub orders: Vec<(FencingToken, Order)>,
    /// Entries, by the name after `@` in their store's address, to which no call is answered.
    pub cut: Vec<SmolStr>,
    changes: u64,
}

/// A world that tests and daemons share.
pub type Shared = Arc<Mutex<World>>;

static WORLDS: LazyLock<Mutex<HashMap<SmolStr, Shared>>> = LazyLock::new(Mutex::default);

/// Makes a world that daemons find under a name.
pub fn world(name: &str) -> Shared {
    Arc::clone(lock(&WORLDS).entry(SmolStr::new(name)).or_default())
}

/// Locks, whatever happened to the thread before.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl World {
    /// Puts a document that the operators wrote.
    pub fn put(&mut self, document: Document) {
        self.document = Some(document);
        self.changes += 1;
    }

    /// Orders a version of a service.
    pub fn roll_out(&mut self, service: &str, to: &str, duration: Duration) {
        self.changes += 1;
        let order = Rollout {
            service: service.into(),
            to: to.into(),
            duration,
            number: self.changes,
        };
        self.rollouts.push((order, State::Running));
    }

    fn written(&self) -> Instructions {
        Instructions {
            document: self.document.clone(),
            rollouts: self.rollouts.clone(),
            ..Instructions::default()
        }
    }

    /// Registers an endpoint, or takes its registration away.
    pub fn register(&mut self, registration: Registration) {
        self.registrations.insert(registration.id.clone(), registration);
        self.changes += 1;
    }

    /// Takes an endpoint's registration away.
    pub fn remove(&mut self, id: &str) {
        self.registrations.remove(id);
        self.changes += 1;
    }
}

inventory::submit! {
    Kind { name: "memory", dialect: Dialect::default, connect: |addresses| Box::pin(core::future::ready(Ok(connect(addresses)))) }
}

fn connect(addresses: Addresses) -> Clients {
    let (name, entry) = addresses
        .store
        .split_once('@')
        .unwrap_or((addresses.store.as_str(), ""));
    let store = Rc::new(Store {
        world: world(name),
        entry: SmolStr::new(entry),
    });
    Clients {
        operators: Rc::clone(&store) as _,
        registry: Rc::clone(&store) as _,
        table: Rc::clone(&store) as _,
        duties: addresses.cloud.map(|_| store as _),
    }
}

#[derive(Debug)]
struct Store {
    world: Shared,
    entry: SmolStr,
}

impl Store {
    fn reach(&self) -> Result<MutexGuard<'_, World>, Error> {
        let world = lock(&self.world);
        if world.cut.contains(&self.entry) {
            return Err(Error::Refused("cut off".to_owned()));
        }
        Ok(world)
    }
}

impl Operators for Store {
    fn read(&self) -> Future<'_, Result<(Instructions, Cursor), Error>> {
        let answer = self.reach().map(|world| (world.written(), Cursor(world.changes)));
        Box::pin(async move { answer })
    }

    fn wait_for_change(&self, _after: Cursor, wait: Duration) -> Future<'_, Result<(Instructions, Cursor), Gap>> {
        const LOOK: Duration = Duration::from_millis(20);
        Box::pin(async move {
            tokio::time::sleep(wait.min(LOOK)).await;
            let world = self.reach()?;
            Ok((world.written(), Cursor(world.changes)))
        })
    }

    fn report_rollout(&self, order: Rollout, state: State) -> Future<'_, Result<State, Error>> {
        let told = self.reach().map(|mut world| {
            let known = world.rollouts.iter_mut().find(|(one, _)| one.number == order.number);
            let Some((_, known)) = known.filter(|(_, known)| !known.is_final()) else {
                return state;
            };
            *known = state;
            state
        });
        Box::pin(async move { told })
    }
}

impl Registry for Store {
    fn registrations(&self) -> Future<'_, Result<(Vec<Change>, Cursor), Error>> {
        let list = |world: MutexGuard<'_, World>| {
            let all = world.registrations.values().cloned().map(Change::Written).collect();
            (all, Cursor(world.changes))
        };
        let answer = self.reach().map(list);
        Box::pin(async move { answer })
    }

    fn changes(&self, _after: Cursor) -> Future<'_, Result<(Vec<Change>, Cursor), Gap>> {
        // The history is gone each time, so that everything is read anew.
        Box::pin(async { Err(Gap::Truncated) })
    }
}

impl bergamotshift_platform::table::Table for Store {
    fn transact(&self, writes: Vec<Write>) -> Future<'_, Ending> {
        let ending = match self.reach() {
            Err(_) => Ending::Refused,
            Ok(mut world) => transact(&mut world, writes),
        };
        Box::pin(async move { ending })
    }

    fn get(&self, keys: Vec<Key>) -> Future<'_, Result<Vec<Option<Row>>, Error>> {
        let read = |world: MutexGuard<'_, World>| keys.iter().map(|key| world.rows.get(key).cloned()).collect();
        let answer = self.reach().map(read);
        Box::pin(async move { answer })
    }

    fn query(&self, partition: SmolStr, _after: Option<SmolStr>, _limit: u32) -> Future<'_, Result<Page, Error>> {
        let read = |world: MutexGuard<'_, World>| {
            let rows = world.rows.iter().filter(|(key, _)| key.partition == partition);
            Page {
                rows: rows.map(|(key, row)| (key.sort.clone(), row.clone())).collect(),
                next: None,
            }
        };
        let answer = self.reach().map(read);
        Box::pin(async move { answer })
    }
}

fn transact(world: &mut World, writes: Vec<Write>) -> Ending {
    let version = |world: &World, key: &Key| world.rows.get(key).map(|row| row.version);
    let holds = |write: &Write| match write.condition {
        Condition::Any => true,
        Condition::Absent => version(world, &write.key).is_none(),
        Condition::Version(wanted) => version(world, &write.key) == Some(wanted),
    };
    let failed: Vec<usize> = (0..writes.len()).filter(|place| !holds(&writes[*place])).collect();
    if !failed.is_empty() {
        return Ending::Conflict(failed);
    }
    for write in writes {
        let next = version(world, &write.key).unwrap_or_default() + 1;
        match write.change {
            table::Change::Put(body) => {
                world.written.push((write.key.clone(), body.clone()));
                world.rows.insert(write.key, Row { version: next, body });
            }
            table::Change::Delete => {
                world.rows.remove(&write.key);
            }
            table::Change::Check => {}
        }
    }
    Ending::Applied
}

impl Duties for Store {
    fn report(&self, holder: FencingToken, usage: Usage) -> Future<'_, Result<(), Error>> {
        lock(&self.world).reports.push((holder, usage));
        Box::pin(async { Ok(()) })
    }

    fn order(&self, holder: FencingToken, order: Order) -> Future<'_, Result<(), Error>> {
        lock(&self.world).orders.push((holder, order));
        Box::pin(async { Ok(()) })
    }
}
