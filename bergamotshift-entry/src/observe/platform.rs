//! Counts the calls of the platform, by part, call and result.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use bergamotshift_core::name;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;
use bergamotshift_core::vm::Listing;
use bergamotshift_platform::Error;
use bergamotshift_platform::Future;
use bergamotshift_platform::Platform;
use bergamotshift_platform::cloud;
use bergamotshift_platform::cloud::Cloud;
use bergamotshift_platform::objects::Object;
use bergamotshift_platform::objects::Objects;
use bergamotshift_platform::objects::Precondition;
use bergamotshift_platform::table::Page;
use bergamotshift_platform::table::Table;
use bergamotshift_platform::vms::Notice;
use bergamotshift_platform::vms::Vms;
use bergamotshift_platform::weights;
use bergamotshift_platform::weights::Weights;
use bytes::Bytes;
use slog::info;
use slog::warn;
use smol_str::SmolStr;

use crate::worker::Shared;

/// Returns the same platform, whose calls are counted.
pub fn counted(platform: Platform, shared: &Arc<Shared>) -> Platform {
    Platform {
        table: platform
            .table
            .map(|inner| wrap(inner, "table", shared) as Rc<dyn Table>),
        objects: platform
            .objects
            .map(|inner| wrap(inner, "objects", shared) as Rc<dyn Objects>),
        vms: platform.vms.map(|inner| wrap(inner, "vms", shared) as Rc<dyn Vms>),
        cloud: platform
            .cloud
            .map(|inner| wrap(inner, "cloud", shared) as Rc<dyn Cloud>),
        weights: platform
            .weights
            .map(|inner| wrap(inner, "weights", shared) as Rc<dyn Weights>),
    }
}

fn wrap<P: ?Sized>(inner: Rc<P>, part: &'static str, shared: &Arc<Shared>) -> Rc<Counted<P>> {
    let shared = Arc::clone(shared);
    Rc::new(Counted { inner, part, shared })
}

/// The results of calls that brought no answer, or one that gives no reason.
const REFUSED: &str = "refused";
const UNKNOWN: &str = "unknown";

/// A part of the platform whose calls are counted.
#[derive(Debug)]
struct Counted<P: ?Sized> {
    inner: Rc<P>,
    part: &'static str,
    shared: Arc<Shared>,
}

impl<P: ?Sized> Counted<P> {
    /// Logs that the part is lost or back; an outage of an hour makes two records for each kind of call.
    fn tell(&self, call: &'static str, answers: bool, result: &'static str) {
        let logger = &self.shared.settings.logger;
        if answers {
            info!(logger, "the platform answers again"; "part" => self.part, "call" => call);
        } else {
            warn!(logger, "the platform does not answer"; "part" => self.part, "call" => call, "result" => result);
        }
    }

    fn call<'a, T: 'a>(
        &'a self,
        call: &'static str,
        future: Future<'a, T>,
        result: impl FnOnce(&T) -> &'static str + 'a,
    ) -> Future<'a, T> {
        Box::pin(async move {
            let started = Instant::now();
            let outcome = future.await;
            let result = result(&outcome);
            let metrics = &self.shared.metrics;
            metrics.platform_call(self.part, call, result, started.elapsed());
            let answers = !matches!(result, REFUSED | UNKNOWN);
            if self.shared.reports.set_platform(self.part, call, answers) {
                self.tell(call, answers, result);
            }
            outcome
        })
    }
}

const fn result<T>(outcome: &Result<T, Error>) -> &'static str {
    match outcome {
        Ok(_) => "ok",
        Err(Error::Refused(_)) => REFUSED,
        Err(Error::Throttled { .. }) => "throttled",
        Err(Error::NoCapacity) => "no-capacity",
        Err(Error::Conflict) => "conflict",
        Err(Error::Unknown(_)) => UNKNOWN,
    }
}

const fn ending(ending: &Ending) -> &'static str {
    match ending {
        Ending::Applied => "ok",
        Ending::Conflict(_) => "conflict",
        Ending::Refused => REFUSED,
        Ending::Unknown => UNKNOWN,
    }
}

impl Table for Counted<dyn Table> {
    fn era(&self) -> u64 {
        self.inner.era()
    }

    fn transact(&self, writes: Vec<Write>) -> Future<'_, Ending> {
        self.call("transact", self.inner.transact(writes), ending)
    }

    fn get(&self, keys: Vec<Key>) -> Future<'_, Result<Vec<Option<Row>>, Error>> {
        self.call("get", self.inner.get(keys), result)
    }

    fn query(&self, partition: SmolStr, after: Option<SmolStr>, limit: u32) -> Future<'_, Result<Page, Error>> {
        self.call("query", self.inner.query(partition, after, limit), result)
    }
}

impl Objects for Counted<dyn Objects> {
    fn get(&self, key: SmolStr) -> Future<'_, Result<Option<Object>, Error>> {
        self.call("get", self.inner.get(key), result)
    }

    fn put(&self, key: SmolStr, body: Bytes, precondition: Precondition) -> Future<'_, Result<SmolStr, Error>> {
        self.call("put", self.inner.put(key, body, precondition), result)
    }

    fn delete(&self, key: SmolStr) -> Future<'_, Result<(), Error>> {
        self.call("delete", self.inner.delete(key), result)
    }

    fn list(&self, prefix: SmolStr, after: Option<SmolStr>, limit: u32) -> Future<'_, Result<Vec<SmolStr>, Error>> {
        self.call("list", self.inner.list(prefix, after, limit), result)
    }
}

impl Vms for Counted<dyn Vms> {
    fn list(&self) -> Future<'_, Result<Vec<Listing>, Error>> {
        self.call("list", self.inner.list(), result)
    }

    fn notices(&self, since: u64) -> Future<'_, Result<Vec<Notice>, Error>> {
        self.call("notices", self.inner.notices(since), result)
    }
}

impl Cloud for Counted<dyn Cloud> {
    fn start(&self, spec: cloud::Spec) -> Future<'_, Result<(), Error>> {
        self.call("start", self.inner.start(spec), result)
    }

    fn stop(&self, vm: name::Vm) -> Future<'_, Result<(), Error>> {
        self.call("stop", self.inner.stop(vm), result)
    }
}

impl Weights for Counted<dyn Weights> {
    fn fetch(&self, spec: weights::Spec) -> Future<'_, Result<weights::Ticket, Error>> {
        self.call("fetch", self.inner.fetch(spec), result)
    }
}
