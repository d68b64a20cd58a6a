//! The service's operations.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use ntex::http::Response;
use ntex::http::StatusCode;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;
use smol_str::SmolStr;

use super::Settings;
use super::bucket::Bucket;
use super::failure::Failure;
use super::operation::Operation;
use super::store::Store;
use super::wire;
use crate::fault::Plan;
use crate::host::Answer;
use crate::host::Call;
use crate::host::Control;
use crate::host::Site;

const TARGET: &str = "x-amz-target";
const TARGET_PREFIX: &str = "DynamoDB_20120810.";
/// The most operations of one transaction, and the most keys of one batch.
const MOST: usize = 100;
const ROWS_WRITTEN: &str = "rows written";
const ROWS_READ: &str = "rows read";

/// The table service behind its HTTP interface.
#[derive(Debug)]
pub(super) struct Place {
    settings: Settings,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    store: Store,
    writes: Bucket,
    reads: Bucket,
}

impl Place {
    pub(super) fn new(settings: Settings) -> Self {
        let now = Instant::now();
        Self {
            settings,
            state: Mutex::new(State {
                store: Store::default(),
                writes: Bucket::new(settings.writes_per_second, now),
                reads: Bucket::new(settings.reads_per_second, now),
            }),
        }
    }

    pub(super) fn rows(&self) -> Vec<(Key, Row)> {
        self.state().store.rows()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn operate(&self, call: &Call) -> Result<Value, Failure> {
        match target(call) {
            "TransactWriteItems" => self.transact(parse(call)?, &call.control),
            "GetItem" => self.get(&parse(call)?, &call.control),
            "BatchGetItem" => self.batch_get(parse(call)?, &call.control),
            "Query" => self.query(&parse(call)?, &call.control),
            other => Err(Failure::Validation(format!("{other} is not supported"))),
        }
    }

    fn transact(&self, request: wire::Transact, control: &Control) -> Result<Value, Failure> {
        let operations: Vec<_> = request
            .transact_items
            .iter()
            .map(Operation::new)
            .collect::<Result<_, _>>()?;
        if operations.is_empty() || operations.len() > MOST {
            return Err(Failure::validation("a transaction has between 1 and 100 operations"));
        }
        let now = Instant::now();
        let rows = operations.len();
        let mut state = self.state();
        if !state.writes.take(rows, now) {
            return Err(Failure::Throttled);
        }
        control.add(ROWS_WRITTEN, rows as u64);
        state.store.transact(operations, request.client_request_token, now)?;
        Ok(json!({}))
    }

    fn get(&self, request: &wire::Get, control: &Control) -> Result<Value, Failure> {
        let key = wire::key(&request.key)?;
        let mut state = self.state();
        read(&mut state, 1, control)?;
        Ok(match state.store.get(&key) {
            Some(row) => json!({"Item": wire::item(&key, row)}),
            None => json!({}),
        })
    }

    fn batch_get(&self, request: wire::BatchGet, control: &Control) -> Result<Value, Failure> {
        let mut names = request.request_items.into_iter();
        let (Some((table, keys)), None) = (names.next(), names.next()) else {
            return Err(Failure::validation("one table is wanted"));
        };
        let mut keys: Vec<_> = keys.keys.iter().map(wire::key).collect::<Result<_, _>>()?;
        let distinct: std::collections::BTreeSet<_> = keys.iter().collect();
        if keys.is_empty() || keys.len() > MOST || distinct.len() != keys.len() {
            return Err(Failure::validation("between 1 and 100 distinct keys are wanted"));
        }
        let most = if self.settings.batch_rows == 0 {
            MOST
        } else {
            self.settings.batch_rows
        };
        let rest = keys.split_off(most.min(keys.len()));
        let mut state = self.state();
        read(&mut state, keys.len(), control)?;
        let found = keys
            .iter()
            .filter_map(|key| Some(wire::item(key, state.store.get(key)?)));
        let found: Vec<_> = found.collect();
        let rest: Vec<_> = rest.iter().map(wire::key_item).collect();
        let unprocessed = if rest.is_empty() {
            json!({})
        } else {
            json!({table.clone(): {"Keys": rest}})
        };
        Ok(json!({"Responses": {table: found}, "UnprocessedKeys": unprocessed}))
    }

    fn query(&self, request: &wire::Query, control: &Control) -> Result<Value, Failure> {
        if request.key_condition_expression != "pk = :p" {
            return Err(Failure::validation("the KeyConditionExpression is not supported"));
        }
        let partition = SmolStr::new(wire::text(&request.expression_attribute_values, ":p")?);
        let after = request.exclusive_start_key.as_ref().map(wire::key).transpose()?;
        let limit = request.limit.unwrap_or(usize::MAX);
        let mut state = self.state();
        let mut rows = state
            .store
            .query(&partition, after.as_ref().map(|key| key.sort.as_str()));
        let page: Vec<_> = rows
            .by_ref()
            .take(limit)
            .map(|(key, row)| (key.clone(), row.clone()))
            .collect();
        let more = rows.next().is_some();
        drop(rows);
        read(&mut state, page.len().max(1), control)?;
        let items: Vec<_> = page.iter().map(|(key, row)| wire::item(key, row)).collect();
        let mut answer = json!({"Count": items.len(), "Items": items});
        if let Some((key, _)) = page.last().filter(|_| more) {
            answer["LastEvaluatedKey"] = wire::key_item(key);
        }
        Ok(answer)
    }
}

fn read(state: &mut State, rows: usize, control: &Control) -> Result<(), Failure> {
    if !state.reads.take(rows, Instant::now()) {
        return Err(Failure::Throttled);
    }
    control.add(ROWS_READ, rows as u64);
    Ok(())
}

fn target(call: &Call) -> &str {
    call.header(TARGET)
        .and_then(|target| target.strip_prefix(TARGET_PREFIX))
        .unwrap_or_default()
}

fn parse<T: DeserializeOwned>(call: &Call) -> Result<T, Failure> {
    serde_json::from_slice(&call.body).map_err(|cause| Failure::Validation(cause.to_string()))
}

impl Site for Place {
    fn kind(&self, call: &Call) -> String {
        target(call).to_owned()
    }

    fn answer(self: Arc<Self>, call: Call, _plan: Plan) -> Answer {
        Box::pin(async move {
            match self.operate(&call) {
                Ok(body) => Response::build(StatusCode::OK)
                    .content_type("application/x-amz-json-1.0")
                    .body(body.to_string()),
                Err(failure) => failure.response(),
            }
        })
    }

    fn refuse(&self) -> Response {
        Failure::Throttled.response()
    }
}
