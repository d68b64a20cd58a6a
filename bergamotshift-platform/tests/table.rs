//! Adapter of the table service against its stand-in, with injected faults.

use core::time::Duration;

use bergamotshift_core::table::Change;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;
use bergamotshift_platform::http;
use bergamotshift_platform::prelude::*;
use bergamotshift_standin::Fault;
use bergamotshift_standin::table;

const NO_RETRY: http::table::Settings = settings(0);

const fn settings(retries: u32) -> http::table::Settings {
    http::table::Settings {
        table: smol_str::SmolStr::new_static("t"),
        retries,
    }
}

fn server() -> table::Server {
    table::Server::start(table::Settings::default()).unwrap()
}

async fn adapter(server: &table::Server, settings: http::table::Settings) -> http::Table {
    adapter_with(server, settings, Duration::from_secs(30)).await
}

async fn adapter_with(server: &table::Server, settings: http::table::Settings, timeout: Duration) -> http::Table {
    let base = format!("http://{}", server.address());
    let client = http::Client::new(http::Settings {
        base,
        timeout,
        ..Default::default()
    });
    http::Table::new(client.await.unwrap(), settings).unwrap()
}

fn key(sort: &str) -> Key {
    Key::new("p", sort)
}

fn write(sort: &str, condition: Condition, change: Change) -> Write {
    Write {
        key: key(sort),
        condition,
        change,
    }
}

fn put(sort: &str, condition: Condition, body: &[u8]) -> Write {
    write(sort, condition, Change::Put(body.to_vec()))
}

fn row(version: u64, body: &[u8]) -> Row {
    Row {
        version,
        body: body.to_vec(),
    }
}

async fn transact<const N: usize>(table: &dyn Table, writes: [Write; N]) -> Ending {
    table.transact(writes.to_vec()).await
}

#[ntex::test]
async fn versions_increment_and_guard_writes() {
    let server = server();
    let table = adapter(&server, NO_RETRY).await;
    let table: &dyn Table = &table;
    assert_eq!(
        transact(table, [put("a", Condition::Absent, b"1")]).await,
        Ending::Applied
    );
    assert_eq!(
        transact(table, [put("a", Condition::Absent, b"2")]).await,
        Ending::Conflict(vec![0])
    );
    assert_eq!(
        transact(table, [put("a", Condition::Version(1), &[0, 255])]).await,
        Ending::Applied
    );
    assert_eq!(
        transact(table, [put("a", Condition::Version(1), b"4")]).await,
        Ending::Conflict(vec![0])
    );
    assert_eq!(transact(table, [put("a", Condition::Any, b"5")]).await, Ending::Applied);
    assert_eq!(transact(table, [put("b", Condition::Any, b"6")]).await, Ending::Applied);
    let rows = table.get(vec![key("b"), key("c"), key("a"), key("b")]).await.unwrap();
    assert_eq!(rows, [Some(row(1, b"6")), None, Some(row(3, b"5")), Some(row(1, b"6"))]);
    assert_eq!(
        transact(table, [write("b", Condition::Version(1), Change::Delete)]).await,
        Ending::Applied
    );
    assert_eq!(table.get(vec![key("b")]).await.unwrap(), [None]);
}

#[ntex::test]
async fn conflict_names_the_writes_and_changes_nothing() {
    let server = server();
    let table = adapter(&server, NO_RETRY).await;
    transact(&table, [put("a", Condition::Absent, b"1")]).await;
    let before = server.rows();
    let result = transact(
        &table,
        [
            write("free", Condition::Any, Change::Check),
            put("b", Condition::Absent, b"2"),
            write("a", Condition::Absent, Change::Check),
            put("c", Condition::Version(7), b"3"),
        ],
    );
    assert_eq!(result.await, Ending::Conflict(vec![2, 3]));
    assert_eq!(server.rows(), before);
    let nothing = transact(&table, [write("free", Condition::Any, Change::Check)]).await;
    assert_eq!(nothing, Ending::Applied);
}

#[ntex::test]
async fn pages_list_a_partition_in_order() {
    let server = server();
    let table = adapter(&server, NO_RETRY).await;
    for sort in ["c", "a", "b"] {
        transact(&table, [put(sort, Condition::Absent, sort.as_bytes())]).await;
    }
    let other = Write {
        key: Key::new("q", "a"),
        ..put("a", Condition::Absent, b"")
    };
    transact(&table, [other]).await;
    let table: &dyn Table = &table;
    let first = table.query("p".into(), None, 2).await.unwrap();
    assert_eq!(first.rows, [("a".into(), row(1, b"a")), ("b".into(), row(1, b"b"))]);
    let last = table.query("p".into(), first.next, 2).await.unwrap();
    assert_eq!((last.rows, last.next), (vec![("c".into(), row(1, b"c"))], None));
}

#[ntex::test]
async fn unprocessed_keys_of_a_batch_are_requested_again() {
    let server = table::Server::start(table::Settings {
        batch_rows: 40,
        ..Default::default()
    });
    let server = server.unwrap();
    let table = adapter(&server, NO_RETRY).await;
    let sorts: Vec<_> = (0..150).map(|number| format!("{number:03}")).collect();
    for sorts in sorts.chunks(100) {
        let writes = sorts
            .iter()
            .map(|sort| put(sort, Condition::Absent, sort.as_bytes()))
            .collect();
        assert_eq!(Table::transact(&table, writes).await, Ending::Applied);
    }
    let rows = Table::get(&table, sorts.iter().map(|sort| key(sort)).collect())
        .await
        .unwrap();
    assert!(
        rows.iter()
            .zip(&sorts)
            .all(|(found, sort)| *found == Some(row(1, sort.as_bytes())))
    );
}

#[ntex::test]
async fn oversized_transaction_is_refused() {
    let server = server();
    let table = adapter(&server, NO_RETRY).await;
    let writes = (0..101)
        .map(|number| put(&number.to_string(), Condition::Any, b""))
        .collect();
    assert_eq!(Table::transact(&table, writes).await, Ending::Refused);
    assert!(server.counts().is_empty());
}

// The answer to a transaction is lost after it took effect. The result is unknown, and reading the row shows the write.
#[ntex::test]
async fn lost_answer_is_unknown_until_read_back() {
    let server = server();
    let table = adapter(&server, NO_RETRY).await;
    server.fault(Fault::LoseAnswerAfterWrite { count: 1 });
    assert_eq!(
        transact(&table, [put("a", Condition::Absent, b"mine")]).await,
        Ending::Unknown
    );
    assert_eq!(
        Table::get(&table, vec![key("a")]).await.unwrap(),
        [Some(row(1, b"mine"))]
    );
}

// The answer is lost after the transaction took effect. The retry has the same token, so the service reports success
// instead of a conflict with the row of the first attempt, and the write takes effect once.
#[ntex::test]
async fn lost_answer_is_settled_by_a_retry_with_the_same_token() {
    let server = server();
    let table = adapter(&server, settings(1)).await;
    server.fault(Fault::LoseAnswerAfterWrite { count: 1 });
    assert_eq!(
        transact(&table, [put("a", Condition::Any, b"1")]).await,
        Ending::Applied
    );
    assert_eq!(server.counts()["TransactWriteItems"], 2);
    assert_eq!(server.rows(), [(key("a"), row(1, b"1"))]);
}

// The answer to the first attempt is lost, and the service refuses the retry. The first attempt may have taken effect,
// so the result has to stay unknown.
#[ntex::test]
async fn refused_retry_does_not_hide_the_first_attempt() {
    let server = server();
    let table = adapter(&server, settings(1)).await;
    server.fault(Fault::LoseAnswerAfterWrite { count: 1 });
    server.fault(Fault::RefuseAfter { calls: 1, count: 1 });
    assert_eq!(
        transact(&table, [put("a", Condition::Absent, b"1")]).await,
        Ending::Unknown
    );
    assert_eq!(server.rows().len(), 1);
}

#[ntex::test]
async fn faults_are_classified_by_their_effect() {
    let cases = [
        (Fault::Down, Ending::Refused),
        (Fault::Refuse { count: 1 }, Ending::Refused),
        (Fault::Reset, Ending::Unknown),
        (Fault::ShortBody { count: 1 }, Ending::Unknown),
        (Fault::LoseAnswerAfterWrite { count: 1 }, Ending::Unknown),
    ];
    for (fault, expected) in cases {
        let server = server();
        let table = adapter(&server, NO_RETRY).await;
        server.fault(fault.clone());
        assert_eq!(
            transact(&table, [put("a", Condition::Absent, b"1")]).await,
            expected,
            "{fault:?}"
        );
        if expected == Ending::Refused {
            assert_eq!(server.rows(), [], "{fault:?}");
        }
    }
}

#[ntex::test]
async fn errors_of_reads_are_classified() {
    let server = server();
    let table = adapter(&server, NO_RETRY).await;
    server.fault(Fault::Refuse { count: 2 });
    assert_eq!(
        Table::get(&table, vec![key("a")]).await,
        Err(Error::Throttled { retry_after: None })
    );
    let page = Table::query(&table, "p".into(), None, 1).await;
    assert_eq!(page, Err(Error::Throttled { retry_after: None }));
    server.fault(Fault::ShortBody { count: 1 });
    assert!(matches!(
        Table::get(&table, vec![key("a")]).await,
        Err(Error::Unknown(_))
    ));
    server.kill();
    assert!(matches!(
        Table::get(&table, vec![key("a")]).await,
        Err(Error::Refused(_))
    ));
}

// The service is paused for longer than the sender's timeout and then applies the write. The sender's result is
// unknown, and the row appears afterwards with its first version.
#[ntex::test]
async fn write_applied_after_its_timeout_is_unknown() {
    let server = server();
    let table = adapter_with(&server, NO_RETRY, Duration::from_millis(50)).await;
    server.pause();
    assert_eq!(
        transact(&table, [put("a", Condition::Absent, b"1")]).await,
        Ending::Unknown
    );
    server.resume();
    let long_timeout = adapter(&server, NO_RETRY).await;
    // A second write to the row conflicts with the first.
    assert_eq!(
        transact(&long_timeout, [put("a", Condition::Absent, b"2")]).await,
        Ending::Conflict(vec![0])
    );
    assert_eq!(server.rows(), [(key("a"), row(1, b"1"))]);
}

#[ntex::test]
async fn rate_limit_applies_to_rows() {
    let server = table::Server::start(table::Settings {
        writes_per_second: Some(2),
        ..Default::default()
    });
    let server = server.unwrap();
    let table = adapter(&server, NO_RETRY).await;
    let three = ["a", "b", "c"].map(|sort| put(sort, Condition::Any, b""));
    assert_eq!(transact(&table, three).await, Ending::Refused);
    assert_eq!(
        transact(&table, ["a", "b"].map(|sort| put(sort, Condition::Any, b""))).await,
        Ending::Applied
    );
    assert_eq!(server.counts()["rows written"], 2);
}
